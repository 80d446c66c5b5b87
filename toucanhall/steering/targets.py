"""Targets of the own zone, with the slots of them that this VM owns."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from toucanhall.steering import circuit as circuits
from toucanhall.steering.circuit import Circuit

__all__ = ('LocalTarget', 'Outcome', 'begin', 'count_free', 'end', 'pick')

_DRAIN_GRACE_SECONDS: Final = 4.0
_WARM_UP_SECONDS: Final = 10.0
_COLD_START_FRACTION: Final = 0.2
_NEWEST_LATENCY_WEIGHT: Final = 0.1
_MAX_REPORT_AGE_SECONDS: Final = 3.0
_FAILURE_WEIGHT: Final = 4.0


class LocalTarget(NamedTuple):
    """A target of the own zone, as this VM sees it.

    `slots` is the number of slots that this VM owns; `cold_at` is when the
    warm-up began. For a short time after `draining_at` the target still runs
    requests that find no other free slot. `reported` is the fraction of busy
    slots that the target itself reported at `reported_at`.
    """

    name: str
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


def limit(target: LocalTarget, now: float) -> int:
    """Return how many requests the target may run for this VM."""
    if is_drained(target, now) or not target.slots:
        return 0
    if target.cold_at is None:
        return target.slots
    warm = (now - target.cold_at) / _WARM_UP_SECONDS
    fraction = min(
        1.0, _COLD_START_FRACTION + (1 - _COLD_START_FRACTION) * max(0.0, warm)
    )
    return max(1, int(target.slots * fraction))


def is_drained(target: LocalTarget, now: float) -> bool:
    """Return whether a draining target gets no more requests."""
    if target.draining_at is None:
        return False
    return now - target.draining_at >= _DRAIN_GRACE_SECONDS


def count_free(target: LocalTarget, now: float) -> int:
    """Return how many more requests may be sent to the target now."""
    if not circuits.admits(target.circuit, now):
        return 0
    free = max(0, limit(target, now) - target.in_flight)
    return min(1, free) if target.circuit.open_seconds else free


def count_usable(target: LocalTarget, now: float) -> int:
    """Return the limit, or 0 if the circuit is open or the target drains."""
    is_away = target.circuit.open_seconds or target.draining_at is not None
    return 0 if is_away else limit(target, now)


def pick(
    targets: Iterable[LocalTarget],
    now: float,
    *,
    may_probe: bool,
) -> LocalTarget | None:
    """Return the best target with a free slot.

    Targets are compared by load and failures, then by latency, and only last by
    their own reports, which may be false. A target that needs a probe comes
    first for a request that may be retried, and last for any other.
    """
    free = [target for target in targets if count_free(target, now)]
    probe_rank = -1 if may_probe else 1
    return min(
        free,
        key=lambda target: (
            probe_rank if target.circuit.open_seconds else 0,
            _compute_rank(target, now),
        ),
        default=None,
    )


def begin(target: LocalTarget) -> LocalTarget:
    """Return the target after a request was sent to it."""
    return target._replace(
        in_flight=target.in_flight + 1,
        circuit=circuits.begin(target.circuit),
    )


def end(target: LocalTarget, outcome: Outcome, now: float) -> LocalTarget:
    """Return the target after a request ended."""
    ended = target._replace(in_flight=max(0, target.in_flight - 1))
    if outcome.healthy is None:
        return ended._replace(circuit=circuits.release(target.circuit))
    circuit = circuits.record_outcome(
        target.circuit, now, healthy=outcome.healthy
    )
    is_closed_again = target.circuit.open_seconds and not circuit.open_seconds
    return ended._replace(
        circuit=circuit,
        cold_at=now if is_closed_again else target.cold_at,
        latency=update_mean_latency(target.latency, outcome),
    )


def update_mean_latency(latency: float, outcome: Outcome) -> float:
    """Return the moving mean of the latency of healthy requests, in s."""
    if not outcome.healthy:
        return latency
    if not latency:
        return outcome.seconds
    return latency + (outcome.seconds - latency) * _NEWEST_LATENCY_WEIGHT


def _compute_rank(
    target: LocalTarget, now: float
) -> tuple[float, float, float, str]:
    busy = (target.in_flight + 1) / limit(target, now)
    failing = 1 + _FAILURE_WEIGHT * target.circuit.failure_fraction
    return (
        busy * failing,
        target.latency,
        _get_recent_report(target, now),
        target.name,
    )


def _get_recent_report(target: LocalTarget, now: float) -> float:
    if target.reported_at is None:
        return 0.0
    return (
        target.reported
        if now - target.reported_at < _MAX_REPORT_AGE_SECONDS
        else 0.0
    )
