"""Limits of a single message, and what its parts take in memory.

Load pattern: a hundred failing servers at once send endless bytes that are no
valid answers. Each message has its own limits; all share a `BufferBudget`.
"""

from typing import Final, NamedTuple

from toucanhall.web.messages import HeaderList

__all__ = (
    'MAX_HEADER_FIELDS',
    'PARSE_CHUNK_BYTES',
    'AnswerBounds',
    'FramingCounter',
    'compute_answer_bounds',
    'compute_header_bytes',
)

# Parsed between two checks of the limits.
PARSE_CHUNK_BYTES: Final = 1 << 14
# Deployments allow a caller 16 KiB of headers; targets may send more.
_MAX_HEAD_BYTES: Final = 1 << 16
# Of one message, trailers included.
MAX_HEADER_FIELDS: Final = 256
# In CPython, beside the characters: a pair, two bytes objects with their
# alignment, and their places in a list and a tuple.
_HEADER_FIELD_BYTES: Final = 192
# From the first byte of a head to its end: as long as a link may leave bytes
# unacknowledged, four retransmissions between the farthest regions.
_MAX_HEAD_SECONDS: Final = 1.5
# Statuses 100 and 103 before the final answer, with a few repetitions.
_MAX_INTERIM_ANSWERS: Final = 8
# Late copies of earlier answers before the expected one.
_MAX_STRAY_ANSWERS: Final = 4
# Of the memory of a process: a third of what all messages share.
_MAX_BODY_FRACTION: Final = 1 / 24


class AnswerBounds(NamedTuple):
    """Limits of reading one answer.

    Interim answers have a 1xx status, stray ones the id of another request.
    """

    max_head_bytes: int
    max_head_seconds: float
    max_header_fields: int
    max_body_bytes: int
    max_interim_answers: int
    max_stray_answers: int


def compute_answer_bounds(memory: int) -> AnswerBounds:
    """Return the limits for a process with `memory` bytes."""
    return AnswerBounds(
        max_head_bytes=_MAX_HEAD_BYTES,
        max_head_seconds=_MAX_HEAD_SECONDS,
        max_header_fields=MAX_HEADER_FIELDS,
        max_body_bytes=int(memory * _MAX_BODY_FRACTION),
        max_interim_answers=_MAX_INTERIM_ANSWERS,
        max_stray_answers=_MAX_STRAY_ANSWERS,
    )


def compute_header_bytes(headers: HeaderList) -> int:
    """Return the memory that header fields take."""
    characters = sum(len(name) + len(content) for name, content in headers)
    return characters + len(headers) * _HEADER_FIELD_BYTES


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

    @property
    def consecutive_bytes(self) -> int:
        """The bytes since the last of a body; the parser may buffer them."""
        return self._consecutive_bytes

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
