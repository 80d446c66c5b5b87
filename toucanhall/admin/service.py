"""Answers operators: the catalogue, changes to it, and the status."""

import hashlib
import hmac
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, TypeAlias

import msgspec
from returns.result import Success

from toucanhall import documents, events, runtime
from toucanhall.catalogue import Holder, Revision
from toucanhall.catalogue.reading import revise
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.platform import Ambiguous, Client
from toucanhall.settings import Operator
from toucanhall.spread.record import CATALOGUE_NAME, decode, encode

__all__ = ('Admin', 'PREFIX')

PREFIX: Final = '/.toucanhall/admin/v1/'

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
        platform: Client,
        read_status: Callable[[], Mapping[str, Any]],
    ) -> None:
        """Serve the operators that the settings name."""
        self._operators = operators
        self._holder = holder
        self._platform = platform
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
        read = self._platform.read(CATALOGUE_NAME)
        if not isinstance(read, Success):
            return 503, _explain('the store cannot be reached')
        stored = read.unwrap()
        number = _read_number(stored.content)
        held = self._holder.current
        if number != int(expected) or (held and held.number > number):
            return 412, _explain(
                f'revision {expected} was expected, {number} is in the store',
            )
        revised = revise(number + 1, runtime.make_id(), request.body)
        if not isinstance(revised, Success):
            errors = [documents.render(entry) for entry in revised.failure()]
            return 400, {'errors': errors, **_explain('catalogue is invalid')}
        return self._accept(revised.unwrap(), stored.version, operator)

    def _accept(
        self,
        revision: Revision,
        version: int,
        operator: Operator,
    ) -> Reply:
        number, change, document, _ = revision
        content = encode(number, change, document)
        written = self._platform.write(CATALOGUE_NAME, content, version)
        if not isinstance(written, Success):
            return self._settle(change, written.failure())
        self._holder.offer(revision)
        events.log(
            events.CHANGE_ACCEPTED,
            operator=operator.name,
            revision=number,
            change=change,
        )
        return 200, {'accepted': number, 'change': change}

    def _settle(self, change: str, error: object) -> Reply:
        if not isinstance(error, Ambiguous):
            return 412, _explain(f'nothing was written: {error}')
        read = self._platform.read(CATALOGUE_NAME)
        if not isinstance(read, Success):
            return 503, _explain('the write may have taken effect')
        found = decode(read.unwrap().content)
        if isinstance(found, Success) and found.unwrap().change == change:
            self._holder.offer(found.unwrap())
            return 200, {'accepted': found.unwrap().number, 'change': change}
        return 412, _explain('another change came first')


def _read_number(content: bytes) -> int:
    found = decode(content)
    return found.unwrap().number if isinstance(found, Success) else 0


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
