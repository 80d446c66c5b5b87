"""Tries the ways to a target until one gives a whole answer."""

from typing import Final, NamedTuple

from returns.result import Failure, Result, Success
from urllib3.exceptions import HTTPError

from toucanhall import events, runtime
from toucanhall.forwarding import hops
from toucanhall.forwarding.bodies import close_body
from toucanhall.forwarding.dispatch import SendError
from toucanhall.forwarding.headers import drop_own
from toucanhall.forwarding.jobs import BACK_SOON_SECONDS, Job, Parts
from toucanhall.forwarding.preparation import prepare
from toucanhall.forwarding.problems import RAN_HEADER, Refusal, make_refusal
from toucanhall.forwarding.records import Answer, find_header
from toucanhall.forwarding.sharing import Key, can_collect, make_key
from toucanhall.forwarding.transfers import (
    Transfer,
    collect,
    read_spare,
    settle,
)
from toucanhall.idempotency import may_send
from toucanhall.steering import Arrive, Carry, Refuse, Run
from toucanhall.steering.budget import limit_attempt

__all__ = ('forward',)

_RAN: Final = RAN_HEADER.lower()


class _Tried(NamedTuple):
    """What was tried for a request, and whether it may have run."""

    names: frozenset[str] = frozenset()
    attempts: int = 0
    sent: bool = False
    is_bounced: bool = False
    is_unsent: bool = False


def forward(parts: Parts, job: Job) -> Result[Answer, Refusal]:
    """Send an admitted request; a failure is final and truly says if it ran."""
    key = None if job.is_hopped else make_key(job.route, job.request)
    joined = None
    if key:
        joined = parts.sharing.join(key, job.request_id, job.give_up_at)
    if joined is not None:
        parts.counters.add('transfer.shared')
        return Success(joined)
    return _try_ways(parts, job, key)


def _try_ways(
    parts: Parts,
    job: Job,
    key: Key | None,
) -> Result[Answer, Refusal]:
    tried = _Tried()
    while True:
        way = parts.steerer.choose(job.route.service, _ask(job, tried))
        if isinstance(way, Refuse):
            return Failure(_make_refusal(job, way, tried))
        sent = _lead(parts, job, way, tried, key)
        if isinstance(sent, Success):
            return sent
        error = sent.failure()
        _note_failure(parts, job, way, error)
        tried = _note_tried(tried, way, error)
        if _is_over(job, tried):
            return Failure(_make_refusal(job, None, tried))


def _is_over(job: Job, tried: _Tried) -> bool:
    if job.is_retry or (tried.sent and not job.is_safe):
        return True
    return not may_send(job.give_up_at, runtime.read_clock())


def _note_tried(tried: _Tried, way: Run | Carry, error: SendError) -> _Tried:
    return _Tried(
        tried.names | {way.name},
        tried.attempts + 1,
        tried.sent or error.sent,
        is_bounced=isinstance(way, Carry) and not error.sent,
        is_unsent=isinstance(way, Run) and not error.sent,
    )


def _ask(job: Job, tried: _Tried) -> Arrive:
    team = job.catalogue.teams.get(job.caller.team)
    return Arrive(
        ticket=f'{job.request_id}/{tried.attempts}',
        team=job.caller.team,
        weight=team.weight if team else 1,
        expires_at=job.give_up_at,
        origin=job.origin,
        is_safe=job.is_safe,
        attempts=tried.attempts,
        is_bounced=tried.is_bounced,
        is_unsent=tried.is_unsent,
        passed=tried.names,
    )


def _make_refusal(job: Job, refused: Refuse | None, tried: _Tried) -> Refusal:
    is_late = not may_send(job.give_up_at, runtime.read_clock())
    if tried.sent and not job.is_safe:
        return make_refusal('target-failed', 'it may have run')
    if tried.sent:
        reason = 'target-late' if is_late else 'target-failed'
        return make_refusal(reason, 'no whole answer', BACK_SOON_SECONDS)
    if is_late:
        return make_refusal('deadline', 'nothing was sent', BACK_SOON_SECONDS)
    detail = f'service {job.route.service!r}'
    if refused is None:
        return make_refusal('no-target', detail, BACK_SOON_SECONDS)
    return make_refusal(refused.reason, detail, refused.retry_after)


def _send(
    parts: Parts,
    job: Job,
    way: Run | Carry,
    tried: _Tried,
) -> Result[Answer, SendError]:
    transfer = Transfer(
        parts.steerer, job.route.service, way, job.origin,
        runtime.read_clock(),
    )  # fmt: skip
    if not may_send(job.give_up_at, transfer.started_at):
        transfer.finish(healthy=None)
        return Failure(SendError(way.address, sent=False, what='too late'))
    seconds = job.give_up_at - transfer.started_at
    # The entry VM that the caller asked has kept time for another attempt: a
    # hop that kept some of the rest would cut targets that are only slow.
    may_retry = job.is_safe and not (tried.attempts or job.is_hopped)
    sent = parts.dispatcher.send(
        way.address,
        prepare(parts, job, way, is_retry=tried.attempts > 0),
        limit_attempt(seconds, may_retry=may_retry),
        # An idle connection that turns out silent costs an eighth of the time,
        # which a hop may not have.
        fresh=job.is_hopped or not job.is_safe,
    )
    if not isinstance(sent, Success):
        transfer.finish(healthy=False)
        return sent
    answer = sent.unwrap()
    if isinstance(way, Carry) and find_header(answer.headers, _RAN):
        transfer.finish(healthy=None, spare=0)
        close_body(answer.body)
        return Failure(_read_hop_refusal(parts, job, way, answer))
    spare = read_spare(way, answer)
    if isinstance(way, Run):
        answer = answer._replace(headers=drop_own(answer.headers))
    return Success(settle(transfer, answer, spare))


def _read_hop_refusal(
    parts: Parts,
    job: Job,
    way: Carry,
    answer: Answer,
) -> SendError:
    token = find_header(answer.headers, hops.HOP_HEADER)
    secret = parts.identity.secret
    is_sent = not hops.is_disclaimed(secret, token, job.request_id)
    return SendError(way.address, sent=is_sent, what='refused by entry VM')


def _lead(
    parts: Parts,
    job: Job,
    way: Run | Carry,
    tried: _Tried,
    key: Key | None,
) -> Result[Answer, SendError]:
    """Send a request; over a link, share its answer with all who ask alike."""
    is_far = isinstance(way, Carry) and way.is_far
    if key is None or not is_far or not parts.sharing.lead(key):
        return _send(parts, job, way, tried)
    whole: Answer | None = None
    try:
        sent = _send(parts, job, way, tried)
        if isinstance(sent, Success) and can_collect(sent.unwrap()):
            whole = collect(sent.unwrap())
            return Success(whole)
        return sent
    except (HTTPError, OSError) as error:
        return Failure(SendError(way.address, sent=True, what=str(error)))
    finally:
        parts.sharing.publish(key, whole)


def _note_failure(
    parts: Parts,
    job: Job,
    way: Run | Carry,
    error: SendError,
) -> None:
    reason = 'unanswered' if error.sent else 'unsent'
    parts.counters.add(f'retry.{reason}')
    events.log(
        events.TARGET_FAILED,
        target=way.name,
        request_id=job.request_id,
        sent=error.sent,
        what=error.what,
    )
