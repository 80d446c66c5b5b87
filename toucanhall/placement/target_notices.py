"""What targets ask of this VM: that they leave, or want a pause.

Load pattern: a target asks for a pause under load, and answers to requests
that were sent before come after that; all targets of a service do so at once;
a target's entry is removed and comes back while it leaves.
"""

from typing import Final, NamedTuple

from toucanhall.fleet.model import Target

__all__ = ('TargetNotices',)

_MAX_TARGETS: Final = 4096


class _Start(NamedTuple):
    """One start of a target."""

    target: str
    started_at: int


class TargetNotices:
    """The targets that leave, and those that want no requests for a time.

    Both hold for one start of a target, also while its entry is missing.
    """

    def __init__(self, *, max_targets: int = _MAX_TARGETS) -> None:
        """Start without any; beyond the maximum, the oldest are dropped."""
        self._max_targets = max_targets
        # Until when a start gets no requests; without end if it leaves.
        self._until: dict[_Start, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target said that it leaves or wants a pause."""
        return not self._until

    def record_leaving(self, target: Target) -> bool:
        """Record that a target leaves; return whether that is new."""
        is_new = not self.is_leaving(target)
        self._extend(target, float('inf'))
        return is_new

    def record_pause(self, target: Target, seconds: float, now: float) -> None:
        """Record that a target wants no requests for some seconds."""
        self._extend(target, now + seconds)

    def is_leaving(self, target: Target) -> bool:
        """Whether a target said that it leaves."""
        return self._get_end(target) == float('inf')

    def compute_pause_seconds(self, target: Target, now: float) -> float:
        """Return how long a target wants no requests, infinite if it leaves."""
        return max(0.0, self._get_end(target) - now)

    def _get_end(self, target: Target) -> float:
        return self._until.get(_Start(target.id, target.started_at), 0.0)

    def _extend(self, target: Target, end: float) -> None:
        start = _Start(target.id, target.started_at)
        self._until[start] = max(end, self._until.pop(start, 0.0))
        if len(self._until) > self._max_targets:
            self._until.pop(next(iter(self._until)))
