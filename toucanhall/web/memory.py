"""Bounds of the bytes that a process holds and reads for others.

Load pattern: servers in trouble send bytes that are no answer, without end and
a hundred at once. Each answer has bounds of its own; all together have one, and
what holds most is cut, so that small answers go on.
"""

from typing import Final, NamedTuple, Protocol

__all__ = (
    'PARSE_CHUNK_BYTES',
    'AnswerBounds',
    'FramingCounter',
    'BufferBudget',
    'BufferOwner',
    'compute_answer_bounds',
    'make_buffer_budget',
)

# Bytes that are parsed between two looks at the bounds.
PARSE_CHUNK_BYTES: Final = 1 << 14
# Deployments allow a caller 16 KiB of headers; a target may add some.
_HEAD_BYTES: Final = 1 << 16
# Informational answers before the final one: 100 and 103, and a few repeats.
_MOST_INTERIM: Final = 8
# Late copies of earlier answers before the one that is waited for.
_MOST_STRAY: Final = 4
# Parts of a process's memory: all bodies held, and one of them. The smallest
# VM has 152 MB, of which the interpreter and the tables take up to 40.
_HELD_SHARE: Final = 1 / 12
_BODY_SHARE: Final = 1 / 24


class BufferOwner(Protocol):
    """What holds bytes and can be cut."""

    def terminate(self, why: str) -> None:
        """End the connection and drop what it holds."""


class BufferBudget:
    """Bytes of all bodies that a process holds."""

    def __init__(self, *, max_bytes: int) -> None:
        """Hold at most so many bytes."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._held: dict[BufferOwner, int] = {}

    def set_usage(self, holder: BufferOwner, count: int) -> None:
        """Note how many bytes a holder has; cut the largest beyond the bound.

        The holder itself may be the one that is cut.
        """
        self.total_bytes += count - self._held.pop(holder, 0)
        if count:
            self._held[holder] = count
        while self.total_bytes > self.max_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            self.total_bytes -= self._held.pop(largest)
            largest.terminate(
                f'all bodies held are over {self.max_bytes} bytes'
            )


class AnswerBounds(NamedTuple):
    """What is read of one answer: bytes, and answers before the final one."""

    head_bytes: int
    body_bytes: int
    most_interim: int
    most_stray: int


def compute_answer_bounds(memory: int) -> AnswerBounds:
    """Return the bounds of a process that has some bytes of memory."""
    return AnswerBounds(
        head_bytes=_HEAD_BYTES,
        body_bytes=int(memory * _BODY_SHARE),
        most_interim=_MOST_INTERIM,
        most_stray=_MOST_STRAY,
    )


def make_buffer_budget(memory: int) -> BufferBudget:
    """Return what counts the bodies of a process with bytes of memory."""
    return BufferBudget(max_bytes=int(memory * _HELD_SHARE))


class FramingCounter:
    """Counts what is read beside bodies: heads, chunk sizes, trailers.

    The parser keeps a header until it ends and skips what it does not need, so
    these bytes are counted as they come.
    """

    def __init__(self, *, max_bytes: int) -> None:
        """Allow so many bytes in a row, and so many more than the body has."""
        self._most = max_bytes
        self._total = 0
        self._run = 0
        self._body = 0

    def reset(self) -> None:
        """Begin a message."""
        self._total = 0
        self._run = 0
        self._body = 0

    def add(self, count: int, body: int) -> bool:
        """Count bytes read, some of them of the body; tell if it is allowed."""
        framing = max(0, count - body)
        self._run = framing if body else self._run + framing
        self._total += framing
        self._body += body
        return (
            self._run <= self._most and self._total <= self._most + self._body
        )
