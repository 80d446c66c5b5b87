"""Answers requests that no target has served."""

import asyncio
import math

from toucanhall.edge import refusals
from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.attempts import Attempts, make_query
from toucanhall.edge.load_shedding import LoadShedding, make_caller
from toucanhall.edge.refusals import Refusal
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.request_relay import RelayOutcome
from toucanhall.placement.registry import TargetRegistry
from toucanhall.placement.return_times import ReturnTimes
from toucanhall.platform.headers import is_promise, make_caller_answer
from toucanhall.web.messages import Answer

__all__ = ('FailureAnswers',)


class FailureAnswers:
    """Picks and records the final answers to such requests."""

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        recorder: RequestRecorder,
        shedding: LoadShedding,
    ) -> None:
        """Explain refusals by what `registry` knows of the targets."""
        self._shedding = shedding
        self._registry = registry
        self._recorder = recorder
        self._loop = asyncio.get_running_loop()
        self._return_times = ReturnTimes()

    def answer(self, admitted: AdmittedRequest, attempts: Attempts) -> Answer:
        """Return the final answer to a request that no target has served."""
        failure = attempts.worst_failure
        if failure is None or not failure.may_have_run:
            refusal = _explain_pauses(
                self._registry.compute_pause_seconds(
                    make_query(admitted, Attempts(verdict=attempts.verdict)),
                    self._loop.time(),
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
                    make_query(admitted, attempts), now
                ),
                self._registry.limits.count_serving_vms(),
                self._return_times,
                now,
            )
            if refusal is refusals.TARGETS_FULL:
                refusal = self._schedule_return(refusal, admitted, attempts)
            return self._recorder.record_refusal(admitted.headers, refusal)
        if failure.reply is not None:
            self._recorder.record_passed_failure(
                admitted.headers,
                failure.reason,
                failure.target,
            )
            return make_caller_answer(failure.reply)
        refusal = refusals.ANSWER_LOST
        if not failure.may_have_run:
            refusal = self._schedule_return(
                refusals.NOT_RUN, admitted, attempts
            )
        return self._recorder.record_refusal(
            admitted.headers,
            refusal,
            why=failure.reason,
            tried=sorted(attempts.tried),
        )

    def answer_relayed(
        self,
        admitted: AdmittedRequest,
        attempts: Attempts,
        outcome: RelayOutcome,
    ) -> Answer:
        """Return the answer to a request that was left to other VMs."""
        reply = outcome.reply
        if reply is None:
            refusal = outcome.refusal
            if attempts.may_have_run:
                refusal = refusals.ANSWER_LOST
            return self._recorder.record_refusal(
                admitted.headers, refusal, helper=outcome.vm, why=outcome.why
            )
        if attempts.may_have_run and is_promise(reply):
            # True for the other VM only.
            return self._recorder.record_refusal(
                admitted.headers, refusals.ANSWER_LOST, helper=outcome.vm
            )
        self._recorder.record_relayed(
            admitted.headers, reply.status, helper=outcome.vm
        )
        return make_caller_answer(reply)

    def _schedule_return(
        self, refusal: Refusal, admitted: AdmittedRequest, attempts: Attempts
    ) -> Refusal:
        """Return a refusal with the time at which its caller finds a slot.

        It stays as it is where load shedding does not apply.
        """
        now = self._loop.time()
        free_time = self._shedding.schedule(
            make_caller(admitted, now),
            make_query(admitted, Attempts(verdict=attempts.verdict)),
            now,
        )
        if free_time is None:
            return refusal
        self._recorder.record_told_wait(
            free_time.wait_seconds,
            refusal.reason,
            is_returned=attempts.is_returned,
            is_in_time=free_time.is_in_time,
        )
        return refusal._replace(
            retry_after=free_time.wait_seconds,
            log_fields={
                'is_returned': attempts.is_returned,
                'is_in_time': free_time.is_in_time,
            },
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
