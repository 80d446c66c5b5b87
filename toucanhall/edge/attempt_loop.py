"""Sends a request to targets, or to another VM, until it has an answer."""

import asyncio
import random
from collections.abc import Mapping
from typing import Final

from toucanhall.edge import refusals
from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.attempts import Attempts, make_query
from toucanhall.edge.capacity_recorder import CapacityRecorder
from toucanhall.edge.failure_answers import FailureAnswers
from toucanhall.edge.load_shedding import LoadShedding, make_caller
from toucanhall.edge.quarantine import Quarantine
from toucanhall.edge.outcomes import Failure, Success
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.request_relay import RelayOutcome, RequestRelay
from toucanhall.edge.retry_policy import RetryPolicy
from toucanhall.edge.sender import Sender
from toucanhall.edge.target_chooser import TargetChooser
from toucanhall.edge.target_links import TargetLinks
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.placement.choice import Candidate
from toucanhall.placement.registry import TargetRegistry
from toucanhall.placement.response_times import ResponseTimes
from toucanhall.platform.headers import make_caller_answer
from toucanhall.quarantine.verdicts import Verdict
from toucanhall.web.messages import Answer

__all__ = ('AttemptLoop',)

# Least time after which a caller may try a held request again.
_MIN_HOLD_SECONDS: Final = 0.5


class AttemptLoop:
    """Attempts, retries, trials and what other VMs serve for this one."""

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        sender: Sender,
        retries: RetryBudget,
        quarantine: Quarantine,
        links: TargetLinks,
        relay: RequestRelay,
        recorder: RequestRecorder,
        capacity: CapacityRecorder,
    ) -> None:
        """Choose among the targets of `registry`."""
        self._sender = sender
        self._retries = retries
        self._quarantine = quarantine
        self._links = links
        self._relay = relay
        self._recorder = recorder
        self._capacity = capacity
        self._loop = asyncio.get_running_loop()
        self.response_times = ResponseTimes()
        self._chooser = TargetChooser(
            registry=registry, response_times=self.response_times
        )
        self._retry_policy = RetryPolicy(
            retries=retries,
            quarantine=quarantine,
            response_times=self.response_times,
            recorder=recorder,
        )
        self._shedding = LoadShedding(
            registry=registry,
            response_times=self.response_times,
            phase=random.random(),
        )
        self._failure_answers = FailureAnswers(
            registry=registry, recorder=recorder, shedding=self._shedding
        )

    def begin(self, admitted: AdmittedRequest, *, may_relay: bool) -> Attempts:
        """Return the attempts of a request, none made yet.

        It counts for the retry budget at the VM that sends it.
        """
        if not self._links.is_cut_off:
            self._retries.record_request(
                admitted.service.name, admitted.received_at
            )
        verdict = self._quarantine.judge(
            admitted.fingerprint, admitted.service.name
        )
        return Attempts(verdict=verdict, may_relay=may_relay)

    async def run(
        self, admitted: AdmittedRequest, attempts: Attempts
    ) -> Answer:
        """Return the final answer to a request."""
        if attempts.verdict.retry_after:
            return self._hold_back(admitted, attempts.verdict)
        answer: Answer | None = None
        if not (self._links.is_cut_off or self._may_take(admitted, attempts)):
            answer = self._failure_answers.answer(admitted, attempts)
        while answer is None and not self._links.is_cut_off:
            answer = await self._attempt(admitted, attempts)
        return answer or await self._let_others_serve(admitted, attempts)

    async def _attempt(
        self, admitted: AdmittedRequest, attempts: Attempts
    ) -> Answer | None:
        """Return the final answer; None to try again, or to relay."""
        candidate = self._chooser.choose(admitted, attempts)
        if candidate is None:
            if await self._links.check():
                return None
            return self._failure_answers.answer(admitted, attempts)
        if not await self._may_send(admitted, attempts):
            return self._hold_back(admitted, attempts.verdict)
        attempts.tried.add(candidate.target.id)
        outcome = await self._sender.attempt(admitted, candidate)
        if isinstance(outcome, Success):
            return self._answer_success(admitted, attempts, candidate, outcome)
        self._record_failure(admitted, candidate, attempts, outcome)
        is_cut_off = outcome.is_link_failure and await self._links.check()
        if (is_cut_off and not outcome.was_sent) or self._retry_policy.allows(
            admitted, attempts, outcome
        ):
            return None
        return self._failure_answers.answer(admitted, attempts)

    def _may_take(self, admitted: AdmittedRequest, attempts: Attempts) -> bool:
        """Whether no other request takes precedence over this one."""
        now = self._loop.time()
        judgement = self._shedding.judge(
            make_caller(admitted, now), make_query(admitted, attempts), now
        )
        attempts.is_returned = judgement.is_returned
        if judgement.is_returned:
            self._recorder.record_returned(admitted.route.name)
        return judgement.is_allowed

    async def _let_others_serve(
        self, admitted: AdmittedRequest, attempts: Attempts
    ) -> Answer:
        """Answer a request while this VM reaches no target."""
        outcome = RelayOutcome(why='came from another VM')
        if attempts.may_relay:
            outcome = await self._relay.send(
                admitted, admitted.route.attempts - attempts.sent_count
            )
        return self._failure_answers.answer_relayed(admitted, attempts, outcome)

    def _record_failure(
        self,
        admitted: AdmittedRequest,
        candidate: Candidate,
        attempts: Attempts,
        failure: Failure,
    ) -> None:
        attempts.record(failure)
        if failure.may_ask_again:
            # Another target would run the request without its object.
            attempts.allow_again(candidate.target.id)
        if failure.is_closed_by_target:
            self._quarantine.record_lost(admitted.fingerprint, candidate.target)
        self._recorder.record_failed_attempt(
            admitted.headers,
            failure.reason,
            target=failure.target,
            may_have_run=failure.may_have_run,
            closed_by_target=failure.is_closed_by_target,
            fingerprint=admitted.fingerprint,
            detail=failure.detail,
            address='{0}:{1}'.format(*candidate.target.address),
            **_describe_connection(failure),
        )

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

    def _hold_back(self, admitted: AdmittedRequest, verdict: Verdict) -> Answer:
        retry_after = max(_MIN_HOLD_SECONDS, verdict.retry_after)
        return self._recorder.record_refusal(
            admitted.headers,
            refusals.make_held_back(retry_after),
            fingerprint=admitted.fingerprint,
        )

    def _answer_success(
        self,
        admitted: AdmittedRequest,
        attempts: Attempts,
        candidate: Candidate,
        success: Success,
    ) -> Answer:
        ratio = self.response_times.record(
            admitted.route.name,
            admitted.objective_seconds,
            success.seconds,
            success.load_ratio,
        )
        self._sender.record_success(candidate, ratio)
        self._capacity.record(admitted, attempts, candidate, success)
        self._quarantine.record_served(admitted.fingerprint, candidate.target)
        self._recorder.record_served(
            admitted.headers,
            admitted.route.name,
            self._loop.time() - admitted.received_at,
            target=candidate.target.id,
            fill=round(success.load_ratio, 2),
        )
        return make_caller_answer(success.reply)


def _describe_connection(failure: Failure) -> Mapping[str, int]:
    """Return log fields: the connection of an attempt, and its use so far."""
    use = failure.connection
    if use is None:
        return {}
    return {
        'connection': use.number,
        'connection_requests': use.requests,
        'skipped_answers': use.skipped_answers,
    }
