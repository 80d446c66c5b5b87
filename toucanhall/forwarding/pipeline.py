"""Takes a caller's request through every decision to its answer."""

import hashlib

from returns.result import Result, Success

from toucanhall import events
from toucanhall.forwarding.admission import admit
from toucanhall.forwarding.attempts import forward
from toucanhall.forwarding.jobs import BACK_SOON_SECONDS, Job, Parts
from toucanhall.forwarding.problems import Refusal, refuse, render
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.idempotency import Begun, Outcome, Standing, name_claim

__all__ = ('serve',)


def serve(parts: Parts, request: Request) -> Answer:
    """Answer a request: forward it, or refuse it for good at once."""
    served: Result[Answer, Refusal] = admit(parts, request).bind(
        lambda job: _run(parts, job),
    )
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
    return render(refusal)


def _run(parts: Parts, job: Job) -> Result[Answer, Refusal]:
    key = find_header(job.request.headers, 'idempotency-key')
    if job.is_safe or job.is_hopped or not key:
        return forward(parts, job)
    name = name_claim(job.caller.team, job.route.path, key)
    digest = _digest_request(job.request)
    begun = parts.keeper.begin(name, digest)
    if not isinstance(begun, Success):
        return refuse(
            'store-unavailable',
            'the claim was not made',
            BACK_SOON_SECONDS,
        )
    return _run_claimed(parts, job, begun.unwrap())


def _run_claimed(
    parts: Parts,
    job: Job,
    begun: Begun,
) -> Result[Answer, Refusal]:
    if begun.standing is Standing.MISMATCH:
        return refuse('claim-mismatch', 'the earlier request differs')
    if begun.standing is Standing.OPEN:
        return refuse(
            'claim-open',
            'it may have run and its outcome is not known yet',
            BACK_SOON_SECONDS,
        )
    if begun.standing is Standing.DONE and begun.claim.outcome:
        return Success(_replay(begun.claim.outcome))
    forwarded = forward(parts, job)
    if isinstance(forwarded, Success):
        return Success(_keep_outcome(parts, begun, forwarded.unwrap()))
    if forwarded.failure().reason != 'target-failed':
        parts.keeper.release(begun)
    return forwarded


def _keep_outcome(parts: Parts, begun: Begun, answer: Answer) -> Answer:
    body = b''.join(answer.body)
    parts.keeper.finish(begun, Outcome(answer.status, answer.headers, body))
    return answer._replace(body=(body,))


def _replay(outcome: Outcome) -> Answer:
    headers = (*outcome.headers, ('Toucanhall-Replayed', 'yes'))
    return Answer(outcome.status, '', headers, (outcome.body,))


def _digest_request(request: Request) -> str:
    digest = hashlib.sha256(f'{request.method} {request.target}\n'.encode())
    digest.update(request.body)
    return digest.hexdigest()
