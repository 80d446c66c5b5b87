"""Limits of the memory that requests and answers of others may use.

Load pattern: a hundred failing servers at once send endless bytes that are no
valid answers. Each answer has its own limits, and all bodies share one budget:
when it is exceeded, the connection with the largest buffer is terminated, so
that small answers still get through.
"""

from typing import Final, NamedTuple, Protocol

__all__ = (
    'PARSE_CHUNK_BYTES',
    'AnswerBounds',
    'BufferBudget',
    'BufferOwner',
    'FramingCounter',
    'compute_answer_bounds',
    'make_buffer_budget',
)

# Parsed between two checks of the limits.
PARSE_CHUNK_BYTES: Final = 1 << 14
# Deployments allow a caller 16 KiB of headers; targets may send more.
_MAX_HEAD_BYTES: Final = 1 << 16
# Statuses 100 and 103 before the final answer, with a few repetitions.
_MAX_INTERIM_ANSWERS: Final = 8
# Late copies of earlier answers before the expected one.
_MAX_STRAY_ANSWERS: Final = 4
# Of the memory of a process, for all buffered bodies and for a single one. The
# smallest VM has 152 MB, of which the interpreter and the tables use up to 40.
_BUFFER_BUDGET_FRACTION: Final = 1 / 12
_MAX_BODY_FRACTION: Final = 1 / 24


class BufferOwner(Protocol):
    """A connection that buffers bytes and can be terminated."""

    def terminate(self, reason: str) -> None:
        """End the connection and free its buffer."""


class BufferBudget:
    """Limit of the body bytes that a process buffers at the same time."""

    def __init__(self, *, max_bytes: int) -> None:
        """Allow `max_bytes` bytes for all owners together."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._buffered_bytes: dict[BufferOwner, int] = {}

    def set_usage(self, owner: BufferOwner, count: int) -> None:
        """Set how many bytes an owner buffers.

        While the budget is exceeded, terminates the owner of the largest
        buffer, which may be the calling one.
        """
        self.total_bytes += count - self._buffered_bytes.pop(owner, 0)
        if count:
            self._buffered_bytes[owner] = count
        while self.total_bytes > self.max_bytes:
            largest = max(
                self._buffered_bytes, key=self._buffered_bytes.__getitem__
            )
            self.total_bytes -= self._buffered_bytes.pop(largest)
            largest.terminate(
                f'all bodies held are over {self.max_bytes} bytes'
            )


class AnswerBounds(NamedTuple):
    """Limits of reading one answer.

    Interim answers have a 1xx status, stray ones the id of another request.
    """

    max_head_bytes: int
    max_body_bytes: int
    max_interim_answers: int
    max_stray_answers: int


def compute_answer_bounds(memory: int) -> AnswerBounds:
    """Return the limits for a process with `memory` bytes."""
    return AnswerBounds(
        max_head_bytes=_MAX_HEAD_BYTES,
        max_body_bytes=int(memory * _MAX_BODY_FRACTION),
        max_interim_answers=_MAX_INTERIM_ANSWERS,
        max_stray_answers=_MAX_STRAY_ANSWERS,
    )


def make_buffer_budget(memory: int) -> BufferBudget:
    """Return the budget for the bodies of a process with `memory` bytes."""
    return BufferBudget(max_bytes=int(memory * _BUFFER_BUDGET_FRACTION))


class FramingCounter:
    """Counts bytes outside bodies: heads, chunk sizes and trailers.

    The parser buffers a header until its end and skips what it does not use,
    so these bytes are counted as they are received.
    """

    def __init__(self, *, max_bytes: int) -> None:
        """Allow `max_bytes` in a row, and in total that more than the body.

        A row is interrupted by bytes of the body.
        """
        self._max_bytes = max_bytes
        self._framing_bytes = 0
        self._consecutive_bytes = 0
        self._body_bytes = 0

    def reset(self) -> None:
        """Reset the counts for a new message."""
        self._framing_bytes = 0
        self._consecutive_bytes = 0
        self._body_bytes = 0

    def add(self, count: int, body: int) -> bool:
        """Count read bytes; return whether they are within the limit.

        `body` of the `count` bytes belong to the body.
        """
        framing = max(0, count - body)
        self._consecutive_bytes = (
            framing if body else self._consecutive_bytes + framing
        )
        self._framing_bytes += framing
        self._body_bytes += body
        return (
            self._consecutive_bytes <= self._max_bytes
            and self._framing_bytes <= self._max_bytes + self._body_bytes
        )
