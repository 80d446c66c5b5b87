"""Checks callers' HTTP before waitress parses it, and answers errors."""

import threading
from typing import Any, Final
from urllib.parse import unquote

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.task import ErrorTask, WSGITask
from waitress.utilities import Error

from toucanhall import runtime
from toucanhall.forwarding.problems import make_refusal, render

__all__ = ('Channel', 'check_head')

_MAX_RECEIVE_SECONDS: Final = 30.0
_FORBIDDEN_SLASHES: Final = ('%2f', '%5c', '\\')
_DOT_SEGMENTS: Final = frozenset(('.', '..'))
_UNREPEATABLE_HEADERS: Final = frozenset(
    (b'content-length', b'host', b'transfer-encoding')
)
_HTTP_VERSIONS: Final = (b'HTTP/1.0', b'HTTP/1.1')
_REASONS_BY_STATUS: Final = {
    400: 'bad-request',
    408: 'too-slow',
    413: 'body-too-large',
    431: 'head-too-large',
    501: 'not-supported',
}


class TooSlow(Error):
    """The request was not received in time."""

    code = 408
    reason = 'Request Timeout'


def check_head(head: bytes) -> str:
    """Return the fault of a request's head, or '' if it has none."""
    first, *lines = head.removesuffix(b'\r\n').split(b'\r\n')
    return _check_request_line(first) or _check_headers(first, lines)


def _check_request_line(first: bytes) -> str:
    parts = first.split(b' ')
    if len(parts) != 3 or parts[2] not in _HTTP_VERSIONS:
        return 'start line is not of HTTP/1.0 or HTTP/1.1'
    if not all(33 <= code < 127 for code in parts[1]):
        return 'target has characters that must be encoded'
    return check_target(parts[1].decode('ascii'))


def check_target(target: str) -> str:
    """Return the fault of a request target, or '' if it has none."""
    path = target.split('?', 1)[0]
    if not path.startswith('/') or path.startswith('//'):
        return 'target is not a path'
    if '#' in target:
        return 'target has a fragment'
    for form in _decode_up_to_twice(path):
        if any(mark in form.lower() for mark in _FORBIDDEN_SLASHES):
            return 'path has an encoded slash or a backslash'
        if _DOT_SEGMENTS & set(form.split('/')):
            return 'path has a dot segment'
        if not form.isprintable():
            return 'path has a control character'
    return ''


def _decode_up_to_twice(path: str) -> tuple[str, ...]:
    if '%' not in path:
        return (path,)
    once = unquote(path)
    return path, once, unquote(once)


def _check_headers(first: bytes, lines: list[bytes]) -> str:
    if any(line[:1] in {b' ', b'\t'} for line in lines):
        return 'a header is folded'
    names = [line.partition(b':')[0].lower() for line in lines]
    for name in _UNREPEATABLE_HEADERS:
        if names.count(name) > 1:
            return f'header {name.decode()} is repeated'
    has_coding = b'transfer-encoding' in names
    if has_coding and b'content-length' in names:
        return 'both a length and a transfer coding are given'
    if has_coding and first.endswith(_HTTP_VERSIONS[0]):
        return 'HTTP/1.0 has no transfer coding'
    if b'host' not in names and first.endswith(_HTTP_VERSIONS[1]):
        return 'header host is missing'
    return ''


class Parser(HTTPRequestParser):
    """Refuses requests that another HTTP parser could read differently."""

    def parse_header(self, header_plus: bytes) -> None:
        """Check the head before it is parsed."""
        fault = check_head(header_plus)
        if fault:
            raise ParsingError(fault)
        super().parse_header(header_plus)


class ProblemTask(ErrorTask):
    """Answers a request that could not be parsed, and closes."""

    request: Any
    response_headers: list[tuple[str, str]]

    def execute(self) -> None:
        """Write the refusal as problem+json."""
        error = self.request.error
        reason = _REASONS_BY_STATUS.get(error.code, 'internal')
        # Text behind a quotation mark is the caller's and may hold a secret.
        detail = str(error.body).split('"', 1)[0].strip()
        answer = render(make_refusal(reason, detail))
        self.status = f'{answer.status} {answer.reason}'
        self.response_headers.extend(answer.headers)
        self.set_close_on_finish()
        body = b''.join(answer.body)
        self.content_length = len(body)
        self.write(body)


class Task(WSGITask):
    """Runs the application; a response to HEAD has no final chunk."""

    request: Any

    def finish(self) -> None:
        """Write the end of the response."""
        if not self.wrote_header:
            self.write(b'')
        if self.request.command == 'HEAD':
            self.chunked_response = False
        super().finish()


class Channel(HTTPChannel):
    """A caller's connection with a time limit to receive each request."""

    parser_class = Parser
    error_task_class = ProblemTask
    task_class = Task
    request: Any
    requests: list[Any]
    requests_lock: threading.Lock
    server: Any

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Start to measure the time of the first request."""
        super().__init__(*arguments, **options)
        self._request_began_at = runtime.read_clock()

    def received(self, data: bytes) -> bool:
        """Parse received bytes, or refuse a request that takes too long."""
        now = runtime.read_clock()
        before = self.request
        if (
            before is not None
            and now - self._request_began_at > _MAX_RECEIVE_SECONDS
        ):
            self._refuse(TooSlow('the request was not received in time'))
            return True
        is_accepted: bool = super().received(data)
        if self.request is not before:
            self._request_began_at = now
        return is_accepted

    def _refuse(self, error: Error) -> None:
        with self.requests_lock:
            self.request.error = error
            self.request.completed = True
            self.requests.append(self.request)
            self.request = None
            if len(self.requests) == 1:
                self.server.add_task(self)
