"""One budget for the memory of all messages that a process holds.

When it is exceeded, a connection is terminated: first one whose head is not
complete, then one that receives a message, so that messages which are complete
stay, and small ones still get through.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple, Protocol

__all__ = (
    'BufferBudget',
    'BufferClosure',
    'BufferKind',
    'BufferOwner',
    'make_buffer_budget',
)

# Of the memory of a process. The smallest VM has 152 MB, of which the
# interpreter and the tables use up to 40.
_BUFFER_BUDGET_FRACTION: Final = 1 / 12


class BufferKind(StrEnum):
    """What a connection buffers, by the message that it receives."""

    HEAD = 'incomplete heads'
    RECEIVED = 'messages being received'
    COMPLETE = 'requests being served and answers to send'


# Fractions of the budget. Of the kinds over their share the first one gives
# way: below it, bodies are not cut for heads, nor complete messages for bodies.
_SHARES: Final[Mapping[BufferKind, float]] = {
    BufferKind.HEAD: 1 / 4,
    BufferKind.RECEIVED: 1 / 4,
    BufferKind.COMPLETE: 0.0,
}


class BufferOwner(Protocol):
    """A connection that buffers bytes and can be terminated."""

    def terminate(self, reason: str) -> None:
        """End the connection and free its buffer."""


class BufferClosure(NamedTuple):
    """A connection that is terminated: its buffer, and all of them."""

    kind: BufferKind
    buffered_bytes: int
    total_bytes: int
    max_bytes: int


def _ignore(_closure: BufferClosure) -> None:
    """Take no notice."""


class BufferBudget:
    """Limit of the bytes that a process buffers at the same time."""

    def __init__(
        self,
        *,
        max_bytes: int,
        on_closure: Callable[[BufferClosure], object] = _ignore,
    ) -> None:
        """Allow `max_bytes` bytes for all owners together."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.peak_bytes = 0
        self.bytes_by_kind = dict.fromkeys(BufferKind, 0)
        self._on_closure = on_closure
        self._buffers: dict[BufferOwner, tuple[int, BufferKind]] = {}

    def set_usage(
        self,
        owner: BufferOwner,
        count: int,
        kind: BufferKind = BufferKind.COMPLETE,
    ) -> None:
        """Set how many bytes an owner buffers, and of which kind.

        While the budget is exceeded, terminates the owner of the largest
        buffer of a kind, which may be the calling one.
        """
        self._remove(owner)
        if not count:
            return
        self._buffers[owner] = (count, kind)
        self.bytes_by_kind[kind] += count
        self.total_bytes += count
        while self.total_bytes > self.max_bytes:
            self._terminate_largest()
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)

    def _terminate_largest(self) -> None:
        largest_kind = self._pick_kind()
        count, largest = max(
            (
                (count, owner)
                for owner, (count, kind) in self._buffers.items()
                if kind is largest_kind
            ),
            key=_get_count,
        )
        self._on_closure(
            BufferClosure(largest_kind, count, self.total_bytes, self.max_bytes)
        )
        self._remove(largest)
        largest.terminate(f'all messages held are over {self.max_bytes} bytes')

    def _pick_kind(self) -> BufferKind:
        """Return the first kind over its share; the budget is exceeded."""
        return next(
            kind
            for kind, share in _SHARES.items()
            if self.bytes_by_kind[kind] > self.max_bytes * share
        )

    def _remove(self, owner: BufferOwner) -> None:
        count, kind = self._buffers.pop(owner, _NO_USAGE)
        self.bytes_by_kind[kind] -= count
        self.total_bytes -= count


def make_buffer_budget(
    memory: int, on_closure: Callable[[BufferClosure], object] = _ignore
) -> BufferBudget:
    """Return the budget of a process with `memory` bytes."""
    return BufferBudget(
        max_bytes=int(memory * _BUFFER_BUDGET_FRACTION), on_closure=on_closure
    )


def _get_count(found: tuple[int, BufferOwner]) -> int:
    return found[0]


_NO_USAGE: Final = (0, BufferKind.COMPLETE)
