"""Sends a request to a target and judges its answer."""

import asyncio
from http import HTTPStatus
from typing import Final, NamedTuple

from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.fleet.model import Target
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.choice import Candidate
from toucanhall.placement.registry import TargetRegistry
from toucanhall.platform.headers import (
    TargetHeaders,
    make_target_request,
    read_target_headers,
)
from toucanhall.web.client import (
    IncompleteAnswerError,
    OutOfDescriptorsError,
    ReceivedAnswer,
    UnreachableError,
)
from toucanhall.web.messages import encode_request

__all__ = ('Failure', 'Sender', 'Success')

_FAILED_STATUS: Final = HTTPStatus.INTERNAL_SERVER_ERROR
# Three times the way there and back: 2 ms in a region, 110 ms between them,
# where a VM may also be slow to accept.
_CONNECT_SECONDS: Final = {True: 0.15, False: 0.35}
_REDIRECTED_STATUS: Final = HTTPStatus.MULTIPLE_CHOICES


class Success(NamedTuple):
    """An answer to pass on; `seconds` from the start of the attempt.

    `fill` is how full the target seemed when the request was sent, 1 for as
    many requests as it has slots.
    """

    reply: ReceivedAnswer
    seconds: float
    fill: float


class Failure(NamedTuple):
    """An attempt that brought no success.

    `was_sent` tells that bytes left for the target, `may_have_run` that it may
    have worked on them; `reply` is its own answer, if there was one.
    """

    reason: str
    target: str
    was_sent: bool = True
    may_have_run: bool = True
    reply: ReceivedAnswer | None = None
    detail: str = ''


class Sender:
    """Attempts on pooled connections; notes the health of targets."""

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        pool: ConnectionPool,
        journal: Journal,
    ) -> None:
        """Keep loads and health in `registry`."""
        self._registry = registry
        self._pool = pool
        self._journal = journal
        self._loop = asyncio.get_running_loop()

    async def attempt(
        self,
        admitted: AdmittedRequest,
        candidate: Candidate,
    ) -> Success | Failure:
        """Send a request to a target once."""
        target, load = candidate
        started_at = self._loop.time()
        fill = load.estimate_requests(started_at) / load.slots
        load.in_flight += 1
        try:
            reply = await self._exchange(admitted, target)
        except UnreachableError as error:
            if not isinstance(error, OutOfDescriptorsError):
                self._fail(target, is_lost=True, why=str(error))
            return Failure(
                'unreachable',
                target.id,
                was_sent=False,
                may_have_run=False,
                detail=str(error),
            )
        except IncompleteAnswerError as error:
            self._fail(target, is_lost=False, why=str(error))
            return Failure('broken', target.id, detail=str(error))
        finally:
            load.in_flight -= 1
        seconds = self._loop.time() - started_at
        return self._judge(candidate, Success(reply, seconds, fill))

    def record_success(self, candidate: Candidate, ratio: float | None) -> None:
        """Note an answer; `ratio` is its time over the usual time."""
        if candidate.load.record_success(ratio):
            self._journal.write(
                events.TARGET_RESUMED,
                target=candidate.target.id,
            )

    async def _exchange(
        self, admitted: AdmittedRequest, target: Target
    ) -> ReceivedAnswer:
        connection = await self._pool.acquire(
            target.address,
            may_retry=admitted.route.is_idempotent,
            seconds=_CONNECT_SECONDS[self._registry.is_in_own_region(target)],
        )
        forwarded = make_target_request(
            admitted.request,
            target=target.id,
            team=admitted.team.name if admitted.team else None,
            remaining_seconds=admitted.deadline - self._loop.time(),
        )
        reply = await connection.exchange(
            encode_request(forwarded),
            admitted.marks.request_id,
        )
        self._pool.release(target.address, connection)
        return reply

    def _judge(
        self,
        candidate: Candidate,
        success: Success,
    ) -> Success | Failure:
        target, load = candidate
        reply = success.reply
        marks = read_target_headers(reply)
        now = self._loop.time()
        if marks.pending_requests is not None:
            load.record_reported_load(marks.pending_requests, now)
        if marks.is_not_run:
            return self._take_not_run(candidate, marks, now)
        if marks.is_unproven_refusal:
            # Passed on, the status would promise that the request never ran.
            why = f'status {reply.status} without a proof'
            self._fail(target, is_lost=False, why=why)
            return Failure('unproven', target.id, detail=why)
        if reply.status >= _FAILED_STATUS:
            self._fail(target, is_lost=False, why=f'status {reply.status}')
            return Failure(f'status-{reply.status}', target.id, reply=reply)
        if reply.status < _REDIRECTED_STATUS and not marks.has_stamp:
            self._fail(target, is_lost=False, why='answer without a stamp')
            return Failure('unstamped', target.id)
        return success

    def _take_not_run(
        self,
        candidate: Candidate,
        marks: TargetHeaders,
        now: float,
    ) -> Failure:
        target, load = candidate
        if marks.is_misdirected:
            self._registry.suspend(target.id, now)
            return Failure('misdirected', target.id, may_have_run=False)
        load.fill(now)
        return Failure('not-run', target.id, may_have_run=False)

    def _fail(self, target: Target, *, is_lost: bool, why: str) -> None:
        load = self._registry.loads.get(target.id)
        now = self._loop.time()
        if load is not None and load.record_failure(now, is_lost=is_lost):
            self._journal.write(
                events.TARGET_SUSPENDED,
                target=target.id,
                why=why,
                seconds=round(load.suspended_until - now, 2),
            )
