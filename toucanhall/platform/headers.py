"""Reads and writes the platform's headers of requests and answers."""

import re
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
    'find_unknown_headers',
    'is_promise',
    'make_caller_answer',
    'make_target_request',
    'read_caller_headers',
    'read_count',
    'read_store_era',
    'read_target_headers',
)

REQUEST_ID_HEADER: Final = names.REQUEST_ID_HEADER
_BEARER_PREFIX: Final = b'bearer '
_REMOVED_HEADERS: Final = frozenset(
    (
        b'authorization',
        names.DEADLINE_HEADER,
        names.EXPECTED_TARGET_HEADER,
        names.RELAY_HEADER,
        names.TEAM_HEADER,
    )
)
_NOT_RUN_STATUSES: Final = frozenset((421, 429, 503, 400))
_MISDIRECTED_STATUS: Final = 421
_UNAVAILABLE_STATUS: Final = 503
_LEAVING: Final = b'1'
# Without and with how long work takes on the machine of the target.
_LOAD_FIELD_COUNTS: Final = frozenset((3, 4))
_MAX_DIGITS: Final = 12  # of a count or of milliseconds, thirty years
_DECIMAL_PATTERN: Final = re.compile(rb'\d{1,12}(?:\.\d{1,12})?')
# For the connection between this VM and the target, not for the caller.
_HIDDEN_ANSWER_HEADERS: Final = frozenset(
    (*names.LEAVING_HEADERS, *names.LIMIT_HEADERS, names.LOAD_HEADER)
)
# Headers of answers that this program reads or that are usual in HTTP.
_KNOWN_ANSWER_HEADERS: Final = frozenset(
    (
        b'cache-control',
        b'connection',
        b'content-encoding',
        b'content-length',
        b'content-type',
        b'date',
        b'etag',
        b'keep-alive',
        b'last-modified',
        b'retry-after',
        b'server',
        b'trailer',
        b'transfer-encoding',
        b'vary',
        *names.LEAVING_HEADERS,
        *names.LIMIT_HEADERS,
        names.ERA_HEADER,
        names.INSTANCE_HEADER,
        names.LOAD_HEADER,
        names.NOT_EXECUTED_HEADER,
        names.REQUEST_ID_HEADER,
        names.STAMP_HEADER,
    )
)
# They state that the request was not executed; targets confirm it by a header.
_REFUSAL_STATUSES: Final = frozenset((408, 421, 429, 503))


class CallerHeaders(NamedTuple):
    """Values from the head of a caller's request.

    `remaining_seconds` is the time until the deadline and `key` the API key,
    None if absent; `object_key` is the affinity key from the cookie.
    """

    request_id: bytes
    host: str
    path: str
    remaining_seconds: float | None
    key: str | None
    object_key: str | None


class TargetHeaders(NamedTuple):
    """Values from the head of a target's answer.

    `is_not_run` is true if the target confirms that it did not execute the
    request, `is_unproven_refusal` if only the status states that, and
    `is_misdirected` if the address belongs to another target.
    `pending_requests` is the number of running and waiting requests, and
    `machine_percent` how long work takes on the target's machine now (100 for
    as long as usual), None if not reported. `limit_per_second` are the requests
    that the target takes from all VMs together, None if it names no limit;
    `tells_limit` is false if the answer says nothing about that,
    `malformed_limit` what could not be read. `is_leaving` if the target says
    that it leaves; `pause_seconds` is the time
    for which it wants no requests of this VM.
    """

    is_not_run: bool
    is_unproven_refusal: bool
    is_misdirected: bool
    has_stamp: bool
    pending_requests: int | None
    limit_per_second: float | None = None
    tells_limit: bool = False
    malformed_limit: bytes = b''
    is_leaving: bool = False
    pause_seconds: float = 0.0
    machine_percent: int | None = None


def read_caller_headers(request: Request) -> CallerHeaders:
    """Read the head of a caller's request."""
    values_by_name = dict(reversed(request.headers))
    host = values_by_name.get(b'host', b'').decode('latin-1').lower()
    return CallerHeaders(
        request_id=values_by_name.get(names.REQUEST_ID_HEADER, b''),
        host=host.partition(':')[0],
        path=request.path.decode('latin-1'),
        remaining_seconds=_read_seconds(
            values_by_name.get(names.DEADLINE_HEADER)
        ),
        key=_read_api_key(values_by_name.get(b'authorization')),
        object_key=_read_object_key(request.headers),
    )


def make_target_request(
    request: Request,
    *,
    target: str,
    team: str | None,
    remaining_seconds: float,
) -> Request:
    """Return the request to send to a target."""
    kept = tuple(
        header
        for header in drop_hop_by_hop(request.headers)
        if header[0] not in _REMOVED_HEADERS
    )
    added: list[tuple[bytes, bytes]] = [
        (names.DEADLINE_HEADER, b'%d' % max(1, int(remaining_seconds * 1000))),
        (names.EXPECTED_TARGET_HEADER, target.encode()),
    ]
    if team is not None:
        added.append((names.TEAM_HEADER, team.encode()))
    return request._replace(headers=(*kept, *added))


