"""Logs and counts what memory for messages is used for.

Load pattern: bursts of large messages. Operators see how full the account is,
who waits for room, and whom it refused or closed, and why.
"""

from collections.abc import Callable, Mapping

from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.observe.metrics import Metrics
from toucanhall.web.buffer_budget import (
    BufferBudget,
    BufferClosure,
    BufferKind,
    BufferRefusal,
    RoomUse,
    make_buffer_budget,
)

__all__ = ('BufferWatch',)


class BufferWatch:
    """The budget of a process for messages, and what it tells operators."""

    def __init__(
        self, *, memory: int, journal: Journal, metrics: Metrics
    ) -> None:
        """Make the budget of a process with `memory` bytes."""
        self._journal = journal
        self._metrics = metrics
        self.budget: BufferBudget = make_buffer_budget(
            memory,
            self._record_closure,
            self._record_refusal,
            self._record_pause,
        )

    def record_rejected(self, status: int, reason: str) -> None:
        """Record a caller whose request was answered before it was complete."""
        self._metrics.count('requests_rejected', status=str(status))
        self._journal.write(events.REQUEST_REJECTED, status=status, why=reason)

    def list_gauges(self) -> Mapping[str, Callable[[], float]]:
        """Return what reads the gauges, by name."""
        budget = self.budget
        held = budget.bytes_by_kind
        return {
            'bytes_held': lambda: budget.total_bytes,
            'bytes_held_bound': lambda: budget.max_bytes,
            'bytes_held_peak': lambda: budget.peak_bytes,
            'bytes_held_in_heads': lambda: held[BufferKind.HEAD],
            'bytes_held_being_received': lambda: held[BufferKind.RECEIVED],
            'bytes_held_unread': lambda: held[BufferKind.UNREAD],
            'reading_paused': lambda: budget.waiting_count,
        }

    def _record_closure(self, closure: BufferClosure) -> None:
        self._metrics.count('closed_over_budget', kind=closure.kind.name)
        self._journal.write(
            events.BUDGET_EXCEEDED,
            kind=closure.kind.name,
            bytes=closure.buffered_bytes,
            held=closure.total_bytes,
            bound=closure.max_bytes,
        )

    def _record_refusal(self, refusal: BufferRefusal) -> None:
        self._metrics.count('refused_for_room', use=refusal.use.value)
        self._journal.write(
            events.NO_ROOM,
            use=refusal.use.value,
            why=refusal.why,
            bytes=refusal.asked_bytes,
            held=refusal.total_bytes,
            bound=refusal.max_bytes,
        )

    def _record_pause(self, use: RoomUse) -> None:
        self._metrics.count('reading_pauses', use=use.value)
