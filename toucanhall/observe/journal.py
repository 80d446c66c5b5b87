"""Writes log lines to standard output at a bounded rate, without blocking."""

import os
import time
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from toucanhall.events import Event
from toucanhall.observe.events import LINES_DROPPED

__all__ = ('Journal',)

# A token bucket for each event.
_BURST_LINES: Final = 50.0
_LINES_PER_SECOND: Final = 5.0
_LEVELS: Final = {10: 'debug', 20: 'info', 30: 'warning', 40: 'error'}


class Journal:
    """The log of a process: JSON lines on a descriptor, some of them dropped.

    A line is dropped when its event is too frequent, or when the reader of
    the descriptor does not keep up.
    """

    def __init__(
        self,
        *,
        vm: str,
        descriptor: int = 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to a descriptor, which is made non-blocking."""
        self._vm = vm
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._clock = clock
        # Tokens of each event and the time at which they were counted.
        self._tokens: dict[int, tuple[float, float]] = {}
        self.dropped: dict[int, int] = {}
        self._logged_total = 0

    def write(self, event: Event, **fields: object) -> None:
        """Write a line of an event, or count it as dropped."""
        if not self._admit(event.number):
            self._drop(event.number)
            return
        line = {
            'at': time.time_ns() // 1_000_000,
            'vm': self._vm,
            'level': _LEVELS[event.level],
            'event': event.number,
            'message': event.text,
            **fields,
        }
        self._write_line(event.number, line)

    def log_dropped_counts(self) -> None:
        """Log how many lines of each event were dropped since the start."""
        total = sum(self.dropped.values())
        if total != self._logged_total:
            self._logged_total = total
            self.write(LINES_DROPPED, counts=dict(self.dropped))

    def _write_line(self, number: int, line: dict[str, object]) -> None:
        encoded = b'%s\n' % _encode(line)
        try:
            written = os.write(self._descriptor, encoded)
        except (BlockingIOError, BrokenPipeError):
            self._drop(number)
        else:
            if written != len(encoded):
                self._drop(number)

    def _admit(self, number: int) -> bool:
        now = self._clock()
        tokens, since = self._tokens.get(number, (_BURST_LINES, now))
        tokens = min(_BURST_LINES, tokens + (now - since) * _LINES_PER_SECOND)
        is_admitted = tokens >= 1
        self._tokens[number] = (tokens - 1 if is_admitted else tokens, now)
        return is_admitted

    def _drop(self, number: int) -> None:
        self.dropped[number] = self.dropped.get(number, 0) + 1


def _encode(line: Mapping[str, object]) -> bytes:
    try:
        return msgspec.json.encode(line, enc_hook=str)
    except ValueError:
        return msgspec.json.encode(
            {name: _encode_field(content) for name, content in line.items()}
        )


def _encode_field(content: object) -> msgspec.Raw:
    """Encode a field, or its escaped form if it holds what is no text."""
    try:
        encoded = msgspec.json.encode(content, enc_hook=str)
    except ValueError:
        encoded = msgspec.json.encode(ascii(content))
    return msgspec.Raw(encoded)
