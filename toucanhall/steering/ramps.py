"""The cap on how fast traffic may shift into a zone."""

from typing import Final, NamedTuple

__all__ = ('Ramp', 'advance')

_FLOOR: Final = 1.0
_LONGEST_STEP_SECONDS: Final = 1.0


class Ramp(NamedTuple):
    """Requests from other zones that may run here at once.

    `per_second` is how much the level may grow in a second.
    """

    level: float = _FLOOR
    updated_at: float = 0.0
    per_second: float = 1.0


def advance(ramp: Ramp, in_flight: int, now: float) -> Ramp:
    """Return the ramp at a later time.

    The level grows only while it is used up, and falls back at the same rate
    when less than half of it is used. A long silence counts as one step.
    """
    elapsed = min(max(0.0, now - ramp.updated_at), _LONGEST_STEP_SECONDS)
    step = elapsed * ramp.per_second
    level = ramp.level
    if in_flight >= int(level):
        level += step
    elif in_flight < level / 2:
        level = max(_FLOOR, level - step)
    return ramp._replace(level=level, updated_at=now)
