"""Decides whether a request is sent to another target after a failure."""

import asyncio
from typing import Final

from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.attempts import Attempts
from toucanhall.edge.quarantine import Quarantine
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.outcomes import Failure
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.placement.response_times import ResponseTimes

__all__ = ('RetryPolicy',)

# Connections that failed without a byte sent do not count as attempts.
_MAX_UNSENT_COUNT: Final = 3


class RetryPolicy:
    """Allows retries that may succeed in time and do no harm."""

    def __init__(
        self,
        *,
        retries: RetryBudget,
        quarantine: Quarantine,
        response_times: ResponseTimes,
        recorder: RequestRecorder,
    ) -> None:
        """Take retries from a budget; record those that it refuses."""
        self._retries = retries
        self._quarantine = quarantine
        self._response_times = response_times
        self._recorder = recorder
        self._loop = asyncio.get_running_loop()

    def allows(
        self,
        admitted: AdmittedRequest,
        attempts: Attempts,
        failure: Failure,
    ) -> bool:
        """Whether to send a request again; takes a retry of the budget."""
        if failure.may_have_run and not admitted.route.is_idempotent:
            return False
        if attempts.sent_count >= admitted.route.attempts:
            return False
        if failure.may_have_run and not self._is_free(admitted):
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

    def _is_free(self, admitted: AdmittedRequest) -> bool:
        return self._quarantine.judge(
            admitted.fingerprint, admitted.service.name
        ).is_free
