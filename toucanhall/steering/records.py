"""State, events and effects of the steering policy for one service."""

import enum
from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from toucanhall.steering.budget import Budget
from toucanhall.steering.fairness import Queue
from toucanhall.steering.peers import Peer
from toucanhall.steering.places import Outcome, Place
from toucanhall.steering.ramps import Ramp

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
    """Who sent a request: a caller, or a VM of the own or another zone."""

    CALLER = 'caller'
    SIBLING = 'sibling'
    ZONE = 'zone'


class State(NamedTuple):
    """What one VM knows for one service.

    `shifted` counts requests from other zones in flight here, `latency` is the
    moving mean of healthy requests in seconds.
    """

    places: Mapping[str, Place]
    peers: Mapping[str, Peer]
    queue: Queue = Queue()
    budget: Budget = Budget()
    ramp: Ramp = Ramp()
    shifted: int = 0
    latency: float = 0.0
    is_sized: bool = False


class Arrive(NamedTuple):
    """A request needs a target; `attempts` were made for it before.

    `is_safe` tells that it may be sent again after it was sent once.
    `is_bounced` tells that the last attempt was a hop that did not run,
    `is_unsent` that it was a target to which nothing was sent.
    `passed` names places and peers that were tried. `closed_regions` are those
    whose link has no bytes left.
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
    """A request that ran at a place, or was carried by a peer, ended."""

    name: str
    outcome: Outcome
    origin: Origin = Origin.CALLER
    spare: int | None = None


class Expire(NamedTuple):
    """A waiting request has reached its deadline or was given up."""

    ticket: str


class Report(NamedTuple):
    """A target told the share of its slots that are busy."""

    target: str
    busy: float


class Resize(NamedTuple):
    """Targets with the slots owned by this VM, the peers, and the shift cap.

    The places and peers carry no counts; those of the state are kept.
    """

    places: tuple[Place, ...]
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
    """Hold the request until an effect with its ticket comes."""

    ticket: str
    expires_at: float


class Refuse(NamedTuple):
    """Give the request its final answer now."""

    ticket: str
    reason: str
    retry_after: float


Event: TypeAlias = Arrive | End | Expire | Report | Resize
Effect: TypeAlias = Run | Carry | Wait | Refuse
