"""Dispatches a request: admit it, choose a target, send it, answer it."""

import asyncio
import math
from typing import Final

from toucanhall.edge import refusals
from toucanhall.edge.admission import AdmittedRequest, admit
from toucanhall.edge.attempts import Attempts
from toucanhall.edge.failure_answers import FailureAnswers
from toucanhall.edge.quarantine import Quarantine
from toucanhall.edge.refusals import Refusal
from toucanhall.edge.request_rate import RequestRate
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.retry_policy import RetryPolicy
from toucanhall.edge.sender import Sender, Success
from toucanhall.edge.target_chooser import TargetChooser
from toucanhall.fleet.tables import FleetTables, find_route
from toucanhall.limits.quota import Quotas
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.observe import events
from toucanhall.placement.choice import URGENT_PRIORITY, Candidate
from toucanhall.placement.registry import TargetRegistry
from toucanhall.placement.response_times import ResponseTimes
from toucanhall.platform.headers import make_caller_answer, read_caller_headers
from toucanhall.quarantine.verdicts import Verdict
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
# Least time after which a caller may try a held request again.
_MIN_HOLD_SECONDS: Final = 0.5


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
        quarantine: Quarantine,
        recorder: RequestRecorder,
        lag: LoopLag,
    ) -> None:
        """Decide by the VM's fleet tables; send on pooled connections."""
        self._fleet_tables = fleet_tables
        self._registry = registry
        self._sender = sender
        self._quotas = quotas
        self._retries = retries
        self._quarantine = quarantine
        self._recorder = recorder
        self._lag = lag
        self._loop = asyncio.get_running_loop()
        self._response_times = ResponseTimes()
        self._chooser = TargetChooser(
            registry=registry, response_times=self._response_times
        )
        self._retry_policy = RetryPolicy(
            retries=retries,
            quarantine=quarantine,
            response_times=self._response_times,
            recorder=recorder,
        )
        self._failure_answers = FailureAnswers(
            registry=registry, recorder=recorder
        )
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
        verdict = self._quarantine.judge(
            admitted.fingerprint, admitted.service.name
        )
        if verdict.retry_after:
            return self._hold_back(admitted, verdict)
        attempts = Attempts(verdict=verdict)
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

    def _hold_back(self, admitted: AdmittedRequest, verdict: Verdict) -> Answer:
        retry_after = max(_MIN_HOLD_SECONDS, verdict.retry_after)
        return self._recorder.record_refusal(
            admitted.headers,
            refusals.make_held_back(retry_after),
            fingerprint=admitted.fingerprint,
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
        attempts: Attempts,
    ) -> Answer:
        while True:
            candidate = self._chooser.choose(admitted, attempts)
            if candidate is None:
                return self._failure_answers.answer(admitted, attempts)
            if not await self._may_send(admitted, attempts):
                return self._hold_back(admitted, attempts.verdict)
            attempts.tried.add(candidate.target.id)
            outcome = await self._sender.attempt(admitted, candidate)
            if isinstance(outcome, Success):
                return self._answer_success(admitted, candidate, outcome)
            attempts.record(outcome)
            if outcome.is_closed_by_target:
                self._quarantine.record_lost(
                    admitted.fingerprint, candidate.target
                )
            self._recorder.record_failed_attempt(
                admitted.headers,
                outcome.reason,
                target=outcome.target,
                may_have_run=outcome.may_have_run,
                closed_by_target=outcome.is_closed_by_target,
                fingerprint=admitted.fingerprint,
                detail=outcome.detail,
            )
            if not self._retry_policy.allows(admitted, attempts, outcome):
                return self._failure_answers.answer(admitted, attempts)

    async def _may_send(
        self, admitted: AdmittedRequest, attempts: Attempts
    ) -> bool:
        """Whether a request is free, or acquires the trial that it needs."""
        verdict = attempts.verdict
        if attempts.tried or not verdict.is_trial:
            return True
        return await self._quarantine.acquire_trial(
            admitted.fingerprint, verdict
        )

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
        self._quarantine.record_served(admitted.fingerprint, candidate.target)
        self._recorder.record_served(
            admitted.headers,
            admitted.route.name,
            self._loop.time() - admitted.received_at,
            target=candidate.target.id,
            fill=round(success.load_ratio, 2),
        )
        return make_caller_answer(success.reply)


def _get_max_lag_seconds(priority: int) -> float:
    if priority > URGENT_PRIORITY:
        return _MAX_LESS_URGENT_LAG_SECONDS
    return _MAX_LAG_SECONDS
