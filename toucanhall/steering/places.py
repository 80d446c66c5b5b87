"""Targets of the own zone, with the slots of them that this VM owns."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from toucanhall.steering import circuit as circuits
from toucanhall.steering.circuit import Circuit

__all__ = ('Outcome', 'Place', 'begin', 'count_free', 'end', 'pick')

_DRAIN_GRACE_SECONDS: Final = 4.0
_WARM_UP_SECONDS: Final = 10.0
_COLD_START_FRACTION: Final = 0.2
_NEWEST_LATENCY_WEIGHT: Final = 0.1
_MAX_REPORT_AGE_SECONDS: Final = 3.0
_FAILURE_WEIGHT: Final = 4.0


class Place(NamedTuple):
    """A target of the own zone, as this VM sees it.

    `slots` is the number of slots that this VM owns; `cold_at` is when the
    warm-up began. For a short time after `draining_at` the target still runs
    requests that find no other free slot. `reported` is the fraction of busy
    slots that the target itself reported at `reported_at`.
    """

    target: str
    address: str
    slots: int
    draining_at: float | None = None
    in_flight: int = 0
    circuit: Circuit = Circuit()
    cold_at: float | None = None
    latency: float = 0.0
    reported: float = 0.0
    reported_at: float | None = None


class Outcome(NamedTuple):
    """How a request ended; `healthy` is None if it proves nothing."""

    healthy: bool | None
    seconds: float = 0.0


def limit(place: Place, now: float) -> int:
    """Return how many requests the target may run for this VM."""
    if is_drained(place, now) or not place.slots:
        return 0
    if place.cold_at is None:
        return place.slots
    warm = (now - place.cold_at) / _WARM_UP_SECONDS
    fraction = min(
        1.0, _COLD_START_FRACTION + (1 - _COLD_START_FRACTION) * max(0.0, warm)
    )
    return max(1, int(place.slots * fraction))


def is_drained(place: Place, now: float) -> bool:
    """Return whether a draining target gets no more requests."""
    if place.draining_at is None:
        return False
    return now - place.draining_at >= _DRAIN_GRACE_SECONDS


def count_free(place: Place, now: float) -> int:
    """Return how many more requests may be sent to the target now."""
    if not circuits.admits(place.circuit, now):
        return 0
    free = max(0, limit(place, now) - place.in_flight)
    return min(1, free) if place.circuit.open_seconds else free


def count_usable(place: Place, now: float) -> int:
    """Return the limit, or 0 if the circuit is open or the target drains."""
    is_away = place.circuit.open_seconds or place.draining_at is not None
    return 0 if is_away else limit(place, now)


def pick(
    places: Iterable[Place],
    now: float,
    *,
    may_probe: bool,
) -> Place | None:
    """Return the best target with a free slot.

    Targets are compared by load and failures, then by latency, and only last by
    their own reports, which may be false. A target that needs a probe comes
    first for a request that may be retried, and last for any other.
    """
    free = [place for place in places if count_free(place, now)]
    probe_rank = -1 if may_probe else 1
    return min(
        free,
        key=lambda place: (
            probe_rank if place.circuit.open_seconds else 0,
            _compute_rank(place, now),
        ),
        default=None,
    )


def begin(place: Place) -> Place:
    """Return the target after a request was sent to it."""
    return place._replace(
        in_flight=place.in_flight + 1,
        circuit=circuits.begin(place.circuit),
    )


def end(place: Place, outcome: Outcome, now: float) -> Place:
    """Return the target after a request ended."""
    ended = place._replace(in_flight=max(0, place.in_flight - 1))
    if outcome.healthy is None:
        return ended._replace(circuit=circuits.release(place.circuit))
    circuit = circuits.record_outcome(
        place.circuit, now, healthy=outcome.healthy
    )
    is_closed_again = place.circuit.open_seconds and not circuit.open_seconds
    return ended._replace(
        circuit=circuit,
        cold_at=now if is_closed_again else place.cold_at,
        latency=update_mean_latency(place.latency, outcome),
    )


def update_mean_latency(latency: float, outcome: Outcome) -> float:
    """Return the moving mean of the latency of healthy requests, in s."""
    if not outcome.healthy:
        return latency
    if not latency:
        return outcome.seconds
    return latency + (outcome.seconds - latency) * _NEWEST_LATENCY_WEIGHT


def _compute_rank(place: Place, now: float) -> tuple[float, float, float, str]:
    busy = (place.in_flight + 1) / limit(place, now)
    failing = 1 + _FAILURE_WEIGHT * place.circuit.failure_fraction
    return (
        busy * failing,
        place.latency,
        _get_recent_report(place, now),
        place.target,
    )


def _get_recent_report(place: Place, now: float) -> float:
    if place.reported_at is None:
        return 0.0
    return (
        place.reported
        if now - place.reported_at < _MAX_REPORT_AGE_SECONDS
        else 0.0
    )
