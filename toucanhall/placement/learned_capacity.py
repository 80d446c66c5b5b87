"""Learns how fast a target works, and how many requests at a time it bears.

Load patterns: a shared machine takes 2.5 times as long for 300 to 600 ms; one
target is slow for good; a target slows down below its slots. Three patterns
look the same in a single response time and must move no load: objects that are
not in the target's memory, objects that cost more, and a late event loop of the
VM. They are told apart so:

- The machine's own figure is divided out of each time. The latest one counts
  for some tenths of a second, the median of several for longer.
- Times of cold targets, of targets that are not the first of their object and
  of a lagging VM are left out.
- A target is slow if four fifths of its times are long: costly objects and
  single long runs leave the shortest fifth as it is.
- It is near its knee if that holds above two thirds of its slots only.

docs/design/learned-capacity.md has the figures and the alternatives.
"""

import math
from collections import deque
from statistics import median
from typing import Final, NamedTuple

__all__ = ('Estimate', 'Evidence', 'LearnedCapacity')

# Half-life of the latest figure of a machine: spans last 300 to 600 ms.
_MACHINE_HALF_LIFE_SECONDS: Final = 0.3
# One in seven machines is in a slow span at a time. Of figures that are further
# apart than a span lasts, the median of five is then a slow one in 3 of 100
# cases, that of seven in 1.
_MACHINE_FIGURES_COUNT: Final = 7
_MIN_MACHINE_FIGURES_COUNT: Final = 5
_MIN_FIGURES_INTERVAL_SECONDS: Final = 0.75
_USUAL_PERCENT: Final = 100
# Times of one band of load. With fewer than eight, chance alone makes four
# fifths of them long in more than 1 of 100 cases.
_TIMES_COUNT: Final = 12
_MIN_TIMES_COUNT: Final = 8
_SHORT_TIMES_FRACTION: Final = 0.2
# Ratios below this one are taken for 1: speeds of equal targets differ by that
# much in a dozen answers.
_MIN_SLOWDOWN: Final = 1.25
_MAX_SLOWDOWN: Final = 8.0
# Fraction of the slots up to which a target counts as lightly loaded.
_LIGHT_LOAD_FRACTION: Final = 2 / 3
# The least ratio above that load, where waiting varies more: 1.25 took 5 to 18
# in 100 equal targets for slow, 1.5 at most 1.
_MIN_HEAVY_SLOWDOWN: Final = 1.5
# Requests per slot above which a time tells of the queue only.
_MAX_FILL_RATIO: Final = 4.0
# Age of the latest news until which an estimate holds in full, and at which it
# is back at the usual one. A wave of requests lasts about the latter.
_FRESH_SECONDS: Final = 10.0
_EXPIRY_SECONDS: Final = 30.0
# Of the usual time; a VM that is later than this measures itself.
_MAX_LAG_FRACTION: Final = 0.1
# Changes that are logged: by this factor of the slowdown, and by this many
# requests at a time.
_LOGGED_SLOWDOWN_FACTOR: Final = 1.25
_LOGGED_REQUESTS_COUNT: Final = 1

_TimedFigures = tuple[float, ...]  # a time in seconds, and what was seen then


class Evidence(NamedTuple):
    """What an answer tells about the speed of its target.

    `at` is the time of the answer in seconds, `seconds` how long it took.
    `usual_seconds` is the median and `mean_seconds` the mean time of answers of
    the route at the first targets of their objects. `requests` is the number at
    the target, with this one; `machine_percent` as reported, None if not.
    `is_first_target` tells whether the target is the first of the object,
    `is_target_cold` whether it is new; `lag_seconds` is the delay of the VM's
    own event loop.
    """

    at: float
    seconds: float
    usual_seconds: float
    mean_seconds: float
    requests: float
    machine_percent: int | None = None
    is_first_target: bool = True
    is_target_cold: bool = False
    lag_seconds: float = 0.0


class Estimate(NamedTuple):
    """How much longer work takes, and the requests at a time without that."""

    slowdown: float
    well_served: float


