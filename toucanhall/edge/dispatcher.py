"""The path of a request: admit, choose a target, send, answer."""

import asyncio
import math
from typing import Final

from toucanhall.edge import refusals
from toucanhall.edge.admission import AdmittedRequest, admit
from toucanhall.edge.request_rate import RequestRate
from toucanhall.edge.refusals import Refusal
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.sender import Failure, Sender, Success
from toucanhall.fleet.tables import FleetTables, find_route
from toucanhall.limits.quota import Quotas
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.observe import events
from toucanhall.placement.choice import (
    URGENT_PRIORITY,
    TARGETS_PER_OBJECT,
    RequestUrgency,
    Candidate,
    choose_target,
)
from toucanhall.placement.registry import TargetRegistry, TargetQuery
from toucanhall.placement.response_times import ResponseTimes
from toucanhall.platform.headers import make_caller_answer, read_caller_headers
from toucanhall.web.lag import LoopLag
from toucanhall.web.messages import Answer, Request

__all__ = ('RequestDispatcher',)

# Requests that waited for longer in this VM are refused, the less urgent ones
# sooner: a caller gives up on a VM that reads nothing for a second.
_MOST_LAG_SECONDS: Final = 0.6
_LESS_URGENT_LAG_SECONDS: Final = 0.3
# Times of a route differ: a target that lacks the object takes three times as
# long as one that has it, and the usual time lies between.
_SPREAD: Final = 2.0
# Connections that failed without a byte sent do not count as attempts.
_MOST_UNSENT: Final = 3


class _Attempts:
    """Targets that were tried for a request, and the worst failure."""

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.sent = 0
        self.unsent = 0
        self.failure: Failure | None = None

    def record(self, failure: Failure) -> None:
        if failure.was_sent:
            self.sent += 1
        else:
            self.unsent += 1
        known = self.failure
        if known is None or failure.may_have_run or not known.may_have_run:
            self.failure = failure


