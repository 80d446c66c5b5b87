"""When callers whose targets are all limited may come back.

Load pattern: the targets of a service take fewer requests than arrive. Callers
that are told different times return one after the other, as fast as the
targets take requests, instead of all at once.
"""

__all__ = ('ReturnTimes',)


class ReturnTimes:
    """The time of the next free place of each service."""

    def __init__(self) -> None:
        """Start with a free place everywhere."""
        self._next_by_service: dict[str, float] = {}

    def schedule(
        self, service: str, rate: float, remaining: float, now: float
    ) -> float:
        """Return the seconds after which a caller finds a place.

        `rate` is how many callers per second this VM can take. The place is
        kept for callers that can still wait: those whose `remaining` time is
        longer.
        """
        free_at = max(now, self._next_by_service.get(service, now)) + 1 / rate
        wait_seconds = free_at - now
        if wait_seconds < remaining:
            self._next_by_service[service] = free_at
        return wait_seconds
