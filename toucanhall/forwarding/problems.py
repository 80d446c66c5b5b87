"""Refusals: their reasons, statuses and rendering as problem+json."""

import math
from typing import Any, Final, NamedTuple

import msgspec
from returns.result import Failure, Result

from toucanhall.forwarding.records import Answer

__all__ = (
    'NOT_RUN',
    'REASONS',
    'RAN_HEADER',
    'Refusal',
    'make_refusal',
    'refuse',
    'render',
)

RAN_HEADER: Final = 'Toucanhall-Ran'
NOT_RUN: Final = 'no'


class Reason(NamedTuple):
    """HTTP status, phrase and title, and whether the request may have run."""

    status: int
    phrase: str
    title: str
    ran: str


REASONS: Final = {
    'bad-request': Reason(400, 'Bad Request', 'request is malformed', 'no'),
    'too-slow': Reason(
        408, 'Request Timeout', 'request was not received in time', 'no',
    ),
    'body-too-large': Reason(
        413, 'Content Too Large', 'body of the request is too large', 'no',
    ),
    'head-too-large': Reason(
        431, 'Request Header Fields Too Large',
        'headers of the request are too large', 'no',
    ),
    'not-supported': Reason(
        501, 'Not Implemented', 'transfer coding is not supported', 'no',
    ),
    'key-missing': Reason(401, 'Unauthorized', 'a key is needed', 'no'),
    'key-unknown': Reason(401, 'Unauthorized', 'key is not granted', 'no'),
    'no-route': Reason(404, 'Not Found', 'no route has this path', 'no'),
    'claim-open': Reason(
        409, 'Conflict', 'a request with this key was started', 'maybe',
    ),
    'claim-done': Reason(
        409, 'Conflict', 'a request with this key has run', 'maybe',
    ),
    'claim-mismatch': Reason(
        422, 'Unprocessable Content',
        'this idempotency key was used for another request', 'no',
    ),
    'rate': Reason(429, 'Too Many Requests', 'team is over its rate', 'no'),
    'target-failed': Reason(
        502, 'Bad Gateway', 'target gave no whole answer', 'maybe',
    ),
    'no-target': Reason(
        503, 'Service Unavailable', 'no target has room', 'no',
    ),
    'overloaded': Reason(
        503, 'Service Unavailable', 'too many requests wait', 'no',
    ),
    'retry-budget': Reason(
        503, 'Service Unavailable', 'too many requests are retried', 'no',
    ),
    'not-ready': Reason(
        503, 'Service Unavailable', 'no catalogue is in force yet', 'no',
    ),
    'store-unavailable': Reason(
        503, 'Service Unavailable', 'the store cannot be reached', 'no',
    ),
    'deadline': Reason(504, 'Gateway Timeout', 'deadline has passed', 'no'),
    'target-late': Reason(
        504, 'Gateway Timeout', 'no whole answer before the deadline', 'maybe',
    ),
    'internal': Reason(
        500, 'Internal Server Error', 'the entry VM failed', 'maybe',
    ),
}  # fmt: skip


class Refusal(NamedTuple):
    """Why a request is refused.

    `retry_after` is in seconds; 0 means that a retry does not help.
    """

    reason: str
    detail: str
    retry_after: float = 0.0


def make_refusal(
    reason: str,
    detail: str,
    retry_after: float = 0.0,
) -> Refusal:
    """Return a refusal; raises KeyError for an unknown reason."""
    if reason not in REASONS:
        raise KeyError(f'refusal reason {reason!r} is not in the table')
    return Refusal(reason, detail, retry_after)


def refuse(
    reason: str,
    detail: str,
    retry_after: float = 0.0,
) -> Result[Any, Refusal]:
    """Return a failure with a refusal; raises KeyError as `make_refusal`."""
    return Failure(make_refusal(reason, detail, retry_after))


def render(refusal: Refusal) -> Answer:
    """Return the refusal as an answer for the caller."""
    reason = REASONS[refusal.reason]
    body = msgspec.json.encode(
        {
            'type': f'urn:toucanhall:{refusal.reason}',
            'title': reason.title,
            'status': reason.status,
            'detail': refusal.detail,
            'reason': refusal.reason,
        }
    )
    headers = [
        ('Content-Type', 'application/problem+json'),
        ('Content-Length', str(len(body))),
        (RAN_HEADER, reason.ran),
    ]
    if refusal.retry_after > 0:
        headers.append(('Retry-After', str(math.ceil(refusal.retry_after))))
    return Answer(reason.status, reason.phrase, tuple(headers), (body,))
