"""Keeps a less urgent kind from being refused less often than an urgent one.

Load pattern: kinds of different urgency share targets that many VMs fill, so
that requests are refused by targets of which the VM knows too little. A VM that
compares only what it knows of the targets then refuses all kinds alike, or the
urgent one, whose objective is shorter, more often.
"""

import math
from typing import Final

__all__ = ('RefusedFractions',)

# Counts of requests halve in this time. With 1 s (and a margin of 0.1), a kind
# of which a VM gets less than one request a second was served 0.55 of its
# requests in the replay with 73 VMs, with 2 s 0.60.
_HALF_LIFE_SECONDS: Final = 2.0
# An urgent kind that is refused less often than this needs no precedence.
_MIN_FRACTION: Final = 0.05
# Differences up to this are those of small counts. In that replay, the kind
# was served 0.60 with a margin of 0.1, and 0.66 with 0.2.
_MARGIN: Final = 0.2
_MAX_PRIORITIES_COUNT: Final = 500


class _Counts:
    """Requests and refusals lately, half as many each half-life."""

    def __init__(self) -> None:
        self.arrived = 0.0
        self.refused = 0.0
        self.counted_at = 0.0

    def decay(self, now: float) -> None:
        """Reduce both counts by the time since the last call."""
        age_seconds = max(0.0, now - self.counted_at)
        factor = math.exp2(-age_seconds / _HALF_LIFE_SECONDS)
        self.arrived *= factor
        self.refused *= factor
        self.counted_at = now

    def compute_fraction(self) -> float:
        """Return the fraction that was refused."""
        # Counts below one are what is left of requests long ago.
        return min(1.0, self.refused / max(1.0, self.arrived))


class RefusedFractions:
    """Fractions of refused requests, by service and priority."""

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: dict[tuple[str, int], _Counts] = {}

    def record_arrival(self, service: str, priority: int, now: float) -> None:
        """Count a request."""
        self._get(service, priority, now).arrived += 1

    def record_refusal(self, service: str, priority: int, now: float) -> None:
        """Count a request that was refused; its arrival was counted before."""
        self._get(service, priority, now).refused += 1

    def must_yield(self, service: str, priority: int, now: float) -> bool:
        """Whether a more urgent priority is refused more often.

        Where one has to yield, so do all that are less urgent.
        """
        self._get(service, priority, now)
        highest = 0.0
        for known in sorted(self._list_priorities(service)):
            own = self._get(service, known, now).compute_fraction()
            if highest >= _MIN_FRACTION and own < highest - _MARGIN:
                return known <= priority
            highest = max(highest, own)
        return False

    def _list_priorities(self, service: str) -> list[int]:
        return [known for name, known in self._counts if name == service]

    def _get(self, service: str, priority: int, now: float) -> _Counts:
        counts = self._counts.get((service, priority))
        if counts is None:
            if len(self._counts) >= _MAX_PRIORITIES_COUNT:
                self._counts.clear()
            counts = _Counts()
            self._counts[service, priority] = counts
        counts.decay(now)
        return counts
