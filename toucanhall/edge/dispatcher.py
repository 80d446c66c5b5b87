"""Dispatches a request: admit it, let it be attempted in time, answer it."""

import asyncio
import math
from typing import Final

from toucanhall.edge import refusals
from toucanhall.edge.admission import AdmittedRequest, admit
from toucanhall.edge.attempt_loop import AttemptLoop
from toucanhall.edge.attempts import Attempts
from toucanhall.edge.refusals import Refusal
from toucanhall.edge.request_rate import RequestRate
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.fleet.tables import FleetTables, find_route
from toucanhall.limits.quota import Quotas
from toucanhall.observe import events
from toucanhall.placement.choice import URGENT_PRIORITY
from toucanhall.platform.headers import (
    CallerHeaders,
    read_caller_headers,
)
from toucanhall.platform.relay_headers import add_request_id
from toucanhall.web.lag import LoopLag
from toucanhall.web.messages import Answer, Request

__all__ = ('RequestDispatcher',)

# Requests that waited longer in this VM are refused, the less urgent ones
# sooner: a caller gives up on a VM that reads nothing for a second.
_MAX_LAG_SECONDS: Final = 0.6
_MAX_LESS_URGENT_LAG_SECONDS: Final = 0.3
# Times of a route differ: a target that lacks the object takes three times as
# long as one that has it, and the expected time lies between.
_SLOW_TO_EXPECTED_TIME_RATIO: Final = 2.0


class RequestDispatcher:
    """Answers the requests of callers by sending them to targets."""

    def __init__(
        self,
        *,
        fleet_tables: FleetTables,
        attempt_loop: AttemptLoop,
        quotas: Quotas,
        recorder: RequestRecorder,
        lag: LoopLag,
    ) -> None:
        """Admit by the VM's fleet tables; let `attempt_loop` do the rest."""
        self._fleet_tables = fleet_tables
        self._attempt_loop = attempt_loop
        self._quotas = quotas
        self._recorder = recorder
        self._lag = lag
        self._loop = asyncio.get_running_loop()
        self._ends_at = math.inf
        # From then on, a request is taken only if its deadline comes before.
        self._late_at = math.inf
        self._timeouts: set[asyncio.Timeout] = set()
        self.request_rate = RequestRate(now=self._loop.time())
        self.in_flight = 0

    def stop(self, ends_at: float) -> None:
        """Answer each request by a time of the loop's clock."""
        self._ends_at = ends_at
        self._late_at = (self._loop.time() + ends_at) / 2
        for timeout in self._timeouts:
            when = timeout.when()
            if when is not None and when > ends_at:
                timeout.reschedule(ends_at)

    def is_cancellable(self, request: Request) -> bool:
        """Whether a request is cancelled when its caller has left."""
        configuration = self._fleet_tables.configuration
        if configuration is None:
            return True
        headers = read_caller_headers(request)
        route = find_route(configuration, headers.host, headers.path)
        return route is None or route.is_idempotent

    async def serve(self, request: Request) -> Answer:
        """Return the final answer to a request of a caller."""
        headers = read_caller_headers(request)
        admitted = admit(
            request,
            headers,
            self._fleet_tables.configuration,
            self._quotas,
            self._loop.time(),
        )
        return await self._serve(headers, admitted, may_relay=True)

    async def serve_relayed(self, request: Request, attempts: int) -> Answer:
        """Return the answer to a request of a VM without targets.

        It has admitted the request, and leaves so many attempts for it.
        """
        headers = read_caller_headers(request)
        admitted = admit(
            request,
            headers,
            self._fleet_tables.configuration,
            None,
            self._loop.time(),
        )
        if isinstance(admitted, AdmittedRequest):
            route = admitted.route
            admitted = admitted._replace(
                route=route._replace(attempts=min(attempts, route.attempts))
            )
        answer = await self._serve(headers, admitted, may_relay=False)
        return add_request_id(answer, headers.request_id)

    def refuse_for_memory(self, request: Request) -> Answer:
        """Return the answer to a request that has not run for want of room.

        It carries the request's id, since another VM may have sent it.
        """
        headers = read_caller_headers(request)
        answer = self._recorder.record_refusal(headers, refusals.VM_MEMORY_FULL)
        return add_request_id(answer, headers.request_id)

    async def _serve(
        self,
        headers: CallerHeaders,
        admitted: AdmittedRequest | Refusal,
        *,
        may_relay: bool,
    ) -> Answer:
        self.request_rate.add()
        if isinstance(admitted, Refusal):
            return self._recorder.record_refusal(headers, admitted)
        if self._lag.seconds > _get_max_lag_seconds(admitted.priority):
            return self._recorder.record_refusal(
                headers,
                refusals.VM_OVERLOADED,
                lag=round(self._lag.seconds, 3),
            )
        if not self._can_finish(admitted):
            return self._recorder.record_refusal(
                headers,
                refusals.VM_STOPPING,
                seconds_left=round(self._ends_at - self._loop.time(), 3),
            )
        self.in_flight += 1
        try:
            return await self._attempt_until_deadline(admitted, may_relay)
        except asyncio.CancelledError:
            self._recorder.record_caller_left(headers, admitted.route.name)
            raise
        except Exception as error:  # noqa: BLE001
            self._recorder.write(
                events.REQUEST_CRASHED,
                headers,
                why=repr(error),
            )
            return self._recorder.record_refusal(
                headers, refusals.INTERNAL_ERROR
            )
        finally:
            self.in_flight -= 1

    async def _attempt_until_deadline(
        self, admitted: AdmittedRequest, may_relay: bool
    ) -> Answer:
        attempts = self._attempt_loop.begin(admitted, may_relay=may_relay)
        try:
            return await self._attempt_with_timeout(
                min(admitted.deadline, self._ends_at),
                admitted,
                attempts,
            )
        except TimeoutError:
            return self._recorder.record_refusal(
                admitted.headers,
                refusals.TIMED_OUT,
                route=admitted.route.name,
                tried=sorted(attempts.tried),
            )

    async def _attempt_with_timeout(
        self,
        until: float,
        admitted: AdmittedRequest,
        attempts: Attempts,
    ) -> Answer:
        async with asyncio.timeout_at(until) as timeout:
            self._timeouts.add(timeout)
            try:
                return await self._attempt_loop.run(admitted, attempts)
            finally:
                self._timeouts.discard(timeout)

    def _can_finish(self, admitted: AdmittedRequest) -> bool:
        """Whether a request can be answered before this VM stops.

        One that must not be sent twice, or comes late, gets no benefit of the
        doubt: others serve it, while this VM would cut it off.
        """
        if not admitted.route.is_idempotent or (
            admitted.received_at >= self._late_at
        ):
            return admitted.deadline <= self._ends_at
        expected_seconds = self._attempt_loop.response_times.get(
            admitted.route.name,
            admitted.objective_seconds,
        )
        latest_end = min(
            admitted.deadline,
            admitted.received_at
            + expected_seconds * _SLOW_TO_EXPECTED_TIME_RATIO,
        )
        return latest_end <= self._ends_at


def _get_max_lag_seconds(priority: int) -> float:
    if priority > URGENT_PRIORITY:
        return _MAX_LESS_URGENT_LAG_SECONDS
    return _MAX_LAG_SECONDS
