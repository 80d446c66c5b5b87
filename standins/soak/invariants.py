"""Invariants of requests that hold under every fault."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from standins.site.target import ExecutedRequest

__all__ = ('Call', 'check_calls', 'check_runs')

_NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))
_DENIAL_STATUSES: Final = frozenset((400, 401, 403, 404, 413, 431))
_OK_STATUS: Final = 200
# The timeout of the deployment's routes (2 s), and 0.5 s in which the final
# answer must follow it.
_MAX_ANSWER_SECONDS: Final = 2.5


class Call(NamedTuple):
    """A request and its answer; status 0 means that the connection failed.

    `ended_at` is when the answer came (monotonic seconds).
    `is_vm_undisturbed`: its VM was not stopped, paused or reloaded meanwhile.
    `may_be_denied`: its key may have been withdrawn.
    """

    request_id: str
    vm: str
    path: str
    team: str
    is_booking: bool
    status: int
    body: str
    seconds: float
    ended_at: float
    is_vm_undisturbed: bool
    may_be_denied: bool


def check_calls(
    calls: Iterable[Call], runs: Sequence[ExecutedRequest]
) -> list[str]:
    """Return the invariants that the answers to callers violate."""
    run_counts = Counter(run.request_id for run in runs)
    violations = []
    for call in calls:
        violation = _find_violation(call, run_counts[call.request_id])
        if violation:
            violations.append(f'{call.request_id} at {call.vm}: {violation}')
    return violations


def check_runs(
    calls: Iterable[Call], runs: Iterable[ExecutedRequest]
) -> list[str]:
    """Return the invariants that the executed requests violate."""
    calls_by_id = {call.request_id: call for call in calls}
    violations = []
    for run in runs:
        call = calls_by_id.get(run.request_id)
        if call is None or call.path != run.path:
            violations.append(
                f'{run.request_id}: no caller sent this id with {run.path}'
            )
        elif run.team != call.team:
            violations.append(
                f'{run.request_id}: executed for wrong team {run.team!r}'
            )
        if run.key:
            violations.append(
                f"{run.request_id}: {run.target} received the caller's key"
            )
    return violations


def _find_violation(call: Call, runs: int) -> str:
    """Return a description of the first violated invariant, or ''."""
    checks = (
        (
            call.status == _OK_STATUS and not _has_own_answer(call),
            'answer to another request',
        ),
        (
            call.status == _OK_STATUS and not runs,
            'answer 200, but no target executed it',
        ),
        (
            call.status in _DENIAL_STATUSES and not call.may_be_denied,
            'denied, though the request is allowed',
        ),
        (call.is_booking and runs > 1, 'booking executed more than once'),
        (
            call.is_booking
            and runs > 0
            and call.status in _NOT_EXECUTED_STATUSES,
            'booking refused as not executed, but executed',
        ),
        (
            call.is_vm_undisturbed and call.status == 0,
            'connection failed without a fault of its VM',
        ),
        (
            call.is_vm_undisturbed and call.seconds > _MAX_ANSWER_SECONDS,
            'final answer later than 0.5 s after the timeout of its route',
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
