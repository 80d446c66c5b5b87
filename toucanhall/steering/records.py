"""State, events and effects of the steering policy of a service."""

import enum
from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from toucanhall.steering.budget import Budget
from toucanhall.steering.fairness import Queue
from toucanhall.steering.peers import Peer
from toucanhall.steering.ramps import Ramp
from toucanhall.steering.targets import LocalTarget, Outcome

__all__ = (
    'Arrive',
    'Carry',
    'Effect',
    'End',
    'Event',
    'Expire',
    'Origin',
    'Refuse',
    'Report',
    'Resize',
    'Run',
    'State',
    'Wait',
)


class Origin(enum.Enum):
    """The sender: a caller, a VM of the own zone or one of another zone."""

    CALLER = 'caller'
    SIBLING = 'sibling'
    ZONE = 'zone'


class State(NamedTuple):
    """What this VM knows about a service.

    `shifted` counts the requests from other zones in flight here. `latency` is
    the moving mean of healthy requests, in seconds.
    """

    targets: Mapping[str, LocalTarget]
    peers: Mapping[str, Peer]
    queue: Queue = Queue()
    budget: Budget = Budget()
    ramp: Ramp = Ramp()
    shifted: int = 0
    latency: float = 0.0
    is_sized: bool = False


class Arrive(NamedTuple):
    """A request needs a target, after `attempts` earlier attempts.

    `is_safe`: the request may be sent more than once.
    `is_bounced`: the last attempt was a hop that did not run at the peer.
    `is_unsent`: the last attempt failed before anything was sent to its target.
    `passed`: the targets and peers that were tried.
    `closed_regions`: the regions whose link has no bytes remaining.
    """

    ticket: str
    team: str
    weight: float
    expires_at: float
    origin: Origin = Origin.CALLER
    is_safe: bool = True
    is_bounced: bool = False
    is_unsent: bool = False
    attempts: int = 0
    passed: frozenset[str] = frozenset()
    closed_regions: frozenset[str] = frozenset()


class End(NamedTuple):
    """A request that ran at a target or was carried by a peer ended."""

    name: str
    outcome: Outcome
    origin: Origin = Origin.CALLER
    spare: int | None = None


class Expire(NamedTuple):
    """A waiting request reached its deadline or was abandoned."""

    ticket: str


class Report(NamedTuple):
    """A target reported the fraction of its slots that are busy."""

    target: str
    busy: float


class Resize(NamedTuple):
    """The targets with the slots of this VM, the peers and the shift cap.

    Counters and circuits of targets and peers already in the state are kept.
    """

    targets: tuple[LocalTarget, ...]
    peers: tuple[Peer, ...]
    shift_per_second: float


class Run(NamedTuple):
    """Send the request to a target of the own zone."""

    ticket: str
    name: str
    address: str


class Carry(NamedTuple):
    """Send the request to another entry VM; `region` is that VM's."""

    ticket: str
    name: str
    address: str
    region: str
    is_far: bool


class Wait(NamedTuple):
    """Hold the request until another effect with its ticket follows."""

    ticket: str
    expires_at: float


class Refuse(NamedTuple):
    """Give the request its final answer now."""

    ticket: str
    reason: str
    retry_after: float


Event: TypeAlias = Arrive | End | Expire | Report | Resize
Effect: TypeAlias = Run | Carry | Wait | Refuse
