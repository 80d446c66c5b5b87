"""Chooses a target by its place in the order and its load.

Load patterns: one object much wanted (its first target fills: the next in the
order takes the rest, the same one at every VM); one target slow (it counts as
fuller than it is); more requests than cold targets bear. A target remembers a
few dozen objects. Were each object sent to whichever target has room, all
targets would meet all objects, forget them again and run each request cold:
the overload would feed itself. So an object has two targets, and what finds no
room there is refused at once.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from toucanhall.fleet.model import Target
from toucanhall.placement.load import TargetLoad

__all__ = (
    'URGENT_PRIORITY',
    'TARGETS_PER_OBJECT',
    'RequestUrgency',
    'Candidate',
    'choose_target',
)

# Targets that serve an object, as long as they are there.
TARGETS_PER_OBJECT: Final = 2
# Share of the slots up to which a target is not full.
_ROOMY: Final = 0.85
# Part of the time to the objective that may be spent waiting for a slot.
_WAIT_SHARE: Final = 0.8
# Less urgent requests leave room in the queue for urgent ones.
URGENT_PRIORITY: Final = 1
_LESS_URGENT_SHARE: Final = 0.5
# Requests of a longer objective may not wait for more than this many slots'
# worth of other requests, since those in front may be cold.
_MOST_WAITING: Final = 1.5
_FULL: Final = float('inf')


class RequestUrgency(NamedTuple):
    """What a request needs; times in seconds."""

    seconds_to_objective: float
    expected_seconds: float
    priority: int


class Candidate(NamedTuple):
    """A target and what is known of its load."""

    target: Target
    load: TargetLoad


def choose_target(
    candidates: Sequence[Candidate],
    ask: RequestUrgency,
    now: float,
) -> Candidate | None:
    """Return the target that serves a request, or None when all are full."""
    near = candidates[:TARGETS_PER_OBJECT]
    fills = [_fill(candidate.load, now) for candidate in near]
    for candidate, fill in zip(near, fills, strict=True):
        if fill < _ROOMY:
            return candidate
    least = min(fills, default=_FULL)
    if least >= _limit_fill(ask):
        return None
    return near[fills.index(least)]


def _fill(load: TargetLoad, now: float) -> float:
    return (
        (load.estimate_requests(now) + 1)
        * max(1.0, load.latency_ratio)
        / load.slots
    )


def _limit_fill(ask: RequestUrgency) -> float:
    spare = ask.seconds_to_objective - ask.expected_seconds
    waiting = _WAIT_SHARE * spare / max(ask.expected_seconds, 0.001)
    if ask.priority > URGENT_PRIORITY:
        waiting *= _LESS_URGENT_SHARE
    return 1 + max(0.0, min(_MOST_WAITING, waiting))
