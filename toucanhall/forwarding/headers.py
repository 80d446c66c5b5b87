"""Headers of forwarded requests and answers, and framing of answers."""

from email import errors
from typing import Final

from toucanhall.forwarding.lines import FinalResponse
from toucanhall.forwarding.records import Headers, Request

__all__ = (
    'BrokenAnswer',
    'check_framing',
    'drop_hop_by_hop',
    'drop_internal',
    'make_request_headers',
    'unfold_values',
)

_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'trailers',
        'transfer-encoding',
        'upgrade',
    )
)
_FRAMING_HEADERS: Final = _HOP_BY_HOP_HEADERS | {'content-length', 'expect'}
_INTERNAL_PREFIX: Final = 'toucanhall-'
_BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))
_PARSE_DEFECTS: Final = (
    errors.MissingHeaderBodySeparatorDefect,
    errors.FirstHeaderLineIsContinuationDefect,
)


class BrokenAnswer(OSError):
    """An answer is incomplete, malformed or belongs to another request."""


def make_request_headers(request: Request, address: str) -> Headers:
    """Return the headers of a request to send to an address."""
    kept = _drop_named(request.headers, _FRAMING_HEADERS)
    if not any(name.lower() == 'host' for name, _ in kept):
        kept = (('Host', address), *kept)
    if request.body or request.method in _BODY_METHODS:
        return (*kept, ('Content-Length', str(len(request.body))))
    return kept


def drop_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those of a single connection."""
    return _drop_named(headers, _HOP_BY_HOP_HEADERS)


def _drop_named(headers: Headers, dropped: frozenset[str]) -> Headers:
    connection_headers = {
        token.strip().lower()
        for name, content in headers
        if name.lower() == 'connection'
        for token in content.split(',')
        if not token.strip().lower().startswith(_INTERNAL_PREFIX)
    }
    all_dropped = (
        dropped | connection_headers if connection_headers else dropped
    )
    return tuple(
        entry for entry in headers if entry[0].lower() not in all_dropped
    )


def unfold_values(headers: Headers) -> Headers:
    """Return the headers with each folded value joined to one line."""
    return tuple(
        (name, ' '.join(content.split()) if '\n' in content else content)
        for name, content in headers
    )


def drop_internal(headers: Headers) -> Headers:
    """Return the headers without those that only entry VMs may set."""
    return tuple(
        entry
        for entry in headers
        if not entry[0].lower().startswith(_INTERNAL_PREFIX)
    )


def check_framing(response: FinalResponse, *, has_body: bool) -> None:
    """Raise BrokenAnswer if the length of an answer would be ambiguous."""
    fault = _find_fault(response, has_body=has_body)
    if fault:
        raise BrokenAnswer(f'the answer {fault}')


def _find_fault(response: FinalResponse, *, has_body: bool) -> str:
    lengths = set(response.headers.get_all('Content-Length', []))
    if any(
        isinstance(found, _PARSE_DEFECTS) for found in response.headers.defects
    ):
        return 'has a malformed header'
    if len(lengths) > 1 or not all(length.isdigit() for length in lengths):
        return f'has the lengths {sorted(lengths)}'
    if lengths and 'Transfer-Encoding' in response.headers:
        return 'has a length and a transfer coding'
    if has_body and not lengths and not response.chunked:
        return 'does not tell where it ends'
    return ''
