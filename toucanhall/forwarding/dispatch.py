"""Sends one request to one address and reads back the whole answer."""

import math
from collections.abc import Iterator
from http.client import HTTPException
from itertools import chain
from typing import Final, NamedTuple

from returns.result import Failure, Result, Success

from toucanhall import events, runtime
from toucanhall.forwarding.bodies import SettledBody
from toucanhall.forwarding.headers import (
    BrokenAnswer,
    check_framing,
    drop_hop_by_hop,
    make_heads,
    unfold,
)
from toucanhall.forwarding.lines import (
    FinalResponse,
    Line,
    Lines,
    Pace,
    open_line,
)
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.idempotency import may_send

__all__ = ('ID_HEADER', 'Dispatcher', 'SendError')

ID_HEADER: Final = 'Toucanhall-Request-Id'
_CONNECT_SECONDS: Final = 1.0
# Answers up to this size are read whole before any byte is returned.
_PART_BYTES: Final = 65536
_NO_BODY: Final = frozenset((204, 304))
# An open connection may be silent for this part of the time that is left.
_SILENT_PART: Final = 0.125
_BROKEN: Final = (OSError, HTTPException, ValueError)


class SendError(NamedTuple):
    """No whole answer came; `sent` says whether the target may have run it."""

    address: str
    sent: bool
    what: str


class Dispatcher:
    """Sends requests to targets and to entry VMs of other zones."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._lines = Lines()

    def send(
        self,
        address: str,
        request: Request,
        seconds: float,
        *,
        fresh: bool,
    ) -> Result[Answer, SendError]:
        """Send a request; `fresh` uses a connection that nobody used before.

        A request that need not be fresh is safe to send again: when an open
        connection fails it, a new one is tried.
        """
        give_up_at = runtime.read_clock() + seconds
        if fresh:
            return self._send_new(address, request, Pace(give_up_at, seconds))
        line = self._lines.take(address)
        if line is not None:
            pace = Pace(give_up_at, seconds * _SILENT_PART)
            sent = self._exchange(address, line, request, pace)
            if isinstance(sent, Success):
                return sent
        left = max(0, give_up_at - runtime.read_clock())
        pace = Pace(give_up_at, left)
        return self._send_new(address, request, pace).alt(
            lambda error: error._replace(sent=error.sent or line is not None),
        )

    def _send_new(
        self,
        address: str,
        request: Request,
        pace: Pace,
    ) -> Result[Answer, SendError]:
        left = pace.give_up_at - runtime.read_clock()
        if left <= 0:
            return Failure(SendError(address, sent=False, what='deadline'))
        try:
            line = open_line(address, min(_CONNECT_SECONDS, left))
        except OSError as error:
            return Failure(SendError(address, sent=False, what=str(error)))
        if not may_send(pace.give_up_at, runtime.read_clock()):
            line.close()
            return Failure(SendError(address, sent=False, what='deadline'))
        return self._exchange(address, line, request, pace)

    def _exchange(
        self,
        address: str,
        line: Line,
        request: Request,
        pace: Pace,
    ) -> Result[Answer, SendError]:
        line.sock.pace = pace
        try:
            return Success(self._ask(address, line, request))
        except _BROKEN as error:
            line.close()
            what = f'{type(error).__name__}: {error}'
            return Failure(SendError(address, sent=True, what=what))

    def _ask(self, address: str, line: Line, request: Request) -> Answer:
        line.putrequest(
            request.method,
            request.target,
            skip_host=True,
            skip_accept_encoding=True,
        )
        for name, content in make_heads(request, address):
            line.putheader(name, content)
        line.endheaders(request.body or None)
        response = line.read_head()
        _check_identity(request, response)
        has_body = request.method != 'HEAD' and response.status not in _NO_BODY
        check_framing(response, has_body=has_body)
        return Answer(
            response.status,
            response.reason or '',
            drop_hop_by_hop(unfold(tuple(response.headers.items()))),
            self._read_body(address, line, response),
        )

    def _read_body(
        self,
        address: str,
        line: Line,
        response: FinalResponse,
    ) -> tuple[bytes, ...] | SettledBody:
        first = _read_first(response)
        if response.isclosed():
            self._settle(address, line, response)
            return (first,)
        # A slow caller may take longer over a large body than the deadline;
        # the sender still may not fall silent.
        line.sock.pace = line.sock.pace._replace(give_up_at=math.inf)
        return SettledBody(
            body=chain((first,), _stream(address, response)),
            settle=lambda _whole: self._settle(address, line, response),
        )

    def _settle(
        self,
        address: str,
        line: Line,
        response: FinalResponse,
    ) -> None:
        is_whole = response.isclosed() and not response.length
        if is_whole and not response.will_close and not response.has_stray:
            self._lines.give(address, line)
        else:
            line.close()


def _read_first(response: FinalResponse) -> bytes:
    parts = [_read_part(response)]
    size = len(parts[0])
    while size < _PART_BYTES and not response.isclosed():
        parts.append(_read_part(response))
        size += len(parts[-1])
    return b''.join(parts)


def _stream(address: str, response: FinalResponse) -> Iterator[bytes]:
    try:
        while not response.isclosed():
            yield _read_part(response)
    except _BROKEN as error:
        events.log(events.RESPONSE_INCOMPLETE, address=address, what=str(error))
        raise BrokenAnswer(str(error)) from error


def _read_part(response: FinalResponse) -> bytes:
    part = response.read(_PART_BYTES)
    if response.isclosed() and response.length:
        raise BrokenAnswer(f'{response.length} bytes are missing')
    return part


def _check_identity(request: Request, response: FinalResponse) -> None:
    own = find_header(request.headers, ID_HEADER.lower())
    echoed = set(response.headers.get_all(ID_HEADER, []))
    if own and echoed - {own}:
        raise BrokenAnswer('the answer belongs to another request')
