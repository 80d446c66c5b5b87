"""An operator's call: its headers, body and base revision."""

from typing import Any, Final, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from toucanhall import runtime
from toucanhall.admin.answers import Reply, make_error_body
from toucanhall.admin.audit import CHANGES_FIELD, AuditEntry, list_entries
from toucanhall.catalogue import Revision
from toucanhall.forwarding.records import Request, find_header
from toucanhall.settings import Operator

__all__ = (
    'CHANGE_HEADER',
    'BaseRevision',
    'Call',
    'is_conditional',
    'parse_body',
    'get_base_revision',
    'get_change_id',
    'get_expected_revision',
)

CHANGE_HEADER: Final = 'Toucanhall-Change'
_MAX_CHANGE_ID_CHARACTERS: Final = 64


class Call(NamedTuple):
    """A request, its operator, and the names in its path."""

    request: Request
    operator: Operator
    names: tuple[str, ...]


class BaseRevision(NamedTuple):
    """The revision that a change is based on; number 0 if there is none.

    `entries` are the audit entries that were in its document.
    """

    number: int
    document: dict[str, Any]
    entries: tuple[AuditEntry, ...]


def get_base_revision(held: Revision | None) -> BaseRevision:
    """Return the revision in force, its audit entries apart."""
    if held is None:
        return BaseRevision(0, {}, ())
    document: dict[str, Any] = msgspec.json.decode(held.document)
    entries = list_entries(document)
    document.pop(CHANGES_FIELD, None)
    return BaseRevision(held.number, document, entries)


def parse_body(body: bytes) -> Result[dict[str, Any], Reply]:
    """Decode the object in a request's body and remove audit entries."""
    try:
        parsed: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(
            (400, make_error_body(f'body is no JSON object: {error}'))
        )
    parsed.pop(CHANGES_FIELD, None)
    return Success(parsed)


def get_expected_revision(request: Request) -> int | None:
    """Return the revision in If-Match, `None` if absent or invalid."""
    tag = find_header(request.headers, 'if-match').strip('"')
    return int(tag) if tag.isascii() and tag.isdecimal() else None


def is_conditional(request: Request) -> bool:
    """Return whether a request has an If-Match, valid or not."""
    return find_header(request.headers, 'if-match') != ''


def get_change_id(request: Request) -> str:
    """Return the change id in the request, or a new one."""
    shown = find_header(request.headers, CHANGE_HEADER.lower())
    return shown[:_MAX_CHANGE_ID_CHARACTERS] or runtime.make_id()
