"""Which VMs are alive, and what they last told."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from toucanhall.fleet.knowledge import Revisions
from toucanhall.fleet.model import Introduction
from toucanhall.limits.quota import Told, Usage

__all__ = (
    'ALIVE_SECONDS',
    'GONE_SECONDS',
    'LATE_SECONDS',
    'Heartbeat',
    'Members',
    'Peer',
    'pick_watchers',
)

# Two heartbeats may be lost before a VM counts as dead.
ALIVE_SECONDS: Final = 2.6
# A VM that fell silent may still admit requests of teams: its part of their
# limits is given to others only after this time.
FORGET_SECONDS: Final = 20.0
# A VM that is silent for so long is greeted no more, until the store or another
# VM tells of it again: replacements take some seconds.
GONE_SECONDS: Final = 60.0
# Heartbeats between regions come each 1.6 s: a VM that told nothing for longer
# may be cut off and admit requests that nobody hears of.
LATE_SECONDS: Final = 1.8


class Heartbeat(NamedTuple):
    """What a VM tells the others.

    `started_at` tells its starts apart (Unix milliseconds), `lag` is how late
    its loop is (seconds), `usage` holds
    the requests of each team, `introduced` the VMs it knows when
    it answers one that is new.
    """

    vm: str
    started_at: int
    zone: str
    ip: str
    is_ready: bool
    is_leaving: bool
    lag: float
    revisions: Revisions
    usage: Mapping[str, Usage]
    introduced: tuple[Introduction, ...] = ()


class Peer(NamedTuple):
    """The last heartbeat of a VM and when it was heard."""

    heartbeat: Heartbeat
    heard_at: float


class Members:
    """The other VMs, by name."""

    def __init__(self) -> None:
        """Start without knowing any VM."""
        self.peers: dict[str, Peer] = {}
        self.introduced: dict[str, Introduction] = {}

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; tell whether its VM is new or started again."""
        known = self.peers.get(heartbeat.vm)
        if known and heartbeat.started_at < known.heartbeat.started_at:
            return False
        self.peers[heartbeat.vm] = Peer(heartbeat, now)
        self.introduced[heartbeat.vm] = Introduction(
            heartbeat.vm,
            heartbeat.zone,
            heartbeat.ip,
        )
        return (
            known is None
            or known.heartbeat.started_at != heartbeat.started_at
            or now - known.heard_at > ALIVE_SECONDS
        )

    def introduce(self, introduction: Introduction) -> bool:
        """Note where a VM may be found; tell whether it was unknown."""
        is_new = introduction.vm not in self.introduced
        if is_new:
            self.introduced[introduction.vm] = introduction
        return is_new

    def excuse(self, seconds: float) -> None:
        """Forgive silence for the time in which this VM did not run."""
        self.peers = {
            vm: peer._replace(heard_at=peer.heard_at + seconds)
            for vm, peer in self.peers.items()
        }

    def drop_gone(self, now: float) -> list[Introduction]:
        """Drop and return the VMs that were silent for a minute."""
        gone = [
            self.introduced[vm]
            for vm, peer in self.peers.items()
            if now - peer.heard_at > GONE_SECONDS and vm in self.introduced
        ]
        for found in gone:
            self.introduced.pop(found.vm)
            self.peers.pop(found.vm)
        return gone

    def list_alive(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeats of the VMs that are alive."""
        return [
            peer.heartbeat
            for peer in self.peers.values()
            if now - peer.heard_at <= ALIVE_SECONDS
        ]

    def list_told(self, now: float) -> list[Told]:
        """Return what VMs told of teams, also those that fell silent."""
        return [
            Told(peer.heartbeat.usage, now - peer.heard_at > LATE_SECONDS)
            for peer in self.peers.values()
            if now - peer.heard_at <= FORGET_SECONDS
        ]


def pick_watchers(
    own: str,
    zone: str,
    alive: list[Heartbeat],
    count: int,
) -> list[str]:
    """Return the names of the VMs of the own zone that watch the store."""
    near = [
        found.vm
        for found in alive
        if found.zone == zone and not found.is_leaving
    ]
    return sorted((own, *near))[:count]
