"""One account for the memory of all messages that a process holds.

Load pattern: bursts of uploads, slow targets behind pipelined requests for
large answers, and peers that read slowly or never. Whoever is about to read a
large message asks for room first and stops reading until it is granted; the
caller of a request that gets none in time is refused. Only an incomplete head,
or answers that their caller does not read, are given up for room.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple, Protocol

__all__ = (
    'MAX_ROOM_WAIT_SECONDS',
    'MAX_SMALL_BYTES',
    'BufferBudget',
    'BufferClosure',
    'BufferKind',
    'BufferOwner',
    'BufferRefusal',
    'RoomUse',
    'make_buffer_budget',
)

# Of the memory of a process. The smallest VM has 152 MB, of which the
# interpreter and the tables use up to 40. With copies that are made while a
# message is passed on, a byte of the account takes up to four (review/7).
_BUFFER_BUDGET_FRACTION: Final = 1 / 8
# Messages up to this size need no room granted before they are read.
MAX_SMALL_BYTES: Final = 1 << 14
# For room, before a caller is refused or an answer given up: twice the usual
# time of a request, after which the bytes of others are given back.
MAX_ROOM_WAIT_SECONDS: Final = 1.0
# Of the largest recent answer, kept for each further one: after a hundred
# small answers, an eighth is left.
_PEAK_DECAY: Final = 0.98
# Answers waiting on pipelined connections may be sent only after others, so
# they leave room for these.
_AHEAD_FRACTION: Final = 1 / 2


class BufferKind(StrEnum):
    """What a connection buffers."""

    HEAD = 'incomplete heads'
    RECEIVED = 'messages being received'
    COMPLETE = 'requests being served and answers that wait for earlier ones'
    UNREAD = 'answers that their caller does not read'

    # The hash of enumerations is not compiled, and kinds are keys.
    __hash__ = str.__hash__


_ALL_KINDS: Final = tuple(BufferKind)


class RoomUse(StrEnum):
    """What room is asked for."""

    REQUEST = 'request'
    ANSWER = 'answer'


# Of the budget that may be in use when room is granted. Answers end what runs,
# so they get room when new requests do not; the rest is for small messages.
_GRANT_FRACTIONS: Final[Mapping[RoomUse, float]] = {
    RoomUse.ANSWER: 15 / 16,
    RoomUse.REQUEST: 3 / 4,
}
# Of the budget: incomplete heads beyond it are closed when it is exceeded.
_HEADS_FRACTION: Final = 1 / 4


class BufferOwner(Protocol):
    """A connection that buffers bytes."""

    def terminate(self, reason: str) -> None:
        """End the connection and free its buffer."""


class RoomWaiter(Protocol):
    """A connection that waits for room."""

    def receive_room(self, count: int) -> None:
        """Charge `count` granted bytes and continue to read."""


class BufferClosure(NamedTuple):
    """A connection that is terminated: its buffer, and all of them."""

    kind: BufferKind
    buffered_bytes: int
    total_bytes: int
    max_bytes: int


class BufferRefusal(NamedTuple):
    """A message that got no room: why, the bytes asked for, and all held."""

    use: RoomUse
    why: str
    asked_bytes: int
    total_bytes: int
    max_bytes: int


def _ignore(_found: object) -> None:
    """Take no notice."""


class BufferBudget:
    """Limit of the bytes that a process buffers at the same time."""

    def __init__(
        self,
        *,
        max_bytes: int,
        on_closure: Callable[[BufferClosure], object] = _ignore,
        on_refusal: Callable[[BufferRefusal], object] = _ignore,
        on_pause: Callable[[RoomUse], object] = _ignore,
    ) -> None:
        """Allow `max_bytes` bytes for all owners together."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.peak_bytes = 0
        self.bytes_by_kind = dict.fromkeys(BufferKind, 0)
        # Decaying maximum of the sizes of answers, in bytes.
        self.expected_answer_bytes = 0.0
        self._on_closure = on_closure
        self._on_refusal = on_refusal
        self._on_pause = on_pause
        self._buffers: dict[tuple[BufferOwner, BufferKind], int] = {}
        self._queues: dict[RoomUse, deque[tuple[RoomWaiter, int]]] = {
            use: deque() for use in _GRANT_FRACTIONS
        }
        self._is_granting = False

    @property
    def waiting_count(self) -> int:
        """The connections whose reading is paused until there is room."""
        return sum(map(len, self._queues.values()))

    def set_usage(
        self,
        owner: BufferOwner,
        count: int,
        kind: BufferKind = BufferKind.COMPLETE,
    ) -> None:
        """Set how many bytes of a kind an owner buffers.

        While the budget is exceeded and incomplete heads are over their share,
        terminates the owner of the largest, which may be the calling one.
        """
        key = (owner, kind)
        if count == self._buffers.get(key, 0):
            return
        before = self._replace(key, count)
        if count < before:
            self._schedule_grants()
        while self.total_bytes > self.max_bytes and self._are_heads_over():
            self._terminate_largest_head()
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)

    def clear(self, owner: BufferOwner) -> None:
        """Give back all bytes of an owner."""
        for kind in _ALL_KINDS:
            self.set_usage(owner, 0, kind)

    def has_room(self) -> bool:
        """Whether a small message may be taken."""
        return self.total_bytes <= self.max_bytes

    def may_start_ahead(self) -> bool:
        """Whether there is room for an answer that waits for earlier ones."""
        if self.expected_answer_bytes <= MAX_SMALL_BYTES:
            return self.has_room()
        expected = self.total_bytes + self.expected_answer_bytes
        return expected <= self.max_bytes * _AHEAD_FRACTION

    def record_answer(self, count: int) -> None:
        """Learn the size of an answer, in bytes."""
        self.expected_answer_bytes = max(
            count, self.expected_answer_bytes * _PEAK_DECAY
        )

    def may_grant_soon(self, use: RoomUse, count: int) -> bool:
        """Whether room may come in time: not if a whole budget waits."""
        queued = sum(asked for _waiter, asked in self._queues[use])
        return queued + count <= self.max_bytes * _GRANT_FRACTIONS[use]

    def request_room(
        self, waiter: RoomWaiter, count: int, use: RoomUse
    ) -> bool:
        """Return whether there is room for `count` more bytes.

        If not, the waiter gets room later, in the order of the requests; room
        for answers is granted before room for requests.
        """
        if not self.waiting_count and self._fits(use, count):
            return True
        self._queues[use].append((waiter, count))
        self._on_pause(use)
        self._schedule_grants()
        return False

    def cancel(self, waiter: RoomWaiter) -> None:
        """Forget a waiter."""
        for use, queue in self._queues.items():
            if any(found is waiter for found, _count in queue):
                self._queues[use] = deque(
                    entry for entry in queue if entry[0] is not waiter
                )
                self._schedule_grants()

    def record_refusal(self, use: RoomUse, why: str, count: int) -> None:
        """Report a message that got no room for `count` bytes."""
        self._on_refusal(
            BufferRefusal(use, why, count, self.total_bytes, self.max_bytes)
        )

    def record_closure(self, kind: BufferKind, count: int) -> None:
        """Report a connection that is closed for what it buffers."""
        self._on_closure(
            BufferClosure(kind, count, self.total_bytes, self.max_bytes)
        )

    def _fits(self, use: RoomUse, count: int) -> bool:
        max_bytes = self.max_bytes * _GRANT_FRACTIONS[use]
        return self.total_bytes + count <= max_bytes

    def _schedule_grants(self) -> None:
        """Grant room soon: bytes given back may be charged to another owner."""
        if self.waiting_count and not self._is_granting:
            self._is_granting = True
            asyncio.get_running_loop().call_soon(self._grant)

    def _grant(self) -> None:
        self._is_granting = False
        for use in _GRANT_FRACTIONS:
            while self._queues[use] and self._fits(
                use, self._queues[use][0][1]
            ):
                waiter, count = self._queues[use].popleft()
                waiter.receive_room(count)
            if self._queues[use]:
                return

    def _are_heads_over(self) -> bool:
        held = self.bytes_by_kind[BufferKind.HEAD]
        return held > self.max_bytes * _HEADS_FRACTION

    def _terminate_largest_head(self) -> None:
        count, largest = max(
            (
                (count, owner)
                for (owner, kind), count in self._buffers.items()
                if kind is BufferKind.HEAD
            ),
            key=_get_count,
        )
        self.record_closure(BufferKind.HEAD, count)
        self._replace((largest, BufferKind.HEAD), 0)
        largest.terminate(f'all messages held are over {self.max_bytes} bytes')

    def _replace(self, key: tuple[BufferOwner, BufferKind], count: int) -> int:
        """Set the bytes of an owner and kind; return those before."""
        before = self._buffers.pop(key, 0)
        if count:
            self._buffers[key] = count
        self.bytes_by_kind[key[1]] += count - before
        self.total_bytes += count - before
        return before


def make_buffer_budget(
    memory: int,
    on_closure: Callable[[BufferClosure], object] = _ignore,
    on_refusal: Callable[[BufferRefusal], object] = _ignore,
    on_pause: Callable[[RoomUse], object] = _ignore,
) -> BufferBudget:
    """Return the budget of a process with `memory` bytes."""
    return BufferBudget(
        max_bytes=int(memory * _BUFFER_BUDGET_FRACTION),
        on_closure=on_closure,
        on_refusal=on_refusal,
        on_pause=on_pause,
    )


def _get_count(found: tuple[int, BufferOwner]) -> int:
    return found[0]
