"""HTTP/1.1 requests and answers, and their encoding."""

from http import HTTPStatus
from typing import Final, NamedTuple, TypeAlias

__all__ = (
    'Answer',
    'HeaderList',
    'Headers',
    'Request',
    'drop_hop_by_hop',
    'encode_answer',
    'encode_request',
    'get_header',
    'make_answer',
    'make_error_answer',
)

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]
HeaderList: TypeAlias = list[tuple[bytes, bytes]]  # of a message being read

_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
_REASON_PHRASES: Final = {
    status.value: status.phrase.encode() for status in HTTPStatus
}


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: bytes
    path: bytes
    headers: Headers
    body: bytes


class Answer(NamedTuple):
    """A complete answer to send; header names are in lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b''


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; `name` is in lower case."""
    for found_name, content in headers:
        if found_name == name:
            return content
    return None


def make_answer(
    status: int, text: str, *headers: tuple[bytes, bytes]
) -> Answer:
    """Return a plain text answer of the VM itself."""
    return Answer(
        status,
        ((b'content-type', b'text/plain'), *headers),
        text.encode(),
    )


def make_error_answer(_error: Exception) -> Answer:
    """Return the answer after an error that leaves the outcome unknown."""
    return make_answer(HTTPStatus.BAD_GATEWAY, 'internal-error')


def drop_hop_by_hop(headers: Headers) -> Headers:
    """Return the end-to-end headers."""
    connection_options: set[bytes] = set()
    for name, content in headers:
        if name == b'connection':
            connection_options.update(
                part.strip() for part in content.lower().split(b',')
            )
    return tuple(
        header
        for header in headers
        if header[0] not in _HOP_BY_HOP and header[0] not in connection_options
    )


def encode_answer(answer: Answer, *, is_last: bool, has_body: bool) -> bytes:
    """Encode an answer; the last one closes its connection.

    The content length is that of the body, also where only the head is sent.
    """
    lines = [
        b'HTTP/1.1 %d %s'
        % (answer.status, _REASON_PHRASES.get(answer.status, b'Unknown')),
    ]
    lines.extend(b'%s: %s' % header for header in answer.headers)
    lines.append(b'content-length: %d' % len(answer.body))
    if is_last:
        lines.append(b'connection: close')
    body = answer.body if has_body else b''
    return b'\r\n'.join((*lines, b'', body))


def encode_request(request: Request) -> bytes:
    """Encode a request with the length of its body."""
    lines = [b'%s %s HTTP/1.1' % (request.method, request.path)]
    lines.extend(b'%s: %s' % header for header in request.headers)
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', request.body))
