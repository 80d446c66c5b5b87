"""Requests, answers, and their bytes."""

from http import HTTPStatus
from typing import Final, NamedTuple, TypeAlias

__all__ = (
    'Answer',
    'Headers',
    'Request',
    'drop_hop_by_hop',
    'get_header',
    'make_answer',
    'make_error_answer',
    'encode_answer',
    'encode_request',
)

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]

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
_REASONS: Final = {
    status.value: status.phrase.encode() for status in HTTPStatus
}


class Request(NamedTuple):
    """A whole request; header names are in lower case."""

    method: bytes
    path: bytes
    headers: Headers
    body: bytes


class Answer(NamedTuple):
    """A whole answer; header names are in lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b''


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given in lower case."""
    for found, content in headers:
        if found == name:
            return content
    return None


def make_answer(
    status: int, text: str, *headers: tuple[bytes, bytes]
) -> Answer:
    """Return a short plain answer of the VM itself."""
    return Answer(
        status,
        ((b'content-type', b'text/plain'), *headers),
        text.encode(),
    )


def make_error_answer(_error: Exception) -> Answer:
    """Return the answer where an error left the outcome open."""
    return make_answer(HTTPStatus.BAD_GATEWAY, 'internal-error')


def drop_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    listed: set[bytes] = set()
    for name, content in headers:
        if name == b'connection':
            listed.update(part.strip() for part in content.lower().split(b','))
    return tuple(
        header
        for header in headers
        if header[0] not in _HOP_BY_HOP and header[0] not in listed
    )


def encode_answer(answer: Answer, *, is_last: bool, has_body: bool) -> bytes:
    """Return the bytes of an answer; the last one closes the connection."""
    lines = [
        b'HTTP/1.1 %d %s'
        % (answer.status, _REASONS.get(answer.status, b'Unknown')),
    ]
    lines.extend(b'%s: %s' % header for header in answer.headers)
    lines.append(b'content-length: %d' % len(answer.body))
    if is_last:
        lines.append(b'connection: close')
    body = answer.body if has_body else b''
    return b'\r\n'.join((*lines, b'', body))


def encode_request(request: Request) -> bytes:
    """Return the bytes of a request with the length of its body."""
    lines = [b'%s %s HTTP/1.1' % (request.method, request.path)]
    lines.extend(b'%s: %s' % header for header in request.headers)
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', request.body))
