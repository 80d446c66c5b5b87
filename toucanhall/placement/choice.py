"""Chooses a target for a request by the order for its object and by load.

Load patterns: one object is in high demand (its first target fills up, and the
next one in the order, the same at every VM, takes the rest); one target is slow
(it counts as fuller than it is); more requests arrive than cold targets bear.

A target caches a few dozen objects. If each object were sent to whichever
target has a free slot, all targets would load all objects, evict them again and
run each request cold, so that the overload would sustain itself. So an object
has two targets, and a request that neither can take is refused at once.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from toucanhall.fleet.model import Target
from toucanhall.placement.load import TargetLoad

__all__ = ('URGENT_PRIORITY', 'WARM_TARGETS', 'Ask', 'Candidate', 'choose')

# Targets that serve an object while they are available.
WARM_TARGETS: Final = 2
# Requests per slot below which a target is chosen without comparing it.
_ROOMY: Final = 0.85
# Fraction of the time to the objective that may be spent waiting for a slot.
_WAIT_SHARE: Final = 0.8
# Requests of a higher number than this one are less urgent.
URGENT_PRIORITY: Final = 1
# Less urgent requests wait in a shorter queue, so that urgent ones find space.
_LESS_URGENT_SHARE: Final = 0.5
# Requests with a long objective wait behind at most this many requests per
# slot, since those in front may be cold.
_MOST_WAITING: Final = 1.5
_FULL: Final = float('inf')


class Ask(NamedTuple):
    """How long a request may wait; times in seconds."""

    seconds_to_objective: float
    usual_seconds: float
    priority: int


class Candidate(NamedTuple):
    """A target and what is known of its load."""

    target: Target
    load: TargetLoad


def choose(
    candidates: Sequence[Candidate],
    ask: Ask,
    now: float,
) -> Candidate | None:
    """Return the target that serves a request, or None when all are full."""
    near = candidates[:WARM_TARGETS]
    fills = [_fill(candidate.load, now) for candidate in near]
    for candidate, fill in zip(near, fills, strict=True):
        if fill < _ROOMY:
            return candidate
    least = min(fills, default=_FULL)
    if least >= _limit_fill(ask):
        return None
    return near[fills.index(least)]


def _fill(load: TargetLoad, now: float) -> float:
    return (load.estimate(now) + 1) * max(1.0, load.slowness) / load.slots


def _limit_fill(ask: Ask) -> float:
    spare = ask.seconds_to_objective - ask.usual_seconds
    waiting = _WAIT_SHARE * spare / max(ask.usual_seconds, 0.001)
    if ask.priority > URGENT_PRIORITY:
        waiting *= _LESS_URGENT_SHARE
    return 1 + max(0.0, min(_MOST_WAITING, waiting))
