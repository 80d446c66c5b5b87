"""Tries the ways to a target until one gives a whole answer."""

from collections.abc import Iterable
from typing import Final

from returns.result import Failure, Result, Success

from toucanhall import events, runtime
from toucanhall.forwarding import hops
from toucanhall.forwarding.bodies import SettledBody, close_body
from toucanhall.forwarding.credentials import digest_key
from toucanhall.forwarding.dispatch import SendError
from toucanhall.forwarding.jobs import BACK_SOON_SECONDS, Job, Parts
from toucanhall.forwarding.problems import Refusal, refuse
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.steering import Choice, Terrain, rank

__all__ = ('forward',)

_ATTEMPTS: Final = 3
_SERVER_ERROR: Final = 500
_ID_HEADER: Final = 'Toucanhall-Request-Id'


def forward(parts: Parts, job: Job) -> Result[Answer, Refusal]:
    """Send an admitted request; a failure is final and truly says if it ran."""
    last: SendError | None = None
    for choice in _rank(parts, job)[:_ATTEMPTS]:
        seconds = job.give_up_at - runtime.read_clock()
        if seconds <= 0:
            return refuse('deadline', 'nothing was sent', BACK_SOON_SECONDS)
        sent = _send(parts, job, choice, seconds)
        if isinstance(sent, Success):
            return sent
        last = sent.failure()
        _note_failure(parts, job, choice, last)
        if last.sent and not job.is_safe:
            return refuse('target-failed', 'it may have run')
    if last is None or not last.sent:
        return refuse(
            'no-target',
            f'service {job.route.service!r}',
            BACK_SOON_SECONDS,
        )
    return refuse('target-failed', 'no whole answer', BACK_SOON_SECONDS)


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
    seconds: float,
) -> Result[Answer, SendError]:
    parts.loads.start(choice.name)
    sent = parts.dispatcher.send(
        choice.address,
        _prepare(parts, job, choice),
        seconds,
        fresh=not job.is_safe,
    )
    if not isinstance(sent, Success):
        parts.loads.finish(choice.name, healthy=False)
        return sent
    answer = sent.unwrap()
    if choice.is_hop and find_header(answer.headers, 'toucanhall-ran') == 'no':
        parts.loads.finish(choice.name, healthy=True)
        close_body(answer.body)
        return Failure(
            SendError(choice.address, sent=False, what='refused by entry VM'),
        )
    body = _settle_after(parts, choice, answer)
    return Success(answer._replace(body=body))


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
    added = [(_ID_HEADER, job.request_id)]
    if choice.is_hop:
        hop = hops.Hop(
            team=job.caller.team,
            key_digest=digest_key(job.caller.key) if job.caller.key else '',
            request_id=job.request_id,
            method=job.request.method,
            target=job.request.target,
        )
        added.append((hops.HOP_HEADER, hops.make_token(parts.identity, hop)))
    return job.request._replace(headers=(*job.request.headers, *added))


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
