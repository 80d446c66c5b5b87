"""Headers of requests that one VM passes to another."""

from typing import Final

from toucanhall.platform import names
from toucanhall.platform.headers import read_count
from toucanhall.web.messages import (
    Answer,
    Request,
    drop_hop_by_hop,
    get_header,
)

__all__ = ('add_request_id', 'make_relayed_request', 'read_relay_attempts')

_REPLACED_HEADERS: Final = frozenset(
    (names.DEADLINE_HEADER, names.RELAY_HEADER)
)


def make_relayed_request(
    request: Request, *, attempts: int, remaining_seconds: float
) -> Request:
    """Return a caller's request to pass to another VM.

    That VM may send it to `attempts` targets.
    """
    kept = tuple(
        header
        for header in drop_hop_by_hop(request.headers)
        if header[0] not in _REPLACED_HEADERS
    )
    remaining_ms = max(1, int(remaining_seconds * 1000))
    added = (
        (names.DEADLINE_HEADER, b'%d' % remaining_ms),
        (names.RELAY_HEADER, b'%d' % attempts),
    )
    return request._replace(headers=(*kept, *added))


def read_relay_attempts(request: Request) -> int | None:
    """Return how often a request of another VM may be sent.

    None for a request that no VM has passed on.
    """
    return read_count(get_header(request.headers, names.RELAY_HEADER))


def add_request_id(answer: Answer, request_id: bytes) -> Answer:
    """Return an answer that another VM can match to its request."""
    if get_header(answer.headers, names.REQUEST_ID_HEADER) is not None:
        return answer
    header = (names.REQUEST_ID_HEADER, request_id)
    return answer._replace(headers=(*answer.headers, header))
