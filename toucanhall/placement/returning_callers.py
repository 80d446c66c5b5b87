"""Which callers were refused before, and how many of them are preferred.

Load pattern: in a burst, callers that return compete with as many new ones. A
caller retries once, so it gives up when it is refused again, while a new one
still has its return before it.

Ids do not tell of a return, and a caller may return to another VM. The time
that it has left does tell: it is shorter than that of other callers of the
route.
"""

import math
from typing import Final

__all__ = ('ReturningCallers',)

# A caller with less than this fraction of the usual time left has come back.
# After the longest wait that clients honour, two thirds are left.
_RETURNED_FRACTION: Final = 0.9
# The usual time follows longer times fast and shorter ones slowly, so that it
# stays that of new callers while most of the callers have come back.
_RISE_FACTOR: Final = 0.2
_FALL_FACTOR: Final = 0.005
_MAX_ROUTES_COUNT: Final = 500
# Callers that return are preferred while they are at most this fraction of
# those taken.
_MAX_RETURNED_FRACTION: Final = 0.5
_HALF_LIFE_SECONDS: Final = 1.0
_MAX_SERVICES_COUNT: Final = 100


class _Taken:
    """Requests taken lately, half as many each half-life."""

    def __init__(self) -> None:
        self.new = 0.0
        self.returned = 0.0
        self.counted_at = 0.0

    def decay(self, now: float) -> None:
        """Reduce both counts by the time since the last call."""
        age_seconds = max(0.0, now - self.counted_at)
        factor = math.exp2(-age_seconds / _HALF_LIFE_SECONDS)
        self.new *= factor
        self.returned *= factor
        self.counted_at = now


class ReturningCallers:
    """The usual time that callers of a route have left, and who was taken."""

    def __init__(self) -> None:
        """Start without any caller."""
        self._usual_by_route: dict[str, float] = {}
        self._taken_by_service: dict[str, _Taken] = {}

    def record(self, route: str, remaining: float) -> bool:
        """Record a caller with `remaining` seconds; return if it came back."""
        usual = self._usual_by_route.get(route)
        if usual is None:
            if len(self._usual_by_route) >= _MAX_ROUTES_COUNT:
                self._usual_by_route.clear()
            self._usual_by_route[route] = remaining
            return False
        factor = _RISE_FACTOR if remaining > usual else _FALL_FACTOR
        self._usual_by_route[route] = usual + (remaining - usual) * factor
        return remaining < usual * _RETURNED_FRACTION

    def record_taken(
        self, service: str, now: float, *, is_returned: bool
    ) -> None:
        """Count a request that was taken."""
        taken = self._taken_by_service.get(service)
        if taken is None:
            if len(self._taken_by_service) >= _MAX_SERVICES_COUNT:
                self._taken_by_service.clear()
            taken = _Taken()
            self._taken_by_service[service] = taken
        taken.decay(now)
        if is_returned:
            taken.returned += 1
        else:
            taken.new += 1

    def are_preferred(self, service: str) -> bool:
        """Whether callers that return are preferred to new ones."""
        taken = self._taken_by_service.get(service)
        if taken is None:
            return True
        return taken.returned <= _MAX_RETURNED_FRACTION * (
            taken.new + taken.returned
        )
