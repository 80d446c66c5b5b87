"""Computes the free slots of a service and the wait of a request."""

from typing import Final

from toucanhall.steering import targets
from toucanhall.steering.fairness import count_before
from toucanhall.steering.records import Arrive, Origin, State

__all__ = (
    'count_free',
    'count_reserve',
    'count_usable',
    'estimate_wait',
    'get_mean_latency',
)

_DEFAULT_LATENCY_SECONDS: Final = 0.05
_RESERVE_FRACTION: Final = 0.1


def count_free(state: State, now: float) -> int:
    """Return the free slots that this VM owns."""
    return sum(
        targets.count_free(target, now)
        for target in state.targets.values()
        if target.draining_at is None
    )


def count_usable(state: State, now: float) -> int:
    """Return the owned slots of targets that neither fail nor drain."""
    return sum(
        targets.count_usable(target, now) for target in state.targets.values()
    )


def count_reserve(state: State, now: float) -> int:
    """Return the number of slots reserved for requests of the own zone."""
    return int(count_usable(state, now) * _RESERVE_FRACTION)


def get_mean_latency(state: State) -> float:
    """Return the mean latency in seconds, or a default before the first."""
    return state.latency or _DEFAULT_LATENCY_SECONDS


def estimate_wait(state: State, event: Arrive, now: float) -> float:
    """Return the seconds that a request would wait in the queue."""
    usable = count_usable(state, now)
    if not usable:
        return event.expires_at - now
    before = count_before(
        state.queue,
        event.team,
        is_hopped=event.origin is not Origin.CALLER,
    )
    return (before + 1) * get_mean_latency(state) / usable
