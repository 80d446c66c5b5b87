"""Limits how fast traffic may shift into a zone."""

from typing import Final, NamedTuple

__all__ = ('Ramp', 'advance', 'record_arrival')

_MIN_LEVEL_REQUESTS: Final = 1.0
_MAX_STEP_SECONDS: Final = 1.0
_GROWTH_PERIOD_SECONDS: Final = 1.0


class Ramp(NamedTuple):
    """The number of requests from other zones that may run here at once.

    The level grows by `per_second` for a short time after demand reached it
    (`reached_at`), and otherwise falls at the same rate.
    """

    level: float = _MIN_LEVEL_REQUESTS
    updated_at: float = 0.0
    per_second: float = 1.0
    reached_at: float | None = None


def advance(ramp: Ramp, now: float) -> Ramp:
    """Return the ramp at a later time; the length of a step is bounded."""
    elapsed = min(max(0.0, now - ramp.updated_at), _MAX_STEP_SECONDS)
    step = elapsed * ramp.per_second
    if _is_growing(ramp, now):
        level = ramp.level + step
    else:
        level = max(_MIN_LEVEL_REQUESTS, ramp.level - step)
    return ramp._replace(level=level, updated_at=now)


def record_arrival(ramp: Ramp, shifted: int, now: float) -> Ramp:
    """Return the ramp after one more request from another zone arrived."""
    advanced = advance(ramp, now)
    if shifted + 1 > advanced.level - 1:
        return advanced._replace(reached_at=now)
    return advanced


def _is_growing(ramp: Ramp, now: float) -> bool:
    if ramp.reached_at is None:
        return False
    return now - ramp.reached_at < _GROWTH_PERIOD_SECONDS