class RequestDispatcher:
    """Serves requests of callers by targets."""

    def __init__(
        self,
        *,
        fleet_tables: FleetTables,
        registry: TargetRegistry,
        sender: Sender,
        quotas: Quotas,
        retries: RetryBudget,
        recorder: RequestRecorder,
        lag: LoopLag,
    ) -> None:
        """Decide by what the VM knows; send on pooled connections."""
        self._fleet_tables = fleet_tables
        self._registry = registry
        self._sender = sender
        self._quotas = quotas
        self._retries = retries
        self._reporter = recorder
        self._lag = lag
        self._loop = asyncio.get_running_loop()
        self._times = ResponseTimes()
        self._ends_at = math.inf
        self._timeouts: set[asyncio.Timeout] = set()
        self.request_rate = RequestRate(now=self._loop.time())
        self.in_flight = 0

    def stop(self, ends_at: float) -> None:
        """Give each request its final answer by a time of the loop's clock."""
        self._ends_at = ends_at
        for timeout in self._timeouts:
            when = timeout.when()
            if when is not None and when > ends_at:
                timeout.reschedule(ends_at)

    def is_cancellable(self, request: Request) -> bool:
        """Whether a request is ended when its caller has left."""
        configuration = self._fleet_tables.configuration
        if configuration is None:
            return True
        marks = read_caller_headers(request)
        route = find_route(configuration, marks.host, marks.path)
        return route is None or route.is_idempotent

    async def serve(self, request: Request) -> Answer:
        """Return the final answer to a request."""
        self.request_rate.add()
        marks = read_caller_headers(request)
        admitted = admit(
            request,
            marks,
            self._fleet_tables.configuration,
            self._quotas,
            self._loop.time(),
        )
        if isinstance(admitted, Refusal):
            return self._reporter.record_refusal(marks, admitted)
        if self._lag.seconds > _find_most_lag(admitted.priority):
            return self._reporter.record_refusal(
                marks,
                refusals.VM_OVERLOADED,
                lag=round(self._lag.seconds, 3),
            )
        if not self._may_end(admitted):
            return self._reporter.record_refusal(
                marks,
                refusals.VM_STOPPING,
                seconds_left=round(self._ends_at - self._loop.time(), 3),
            )
        self.in_flight += 1
        try:
            return await self._run(admitted)
        except asyncio.CancelledError:
            self._reporter.record_caller_left(marks, admitted.route.name)
            raise
        except Exception as error:  # noqa: BLE001
            self._reporter.write(
                events.REQUEST_CRASHED,
                marks,
                why=repr(error),
            )
            return self._reporter.record_refusal(marks, refusals.INTERNAL_ERROR)
        finally:
            self.in_flight -= 1

    async def _run(self, admitted: AdmittedRequest) -> Answer:
        self._retries.record_request(
            admitted.service.name, admitted.received_at
        )
        attempts = _Attempts()
        try:
            return await self._attempt_until(
                min(admitted.deadline, self._ends_at),
                admitted,
                attempts,
            )
        except TimeoutError:
            return self._reporter.record_refusal(
                admitted.marks,
                refusals.TIMED_OUT,
                route=admitted.route.name,
                tried=sorted(attempts.tried),
            )

    async def _attempt_until(
        self,
        until: float,
        admitted: AdmittedRequest,
        attempts: _Attempts,
    ) -> Answer:
        async with asyncio.timeout_at(until) as timeout:
            self._timeouts.add(timeout)
            try:
                return await self._attempt_all(admitted, attempts)
            finally:
                self._timeouts.discard(timeout)

    def _may_end(self, admitted: AdmittedRequest) -> bool:
        """Whether a request may be answered before this VM ends."""
        usual = self._times.get(admitted.route.name, admitted.objective)
        needed = min(admitted.deadline, admitted.received_at + usual * _SPREAD)
        return needed <= self._ends_at

    async def _attempt_all(
        self,
        admitted: AdmittedRequest,
        attempts: _Attempts,
    ) -> Answer:
        while True:
            candidate = self._choose(admitted, attempts)
            if candidate is None:
                return self._give_up(admitted, attempts)
            attempts.tried.add(candidate.target.id)
            outcome = await self._sender.attempt(admitted, candidate)
            if isinstance(outcome, Success):
                return self._succeed(admitted, candidate, outcome)
            attempts.record(outcome)
            self._reporter.record_failed_attempt(
                admitted.marks,
                outcome.reason,
                target=outcome.target,
                may_have_run=outcome.may_have_run,
                detail=outcome.detail,
            )
            if not self._may_repeat(admitted, attempts, outcome):
                return self._give_up(admitted, attempts)

    def _choose(
        self,
        admitted: AdmittedRequest,
        attempts: _Attempts,
    ) -> Candidate | None:
        now = self._loop.time()
        need = TargetQuery(
            service=admitted.service.name,
            key=admitted.object_key,
            homes=admitted.homes,
            tried=frozenset(attempts.tried),
        )
        ask = RequestUrgency(
            seconds_to_objective=admitted.objective_at - now,
            expected_seconds=self._times.get(
                admitted.route.name,
                admitted.objective,
            ),
            priority=admitted.priority,
        )
        rate = admitted.service.cold_per_second
        while True:
            found = self._registry.list_candidates(
                need, now, TARGETS_PER_OBJECT
            )
            chosen = choose_target(found, ask, now)
            if not chosen or self._registry.try_acquire(
                chosen.target, rate, now
            ):
                return chosen
            need = need._replace(tried=need.tried | {chosen.target.id})

    def _may_repeat(
        self,
        admitted: AdmittedRequest,
        attempts: _Attempts,
        failure: Failure,
    ) -> bool:
        if failure.may_have_run and not admitted.route.is_idempotent:
            return False
        if attempts.sent >= admitted.route.attempts:
            return False
        now = self._loop.time()
        usual = self._times.get(admitted.route.name, admitted.objective)
        if (
            attempts.unsent > _MOST_UNSENT
            or now + usual / 2 > admitted.deadline
        ):
            return False
        if not attempts.sent or self._retries.try_acquire(
            admitted.service.name, now
        ):
            return True
        self._reporter.record_refused_retry(
            admitted.marks, admitted.service.name
        )
        return False

    def _succeed(
        self,
        admitted: AdmittedRequest,
        candidate: Candidate,
        success: Success,
    ) -> Answer:
        ratio = self._times.record(
            admitted.route.name,
            admitted.objective,
            success.seconds,
            success.fill,
        )
        self._sender.record_success(candidate, ratio)
        self._reporter.serve(
            admitted.marks,
            admitted.route.name,
            self._loop.time() - admitted.received_at,
            target=candidate.target.id,
            fill=round(success.fill, 2),
        )
        return make_caller_answer(success.reply)

    def _give_up(
        self, admitted: AdmittedRequest, attempts: _Attempts
    ) -> Answer:
        failure = attempts.failure
        if failure is None:
            return self._reporter.record_refusal(
                admitted.marks, refusals.TARGETS_FULL
            )
        if failure.reply is not None:
            self._reporter.record_passed_failure(
                admitted.marks,
                failure.reason,
                failure.target,
            )
            return make_caller_answer(failure.reply)
        refusal = refusals.NOT_RUN
        if failure.may_have_run:
            refusal = refusals.ANSWER_LOST
        return self._reporter.record_refusal(
            admitted.marks,
            refusal,
            why=failure.reason,
            tried=sorted(attempts.tried),
        )


def _find_most_lag(priority: int) -> float:
    if priority > URGENT_PRIORITY:
        return _LESS_URGENT_LAG_SECONDS
    return _MOST_LAG_SECONDS
