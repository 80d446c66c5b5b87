"""What this VM knows about the load and the health of one target."""

import math
from typing import Final

__all__ = ('TargetLoad',)

# A report tells how busy a target was; what others sent since is not known,
# so it counts less with age: requests take about a quarter of a second.
_REPORT_HALF_LIFE: Final = 0.25
# Failures in a row after which a target is left alone for a while.
_MOST_FAILURES: Final = 3
_FIRST_SUSPENSION_SECONDS: Final = 0.5
_LONGEST_SUSPENSION_SECONDS: Final = 4.0
_SLOW_WEIGHT: Final = 0.2
_FULL_SECONDS: Final = 0.15


class TargetLoad:
    """Counts of one target, from own requests and what it reported."""

    def __init__(self, *, slots: int) -> None:
        """Start with an idle, healthy target."""
        self.slots = slots
        self.in_flight = 0
        self.failures = 0
        self.latency_ratio = 1.0
        self.suspended_until = 0.0
        self._suspension = _FIRST_SUSPENSION_SECONDS
        self._others = 0.0
        self._reported_at = 0.0
        self._full_until = 0.0

    def estimate_requests(self, now: float) -> float:
        """Return how many requests the target runs and holds."""
        age = max(0.0, now - self._reported_at)
        others = self._others * math.exp2(-age / _REPORT_HALF_LIFE)
        estimate = self.in_flight + others
        if now < self._full_until:
            return max(estimate, float(self.slots * 2))
        return estimate

    def is_suspended(self, now: float) -> bool:
        """Whether the target is left alone after failures."""
        return now < self.suspended_until

    def is_on_trial(self) -> bool:
        """Whether the target failed lately and may get one request."""
        return self.failures >= _MOST_FAILURES

    def record_reported_load(self, busy: int, now: float) -> None:
        """Take how many requests the target runs and holds by its answer."""
        self._others = float(max(0, busy - self.in_flight))
        self._reported_at = now

    def fill(self, now: float) -> None:
        """Note that the target turned a request away as full."""
        self._full_until = now + _FULL_SECONDS

    def record_success(self, ratio: float | None) -> bool:
        """Note an answer; `ratio` is its time over the usual time.

        Returns whether the target had been suspended.
        """
        was_on_trial = self.is_on_trial()
        self.failures = 0
        self._suspension = _FIRST_SUSPENSION_SECONDS
        self.suspended_until = 0.0
        if ratio is not None:
            self.latency_ratio += (ratio - self.latency_ratio) * _SLOW_WEIGHT
        return was_on_trial

    def record_failure(self, now: float, *, is_lost: bool) -> bool:
        """Note a failure; a lost connection suspends the target at once.

        Returns whether the target is suspended from now on.
        """
        self.failures += _MOST_FAILURES if is_lost else 1
        if self.failures < _MOST_FAILURES or self.is_suspended(now):
            return False
        self.suspended_until = now + self._suspension
        self._suspension = min(
            _LONGEST_SUSPENSION_SECONDS,
            self._suspension * 2,
        )
        return True
