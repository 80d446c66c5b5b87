"""Dispatches a request: admit it, choose a target, send it, answer it."""

import asyncio
import math
from typing import Final

from toucanhall.edge import refusals
from toucanhall.edge.admission import AdmittedRequest, admit
from toucanhall.edge.refusals import Refusal
from toucanhall.edge.request_rate import RequestRate
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.sender import Failure, Sender, Success
from toucanhall.fleet.tables import FleetTables, find_route
from toucanhall.limits.quota import Quotas
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.observe import events
from toucanhall.placement.choice import (
    TARGETS_PER_OBJECT,
    URGENT_PRIORITY,
    Candidate,
    RequestUrgency,
    choose_target,
)
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.placement.response_times import ResponseTimes
from toucanhall.placement.return_times import ReturnTimes
from toucanhall.platform.headers import make_caller_answer, read_caller_headers
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
# Connections that failed without a byte sent do not count as attempts.
_MAX_UNSENT_COUNT: Final = 3


class _Attempts:
    """The targets tried for a request, and the worst failure."""

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.sent_count = 0
        self.unsent_count = 0
        self.worst_failure: Failure | None = None

    def record(self, failure: Failure) -> None:
        if failure.was_sent:
            self.sent_count += 1
        else:
            self.unsent_count += 1
        worst = self.worst_failure
        if worst is None or failure.may_have_run or not worst.may_have_run:
            self.worst_failure = failure


