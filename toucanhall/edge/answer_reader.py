"""Reads the answers of targets: what they tell, and whether they succeed."""

import asyncio
from http import HTTPStatus
from typing import Final, NamedTuple

from toucanhall.edge.limit_exchange import LimitExchange
from toucanhall.edge.outcomes import Failure, Success
from toucanhall.edge.unknown_headers import UnknownHeaders
from toucanhall.fleet.model import Target
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.choice import Candidate
from toucanhall.placement.registry import TargetRegistry
from toucanhall.platform.headers import (
    TargetHeaders,
    find_unknown_headers,
    read_target_headers,
)
from toucanhall.web.client import ConnectionUse, ReceivedAnswer

__all__ = ('AnswerReader', 'Start')

_MIN_FAILED_STATUS: Final = HTTPStatus.INTERNAL_SERVER_ERROR
# Of refusals for want of room; others say nothing about the load.
_FULL_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
_MIN_REDIRECTION_STATUS: Final = HTTPStatus.MULTIPLE_CHOICES


class Start(NamedTuple):
    """When an attempt began, and the load of its target then.

    `at` is a time of the loop, `sent_at` one of the clock of limits.
    """

    at: float
    sent_at: float
    load_ratio: float


class AnswerReader:
    """Classifies answers; records the load and health of their targets."""

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        journal: Journal,
        limits: LimitExchange,
    ) -> None:
        """Record what answers tell in `registry` and `limits`."""
        self._registry = registry
        self._journal = journal
        self._limits = limits
        self._unknown_headers = UnknownHeaders(
            journal=journal, event=events.UNKNOWN_HEADER
        )
        self._loop = asyncio.get_running_loop()

    def read(
        self,
        candidate: Candidate,
        reply: ReceivedAnswer,
        start: Start,
        use: ConnectionUse,
    ) -> Success | Failure:
        """Return what an answer means for the attempt that `start` began.

        `use` is that of its connection, after the answer.
        """
        target = candidate.target
        self._record_skipped(target, use)
        headers = read_target_headers(reply)
        self._limits.record_answer(target, headers, start.sent_at)
        self._record_notices(target, headers)
        self._unknown_headers.record(
            find_unknown_headers(reply), target=target.id
        )
        seconds = self._loop.time() - start.at
        outcome = self._classify(
            candidate, Success(reply, seconds, start.load_ratio), headers
        )
        if isinstance(outcome, Failure):
            return outcome._replace(connection=use)
        return outcome

    def record_success(self, candidate: Candidate, ratio: float | None) -> None:
        """Record an answer; `ratio` is its time over the expected time."""
        if candidate.load.record_success(ratio):
            self._journal.write(
                events.TARGET_RESUMED,
                target=candidate.target.id,
            )

    def record_failure(
        self, target: Target, *, is_lost: bool, why: str
    ) -> None:
        """Record an attempt without a good answer.

        `is_lost` if no connection to the target could be opened.
        """
        load = self._registry.loads.get(target.id)
        now = self._loop.time()
        if load is not None and load.record_failure(now, is_lost=is_lost):
            self._journal.write(
                events.TARGET_SUSPENDED,
                target=target.id,
                why=why,
                seconds=round(load.suspended_until - now, 2),
            )

    def record_unfinished_head(
        self, target: Target, use: ConnectionUse
    ) -> None:
        """Record a wait that ended before the head of the answer did."""
        self._journal.write(
            events.HEAD_UNFINISHED,
            target=target.id,
            connection=use.number,
            connection_requests=use.requests,
        )
        self.record_failure(
            target, is_lost=False, why='wait ended before the head of an answer'
        )

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
            load.record_reported_load(
                headers.pending_requests, now, headers.machine_percent
            )
        if headers.is_not_run:
            return self._classify_not_run(candidate, reply, headers)
        if headers.is_unproven_refusal:
            # Passed on, the status would promise that the request never ran.
            why = f'status {reply.status} without proof that nothing ran'
            if not headers.pause_seconds:
                self.record_failure(target, is_lost=False, why=why)
            return Failure('unproven', target.id, detail=why)
        if reply.status >= _MIN_FAILED_STATUS:
            self.record_failure(
                target, is_lost=False, why=f'status {reply.status}'
            )
            return Failure(f'status-{reply.status}', target.id, reply=reply)
        if reply.status < _MIN_REDIRECTION_STATUS and not headers.has_stamp:
            self.record_failure(
                target,
                is_lost=False,
                why=f'status {reply.status} without response stamp',
            )
            return Failure('unstamped', target.id)
        return success

    def _record_skipped(self, target: Target, use: ConnectionUse) -> None:
        if use.skipped_answers:
            self._journal.write(
                events.ANSWERS_SKIPPED,
                target=target.id,
                connection=use.number,
                count=use.skipped_answers,
            )

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
        reply: ReceivedAnswer,
        headers: TargetHeaders,
    ) -> Failure:
        target, load = candidate
        now = self._loop.time()
        if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._registry.suspend(target.id, now)
            return Failure('misdirected', target.id, may_have_run=False)
        pending = headers.pending_requests
        has_free_slots = pending is not None and pending < load.slots
        may_ask_again = has_free_slots and self._registry.has_large_bodies
        if reply.status in _FULL_STATUSES and not may_ask_again:
            load.fill(now)
        return Failure(
            'not-run',
            target.id,
            may_have_run=False,
            may_ask_again=may_ask_again,
        )
