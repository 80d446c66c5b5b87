"""Chooses a target for a request by the order for its object and by load.

Load patterns: one object is in high demand (its first target fills up, and the
next one in the order, the same at every VM, takes the rest); one target is slow
(it counts as fuller than it is); more requests arrive than cold targets bear.

A target caches a few dozen objects. If each object were sent to whichever
target has a free slot, all targets would load all objects, evict them again and
run each request cold, so that the overload would sustain itself. So an object
has two targets, and a request that neither can take is refused at once.

Load pattern: targets cache about as many objects as there are for one target
each. The second target then runs a request cold, evicts another object for it,
and both targets are slower for it. So with a spill penalty, a request waits
at the first target as long as that costs less than a cold run.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from toucanhall.fleet.model import Target
from toucanhall.placement.load import TargetLoad

__all__ = (
    'BALANCED_POLICY',
    'CAPACITY_POLICY',
    'TARGETS_PER_OBJECT',
    'URGENT_PRIORITY',
    'Candidate',
    'PlacementPolicy',
    'RequestUrgency',
    'choose_target',
)

# Targets that serve an object while they are available.
TARGETS_PER_OBJECT: Final = 2
# Requests per slot below which a target is chosen without comparing it.
_FREE_FILL_RATIO: Final = 0.85
# Fraction of the time to the objective that may be spent waiting for a slot.
_MAX_WAIT_FRACTION: Final = 0.8
# Requests of a higher number than this one are less urgent.
URGENT_PRIORITY: Final = 1
# Less urgent requests wait in a shorter queue, so that urgent ones find space.
_LESS_URGENT_WAIT_FRACTION: Final = 0.5
# Requests with a long objective wait behind at most this many requests per
# slot, since those in front may be cold.
_MAX_QUEUE_RATIO: Final = 1.5


class PlacementPolicy(NamedTuple):
    """How targets are compared.

    `spill_penalty` is how many requests per slot more than the second target
    the first one may hold before the second is chosen; 0 to balance both.
    `uses_learned_capacity` compares targets by what is learned of each one, not
    by the mean of its response times.
    """

    spill_penalty: float = 0.0
    uses_learned_capacity: bool = False


BALANCED_POLICY: Final = PlacementPolicy()
# A target that lacks an object takes three times as long, as if two more
# requests were ahead in each slot.
CAPACITY_POLICY: Final = PlacementPolicy(2.0, uses_learned_capacity=True)


class RequestUrgency(NamedTuple):
    """How long a request may wait, in seconds, and how its target is chosen."""

    seconds_to_objective: float
    expected_seconds: float
    priority: int
    policy: PlacementPolicy = BALANCED_POLICY


class Candidate(NamedTuple):
    """A target and what is known of its load."""

    target: Target
    load: TargetLoad


def choose_target(
    candidates: Sequence[Candidate],
    urgency: RequestUrgency,
    now: float,
) -> Candidate | None:
    """Return the target that serves a request, or None when all are full."""
    rated = [
        _rate(candidate, urgency.policy, now)
        for candidate in candidates[:TARGETS_PER_OBJECT]
    ]
    max_fill_ratio = _compute_max_fill_ratio(urgency)
    for found in _order(rated, urgency.policy.spill_penalty):
        if found.fill_ratio < max_fill_ratio:
            return found.candidate
    return None


class _RatedCandidate(NamedTuple):
    """A candidate, its requests per slot, and what it costs to choose it.

    The cost is that of the wait and of the slower run, in usual runs.
    """

    candidate: Candidate
    fill_ratio: float
    cost: float


def _order(
    rated: Sequence[_RatedCandidate], spill_penalty: float
) -> Sequence[_RatedCandidate]:
    """Return the candidates to choose from, the best one first."""
    free = [found for found in rated if found.cost < _FREE_FILL_RATIO]
    if free and (free[0] is rated[0] or not spill_penalty):
        return free
    ranked = sorted(rated, key=_get_cost)
    if ranked and rated[0].cost <= ranked[0].cost + spill_penalty:
        return rated[0], ranked[0]
    return ranked


def _get_cost(rated: _RatedCandidate) -> float:
    return rated.cost


def _rate(
    candidate: Candidate, policy: PlacementPolicy, now: float
) -> _RatedCandidate:
    load = candidate.load
    requests = load.estimate_requests(now) + 1
    if not policy.uses_learned_capacity:
        ratio = requests * max(1.0, load.latency_ratio) / load.slots
        return _RatedCandidate(candidate, ratio, ratio)
    slowdown = load.compute_slowdown(now)
    ratio = requests * slowdown / load.count_well_served()
    return _RatedCandidate(candidate, ratio, ratio + slowdown - 1)


def _compute_max_fill_ratio(urgency: RequestUrgency) -> float:
    spare_seconds = urgency.seconds_to_objective - urgency.expected_seconds
    queue_ratio = (
        _MAX_WAIT_FRACTION
        * spare_seconds
        / max(urgency.expected_seconds, 0.001)
    )
    if urgency.priority > URGENT_PRIORITY:
        queue_ratio *= _LESS_URGENT_WAIT_FRACTION
    return 1 + max(0.0, min(_MAX_QUEUE_RATIO, queue_ratio))
