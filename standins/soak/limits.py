"""Checks that targets get no more than the limits that they name."""

import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from standins.site.target import Arrival, NamedLimit, TargetStandin
from standins.soak.invariants import Call

__all__ = ('Disturbance', 'check_limits')

# The bound of the deployments: from the time to settle after a target first
# named its limit, it gets in each window at most the limit times a ratio and a
# slack, from VMs that passed on such an answer some time before.
_SETTLING_SECONDS: Final = 3.0
_WINDOW_SECONDS: Final = 4.0
_RATIO: Final = 1.5
_SLACK_REQUESTS: Final = 5
_PASSED_ON_SECONDS: Final = 0.5
# A fault of a VM excuses it for so long after its end.
_EXCUSED_SECONDS: Final = 3.0


class Disturbance(NamedTuple):
    """A time in which a VM was stopped, paused or reloaded."""

    start: float
    end: float


def check_limits(
    calls: Iterable[Call],
    targets: Iterable[TargetStandin],
    disturbances: Mapping[str, Sequence[Disturbance]],
) -> list[str]:
    """Return the windows in which a target got more than its limit allows."""
    calls_by_id = {call.request_id: call for call in calls}
    return [
        violation
        for target in targets
        for violation in _check_target(target, calls_by_id, disturbances)
    ]


def _check_target(
    target: TargetStandin,
    calls: Mapping[str, Call],
    disturbances: Mapping[str, Sequence[Disturbance]],
) -> Iterable[str]:
    told_at = _list_passed_on(target.answers_with_limit, calls)
    counted = [
        arrival.at
        for arrival in target.arrivals
        if arrival.request_id in calls
        and _is_told(
            arrival.at,
            told_at.get(calls[arrival.request_id].vm, ()),
            disturbances.get(calls[arrival.request_id].vm, ()),
        )
    ]
    for since, until, limits in _list_periods(target.limits):
        for at in counted:
            if not since + _SETTLING_SECONDS <= at < until:
                continue
            starts_at = at - _WINDOW_SECONDS
            count = sum(starts_at < found <= at for found in counted)
            limit = _find_highest(limits, starts_at, at)
            allowed = _RATIO * limit * _WINDOW_SECONDS + _SLACK_REQUESTS
            if count > allowed:
                yield (
                    f'{target.name}: {count} requests in {_WINDOW_SECONDS} s '
                    f'to {at:.3f} with a limit of {limit}, '
                    f'at most {allowed:.0f}'
                )


def _list_passed_on(
    answers: Iterable[Arrival], calls: Mapping[str, Call]
) -> dict[str, list[float]]:
    """Return when callers got answers with a limit, by VM."""
    passed_on: dict[str, list[float]] = {}
    for answer in answers:
        call = calls.get(answer.request_id)
        if call is not None and call.status:
            passed_on.setdefault(call.vm, []).append(call.ended_at)
    return passed_on


def _is_told(
    at: float, told_at: Sequence[float], disturbances: Sequence[Disturbance]
) -> bool:
    """Whether a VM knew of a limit and was not disturbed since."""
    before = [found.end for found in disturbances if found.start <= at]
    since = max(before, default=0.0)
    if at < since + _EXCUSED_SECONDS:
        return False
    return any(since < told <= at - _PASSED_ON_SECONDS for told in told_at)


def _list_periods(
    limits: Sequence[NamedLimit],
) -> Iterable[tuple[float, float, list[NamedLimit]]]:
    """Yield the times in which a target named limits, with these limits."""
    named = itertools.groupby(
        [*limits, NamedLimit(float('inf'), '')],
        key=lambda limit: bool(limit.content),
    )
    groups = [list(group) for _is_named, group in named]
    for group, following in itertools.pairwise(groups):
        if group[0].content:
            yield group[0].since, following[0].since, group


def _find_highest(
    limits: Sequence[NamedLimit], since: float, until: float
) -> float:
    """Return the highest limit that was in force in a time."""
    ends = [*(limit.since for limit in limits[1:]), float('inf')]
    return max(
        float(limit.content)
        for limit, end in zip(limits, ends, strict=True)
        if limit.since <= until and end > since
    )
