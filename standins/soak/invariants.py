"""What callers and targets must never see, whatever fails."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from standins.site.target import ExecutedRequest

__all__ = ('Call', 'check_calls', 'check_runs')

_NOT_RUN: Final = frozenset((408, 421, 429, 503))
_DENIALS: Final = frozenset((400, 401, 403, 404, 413, 431))
_SUCCESS: Final = 200
# The route's timeout of the deployment, and the half second after it in which
# the final answer is due.
_LONGEST_SECONDS: Final = 2.5


class Call(NamedTuple):
    """A request and what its caller got; status 0 is a broken connection.

    `is_vm_undisturbed` tells that its VM was not stopped or paused meanwhile,
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
    is_vm_undisturbed: bool
    may_be_denied: bool


def check_calls(
    calls: Iterable[Call], runs: Sequence[ExecutedRequest]
) -> list[str]:
    """Return what is wrong with the answers that callers got."""
    ran = Counter(run.request_id for run in runs)
    found = []
    for call in calls:
        wrong = _judge(call, ran[call.request_id])
        if wrong:
            found.append(f'{call.request_id} at {call.vm}: {wrong}')
    return found


def check_runs(
    calls: Iterable[Call], runs: Iterable[ExecutedRequest]
) -> list[str]:
    """Return what is wrong with the requests that targets ran."""
    sent = {call.request_id: call for call in calls}
    found = []
    for run in runs:
        call = sent.get(run.request_id)
        if call is None or call.path != run.path:
            found.append(f'{run.request_id}: nobody asked for {run.path}')
        elif run.team != call.team:
            found.append(f'{run.request_id}: ran for team {run.team!r}')
        if run.key:
            found.append(f'{run.request_id}: {run.target} saw a key')
    return found


def _judge(call: Call, runs: int) -> str:
    """Return the first promise that a call shows broken, or nothing."""
    checks = (
        (call.status == _SUCCESS and not _is_own(call), 'answer of another'),
        (call.status == _SUCCESS and not runs, 'an answer of no target'),
        (
            call.status in _DENIALS and not call.may_be_denied,
            'denied, though it is allowed',
        ),
        (call.is_booking and runs > 1, 'ran more than once'),
        (
            call.is_booking and runs > 0 and call.status in _NOT_RUN,
            'refused as not run, and ran',
        ),
        (
            call.is_vm_undisturbed and call.status == 0,
            'connection broken by a VM in service',
        ),
        (
            call.is_vm_undisturbed and call.seconds > _LONGEST_SECONDS,
            'no final answer by the timeout of its route',
        ),
    )
    wrong = next((what for is_wrong, what in checks if is_wrong), '')
    if not wrong:
        return ''
    return f'{wrong}: {call.status} in {call.seconds:.2f} s, {call.body!r}'


def _is_own(call: Call) -> bool:
    return call.body.split(' ')[1:2] == [call.path]
