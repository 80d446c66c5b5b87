"""Limits of the memory that requests and answers of others may use.

Load pattern: a hundred failing servers at once send endless bytes that are no
valid answers. Each answer has its own limits, and all bodies share one budget:
when it is exceeded, the connection with the largest buffer is terminated, so
that small answers still get through.
"""

from typing import Final, NamedTuple, Protocol

__all__ = (
    'PIECE_BYTES',
    'Bounds',
    'Framing',
    'HeldBytes',
    'Holder',
    'make_bounds',
    'make_held_bytes',
)

# Parsed between two checks of the limits.
PIECE_BYTES: Final = 1 << 14
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


class Holder(Protocol):
    """A connection that buffers bytes and can be terminated."""

    def cut(self, reason: str) -> None:
        """End the connection and free its buffer."""


class HeldBytes:
    """Limit of the body bytes that a process buffers at the same time."""

    def __init__(self, *, most: int) -> None:
        """Allow `most` bytes for all owners together."""
        self.most = most
        self.total = 0
        self._buffered_bytes: dict[Holder, int] = {}

    def put(self, owner: Holder, count: int) -> None:
        """Set how many bytes an owner buffers.

        While the budget is exceeded, terminates the owner of the largest
        buffer, which may be the calling one.
        """
        self.total += count - self._buffered_bytes.pop(owner, 0)
        if count:
            self._buffered_bytes[owner] = count
        while self.total > self.most:
            largest = max(
                self._buffered_bytes, key=self._buffered_bytes.__getitem__
            )
            self.total -= self._buffered_bytes.pop(largest)
            largest.cut(f'all bodies held are over {self.most} bytes')


class Bounds(NamedTuple):
    """Limits of reading one answer.

    Interim answers have a 1xx status, stray ones the id of another request.
    """

    max_head_bytes: int
    max_body_bytes: int
    max_interim_answers: int
    max_stray_answers: int


def make_bounds(memory: int) -> Bounds:
    """Return the limits for a process with `memory` bytes."""
    return Bounds(
        max_head_bytes=_MAX_HEAD_BYTES,
        max_body_bytes=int(memory * _MAX_BODY_FRACTION),
        max_interim_answers=_MAX_INTERIM_ANSWERS,
        max_stray_answers=_MAX_STRAY_ANSWERS,
    )


def make_held_bytes(memory: int) -> HeldBytes:
    """Return the budget for the bodies of a process with `memory` bytes."""
    return HeldBytes(most=int(memory * _BUFFER_BUDGET_FRACTION))


class Framing:
    """Counts bytes outside bodies: heads, chunk sizes and trailers.

    The parser buffers a header until its end and skips what it does not use,
    so these bytes are counted as they are received.
    """

    def __init__(self, *, most: int) -> None:
        """Allow `most` bytes in a row, and in total `most` more than the body.

        A row is interrupted by bytes of the body.
        """
        self._max_bytes = most
        self._framing_bytes = 0
        self._consecutive_bytes = 0
        self._body_bytes = 0

    def start(self) -> None:
        """Reset the counts for a new message."""
        self._framing_bytes = 0
        self._consecutive_bytes = 0
        self._body_bytes = 0

    def take(self, count: int, body: int) -> bool:
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
