"""Other entry VMs that can carry a request to slots which they own."""

import enum
from collections.abc import Iterable
from typing import Final, NamedTuple

from toucanhall.steering import circuit as circuits
from toucanhall.steering.circuit import Circuit
from toucanhall.steering.places import Outcome

__all__ = ('Distance', 'Peer', 'begin', 'end', 'pick')

_TOLD_SECONDS: Final = 1.0
_FULL_SECONDS: Final = 0.1


class Distance(enum.IntEnum):
    """How far a peer is: own zone, own region, or another region."""

    ZONE = 0
    REGION = 1
    FAR = 2


class Peer(NamedTuple):
    """An entry VM; `spare` is what it told at `told_at`, less what was sent."""

    vm: str
    zone: str
    region: str
    address: str
    distance: Distance
    in_flight: int = 0
    spare: int = 0
    told_at: float | None = None
    circuit: Circuit = Circuit()


def can_carry(peer: Peer, now: float) -> bool:
    """Return whether a hop may be tried.

    What a peer told is believed for a short time. After that one request at a
    time finds out; the peer itself admits hops only into room that it owns.
    """
    if not circuits.admits(peer.circuit, now):
        return False
    age = _TOLD_SECONDS if peer.told_at is None else now - peer.told_at
    if peer.spare > 0 and age < _TOLD_SECONDS:
        return True
    return peer.in_flight == 0 and age >= _FULL_SECONDS


def pick(
    peers: Iterable[Peer],
    distance: Distance,
    closed_regions: frozenset[str],
    now: float,
) -> Peer | None:
    """Return the peer at a distance that told the most spare room."""
    usable = [
        peer
        for peer in peers
        if peer.distance == distance
        and peer.region not in closed_regions
        and can_carry(peer, now)
    ]
    return max(
        usable,
        key=lambda peer: (peer.spare, -peer.in_flight, peer.vm),
        default=None,
    )


def begin(peer: Peer) -> Peer:
    """Return the peer after a request was sent to it."""
    return peer._replace(
        in_flight=peer.in_flight + 1,
        spare=max(0, peer.spare - 1),
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
