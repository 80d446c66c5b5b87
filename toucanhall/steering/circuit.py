"""Circuit breaker of a target or peer: failures open it, a probe closes it."""

from typing import Final, NamedTuple

__all__ = ('Circuit', 'admits', 'begin', 'release', 'record_outcome')

_NEWEST_OUTCOME_WEIGHT: Final = 0.25
_TRIP_FRACTION: Final = 0.5
_MIN_OPEN_SECONDS: Final = 1.0
_MAX_OPEN_SECONDS: Final = 16.0


class Circuit(NamedTuple):
    """The moving mean of failures; `open_seconds` is 0 while closed."""

    failure_fraction: float = 0.0
    open_until: float = 0.0
    open_seconds: float = 0.0
    is_probing: bool = False


def admits(circuit: Circuit, now: float) -> bool:
    """Return whether a request may be sent; half-open allows one probe."""
    if not circuit.open_seconds:
        return True
    return now >= circuit.open_until and not circuit.is_probing


def begin(circuit: Circuit) -> Circuit:
    """Return the circuit after a request was sent."""
    return circuit._replace(is_probing=circuit.open_seconds > 0)


def record_outcome(circuit: Circuit, now: float, *, healthy: bool) -> Circuit:
    """Return the circuit after a request succeeded or failed."""
    if circuit.open_seconds:
        return _record_probe_outcome(circuit, now, healthy=healthy)
    newest = 0 if healthy else _NEWEST_OUTCOME_WEIGHT
    fraction = circuit.failure_fraction * (1 - _NEWEST_OUTCOME_WEIGHT) + newest
    if fraction < _TRIP_FRACTION:
        return Circuit(fraction)
    return Circuit(fraction, now + _MIN_OPEN_SECONDS, _MIN_OPEN_SECONDS)


def release(circuit: Circuit) -> Circuit:
    """Return the circuit after a request that proved nothing."""
    return circuit._replace(is_probing=False)


def _record_probe_outcome(
    circuit: Circuit, now: float, *, healthy: bool
) -> Circuit:
    if not circuit.is_probing:
        return circuit
    if healthy:
        return Circuit()
    seconds = min(_MAX_OPEN_SECONDS, circuit.open_seconds * 2)
    return Circuit(circuit.failure_fraction, now + seconds, seconds)