def read_target_headers(reply: ReceivedAnswer) -> TargetHeaders:
    """Read the head of a target's answer."""
    is_misdirected = reply.status == _MISDIRECTED_STATUS
    has_proof_header = (
        get_header(reply.headers, names.NOT_EXECUTED_HEADER) is not None
    )
    is_not_run = is_misdirected or (
        has_proof_header and reply.status in _NOT_RUN_STATUSES
    )
    limit = _read_limit(reply.headers)
    load = _read_load(get_header(reply.headers, names.LOAD_HEADER))
    has_stamp = get_header(reply.headers, names.STAMP_HEADER) is not None
    return TargetHeaders(
        is_not_run=is_not_run,
        is_unproven_refusal=not is_not_run
        and reply.status in _REFUSAL_STATUSES,
        is_misdirected=is_misdirected,
        has_stamp=has_stamp,
        pending_requests=load.pending_requests,
        machine_percent=load.machine_percent,
        limit_per_second=limit.per_second,
        # Only an answer to an executed request ends a limit by naming none.
        tells_limit=not is_misdirected
        and not limit.malformed
        and (limit.per_second is not None or has_stamp),
        malformed_limit=limit.malformed,
        is_leaving=not is_misdirected and _is_leaving(reply.headers),
        pause_seconds=0.0 if is_misdirected else _read_pause_seconds(reply),
    )


def is_promise(reply: ReceivedAnswer) -> bool:
    """Whether an answer states that the request was not executed."""
    return reply.status in _REFUSAL_STATUSES


def read_store_era(headers: Headers) -> int:
    """Return the era of the store, 0 if it names none.

    Raises ValueError if the header is not one number.
    """
    contents = {
        content.strip() for name, content in headers if name == names.ERA_HEADER
    }
    eras = {read_count(content) for content in contents}
    if None in eras or len(eras) > 1:
        raise ValueError(f'{sorted(contents)!r} is not the era of the store')
    return next(iter(eras), 0) or 0


def find_unknown_headers(reply: ReceivedAnswer) -> Headers:
    """Return the headers of an answer that this program has no name for."""
    return tuple(
        header
        for header in reply.headers
        if header[0] not in _KNOWN_ANSWER_HEADERS
    )


def make_caller_answer(reply: ReceivedAnswer) -> Answer:
    """Return the answer to send to the caller."""
    headers: Headers = tuple(
        header
        for header in drop_hop_by_hop(reply.headers)
        if header[0] not in _HIDDEN_ANSWER_HEADERS
    )
    return Answer(reply.status, headers, reply.body)


class _Limit(NamedTuple):
    per_second: float | None = None
    malformed: bytes = b''


def _read_limit(headers: Headers) -> _Limit:
    """Return the lowest limit of an answer, or else what is malformed."""
    limits = []
    malformed = b''
    for name, content in headers:
        if name not in names.LIMIT_HEADERS:
            continue
        for part in content.split(b','):
            if _DECIMAL_PATTERN.fullmatch(part.strip()):
                limits.append(float(part))
            else:
                malformed = content
    if limits:
        return _Limit(per_second=min(limits))
    return _Limit(malformed=malformed)


def _is_leaving(headers: Headers) -> bool:
    return any(
        name in names.LEAVING_HEADERS and content.strip() == _LEAVING
        for name, content in headers
    )


def _read_pause_seconds(reply: ReceivedAnswer) -> float:
    """Return the longest time of a refusal's Retry-After headers, or 0."""
    if reply.status != _UNAVAILABLE_STATUS:
        return 0.0
    contents = [
        content.strip()
        for name, content in reply.headers
        if name == b'retry-after'
    ]
    return max(
        (
            float(found)
            for found in contents
            if _DECIMAL_PATTERN.fullmatch(found)
        ),
        default=0.0,
    )


def _read_seconds(content: bytes | None) -> float | None:
    """Return the seconds of a header in milliseconds."""
    milliseconds = read_count(content)
    return None if milliseconds is None else milliseconds / 1000


def read_count(content: bytes | None) -> int | None:
    """Return the number in a header, None if it is not one."""
    if content is None or not content.isdigit() or len(content) > _MAX_DIGITS:
        return None
    return int(content)


def _read_api_key(content: bytes | None) -> str | None:
    if (
        content is None
        or content[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX
    ):
        return None
    return content[len(_BEARER_PREFIX) :].strip().decode('latin-1')


def _read_object_key(headers: Headers) -> str | None:
    for name, content in headers:
        if name != b'cookie':
            continue
        for part in content.decode('latin-1').split(';'):
            cookie, _, object_key = part.strip().partition('=')
            if cookie == names.OBJECT_COOKIE:
                return object_key
    return None


class _Load(NamedTuple):
    pending_requests: int | None = None
    machine_percent: int | None = None


def _read_load(content: bytes | None) -> _Load:
    parts = (content or b'').split(b',')
    if len(parts) not in _LOAD_FIELD_COUNTS:
        return _Load()
    running, waiting, _slots, *machine = (
        read_count(part.strip()) for part in parts
    )
    if running is None or waiting is None:
        return _Load()
    # No machine takes no time: 0 says nothing.
    return _Load(running + waiting, next(iter(machine), None) or None)
