"""Answers operators: the catalogue, changes to it, and the status."""

import hashlib
import hmac
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, TypeAlias

import msgspec
from returns.result import Success

from toucanhall import documents, runtime
from toucanhall.catalogue import Holder
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.settings import Operator
from toucanhall.spread import Accepting, Change
from toucanhall.spread.accepting import (
    ChangeConflict,
    ChangeUnknown,
    Invalid,
    Unaccepted,
)

__all__ = ('Admin', 'PREFIX')

PREFIX: Final = '/.toucanhall/admin/v1/'
CHANGE_HEADER: Final = 'toucanhall-change'

_ROLE_RANKS: Final = {'read': 0, 'operate': 1, 'administer': 2}
_PHRASES: Final = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    412: 'Precondition Failed',
    503: 'Service Unavailable',
}
Reply: TypeAlias = tuple[int, Mapping[str, Any]]


class Action(NamedTuple):
    """What serves a method and path, and the role that it needs."""

    role: str
    act: Callable[[Request, Operator], Reply]


class Admin:
    """The operators' API of one entry VM."""

    def __init__(
        self,
        *,
        operators: tuple[Operator, ...],
        holder: Holder,
        accepting: Accepting,
        read_status: Callable[[], Mapping[str, Any]],
    ) -> None:
        """Serve the operators that the settings name."""
        self._operators = operators
        self._holder = holder
        self._accepting = accepting
        self._read_status = read_status
        self._actions = {
            ('GET', 'catalogue'): Action('read', self._show),
            ('PUT', 'catalogue'): Action('administer', self._apply),
            ('GET', 'status'): Action('read', self._tell_status),
        }

    def serve(self, request: Request) -> Answer:
        """Answer one operator's request."""
        operator = self._identify(request)
        if operator is None:
            return _answer(401, _explain('operator token is not known'))
        name = request.path.removeprefix(PREFIX)
        action = self._actions.get((request.method, name))
        if action is None:
            return _answer(404, _explain(f'{request.method} {name!r}'))
        if _ROLE_RANKS[operator.role] < _ROLE_RANKS[action.role]:
            return _answer(
                403,
                _explain(f'role {operator.role!r}, needed {action.role!r}'),
            )
        status, body = action.act(request, operator)
        return _answer(status, body)

    def _identify(self, request: Request) -> Operator | None:
        shown = find_header(request.headers, 'authorization')
        token = shown.removeprefix('Bearer ').strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(operator.digest, digest):
                return operator
        return None

    def _show(self, _request: Request, _operator: Operator) -> Reply:
        held = self._holder.current
        if held is None:
            return 200, {'revision': 0, 'catalogue': None}
        return 200, {
            'revision': held.number,
            'change': held.change,
            'catalogue': msgspec.json.decode(held.document),
        }

    def _tell_status(self, _request: Request, _operator: Operator) -> Reply:
        return 200, self._read_status()

    def _apply(self, request: Request, operator: Operator) -> Reply:
        expected = find_header(request.headers, 'if-match').strip('"')
        if not expected.isdigit():
            return 400, _explain('If-Match needs the revision to replace')
        change = find_header(request.headers, CHANGE_HEADER)
        accepted = self._accepting.accept(
            Change(
                int(expected),
                change or runtime.make_id(),
                request.body,
                operator.name,
            ),
        )
        if isinstance(accepted, Success):
            done = accepted.unwrap()
            return 200, {'accepted': done.number, 'change': done.change}
        error = accepted.failure()
        return _ERROR_REPLIES[type(error)](error)


def _reply_invalid(error: Invalid) -> Reply:
    errors = [documents.render(entry) for entry in error.findings]
    return 400, {'errors': errors, **_explain('catalogue is invalid')}


def _reply_conflict(error: ChangeConflict) -> Reply:
    return 412, {
        'expected': error.expected,
        'found': error.found,
        'found_change': error.found_change,
        **_explain(
            f'revision {error.expected} was expected, '
            f'{error.found} is in the store',
        ),
    }


def _reply_unknown(error: ChangeUnknown) -> Reply:
    return 503, {
        'change': error.change,
        **_explain(
            'the change may have been accepted; ask again with header '
            f'{CHANGE_HEADER}: {error.change}',
        ),
    }


_ERROR_REPLIES: Final[Mapping[type, Callable[[Any], Reply]]] = {
    ChangeConflict: _reply_conflict,
    ChangeUnknown: _reply_unknown,
    Invalid: _reply_invalid,
    Unaccepted: lambda error: (503, _explain(error.what)),
}


def _explain(detail: str) -> Mapping[str, Any]:
    return {'detail': detail}


def _answer(status: int, body: Mapping[str, Any]) -> Answer:
    is_error = status >= 400
    kind = 'application/problem+json' if is_error else 'application/json'
    phrase = _PHRASES[status]
    described = {'title': phrase, 'status': status} if is_error else {}
    content = msgspec.json.encode({**described, **body})
    headers = (('Content-Type', kind), ('Content-Length', str(len(content))))
    return Answer(status, phrase, headers, (content,))
