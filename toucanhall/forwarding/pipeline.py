"""Serves a request: admission, idempotency claim, forwarding, refusal."""

import hashlib
import traceback
from typing import Final

from returns.result import Failure, Result, Success

from toucanhall import events
from toucanhall.forwarding import hops
from toucanhall.forwarding.admission import admit
from toucanhall.forwarding.attempts import forward
from toucanhall.forwarding.bodies import close_body
from toucanhall.forwarding.jobs import RETRY_AFTER_SECONDS, Job, Parts
from toucanhall.forwarding.problems import (
    NOT_RUN,
    REASONS,
    Refusal,
    refuse,
    render,
)
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.idempotency import Begun, Outcome, Verdict, name_claim

__all__ = ('serve',)

_VERDICT_REFUSALS: Final = {
    Verdict.DONE: Refusal('claim-done', 'its answer was too large to keep'),
    Verdict.OPEN: Refusal(
        'claim-open',
        'it may have run and its outcome is not known yet',
        RETRY_AFTER_SECONDS,
    ),
    Verdict.MISMATCH: Refusal('claim-mismatch', 'the earlier request differs'),
    Verdict.UNCLAIMED: Refusal(
        'store-unavailable',
        'the claim was not made',
        RETRY_AFTER_SECONDS,
    ),
    Verdict.LATE: Refusal('deadline', 'nothing was sent', RETRY_AFTER_SECONDS),
}


def serve(parts: Parts, request: Request) -> Answer:
    """Return the answer to a request, or a final refusal."""
    served: Result[Answer, Refusal]
    try:
        served = _serve(parts, request)
    except Exception as error:
        events.log(events.REQUEST_CRASHED, what=_describe_error(error))
        served = refuse('internal', 'see the log of the entry VM')
    if isinstance(served, Success):
        answer: Answer = served.unwrap()
        return answer
    refusal = served.failure()
    parts.counters.add(f'refused.{refusal.reason}')
    events.log(
        events.REQUEST_REFUSED,
        reason=refusal.reason,
        detail=refusal.detail,
    )
    return _render_refusal(parts, request, refusal)


def _render_refusal(parts: Parts, request: Request, refusal: Refusal) -> Answer:
    """Render a refusal, with a disclaimer for a hop that did not run."""
    answer = render(refusal)
    token = find_header(request.headers, hops.HOP_HEADER)
    if REASONS[refusal.reason].ran != NOT_RUN or not token:
        return answer
    hop_read = hops.read_token(parts.identity.secret, token)
    if not isinstance(hop_read, Success):
        return answer
    disclaimer = hops.make_disclaimer(
        parts.identity, hop_read.unwrap().request_id
    )
    headers = (*answer.headers, (hops.HOP_HEADER, disclaimer))
    return answer._replace(headers=headers)


def _serve(parts: Parts, request: Request) -> Result[Answer, Refusal]:
    return admit(parts, request).bind(lambda job: _run_once(parts, job))


def _describe_error(error: Exception) -> str:
    """Return an error's type and place; its text could hold a caller's key."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    name = type(error).__name__
    return f'{name} at {frame.name}:{frame.lineno}'


def _run_once(parts: Parts, job: Job) -> Result[Answer, Refusal]:
    key = find_header(job.request.headers, 'idempotency-key')
    if job.is_safe or job.is_from_entry_vm or not key:
        return forward(parts, job)
    name = name_claim(job.caller.team, job.request.path, key)
    digest = _digest_request(job.request)
    begun = parts.keeper.begin(name, digest, job.give_up_at)
    if begun.verdict is Verdict.MINE:
        return _run_claimed(parts, job, begun)
    outcome = begun.claim.outcome
    if begun.verdict is Verdict.DONE and outcome and outcome.is_kept:
        return Success(_replay(outcome))
    return Failure(_VERDICT_REFUSALS[begun.verdict])


def _run_claimed(
    parts: Parts,
    job: Job,
    begun: Begun,
) -> Result[Answer, Refusal]:
    forwarded = forward(parts, job)
    if isinstance(forwarded, Success):
        return _store_outcome(parts, begun, forwarded.unwrap())
    if REASONS[forwarded.failure().reason].ran == NOT_RUN:
        parts.keeper.release(begun)
    return forwarded


def _store_outcome(
    parts: Parts,
    begun: Begun,
    answer: Answer,
) -> Result[Answer, Refusal]:
    try:
        body = b''.join(answer.body)
    except OSError as error:
        close_body(answer.body)
        return refuse('target-failed', f'no whole answer: {error}')
    parts.keeper.finish(begun, Outcome(answer.status, answer.headers, body))
    return Success(answer._replace(body=(body,)))


def _replay(outcome: Outcome) -> Answer:
    headers = (*outcome.headers, ('Toucanhall-Replayed', 'yes'))
    return Answer(outcome.status, '', headers, (outcome.body,))


def _digest_request(request: Request) -> str:
    digest = hashlib.sha256(f'{request.method} {request.target}\n'.encode())
    digest.update(request.body)
    return digest.hexdigest()
