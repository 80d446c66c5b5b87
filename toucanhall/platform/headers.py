"""Headers of requests and answers, in the platform's spelling."""

from typing import Final, NamedTuple

from toucanhall.platform import names
from toucanhall.web.client import ReceivedAnswer
from toucanhall.web.messages import (
    Answer,
    Headers,
    Request,
    drop_hop_by_hop,
    get_header,
)

__all__ = (
    'REQUEST_ID_HEADER',
    'CallerHeaders',
    'TargetHeaders',
    'make_target_request',
    'make_caller_answer',
    'read_caller_headers',
    'read_target_headers',
)

REQUEST_ID_HEADER: Final = names.REQUEST_ID_HEADER
_BEARER: Final = b'bearer '
_OWN: Final = frozenset(
    (
        b'authorization',
        names.DEADLINE_HEADER,
        names.EXPECTED_TARGET_HEADER,
        names.TEAM_HEADER,
    )
)
_NOT_RUN_STATUSES: Final = frozenset((421, 429, 503, 400))
_MISDIRECTED: Final = 421
_LOAD_FIELDS: Final = 3
_MOST_DIGITS: Final = 12  # of a count or of milliseconds: thirty years
# Each says that the request did not run, and a target proves it by a header.
_PROMISING_STATUSES: Final = frozenset((408, 421, 429, 503))


class CallerHeaders(NamedTuple):
    """What the headers of a caller's request say.

    `remaining_seconds` is None when the caller does not tell how long it waits;
    `key` is None without a key; `object_key` names the object concerned.
    """

    request_id: bytes
    host: str
    path: str
    remaining_seconds: float | None
    key: str | None
    object_key: str | None


class TargetHeaders(NamedTuple):
    """What the headers of a target's answer say.

    `is_not_run` is true when the target says that it did not run the request,
    `is_misdirected` when another target has the address; `is_unproven_refusal` when its
    status alone says that the request did not run. `pending_requests` counts the requests
    that it runs and holds, if it tells.
    """

    is_not_run: bool
    is_unproven_refusal: bool
    is_misdirected: bool
    has_stamp: bool
    pending_requests: int | None


def read_caller_headers(request: Request) -> CallerHeaders:
    """Read the headers of a caller."""
    found = dict(reversed(request.headers))
    host = found.get(b'host', b'').decode('latin-1').lower()
    return CallerHeaders(
        request_id=found.get(names.REQUEST_ID_HEADER, b''),
        host=host.partition(':')[0],
        path=request.path.decode('latin-1'),
        remaining_seconds=_read_milliseconds(found.get(names.DEADLINE_HEADER)),
        key=_read_key(found.get(b'authorization')),
        object_key=_read_object(request.headers),
    )


def make_target_request(
    request: Request,
    *,
    target: str,
    team: str | None,
    remaining_seconds: float,
) -> Request:
    """Return the request as a target gets it."""
    kept = tuple(
        header
        for header in drop_hop_by_hop(request.headers)
        if header[0] not in _OWN
    )
    added: list[tuple[bytes, bytes]] = [
        (names.DEADLINE_HEADER, b'%d' % max(1, int(remaining_seconds * 1000))),
        (names.EXPECTED_TARGET_HEADER, target.encode()),
    ]
    if team is not None:
        added.append((names.TEAM_HEADER, team.encode()))
    return request._replace(headers=(*kept, *added))


def read_target_headers(reply: ReceivedAnswer) -> TargetHeaders:
    """Read the headers of a target."""
    is_misdirected = reply.status == _MISDIRECTED
    is_marked = get_header(reply.headers, names.NOT_EXECUTED_HEADER) is not None
    is_not_run = is_misdirected or (
        is_marked and reply.status in _NOT_RUN_STATUSES
    )
    return TargetHeaders(
        is_not_run=is_not_run,
        is_unproven_refusal=not is_not_run
        and reply.status in _PROMISING_STATUSES,
        is_misdirected=is_misdirected,
        has_stamp=get_header(reply.headers, names.STAMP_HEADER) is not None,
        pending_requests=_read_busy(
            get_header(reply.headers, names.LOAD_HEADER)
        ),
    )


def make_caller_answer(reply: ReceivedAnswer) -> Answer:
    """Return the answer of a target as its caller gets it."""
    headers: Headers = tuple(
        header
        for header in drop_hop_by_hop(reply.headers)
        if header[0] != names.LOAD_HEADER
    )
    return Answer(reply.status, headers, reply.body)


def _read_milliseconds(content: bytes | None) -> float | None:
    found = _read_count(content)
    return None if found is None else found / 1000


def _read_count(content: bytes | None) -> int | None:
    if content is None or not content.isdigit() or len(content) > _MOST_DIGITS:
        return None
    return int(content)


def _read_key(content: bytes | None) -> str | None:
    if content is None or content[: len(_BEARER)].lower() != _BEARER:
        return None
    return content[len(_BEARER) :].strip().decode('latin-1')


def _read_object(headers: Headers) -> str | None:
    for name, content in headers:
        if name != b'cookie':
            continue
        for part in content.decode('latin-1').split(';'):
            found, _, named = part.strip().partition('=')
            if found == names.OBJECT_COOKIE:
                return named
    return None


def _read_busy(content: bytes | None) -> int | None:
    parts = (content or b'').split(b',')
    if len(parts) != _LOAD_FIELDS:
        return None
    running = _read_count(parts[0].strip())
    waiting = _read_count(parts[1].strip())
    if running is None or waiting is None:
        return None
    return running + waiting
