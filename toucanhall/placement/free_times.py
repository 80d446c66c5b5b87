"""When callers whose targets are all full may come back.

Load pattern: a burst of a few seconds brings up to 2.5 times the requests that
targets can run. With the same short wait for all, refused callers return while
the burst lasts, are refused again and give up, and then the slots stand idle.

Each caller gets a time of its own on a timeline of the slots that become free,
one timeline per service and VM. A caller for which that timeline is too long
returns as late as it can, since the burst may be over by then.
"""

import math
from collections import Counter
from typing import Final, NamedTuple

__all__ = ('FreeTime', 'FreeTimes', 'Room')

# Clients honour `Retry-After` up to this fraction of the time they have left.
_LATEST_RETURN_FRACTION: Final = 1 / 3
# No caller is told less: a round trip between regions takes 40 ms.
_MIN_WAIT_SECONDS: Final = 0.05
# Callers that return as late as they can are spread over this last fraction of
# their time, so that those refused together do not return together.
_SPREAD_FRACTION: Final = 0.3
# Successive multiples of it are spread evenly over 0 to 1, modulo 1.
_GOLDEN_RATIO: Final = 0.618034
# Expected returns are counted in spans of this length.
_SPAN_SECONDS: Final = 0.125
# Returns of the span of now and of so many on either side take preference.
_SPANS_AROUND_COUNT: Final = 2
_WINDOW_SECONDS: Final = _SPAN_SECONDS * (2 * _SPANS_AROUND_COUNT + 1)
# The longest wait that is remembered: a third of a deadline of 30 s.
_MAX_REMEMBERED_SECONDS: Final = 10.0
# At most this fraction of the slots is kept for callers that return.
_MAX_KEPT_FRACTION: Final = 0.5
_MAX_SERVICES_COUNT: Final = 100


class Room(NamedTuple):
    """What is known of the targets of a refused request; times in seconds.

    `queue_seconds` pass until one of its targets has a free slot,
    `interval_seconds` between two slots of the service that become free for
    this VM's callers; `expected_seconds` is how long the request takes.
    """

    service: str
    queue_seconds: float
    interval_seconds: float
    expected_seconds: float


class FreeTime(NamedTuple):
    """When a refused caller may come back.

    `is_in_time` is False if no slot is free early enough for it to be served
    before its deadline.
    """

    wait_seconds: float
    is_in_time: bool


class FreeTimes:
    """The times promised to callers, by service."""

    def __init__(self, *, phase: float = 0.0) -> None:
        """Start without promises; `phase`, 0 to 1, should differ by VM."""
        self._phase = phase
        self._next_by_service: dict[str, float] = {}
        self._returns_by_service: dict[str, Counter[tuple[int, int]]] = {}

    def schedule(
        self, room: Room, remaining: float, priority: int, now: float
    ) -> FreeTime:
        """Return when a caller may come back; remember it.

        `remaining` are the seconds to the caller's deadline. A caller that
        cannot be served before is told to wait until then.
        """
        remaining = max(0.0, remaining)
        if room.queue_seconds + room.expected_seconds / 2 > remaining:
            return FreeTime(max(remaining, _MIN_WAIT_SECONDS), is_in_time=False)
        latest = remaining * _LATEST_RETURN_FRACTION
        free_at = (
            max(
                now + room.queue_seconds,
                self._next_by_service.get(room.service, now),
            )
            + room.interval_seconds
        )
        wait = free_at - now
        if wait <= latest:
            self._make_space(room.service)
            self._next_by_service[room.service] = free_at
        else:
            wait = latest * (1 - _SPREAD_FRACTION * self._advance_phase())
        wait = max(_MIN_WAIT_SECONDS, wait)
        self._remember(room.service, priority, now, wait)
        return FreeTime(wait, is_in_time=True)

    def compute_kept_fraction(
        self, room: Room, priority: int, now: float
    ) -> float:
        """Return which fraction of the slots is for callers that return now.

        Callers of a less urgent priority do not count.
        """
        returns = self._returns_by_service.get(room.service)
        if not returns:
            return 0.0
        span = math.floor(now / _SPAN_SECONDS)
        first = span - _SPANS_AROUND_COUNT
        last = span + _SPANS_AROUND_COUNT
        count = sum(
            found
            for (returns_in, urgency), found in returns.items()
            if first <= returns_in <= last and urgency <= priority
        )
        return min(
            _MAX_KEPT_FRACTION, count * room.interval_seconds / _WINDOW_SECONDS
        )

    def _advance_phase(self) -> float:
        self._phase = math.fmod(self._phase + _GOLDEN_RATIO, 1.0)
        return self._phase

    def _remember(
        self, service: str, priority: int, now: float, wait: float
    ) -> None:
        if wait > _MAX_REMEMBERED_SECONDS:
            return
        self._make_space(service)
        returns = self._returns_by_service.get(service, Counter())
        past = math.floor(now / _SPAN_SECONDS) - _SPANS_AROUND_COUNT
        kept = Counter(
            {key: count for key, count in returns.items() if key[0] >= past}
        )
        kept[math.floor((now + wait) / _SPAN_SECONDS), priority] += 1
        self._returns_by_service[service] = kept

    def _make_space(self, service: str) -> None:
        """Forget all promises rather than hold those of too many services."""
        if len(self._next_by_service.keys() | {service}) > _MAX_SERVICES_COUNT:
            self._next_by_service.clear()
        if len(self._returns_by_service.keys() | {service}) > (
            _MAX_SERVICES_COUNT
        ):
            self._returns_by_service.clear()