class RequestDispatcher:
    """Answers the requests of callers by sending them to targets."""

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
        """Decide by the VM's fleet tables; send on pooled connections."""
        self._fleet_tables = fleet_tables
        self._registry = registry
        self._sender = sender
        self._quotas = quotas
        self._retries = retries
        self._recorder = recorder
        self._lag = lag
        self._loop = asyncio.get_running_loop()
        self._response_times = ResponseTimes()
        self._return_times = ReturnTimes()
        self._ends_at = math.inf
        self._timeouts: set[asyncio.Timeout] = set()
        self.request_rate = RequestRate(now=self._loop.time())
        self.in_flight = 0

    def stop(self, ends_at: float) -> None:
        """Answer each request by a time of the loop's clock."""
        self._ends_at = ends_at
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
        """Return the final answer to a request."""
        self.request_rate.add()
        headers = read_caller_headers(request)
        admitted = admit(
            request,
            headers,
            self._fleet_tables.configuration,
            self._quotas,
            self._loop.time(),
        )
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
            return await self._attempt_until_deadline(admitted)
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
        self, admitted: AdmittedRequest
    ) -> Answer:
        self._retries.record_request(
            admitted.service.name, admitted.received_at
        )
        attempts = _Attempts()
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
        attempts: _Attempts,
    ) -> Answer:
        async with asyncio.timeout_at(until) as timeout:
            self._timeouts.add(timeout)
            try:
                return await self._attempt_all(admitted, attempts)
            finally:
                self._timeouts.discard(timeout)

    def _can_finish(self, admitted: AdmittedRequest) -> bool:
        """Whether a request can be answered before this VM stops."""
        expected_seconds = self._response_times.get(
            admitted.route.name,
            admitted.objective_seconds,
        )
        latest_end = min(
            admitted.deadline,
            admitted.received_at
            + expected_seconds * _SLOW_TO_EXPECTED_TIME_RATIO,
        )
        return latest_end <= self._ends_at

    async def _attempt_all(
        self,
        admitted: AdmittedRequest,
        attempts: _Attempts,
    ) -> Answer:
        while True:
            candidate = self._choose(admitted, attempts)
            if candidate is None:
                return self._answer_failure(admitted, attempts)
            attempts.tried.add(candidate.target.id)
            outcome = await self._sender.attempt(admitted, candidate)
            if isinstance(outcome, Success):
                return self._answer_success(admitted, candidate, outcome)
            attempts.record(outcome)
            self._recorder.record_failed_attempt(
                admitted.headers,
                outcome.reason,
                target=outcome.target,
                may_have_run=outcome.may_have_run,
                closed_by_target=outcome.is_closed_by_target,
                fingerprint=admitted.fingerprint,
                detail=outcome.detail,
            )
            if not self._may_retry(admitted, attempts, outcome):
                return self._answer_failure(admitted, attempts)

    def _choose(
        self,
        admitted: AdmittedRequest,
        attempts: _Attempts,
    ) -> Candidate | None:
        now = self._loop.time()
        query = _make_query(admitted, attempts)
        urgency = RequestUrgency(
            seconds_to_objective=admitted.objective_at - now,
            expected_seconds=self._response_times.get(
                admitted.route.name,
                admitted.objective_seconds,
            ),
            priority=admitted.priority,
        )
        rate = admitted.service.cold_per_second
        while True:
            candidates = self._registry.list_candidates(
                query, now, TARGETS_PER_OBJECT
            )
            chosen = choose_target(candidates, urgency, now)
            if not chosen or self._registry.try_acquire(
                chosen.target, rate, now
            ):
                return chosen
            query = query._replace(tried=query.tried | {chosen.target.id})

    def _may_retry(
        self,
        admitted: AdmittedRequest,
        attempts: _Attempts,
        failure: Failure,
    ) -> bool:
        if failure.may_have_run and not admitted.route.is_idempotent:
            return False
        if attempts.sent_count >= admitted.route.attempts:
            return False
        now = self._loop.time()
        expected_seconds = self._response_times.get(
            admitted.route.name,
            admitted.objective_seconds,
        )
        if (
            attempts.unsent_count > _MAX_UNSENT_COUNT
            or now + expected_seconds / 2 > admitted.deadline
        ):
            return False
        if not attempts.sent_count or self._retries.try_acquire(
            admitted.service.name, now
        ):
            return True
        self._recorder.record_refused_retry(
            admitted.headers, admitted.service.name
        )
        return False

    def _answer_success(
        self,
        admitted: AdmittedRequest,
        candidate: Candidate,
        success: Success,
    ) -> Answer:
        ratio = self._response_times.record(
            admitted.route.name,
            admitted.objective_seconds,
            success.seconds,
            success.load_ratio,
        )
        self._sender.record_success(candidate, ratio)
        self._recorder.record_served(
            admitted.headers,
            admitted.route.name,
            self._loop.time() - admitted.received_at,
            target=candidate.target.id,
            fill=round(success.load_ratio, 2),
        )
        return make_caller_answer(success.reply)

    def _answer_failure(
        self, admitted: AdmittedRequest, attempts: _Attempts
    ) -> Answer:
        failure = attempts.worst_failure
        if failure is None or not failure.may_have_run:
            refusal = _explain_pauses(
                self._registry.compute_pause_seconds(
                    _make_query(admitted, _Attempts()), self._loop.time()
                )
            )
            if refusal is not None:
                return self._recorder.record_refusal(
                    admitted.headers, refusal, tried=sorted(attempts.tried)
                )
        if failure is None:
            now = self._loop.time()
            refusal = _explain_no_target(
                admitted,
                self._registry.compute_limited_rate(
                    _make_query(admitted, attempts), now
                ),
                self._registry.limits.count_serving_vms(),
                self._return_times,
                now,
            )
            return self._recorder.record_refusal(admitted.headers, refusal)
        if failure.reply is not None:
            self._recorder.record_passed_failure(
                admitted.headers,
                failure.reason,
                failure.target,
            )
            return make_caller_answer(failure.reply)
        refusal = refusals.NOT_RUN
        if failure.may_have_run:
            refusal = refusals.ANSWER_LOST
        return self._recorder.record_refusal(
            admitted.headers,
            refusal,
            why=failure.reason,
            tried=sorted(attempts.tried),
        )


def _explain_pauses(seconds: float | None) -> Refusal | None:
    """Return why no target takes a request if all pause or leave.

    `seconds` are those until the first pause ends, None if a target wants
    none.
    """
    if seconds is None:
        return None
    if math.isinf(seconds):
        return refusals.NO_TARGET
    return refusals.make_targets_paused(seconds)


def _explain_no_target(
    admitted: AdmittedRequest,
    rate: float | None,
    vms: int,
    return_times: ReturnTimes,
    now: float,
) -> Refusal:
    """Return why no target takes a request.

    `rate` is what all VMs, `vms` of them, may send to its targets per second,
    None if it is not for their limits.
    """
    if rate is None:
        return refusals.TARGETS_FULL
    retry_after = return_times.schedule(
        admitted.service.name,
        rate / vms,
        admitted.deadline - now,
        now,
    )
    return refusals.make_targets_limited(retry_after, rate)


def _make_query(admitted: AdmittedRequest, attempts: _Attempts) -> TargetQuery:
    return TargetQuery(
        service=admitted.service.name,
        key=admitted.object_key,
        homes=admitted.homes,
        tried=frozenset(attempts.tried),
    )


def _get_max_lag_seconds(priority: int) -> float:
    if priority > URGENT_PRIORITY:
        return _MAX_LESS_URGENT_LAG_SECONDS
    return _MAX_LAG_SECONDS
