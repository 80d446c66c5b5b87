"""Other entry VMs that can carry a request to slots which they own."""

import enum
import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from toucanhall.steering import circuit as circuits
from toucanhall.steering.circuit import Circuit
from toucanhall.steering.places import Outcome

__all__ = ('Distance', 'Peer', 'begin', 'end', 'pick', 'pick_to_wait')

_TOLD_SECONDS: Final = 1.0
_FULL_SECONDS: Final = 0.5
_ASK_SECONDS: Final = 0.05


class Distance(enum.IntEnum):
    """How far a peer is: own zone, own region, or another region."""

    ZONE = 0
    REGION = 1
    FAR = 2


class Peer(NamedTuple):
    """An entry VM; `spare` is what it told at `told_at`, less what was sent.

    Less than none counts the requests that wait there.
    """

    vm: str
    zone: str
    region: str
    address: str
    distance: Distance
    in_flight: int = 0
    spare: int = 0
    told_at: float | None = None
    circuit: Circuit = Circuit()


def has_room(peer: Peer, now: float) -> bool:
    """Return whether the peer lately told room that is not used up."""
    return peer.spare > 0 and _read_age(peer, now) < _TOLD_SECONDS


def may_ask(peer: Peer, now: float) -> bool:
    """Return whether a hop may find out if the peer has room."""
    return peer.in_flight == 0 and _read_age(peer, now) >= _FULL_SECONDS


def pick(
    peers: Iterable[Peer],
    distance: Distance,
    closed_regions: frozenset[str],
    now: float,
    *,
    can_ask: bool,
) -> Peer | None:
    """Return the peer at a distance that told the most spare room.

    What a peer told is believed for a short time. When none has room, a hop
    now and then finds out; a peer admits hops only into room that it owns.
    """
    usable = [
        peer
        for peer in peers
        if peer.distance == distance
        and peer.region not in closed_regions
        and circuits.admits(peer.circuit, now)
    ]
    with_room = [peer for peer in usable if has_room(peer, now)]
    if can_ask and not with_room and not _was_refused(usable, now):
        with_room = [peer for peer in usable if may_ask(peer, now)]
    return max(
        with_room,
        key=lambda peer: (peer.spare, -peer.in_flight, -(peer.told_at or 0)),
        default=None,
    )


def pick_to_wait(peers: Iterable[Peer], now: float) -> Peer | None:
    """Return the peer of the own zone with the fewest waiting requests."""
    usable = [
        peer
        for peer in peers
        if peer.distance is Distance.ZONE and circuits.admits(peer.circuit, now)
    ]
    return max(
        usable,
        key=lambda peer: (peer.spare, -peer.in_flight),
        default=None,
    )


def begin(peer: Peer) -> Peer:
    """Return the peer after a request was sent to it."""
    return peer._replace(
        in_flight=peer.in_flight + 1,
        spare=peer.spare - 1,
        circuit=circuits.begin(peer.circuit),
    )


def end(peer: Peer, outcome: Outcome, spare: int | None, now: float) -> Peer:
    """Return the peer after a hop ended; `spare` is what its answer told."""
    ended = peer._replace(in_flight=max(0, peer.in_flight - 1))
    if spare is not None:
        ended = ended._replace(spare=spare, told_at=now)
    if outcome.healthy is None:
        return ended._replace(circuit=circuits.release(peer.circuit))
    return ended._replace(
        circuit=circuits.settle(peer.circuit, now, healthy=outcome.healthy),
    )


def _read_age(peer: Peer, now: float) -> float:
    return math.inf if peer.told_at is None else now - peer.told_at


def _was_refused(peers: Iterable[Peer], now: float) -> bool:
    return any(
        peer.spare <= 0 and _read_age(peer, now) < _ASK_SECONDS
        for peer in peers
    )
