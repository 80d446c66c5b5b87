"""Decides until when each target is cold.

Load pattern: a target that joins during traffic crashes while it is cold and is
back seconds later, maybe again and again, and every VM has its share of the
requests waiting for it. Meanwhile its entry is rewritten, read again from the
store, told by another VM, or lost and written once more.

A start is known by its time and place. The cold time begins when a VM first
learns of a start, and again only if the target names another time.
"""

from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from toucanhall.fleet.model import Target

__all__ = ('ColdTimes', 'is_same_start')

# Targets that left; a site has fewer within the time of an outage.
_MAX_DEPARTED: Final = 1024


class _ColdTime(NamedTuple):
    """The entry that told of a start or a cold time, and when that ends."""

    target: Target
    end: float


def is_same_start(known: Target | None, target: Target) -> bool:
    """Whether a target has not been restarted or moved."""
    return (
        known is not None
        and known.started_at == target.started_at
        and known.address == target.address
        and known.service == target.service
        and known.zone == target.zone
    )


class ColdTimes:
    """Until when targets are cold, also of some that left."""

    def __init__(self, *, max_departed: int = _MAX_DEPARTED) -> None:
        """Start without targets; of those that left, the oldest are dropped."""
        self._max_departed = max_departed
        self._times: dict[str, _ColdTime] = {}
        self._departed: dict[str, _ColdTime] = {}

    def record(self, targets: Iterable[Target], now: float) -> None:
        """Record the entries of targets as they are now."""
        for target in targets:
            departed = self._departed.pop(target.id, None)
            known = self._times.get(target.id, departed)
            self._times[target.id] = (
                known._replace(target=target)
                if known and _is_told(known.target, target)
                else _ColdTime(target, now + target.cold_seconds)
            )

    def remove(self, names: Collection[str]) -> None:
        """Record that targets left, maybe for a moment only."""
        for name in names:
            self._departed[name] = self._times.pop(name)
        while len(self._departed) > self._max_departed:
            self._departed.pop(next(iter(self._departed)))

    def extend(self, name: str, end: float) -> None:
        """Record that a target is cold until then, or longer."""
        known = self._times[name]
        self._times[name] = known._replace(end=max(end, known.end))

    def is_cold(self, name: str, now: float) -> bool:
        """Whether a target is cold; one that is not known is not."""
        known = self._times.get(name)
        return known is not None and now < known.end


def _is_told(known: Target, target: Target) -> bool:
    """Whether an entry tells of no start and no cold time that is new."""
    return (
        is_same_start(known, target)
        and known.cold_seconds == target.cold_seconds
    )
