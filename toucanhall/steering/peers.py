"""Other entry VMs, which can run a request in slots that they own."""

import enum
import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from toucanhall.steering import circuit as circuits
from toucanhall.steering.circuit import Circuit
from toucanhall.steering.targets import Outcome

__all__ = ('Distance', 'Peer', 'begin', 'end', 'pick', 'pick_to_wait')

_MAX_REPORT_AGE_SECONDS: Final = 1.0
_MIN_QUERY_AGE_SECONDS: Final = 0.5
_REFUSAL_PAUSE_SECONDS: Final = 0.05


class Distance(enum.IntEnum):
    """Where a peer is: in the own zone, own region or another region."""

    ZONE = 0
    REGION = 1
    OTHER_REGION = 2


class Peer(NamedTuple):
    """An entry VM and what this VM knows of its free slots.

    `spare` is the number of free slots in the usage report received at
    `received_at`, less the requests sent since. A negative number counts the
    requests that wait there.
    """

    vm: str
    zone: str
    region: str
    address: str
    distance: Distance
    in_flight: int = 0
    spare: int = 0
    received_at: float | None = None
    circuit: Circuit = Circuit()


def has_reported_spare(peer: Peer, now: float) -> bool:
    """Return whether a recent report left free slots at the peer."""
    return (
        peer.spare > 0
        and _compute_report_age(peer, now) < _MAX_REPORT_AGE_SECONDS
    )


def is_query_due(peer: Peer, now: float) -> bool:
    """Return whether a hop may be sent to find out if slots are free."""
    return (
        peer.in_flight == 0
        and _compute_report_age(peer, now) >= _MIN_QUERY_AGE_SECONDS
    )


def pick(
    peers: Iterable[Peer],
    distance: Distance,
    closed_regions: frozenset[str],
    now: float,
    *,
    can_query: bool,
) -> Peer | None:
    """Return the peer at a distance that reported the most free slots.

    Reports expire after a short time. If no peer has reported free slots, a hop
    is sent now and then without a report; this cannot overload the peer, which
    accepts hops only into free slots of its own.
    """
    usable = [
        peer
        for peer in peers
        if peer.distance == distance
        and peer.region not in closed_regions
        and circuits.admits(peer.circuit, now)
    ]
    candidates = [peer for peer in usable if has_reported_spare(peer, now)]
    if can_query and not candidates and not _has_recent_refusal(usable, now):
        candidates = [peer for peer in usable if is_query_due(peer, now)]
    return max(
        candidates,
        key=lambda peer: (
            peer.spare,
            -peer.in_flight,
            -(peer.received_at or 0),
        ),
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
    """Return the peer after a hop, whose answer may report `spare` slots."""
    ended = peer._replace(in_flight=max(0, peer.in_flight - 1))
    if spare is not None:
        ended = ended._replace(spare=spare, received_at=now)
    if outcome.healthy is None:
        return ended._replace(circuit=circuits.release(peer.circuit))
    return ended._replace(
        circuit=circuits.record_outcome(
            peer.circuit, now, healthy=outcome.healthy
        ),
    )


def _compute_report_age(peer: Peer, now: float) -> float:
    return math.inf if peer.received_at is None else now - peer.received_at


def _has_recent_refusal(peers: Iterable[Peer], now: float) -> bool:
    return any(
        peer.spare <= 0
        and _compute_report_age(peer, now) < _REFUSAL_PAUSE_SECONDS
        for peer in peers
    )
