"""Tries targets and entry VMs until one returns a response."""

from typing import Final, NamedTuple

from returns.result import Failure, Result, Success
from urllib3.exceptions import HTTPError

from toucanhall import events, runtime
from toucanhall.forwarding import hops
from toucanhall.forwarding.bodies import close_body
from toucanhall.forwarding.dispatch import SendError
from toucanhall.forwarding.headers import drop_internal
from toucanhall.forwarding.jobs import RETRY_AFTER_SECONDS, Job, Parts
from toucanhall.forwarding.preparation import prepare
from toucanhall.forwarding.problems import RAN_HEADER, Refusal, make_refusal
from toucanhall.forwarding.records import Answer, find_header
from toucanhall.forwarding.sharing import Key, can_share, make_key
from toucanhall.forwarding.transfers import (
    Transfer,
    parse_spare,
    read_whole,
    track_end,
)
from toucanhall.idempotency import may_send
from toucanhall.steering import Arrive, Carry, Refuse, Run
from toucanhall.steering.budget import limit_attempt

__all__ = ('forward',)

_RAN_HEADER_LOWER: Final = RAN_HEADER.lower()


class _Progress(NamedTuple):
    """The targets and VMs tried for a request, and if it may have run."""

    names: frozenset[str] = frozenset()
    attempts: int = 0
    sent: bool = False
    is_bounced: bool = False
    is_unsent: bool = False


def forward(parts: Parts, job: Job) -> Result[Answer, Refusal]:
    """Send an admitted request and return its answer.

    A failure is final and says whether the request may have run.
    """
    key = None if job.is_from_entry_vm else make_key(job.route, job.request)
    joined = None
    if key:
        joined = parts.sharing.join(key, job.request_id, job.give_up_at)
    if joined is not None:
        parts.counters.add('transfer.shared')
        return Success(joined)
    return _try_targets(parts, job, key)


def _try_targets(
    parts: Parts,
    job: Job,
    key: Key | None,
) -> Result[Answer, Refusal]:
    progress = _Progress()
    while True:
        choice = parts.steerer.choose(
            job.route.service, _make_arrival(job, progress)
        )
        if isinstance(choice, Refuse):
            return Failure(_make_refusal(job, choice, progress))
        sent = _send_shared(parts, job, choice, progress, key)
        if isinstance(sent, Success):
            return sent
        error = sent.failure()
        _record_failure(parts, job, choice, error)
        progress = _update_progress(progress, choice, error)
        if _is_final(job, progress):
            return Failure(_make_refusal(job, None, progress))


def _is_final(job: Job, progress: _Progress) -> bool:
    if job.is_retry or (progress.sent and not job.is_safe):
        return True
    return not may_send(job.give_up_at, runtime.read_clock())


def _update_progress(
    progress: _Progress, choice: Run | Carry, error: SendError
) -> _Progress:
    return _Progress(
        progress.names | {choice.name},
        progress.attempts + 1,
        progress.sent or error.sent,
        is_bounced=isinstance(choice, Carry) and not error.sent,
        is_unsent=isinstance(choice, Run) and not error.sent,
    )


def _make_arrival(job: Job, progress: _Progress) -> Arrive:
    team = job.catalogue.teams.get(job.caller.team)
    return Arrive(
        ticket=f'{job.request_id}/{progress.attempts}',
        team=job.caller.team,
        weight=team.weight if team else 1,
        expires_at=job.give_up_at,
        origin=job.origin,
        is_safe=job.is_safe,
        attempts=progress.attempts,
        is_bounced=progress.is_bounced,
        is_unsent=progress.is_unsent,
        passed=progress.names,
    )


def _make_refusal(
    job: Job, refused: Refuse | None, progress: _Progress
) -> Refusal:
    is_late = not may_send(job.give_up_at, runtime.read_clock())
    if progress.sent and not job.is_safe:
        return make_refusal('target-failed', 'it may have run')
    if progress.sent:
        reason = 'target-late' if is_late else 'target-failed'
        return make_refusal(reason, 'no whole answer', RETRY_AFTER_SECONDS)
    if is_late:
        return make_refusal('deadline', 'nothing was sent', RETRY_AFTER_SECONDS)
    detail = f'service {job.route.service!r}'
    if refused is None:
        return make_refusal('no-target', detail, RETRY_AFTER_SECONDS)
    return make_refusal(refused.reason, detail, refused.retry_after)


def _send(
    parts: Parts,
    job: Job,
    choice: Run | Carry,
    progress: _Progress,
) -> Result[Answer, SendError]:
    transfer = Transfer(
        parts.steerer, job.route.service, choice, job.origin,
        runtime.read_clock(),
    )  # fmt: skip
    if not may_send(job.give_up_at, transfer.started_at):
        transfer.finish(healthy=None)
        return Failure(
            SendError(
                choice.address,
                sent=False,
                what='deadline passed before the request was sent',
            )
        )
    seconds = job.give_up_at - transfer.started_at
    # The caller's entry VM has reserved time for another attempt. If the VM
    # behind a hop reserved time too, it would cut off targets that are slow.
    may_retry = job.is_safe and not (progress.attempts or job.is_from_entry_vm)
    sent = parts.dispatcher.send(
        choice.address,
        prepare(parts, job, choice, is_retry=progress.attempts > 0),
        limit_attempt(seconds, may_retry=may_retry),
        # A dead idle connection costs an eighth of the time, which a hop may
        # not have.
        fresh=job.is_from_entry_vm or not job.is_safe,
    )
    if not isinstance(sent, Success):
        transfer.finish(healthy=False)
        return sent
    answer = sent.unwrap()
    if isinstance(choice, Carry) and find_header(
        answer.headers, _RAN_HEADER_LOWER
    ):
        transfer.finish(healthy=None, spare=0)
        close_body(answer.body)
        return Failure(_read_entry_vm_refusal(parts, job, choice, answer))
    spare = parse_spare(choice, answer)
    if isinstance(choice, Run):
        answer = answer._replace(headers=drop_internal(answer.headers))
    return Success(track_end(transfer, answer, spare))


def _read_entry_vm_refusal(
    parts: Parts,
    job: Job,
    choice: Carry,
    answer: Answer,
) -> SendError:
    token = find_header(answer.headers, hops.HOP_HEADER)
    secret = parts.identity.secret
    is_sent = not hops.is_disclaimed(secret, token, job.request_id)
    return SendError(
        choice.address, sent=is_sent, what='request refused by the entry VM'
    )


def _send_shared(
    parts: Parts,
    job: Job,
    choice: Run | Carry,
    progress: _Progress,
    key: Key | None,
) -> Result[Answer, SendError]:
    """Send a request; share a remote answer with identical requests."""
    is_far = isinstance(choice, Carry) and choice.is_far
    if key is None or not is_far or not parts.sharing.begin(key):
        return _send(parts, job, choice, progress)
    whole: Answer | None = None
    try:
        sent = _send(parts, job, choice, progress)
        if isinstance(sent, Success) and can_share(sent.unwrap()):
            whole = read_whole(sent.unwrap())
            return Success(whole)
        return sent
    except (HTTPError, OSError) as error:
        return Failure(SendError(choice.address, sent=True, what=str(error)))
    finally:
        parts.sharing.publish(key, whole)


def _record_failure(
    parts: Parts,
    job: Job,
    choice: Run | Carry,
    error: SendError,
) -> None:
    reason = 'unanswered' if error.sent else 'unsent'
    parts.counters.add(f'retry.{reason}')
    events.log(
        events.TARGET_FAILED,
        target=choice.name,
        request_id=job.request_id,
        sent=error.sent,
        what=error.what,
    )