class LearnedCapacity:
    """Estimates of one target by its answers; without news, the usual ones."""

    def __init__(self, *, slots: int) -> None:
        """Start without evidence."""
        self._slots = slots
        self._machine = _MachineFigures()
        self._light = _Times()
        self._heavy = _Times()
        self._logged = Estimate(1.0, slots)

    def record_machine(self, percent: int, now: float) -> None:
        """Record how long work takes on the machine; 100 for as usual."""
        self._machine.record(max(1.0, percent / _USUAL_PERCENT), now)

    def record(self, evidence: Evidence) -> None:
        """Record the time of an answer, if it tells of the target's speed."""
        fill = evidence.requests / self._slots
        if not _tells_speed(evidence) or fill > _MAX_FILL_RATIO:
            return
        waiting_seconds = max(0.0, fill - 1) * evidence.mean_seconds
        percent = max(evidence.machine_percent or 0, _USUAL_PERCENT)
        expected_seconds = (
            (evidence.usual_seconds + waiting_seconds)
            * percent
            / _USUAL_PERCENT
        )
        ratio = evidence.seconds / expected_seconds
        light_requests = max(1.0, self._slots * _LIGHT_LOAD_FRACTION)
        is_light = evidence.requests <= light_requests
        times = self._light if is_light else self._heavy
        times.record(ratio, min(self._slots, evidence.requests), evidence.at)

    def compute_slowdown(self, now: float) -> float:
        """Return how much longer work takes now than usual; at least 1."""
        return min(
            _MAX_SLOWDOWN,
            self._machine.estimate(now) * self._compute_own_slowdown(now),
        )

    def compute_lasting_slowdown(self, now: float) -> float:
        """Return the slowdown without spans of some tenths of a second."""
        return min(
            _MAX_SLOWDOWN,
            self._machine.estimate_lasting(now)
            * self._compute_own_slowdown(now),
        )

    def count_well_served(self, now: float) -> float:
        """Return the requests at a time that run unslowed."""
        if self._heavy.short_ratio is None:
            return self._slots
        slowdown = self._heavy.short_ratio / self._light.estimate_median(now)
        if slowdown < _MIN_HEAVY_SLOWDOWN:
            return self._slots
        # Work that is shared by n requests takes n / knee times as long.
        knee = max(1.0, self._heavy.median_requests / slowdown)
        trust = _compute_trust(now - self._heavy.latest_at)
        return self._slots - max(0.0, self._slots - knee) * trust

    def compute_age(self, now: float) -> float:
        """Return the seconds since the latest news; infinite if none came."""
        return now - max(
            self._machine.latest_at,
            self._light.latest_at,
            self._heavy.latest_at,
        )

    def take_change(self, now: float) -> tuple[Estimate, Estimate] | None:
        """Return the estimates before and now if they differ by much.

        The next change counts from this one. What passes in some tenths of a
        second is no change.
        """
        before = self._logged
        after = Estimate(
            self.compute_lasting_slowdown(now), self.count_well_served(now)
        )
        factor = max(
            before.slowdown / after.slowdown, after.slowdown / before.slowdown
        )
        requests = abs(after.well_served - before.well_served)
        if factor < _LOGGED_SLOWDOWN_FACTOR and (
            requests < _LOGGED_REQUESTS_COUNT
        ):
            return None
        self._logged = after
        return before, after

    def _compute_own_slowdown(self, now: float) -> float:
        """Return the slowdown that the machine's figure does not explain."""
        ratio = self._light.short_ratio
        if ratio is None or ratio < _MIN_SLOWDOWN:
            return 1.0
        return 1 + (ratio - 1) * _compute_trust(now - self._light.latest_at)


class _MachineFigures:
    """The latest figures of a machine, 1 for as usual."""

    def __init__(self) -> None:
        self.latest_at = -math.inf
        self._figures: deque[_TimedFigures] = deque(
            maxlen=_MACHINE_FIGURES_COUNT
        )
        self._latest = 1.0
        self._lasting = 1.0

    def record(self, figure: float, now: float) -> None:
        self.latest_at = now
        self._latest = figure
        _drop_expired(self._figures, now)
        if self._figures and (
            now - self._figures[-1][0] < _MIN_FIGURES_INTERVAL_SECONDS
        ):
            return
        self._figures.append((now, figure))
        if len(self._figures) < _MIN_MACHINE_FIGURES_COUNT:
            self._lasting = 1.0
        else:
            self._lasting = median(found[1] for found in self._figures)

    def estimate(self, now: float) -> float:
        lasting = self.estimate_lasting(now)
        age = max(0.0, now - self.latest_at)
        weight = math.exp2(-age / _MACHINE_HALF_LIFE_SECONDS)
        return lasting + (self._latest - lasting) * weight

    def estimate_lasting(self, now: float) -> float:
        trust = _compute_trust(now - self.latest_at)
        return 1 + (self._lasting - 1) * trust


class _Times:
    """The latest times of a band of load, as ratios to the usual ones.

    `short_ratio` is the ratio that one in five does not exceed; None while
    there are too few.
    """

    def __init__(self) -> None:
        self.latest_at = -math.inf
        self.short_ratio: float | None = None
        self.median_requests = 0.0
        self._median_ratio = 1.0
        self._times: deque[_TimedFigures] = deque(maxlen=_TIMES_COUNT)

    def record(self, ratio: float, requests: float, now: float) -> None:
        self.latest_at = now
        _drop_expired(self._times, now)
        self._times.append((now, ratio, requests))
        if len(self._times) < _MIN_TIMES_COUNT:
            self.short_ratio = None
            self._median_ratio = 1.0
            return
        _times, ratios, requests_counts = zip(*self._times, strict=True)
        shorter_count = int(len(ratios) * _SHORT_TIMES_FRACTION)
        self.short_ratio = sorted(ratios)[shorter_count]
        self._median_ratio = median(ratios)
        self.median_requests = median(requests_counts)

    def estimate_median(self, now: float) -> float:
        trust = _compute_trust(now - self.latest_at)
        return 1 + max(0.0, self._median_ratio - 1) * trust


def _tells_speed(evidence: Evidence) -> bool:
    if evidence.is_target_cold or not evidence.is_first_target:
        return False
    if evidence.usual_seconds <= 0:
        return False
    return evidence.lag_seconds <= evidence.usual_seconds * _MAX_LAG_FRACTION


def _drop_expired(entries: deque[_TimedFigures], now: float) -> None:
    expired_at = now - _EXPIRY_SECONDS
    while entries and entries[0][0] < expired_at:
        entries.popleft()


def _compute_trust(age_seconds: float) -> float:
    """Return the weight of an estimate, 1 while fresh and 0 when expired."""
    left = (_EXPIRY_SECONDS - age_seconds) / (_EXPIRY_SECONDS - _FRESH_SECONDS)
    return max(0.0, min(1.0, left))
