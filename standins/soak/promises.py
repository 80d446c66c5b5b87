"""What callers and targets must never see, whatever fails."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from standins.site.target import Run

__all__ = ('Call', 'check_calls', 'check_runs')

_NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))
_DENIAL_STATUSES: Final = frozenset((400, 401, 403, 404, 413, 431))
_OK_STATUS: Final = 200
# The route's timeout of the deployment, and the half second after it in which
# the final answer is due.
_MAX_ANSWER_SECONDS: Final = 2.5


class Call(NamedTuple):
    """A request and what its caller got; status 0 is a broken connection.

    `is_calm` tells that its VM was not stopped or paused meanwhile,
    `may_be_denied` that its key may have been withdrawn.
    """

    request_id: str
    vm: str
    path: str
    team: str
    is_booking: bool
    status: int
    body: str
    seconds: float
    is_calm: bool
    may_be_denied: bool


def check_calls(calls: Iterable[Call], runs: Sequence[Run]) -> list[str]:
    """Return what is wrong with the answers that callers got."""
    run_counts = Counter(run.request_id for run in runs)
    violations = []
    for call in calls:
        violation = _find_violation(call, run_counts[call.request_id])
        if violation:
            violations.append(f'{call.request_id} at {call.vm}: {violation}')
    return violations


def check_runs(calls: Iterable[Call], runs: Iterable[Run]) -> list[str]:
    """Return what is wrong with the requests that targets ran."""
    calls_by_id = {call.request_id: call for call in calls}
    violations = []
    for run in runs:
        call = calls_by_id.get(run.request_id)
        if call is None or call.path != run.path:
            violations.append(f'{run.request_id}: nobody asked for {run.path}')
        elif run.team != call.team:
            violations.append(f'{run.request_id}: ran for team {run.team!r}')
        if run.key:
            violations.append(f'{run.request_id}: {run.target} saw a key')
    return violations


def _find_violation(call: Call, runs: int) -> str:
    """Return the first promise that a call shows broken, or nothing."""
    checks = (
        (
            call.status == _OK_STATUS and not _has_own_answer(call),
            'answer of another',
        ),
        (call.status == _OK_STATUS and not runs, 'an answer of no target'),
        (
            call.status in _DENIAL_STATUSES and not call.may_be_denied,
            'denied, though it is allowed',
        ),
        (call.is_booking and runs > 1, 'ran more than once'),
        (
            call.is_booking
            and runs > 0
            and call.status in _NOT_EXECUTED_STATUSES,
            'refused as not run, and ran',
        ),
        (
            call.is_calm and call.status == 0,
            'connection broken by a VM in service',
        ),
        (
            call.is_calm and call.seconds > _MAX_ANSWER_SECONDS,
            'no final answer by the timeout of its route',
        ),
    )
    violation = next(
        (description for is_violated, description in checks if is_violated), ''
    )
    if not violation:
        return ''
    return f'{violation}: {call.status} in {call.seconds:.2f} s, {call.body!r}'


def _has_own_answer(call: Call) -> bool:
    return call.body.split(' ')[1:2] == [call.path]
