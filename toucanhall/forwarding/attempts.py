"""Tries the ways to a target until one gives a whole answer."""

from collections.abc import Iterable
from typing import Final

from returns.result import Failure, Result, Success

from toucanhall import events, runtime
from toucanhall.forwarding import hops
from toucanhall.forwarding.bodies import SettledBody, close_body
from toucanhall.forwarding.credentials import digest_key
from toucanhall.forwarding.dispatch import ID_HEADER, SendError
from toucanhall.forwarding.headers import drop_own
from toucanhall.forwarding.jobs import BACK_SOON_SECONDS, Job, Parts
from toucanhall.forwarding.problems import RAN_HEADER, Refusal, refuse
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.idempotency import may_send
from toucanhall.steering import Choice, Terrain, rank

__all__ = ('forward',)

_ATTEMPTS: Final = 3
_SERVER_ERROR: Final = 500


def forward(parts: Parts, job: Job) -> Result[Answer, Refusal]:
    """Send an admitted request; a failure is final and truly says if it ran."""
    was_sent = False
    for choice in _rank(parts, job)[:_ATTEMPTS]:
        if _is_over(job, was_sent=was_sent):
            break
        sent = _send(parts, job, choice)
        if isinstance(sent, Success):
            return sent
        _note_failure(parts, job, choice, sent.failure())
        was_sent = was_sent or sent.failure().sent
    return refuse(*_explain(job, was_sent=was_sent))


def _is_over(job: Job, *, was_sent: bool) -> bool:
    if was_sent and not job.is_safe:
        return True
    return not may_send(job.give_up_at, runtime.read_clock())


def _explain(job: Job, *, was_sent: bool) -> tuple[str, str, float]:
    is_late = not may_send(job.give_up_at, runtime.read_clock())
    if was_sent and not job.is_safe:
        return 'target-failed', 'it may have run', 0
    if was_sent:
        reason = 'target-late' if is_late else 'target-failed'
        return reason, 'no whole answer', BACK_SOON_SECONDS
    if is_late:
        return 'deadline', 'nothing was sent', BACK_SOON_SECONDS
    return 'no-target', f'service {job.route.service!r}', BACK_SOON_SECONDS


def _rank(parts: Parts, job: Job) -> tuple[Choice, ...]:
    terrain = Terrain(
        job.catalogue,
        parts.zone,
        parts.loads.read(),
        parts.list_hops(),
    )
    return rank(
        terrain,
        job.route.service,
        runtime.read_clock(),
        may_hop=not job.is_hopped,
    )


def _send(
    parts: Parts,
    job: Job,
    choice: Choice,
) -> Result[Answer, SendError]:
    parts.loads.start(choice.name)
    sent = parts.dispatcher.send(
        choice.address,
        _prepare(parts, job, choice),
        job.give_up_at - runtime.read_clock(),
        fresh=not job.is_safe,
    )
    if not isinstance(sent, Success):
        parts.loads.finish(choice.name, healthy=False)
        return sent
    answer = sent.unwrap()
    if choice.is_hop and find_header(answer.headers, RAN_HEADER.lower()):
        parts.loads.finish(choice.name, healthy=True)
        close_body(answer.body)
        return Failure(_read_hop_refusal(parts, job, choice, answer))
    if not choice.is_hop:
        answer = answer._replace(headers=drop_own(answer.headers))
    body = _settle_after(parts, choice, answer)
    return Success(answer._replace(body=body))


def _read_hop_refusal(
    parts: Parts,
    job: Job,
    choice: Choice,
    answer: Answer,
) -> SendError:
    token = find_header(answer.headers, hops.HOP_HEADER)
    secret = parts.identity.secret
    is_sent = not hops.is_disclaimed(secret, token, job.request_id)
    return SendError(choice.address, sent=is_sent, what='refused by entry VM')


def _settle_after(
    parts: Parts,
    choice: Choice,
    answer: Answer,
) -> Iterable[bytes]:
    healthy = answer.status < _SERVER_ERROR
    if isinstance(answer.body, tuple):
        parts.loads.finish(choice.name, healthy=healthy)
        return answer.body
    return SettledBody(
        body=answer.body,
        settle=lambda whole: parts.loads.finish(
            choice.name,
            healthy=healthy and whole,
        ),
    )


def _prepare(parts: Parts, job: Job, choice: Choice) -> Request:
    added = [(ID_HEADER, job.request_id)]
    if choice.is_hop:
        hop = hops.Hop(
            team=job.caller.team,
            key_digest=digest_key(job.caller.key) if job.caller.key else '',
            request_id=job.request_id,
            method=job.request.method,
            target=job.request.target,
            seconds=job.give_up_at - runtime.read_clock(),
        )
        added.append((hops.HOP_HEADER, hops.make_token(parts.identity, hop)))
    kept = drop_own(job.request.headers)
    return job.request._replace(headers=(*kept, *added))


def _note_failure(
    parts: Parts,
    job: Job,
    choice: Choice,
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
