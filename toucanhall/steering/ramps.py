"""The cap on how fast traffic may shift into a zone."""

from typing import Final, NamedTuple

__all__ = ('Ramp', 'advance', 'record_arrival')

_MIN_LEVEL_REQUESTS: Final = 1.0
_MAX_STEP_SECONDS: Final = 1.0
_GROWTH_PERIOD_SECONDS: Final = 1.0


class Ramp(NamedTuple):
    """Requests from other zones that may run here at once.

    `per_second` is how much the level may grow in a second. It grows for a
    short time after it was reached, and falls back at the same rate later.
    """

    level: float = _MIN_LEVEL_REQUESTS
    updated_at: float = 0.0
    per_second: float = 1.0
    reached_at: float | None = None


def advance(ramp: Ramp, now: float) -> Ramp:
    """Return the ramp at a later time; a long silence counts as one step."""
    elapsed = min(max(0.0, now - ramp.updated_at), _MAX_STEP_SECONDS)
    step = elapsed * ramp.per_second
    if _is_growing(ramp, now):
        level = ramp.level + step
    else:
        level = max(_MIN_LEVEL_REQUESTS, ramp.level - step)
    return ramp._replace(level=level, updated_at=now)


def record_arrival(ramp: Ramp, shifted: int, now: float) -> Ramp:
    """Return the ramp after one more request asked for room."""
    advanced = advance(ramp, now)
    if shifted + 1 > advanced.level - 1:
        return advanced._replace(reached_at=now)
    return advanced


def _is_growing(ramp: Ramp, now: float) -> bool:
    if ramp.reached_at is None:
        return False
    return now - ramp.reached_at < _GROWTH_PERIOD_SECONDS
