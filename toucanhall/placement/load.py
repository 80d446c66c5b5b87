"""What this VM knows about the load and the health of one target."""

import math
from typing import Final

from toucanhall.placement.learned_capacity import Evidence, LearnedCapacity

__all__ = ('TargetLoad',)

# Half-life of a target's reported load: what other VMs have sent since is not
# known, and requests take about a quarter of a second.
_REPORT_HALF_LIFE_SECONDS: Final = 0.25
# Consecutive failures after which a target is suspended.
_SUSPENSION_FAILURES_COUNT: Final = 3
_MIN_SUSPENSION_SECONDS: Final = 0.5
_MAX_SUSPENSION_SECONDS: Final = 4.0
_LATENCY_SMOOTHING_FACTOR: Final = 0.2
# For this time, a target that refused a request as full counts as full.
_FULL_SECONDS: Final = 0.15


class TargetLoad:
    """Load and health of one target, by own requests and its answers."""

    def __init__(self, *, slots: int) -> None:
        """Start with an idle, healthy target."""
        self.slots = slots
        self.in_flight = 0
        self.consecutive_failures = 0
        self.latency_ratio = 1.0
        self.suspended_until = 0.0
        self.machine_percent: int | None = None
        self.capacity = LearnedCapacity(slots=slots)
        self._latest_time = 0.0
        self._suspension_seconds = _MIN_SUSPENSION_SECONDS
        self._requests_of_others = 0.0
        self._reported_at = 0.0
        self._full_until = 0.0

    def estimate_requests(self, now: float) -> float:
        """Return how many requests the target runs and holds in its queue."""
        self._latest_time = now
        age_seconds = max(0.0, now - self._reported_at)
        others = self._requests_of_others * math.exp2(
            -age_seconds / _REPORT_HALF_LIFE_SECONDS,
        )
        requests = self.in_flight + others
        if now < self._full_until:
            return max(requests, float(self.slots * 2))
        return requests

    def compute_slowdown(self, now: float) -> float:
        """Return how much longer work takes there now than at usual targets.

        At least 1, and 1 without evidence.
        """
        self._latest_time = now
        return self.capacity.compute_slowdown(now)

    def count_well_served(self) -> float:
        """Return how many requests at a time the target serves unslowed.

        At least 1 and at most the slots, which it is without evidence. It
        holds for the latest time at which the load was read or recorded.
        """
        return self.capacity.count_well_served(self._latest_time)

    def record_evidence(self, evidence: Evidence) -> None:
        """Record what an answer tells about the speed of the target."""
        self._latest_time = evidence.at
        self.capacity.record(evidence)

    def is_suspended(self, now: float) -> bool:
        """Whether the target gets no requests after failures."""
        return now < self.suspended_until

    def is_on_trial(self) -> bool:
        """Whether the target may get one request at a time after failures."""
        return self.consecutive_failures >= _SUSPENSION_FAILURES_COUNT

    def record_reported_load(
        self, busy: int, now: float, machine_percent: int | None = None
    ) -> None:
        """Record how many requests the target runs and holds, by its answer.

        `machine_percent` is how long work takes on its machine now, 100 for as
        long as usual; None if the target does not tell.
        """
        self._requests_of_others = float(max(0, busy - self.in_flight))
        self._reported_at = now
        self.machine_percent = machine_percent
        if machine_percent is not None:
            self.capacity.record_machine(machine_percent, now)

    def fill(self, now: float) -> None:
        """Record that the target refused a request as full."""
        self._full_until = now + _FULL_SECONDS

    def record_success(self, ratio: float | None) -> bool:
        """Record an answer; `ratio` is its time over the expected time.

        Returns whether the target had been suspended.
        """
        was_on_trial = self.is_on_trial()
        self.consecutive_failures = 0
        self._suspension_seconds = _MIN_SUSPENSION_SECONDS
        self.suspended_until = 0.0
        if ratio is not None:
            self.latency_ratio += (
                ratio - self.latency_ratio
            ) * _LATENCY_SMOOTHING_FACTOR
        return was_on_trial

    def resume(self) -> None:
        """Forget failures and end a suspension."""
        self.consecutive_failures = 0
        self.suspended_until = 0.0
        self._suspension_seconds = _MIN_SUSPENSION_SECONDS

    def record_failure(self, now: float, *, is_lost: bool) -> bool:
        """Record a failure; a lost connection suspends the target at once.

        Returns whether this failure suspends the target.
        """
        self.consecutive_failures += (
            _SUSPENSION_FAILURES_COUNT if is_lost else 1
        )
        if (
            self.consecutive_failures < _SUSPENSION_FAILURES_COUNT
            or self.is_suspended(now)
        ):
            return False
        self.suspended_until = now + self._suspension_seconds
        self._suspension_seconds = min(
            _MAX_SUSPENSION_SECONDS,
            self._suspension_seconds * 2,
        )
        return True
