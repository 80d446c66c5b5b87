"""Sends a request to a target once."""

import asyncio
from typing import Final

from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.answer_reader import AnswerReader, Start
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.limit_exchange import LimitExchange
from toucanhall.edge.outcomes import Failure, Success
from toucanhall.edge.target_links import TargetLinks
from toucanhall.fleet.model import Target
from toucanhall.observe.journal import Journal
from toucanhall.placement.choice import Candidate
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.registry import TargetRegistry
from toucanhall.platform.headers import make_target_request
from toucanhall.web.client import (
    AnswerPart,
    ClosedByPeerError,
    IncompleteAnswerError,
    NoRoomError,
    OutOfDescriptorsError,
    ReceivedAnswer,
    ServerConnection,
    UnreachableError,
)
from toucanhall.web.messages import encode_request

__all__ = ('Sender',)

# By whether the target is in the own region. Three round trips, which take 2 ms
# in a region and 110 ms between regions; a VM may also be slow to accept.
_CONNECT_TIMEOUT_SECONDS: Final = {True: 0.15, False: 0.35}


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
        self._limits = limits
        self._links = links
        self._reader = AnswerReader(
            registry=registry, journal=journal, limits=limits
        )
        self._loop = asyncio.get_running_loop()

    async def attempt(
        self,
        admitted: AdmittedRequest,
        candidate: Candidate,
    ) -> Success | Failure:
        """Send a request to a target once."""
        target, load = candidate
        start = self._begin(load)
        connection: ServerConnection | None = None
        reply: ReceivedAnswer | None = None
        try:
            connection = await self._acquire(admitted, target)
            reply = await self._exchange(connection, admitted, target)
        except UnreachableError as error:
            return self._fail_unsent(target, error)
        except IncompleteAnswerError as error:
            return self._fail_unanswered(target, error, connection)
        except asyncio.CancelledError:
            self._record_unfinished(target, connection)
            raise
        finally:
            load.in_flight -= 1
            self._links.record_end(is_answered=reply is not None)
        return self._reader.read(candidate, reply, start, connection.use)

    def record_success(self, candidate: Candidate, ratio: float | None) -> None:
        """Record an answer; `ratio` is its time over the expected time."""
        self._reader.record_success(candidate, ratio)

    def _begin(self, load: TargetLoad) -> Start:
        now = self._loop.time()
        start = Start(
            at=now,
            sent_at=self._limits.read_clock(),
            load_ratio=load.estimate_requests(now) / load.slots,
        )
        load.in_flight += 1
        self._links.record_sent()
        return start

    async def _acquire(
        self, admitted: AdmittedRequest, target: Target
    ) -> ServerConnection:
        return await self._pool.acquire(
            target.address,
            admitted.headers.request_id,
            may_retry=admitted.route.is_idempotent,
            connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS[
                self._registry.is_in_own_region(target)
            ],
        )

    async def _exchange(
        self,
        connection: ServerConnection,
        admitted: AdmittedRequest,
        target: Target,
    ) -> ReceivedAnswer:
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

    def _record_unfinished(
        self, target: Target, connection: ServerConnection | None
    ) -> None:
        """Record a wait that its deadline or its caller ended in a head.

        A target sends a head at once, so the target is at fault.
        """
        if connection is not None and connection.part is AnswerPart.HEAD:
            self._reader.record_unfinished_head(target, connection.use)

    def _fail_unsent(self, target: Target, error: UnreachableError) -> Failure:
        if not isinstance(error, OutOfDescriptorsError):
            self._reader.record_failure(target, is_lost=True, why=str(error))
        return Failure(
            'unreachable',
            target.id,
            was_sent=False,
            may_have_run=False,
            detail=str(error),
        )

    def _fail_unanswered(
        self,
        target: Target,
        error: IncompleteAnswerError,
        connection: ServerConnection | None,
    ) -> Failure:
        if not isinstance(error, NoRoomError):
            self._reader.record_failure(target, is_lost=False, why=str(error))
        return Failure(
            'broken',
            target.id,
            detail=str(error),
            is_closed_by_target=isinstance(error, ClosedByPeerError),
            connection=connection.use if connection else None,
        )
