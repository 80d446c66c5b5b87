"""What an operator's call says, and the revision that it starts from."""

from typing import Any, Final, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from toucanhall import runtime
from toucanhall.admin.answers import Reply, explain
from toucanhall.admin.audit import NOTES, AuditEntry, list_entries
from toucanhall.catalogue import Revision
from toucanhall.forwarding.records import Request, find_header
from toucanhall.settings import Operator

__all__ = (
    'CHANGE_HEADER',
    'Base',
    'Call',
    'is_conditional',
    'parse',
    'read_base',
    'read_change',
    'read_expected',
)

CHANGE_HEADER: Final = 'Toucanhall-Change'
_ID_LENGTH: Final = 64


class Call(NamedTuple):
    """An operator's call: who calls, and the names in the path."""

    request: Request
    operator: Operator
    names: tuple[str, ...]


class Base(NamedTuple):
    """The revision that a change starts from; 0 when there is none.

    `carried` holds the audit entries that stood in its document.
    """

    number: int
    document: dict[str, Any]
    carried: tuple[AuditEntry, ...]


def read_base(held: Revision | None) -> Base:
    """Return the revision held, its document without the audit entries."""
    if held is None:
        return Base(0, {}, ())
    document: dict[str, Any] = msgspec.json.decode(held.document)
    carried = list_entries(document)
    document.pop(NOTES, None)
    return Base(held.number, document, carried)


def parse(body: bytes) -> Result[dict[str, Any], Reply]:
    """Return the object in a request's body, without audit entries."""
    try:
        parsed: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure((400, explain(f'body is no JSON object: {error}')))
    parsed.pop(NOTES, None)
    return Success(parsed)


def read_expected(request: Request) -> int | None:
    """Return the revision in If-Match, or `None` when there is none."""
    tag = find_header(request.headers, 'if-match').strip('"')
    return int(tag) if tag.isascii() and tag.isdecimal() else None


def is_conditional(request: Request) -> bool:
    """Return whether a request has an If-Match, readable or not."""
    return find_header(request.headers, 'if-match') != ''


def read_change(request: Request) -> str:
    """Return the change id that the operator chose, or a new one."""
    shown = find_header(request.headers, CHANGE_HEADER.lower())
    return shown[:_ID_LENGTH] or runtime.make_id()
