"""Takes a caller's request through every decision to its answer."""

import hashlib
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from returns.result import Result, Success

from toucanhall import events, runtime
from toucanhall.catalogue import Catalogue, Holder, Route
from toucanhall.counters import Counters
from toucanhall.forwarding import hops
from toucanhall.forwarding.bodies import SettledBody, close_body
from toucanhall.forwarding.credentials import (
    Caller,
    digest_key,
    identify,
    strip_key,
)
from toucanhall.forwarding.dispatch import Dispatcher, SendError
from toucanhall.forwarding.problems import Refusal, make_refusal, render
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.idempotency import (
    Begun,
    Keeper,
    Outcome,
    Standing,
    name_claim,
)
from toucanhall.shares import Ledger
from toucanhall.steering import Choice, Hop, Loads, Terrain, rank
from toucanhall.transport.exchange import Identity

__all__ = ('Parts', 'serve')

_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
_ATTEMPTS: Final = 3
_BACK_SOON_SECONDS: Final = 1.0
_SERVER_ERROR: Final = 500
_ID_HEADER: Final = 'Toucanhall-Request-Id'


class Parts(NamedTuple):
    """The state that the request path reads and changes."""

    identity: Identity
    zone: str
    holder: Holder
    ledger: Ledger
    loads: Loads
    keeper: Keeper
    dispatcher: Dispatcher
    counters: Counters
    list_hops: Callable[[], tuple[Hop, ...]]


class Job(NamedTuple):
    """An admitted request: what is sent, for whom, and until when."""

    request: Request
    caller: Caller
    route: Route
    catalogue: Catalogue
    request_id: str
    give_up_at: float
    is_hopped: bool

    @property
    def is_safe(self) -> bool:
        """Whether the request may be sent again after it was sent once."""
        return self.request.method in _SAFE_METHODS


def serve(parts: Parts, request: Request) -> Answer:
    """Answer a request: forward it, or refuse it for good at once."""
    served: Result[Answer, Refusal] = _admit(parts, request).bind(
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


def find_route(catalogue: Catalogue, path: str) -> Route | None:
    """Return the route with the longest path that a request path lies in."""
    for route in catalogue.routes:
        prefix = route.path.rstrip('/')
        if path == route.path or path.startswith(f'{prefix}/'):
            return route
    return None


def _admit(parts: Parts, request: Request) -> Result[Job, Refusal]:
    revision = parts.holder.current
    if revision is None:
        return _refuse('not-ready', 'no catalogue yet', _BACK_SOON_SECONDS)
    catalogue = revision.catalogue
    route = find_route(catalogue, request.path)
    if route is None or '..' in request.path.split('/'):
        return _refuse('no-route', f'path {request.path!r}')
    token = find_header(request.headers, hops.HOP_HEADER)
    if token:
        return _admit_hop(parts, request, catalogue, route)
    return identify(catalogue, route, request).bind(
        lambda caller: _admit_caller(parts, request, route, caller),
    )


def _admit_caller(
    parts: Parts,
    request: Request,
    route: Route,
    caller: Caller,
) -> Result[Job, Refusal]:
    if caller.team:
        wait = parts.ledger.admit(caller.team)
        if wait is not None:
            retry_after = max(wait, _BACK_SOON_SECONDS)
            return _refuse('rate', f'team {caller.team!r}', retry_after)
    revision = parts.holder.current
    assert revision is not None  # noqa: S101 # checked by the caller
    return Success(
        Job(
            request=strip_key(request, caller.key),
            caller=caller,
            route=route,
            catalogue=revision.catalogue,
            request_id=runtime.make_id(),
            give_up_at=runtime.read_clock() + route.deadline,
            is_hopped=False,
        ),
    )


def _admit_hop(
    parts: Parts,
    request: Request,
    catalogue: Catalogue,
    route: Route,
) -> Result[Job, Refusal]:
    token = find_header(request.headers, hops.HOP_HEADER)
    opened = hops.read_token(parts.identity.secret, token)
    if not isinstance(opened, Success):
        parts.counters.add(f'hop.dropped.{opened.failure().reason}')
        return _refuse('bad-request', 'hop is not authentic')
    hop = opened.unwrap()
    if (hop.method, hop.target) != (request.method, request.target):
        return _refuse('bad-request', 'hop is for another request')
    granted = catalogue.keys.get(hop.key_digest)
    if not route.public and (granted is None or granted.team != hop.team):
        return _refuse('key-unknown', f'route {route.path!r}')
    headers = tuple(
        entry
        for entry in request.headers
        if entry[0].lower() != hops.HOP_HEADER
    )
    return Success(
        Job(
            request=request._replace(headers=headers),
            caller=Caller(hop.team, ''),
            route=route,
            catalogue=catalogue,
            request_id=hop.request_id,
            give_up_at=runtime.read_clock() + route.deadline,
            is_hopped=True,
        ),
    )


def _run(parts: Parts, job: Job) -> Result[Answer, Refusal]:
    key = find_header(job.request.headers, 'idempotency-key')
    if job.is_safe or job.is_hopped or not key:
        return _forward(parts, job)
    name = name_claim(job.caller.team, job.route.path, key)
    digest = _digest_request(job.request)
    begun = parts.keeper.begin(name, digest)
    if not isinstance(begun, Success):
        return _refuse(
            'store-unavailable',
            'the claim was not made',
            _BACK_SOON_SECONDS,
        )
    return _run_claimed(parts, job, begun.unwrap())


def _run_claimed(
    parts: Parts,
    job: Job,
    begun: Begun,
) -> Result[Answer, Refusal]:
    if begun.standing is Standing.MISMATCH:
        return _refuse('claim-mismatch', 'the earlier request differs')
    if begun.standing is Standing.OPEN:
        return _refuse(
            'claim-open',
            'it may have run and its outcome is not known yet',
            _BACK_SOON_SECONDS,
        )
    if begun.standing is Standing.DONE and begun.claim.outcome:
        return Success(_replay(begun.claim.outcome))
    forwarded = _forward(parts, job)
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


def _forward(parts: Parts, job: Job) -> Result[Answer, Refusal]:
    last: SendError | None = None
    for choice in _rank(parts, job)[:_ATTEMPTS]:
        seconds = job.give_up_at - runtime.read_clock()
        if seconds <= 0:
            return _refuse('deadline', 'nothing was sent', _BACK_SOON_SECONDS)
        sent = _send(parts, job, choice, seconds)
        if isinstance(sent, Success):
            return sent
        last = sent.failure()
        _note_failure(parts, job, choice, last)
        if last.sent and not job.is_safe:
            return _refuse('target-failed', 'it may have run')
    if last is None or not last.sent:
        return _refuse(
            'no-target',
            f'service {job.route.service!r}',
            _BACK_SOON_SECONDS,
        )
    return _refuse('target-failed', 'no whole answer', _BACK_SOON_SECONDS)


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
        return Result.from_failure(
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


def _digest_request(request: Request) -> str:
    digest = hashlib.sha256(f'{request.method} {request.target}\n'.encode())
    digest.update(request.body)
    return digest.hexdigest()


def _refuse(
    reason: str,
    detail: str,
    retry_after: float = 0.0,
) -> Result[Any, Refusal]:
    return Result.from_failure(make_refusal(reason, detail, retry_after))
