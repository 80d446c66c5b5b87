"""Sends a request to a target and classifies its answer."""

import asyncio
from http import HTTPStatus
from typing import Final, NamedTuple

from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.limit_exchange import LimitExchange
from toucanhall.edge.target_links import TargetLinks
from toucanhall.edge.unknown_headers import UnknownHeaders
from toucanhall.fleet.model import Target
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.choice import Candidate
from toucanhall.placement.registry import TargetRegistry
from toucanhall.platform.headers import (
    TargetHeaders,
    find_unknown_headers,
    make_target_request,
    read_target_headers,
)
from toucanhall.web.client import (
    ClosedByPeerError,
    IncompleteAnswerError,
    OutOfDescriptorsError,
    ReceivedAnswer,
    UnreachableError,
)
from toucanhall.web.messages import encode_request

__all__ = ('Failure', 'Sender', 'Success')

_MIN_FAILED_STATUS: Final = HTTPStatus.INTERNAL_SERVER_ERROR
# By whether the target is in the own region. Three round trips, which take 2 ms
# in a region and 110 ms between regions; a VM may also be slow to accept.
_CONNECT_TIMEOUT_SECONDS: Final = {True: 0.15, False: 0.35}
_MIN_REDIRECTION_STATUS: Final = HTTPStatus.MULTIPLE_CHOICES


class Success(NamedTuple):
    """An answer to pass on; `seconds` from the start of the attempt.

    `load_ratio` is the estimated number of requests at the target when the
    request was sent, over the number of its slots.
    """

    reply: ReceivedAnswer
    seconds: float
    load_ratio: float


class Failure(NamedTuple):
    """An attempt without success.

    `was_sent` tells whether bytes were sent to the target, `may_have_run`
    whether it may have processed them, `is_closed_by_target` whether it closed
    the connection before its answer; `reply` is its answer, if it gave one.
    """

    reason: str
    target: str
    was_sent: bool = True
    may_have_run: bool = True
    reply: ReceivedAnswer | None = None
    detail: str = ''
    is_closed_by_target: bool = False

    @property
    def is_link_failure(self) -> bool:
        """Whether no answer came, which the links may have caused."""
        return self.reason in {'unreachable', 'broken'}


class Sender:
    """Sends requests on pooled connections; records the health of targets."""

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        pool: ConnectionPool,
        journal: Journal,
        limits: LimitExchange,
        links: TargetLinks,
    ) -> None:
        """Record loads and health of targets in `registry`."""
        self._registry = registry
        self._pool = pool
        self._journal = journal
        self._limits = limits
        self._links = links
        self._unknown_headers = UnknownHeaders(
            journal=journal, event=events.UNKNOWN_HEADER
        )
        self._loop = asyncio.get_running_loop()

    async def attempt(
        self,
        admitted: AdmittedRequest,
        candidate: Candidate,
    ) -> Success | Failure:
        """Send a request to a target once."""
        target, load = candidate
        started_at = self._loop.time()
        sent_at = self._limits.read_clock()
        load_ratio = load.estimate_requests(started_at) / load.slots
        load.in_flight += 1
        is_answered = False
        self._links.record_sent()
        try:
            reply = await self._exchange(admitted, target)
            is_answered = True
        except UnreachableError as error:
            if not isinstance(error, OutOfDescriptorsError):
                self._record_failure(target, is_lost=True, why=str(error))
            return Failure(
                'unreachable',
                target.id,
                was_sent=False,
                may_have_run=False,
                detail=str(error),
            )
        except IncompleteAnswerError as error:
            self._record_failure(target, is_lost=False, why=str(error))
            return Failure(
                'broken',
                target.id,
                detail=str(error),
                is_closed_by_target=isinstance(error, ClosedByPeerError),
            )
        finally:
            load.in_flight -= 1
            self._links.record_end(is_answered=is_answered)
        seconds = self._loop.time() - started_at
        headers = read_target_headers(reply)
        self._limits.record_answer(target, headers, sent_at)
        self._record_notices(target, headers)
        self._unknown_headers.record(
            find_unknown_headers(reply), target=target.id
        )
        return self._classify(
            candidate, Success(reply, seconds, load_ratio), headers
        )

    def record_success(self, candidate: Candidate, ratio: float | None) -> None:
        """Record an answer; `ratio` is its time over the expected time."""
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
            connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS[
                self._registry.is_in_own_region(target)
            ],
        )
        forwarded = make_target_request(
            admitted.request,
            target=target.id,
            team=admitted.team.name if admitted.team else None,
            remaining_seconds=admitted.deadline - self._loop.time(),
        )
        reply = await self._pool.exchange(
            connection,
            encode_request(forwarded),
            admitted.headers.request_id,
            may_retry=admitted.route.is_idempotent,
        )
        self._pool.release(target.address, connection)
        return reply

    def _classify(
        self,
        candidate: Candidate,
        success: Success,
        headers: TargetHeaders,
    ) -> Success | Failure:
        target, load = candidate
        reply = success.reply
        now = self._loop.time()
        if headers.pending_requests is not None:
            load.record_reported_load(headers.pending_requests, now)
        if headers.is_not_run:
            return self._classify_not_run(candidate, headers, now)
        if headers.is_unproven_refusal:
            # Passed on, the status would promise that the request never ran.
            why = f'status {reply.status} without proof that nothing ran'
            if not headers.pause_seconds:
                self._record_failure(target, is_lost=False, why=why)
            return Failure('unproven', target.id, detail=why)
        if reply.status >= _MIN_FAILED_STATUS:
            self._record_failure(
                target, is_lost=False, why=f'status {reply.status}'
            )
            return Failure(f'status-{reply.status}', target.id, reply=reply)
        if reply.status < _MIN_REDIRECTION_STATUS and not headers.has_stamp:
            self._record_failure(
                target,
                is_lost=False,
                why=f'status {reply.status} without response stamp',
            )
            return Failure('unstamped', target.id)
        return success

    def _record_notices(self, target: Target, headers: TargetHeaders) -> None:
        notices = self._registry.notices
        if headers.is_leaving and notices.record_leaving(target):
            self._journal.write(events.TARGET_LEAVES, target=target.id)
        if headers.pause_seconds:
            notices.record_pause(
                target, headers.pause_seconds, self._loop.time()
            )
            self._journal.write(
                events.TARGET_PAUSES,
                target=target.id,
                seconds=headers.pause_seconds,
            )

    def _classify_not_run(
        self,
        candidate: Candidate,
        headers: TargetHeaders,
        now: float,
    ) -> Failure:
        target, load = candidate
        if headers.is_misdirected:
            self._registry.suspend(target.id, now)
            return Failure('misdirected', target.id, may_have_run=False)
        load.fill(now)
        return Failure('not-run', target.id, may_have_run=False)

    def _record_failure(
        self, target: Target, *, is_lost: bool, why: str
    ) -> None:
        load = self._registry.loads.get(target.id)
        now = self._loop.time()
        if load is not None and load.record_failure(now, is_lost=is_lost):
            self._journal.write(
                events.TARGET_SUSPENDED,
                target=target.id,
                why=why,
                seconds=round(load.suspended_until - now, 2),
            )
