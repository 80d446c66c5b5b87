"""Serves the operators' API: authentication, routing and responses."""

import hashlib
import hmac
from collections.abc import Callable, Mapping
from typing import Any, Final

from returns.result import Success

from toucanhall import events
from toucanhall.admin.answers import Reply, make_error_body, render
from toucanhall.admin.audit import Audit
from toucanhall.admin.calls import Call, get_expected_revision, is_conditional
from toucanhall.admin.changes import Changes
from toucanhall.admin.routes import PREFIX, Mismatch, Route, match
from toucanhall.admin.views import Views
from toucanhall.admin.writer import Writer
from toucanhall.catalogue import Holder
from toucanhall.counters import Counters
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.objectstore import Client
from toucanhall.settings import Operator
from toucanhall.spread import Accepting

__all__ = ('Admin', 'PREFIX')

_MIN_ERROR_STATUS: Final = 400


class Admin:
    """The operators' API of one entry VM."""

    def __init__(
        self,
        *,
        operators: tuple[Operator, ...],
        holder: Holder,
        platform: Client,
        counters: Counters,
        accepting: Accepting,
        read_status: Callable[[], Mapping[str, Any]],
    ) -> None:
        """Create the handlers for the operators of the settings."""
        audit = Audit(platform=platform)
        self._operators = operators
        self._holder = holder
        self._counters = counters
        self.handlers = _list_handlers(
            Views(holder=holder, audit=audit, read_status=read_status),
            Changes(
                holder=holder,
                writer=Writer(
                    holder=holder,
                    audit=audit,
                    accept=accepting.accept,
                ),
            ),
        )

    def serve(self, request: Request) -> Answer:
        """Answer an operator's request."""
        operator = self._identify(request)
        if operator is None:
            self._counters.add('admin.token-unknown')
            reply = (401, make_error_body('operator token is not known'))
            return render(reply, (('WWW-Authenticate', 'Bearer'),))
        matched = match(request.method, request.path.removeprefix(PREFIX))
        if not isinstance(matched, Success):
            return _answer_mismatch(request, matched.failure())
        route, names = matched.unwrap()
        if operator.role not in route.roles:
            needed = ', '.join(route.roles)
            detail = f'role {operator.role!r}, needed one of {needed}'
            return render((403, make_error_body(detail)))
        if is_conditional(request) and get_expected_revision(request) is None:
            return render((400, make_error_body('If-Match is no revision')))
        answer = self.handlers[route.method, route.path]
        reply = answer(Call(request, operator, names))
        _log_refusal(route, operator, reply)
        return render(reply)

    def _identify(self, request: Request) -> Operator | None:
        shown = find_header(request.headers, 'authorization')
        token = shown.removeprefix('Bearer ').strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(operator.digest, digest):
                return operator
        return None


def _list_handlers(
    views: Views,
    changes: Changes,
) -> Mapping[tuple[str, str], Callable[[Call], Reply]]:
    return {
        ('GET', 'catalogue'): views.show_catalogue,
        ('PUT', 'catalogue'): changes.replace,
        ('GET', 'history'): views.show_history,
        ('GET', 'status'): views.show_status,
        ('GET', 'keys'): views.list_keys,
        ('PUT', 'keys/{name}'): changes.grant,
        ('DELETE', 'keys/{name}'): changes.withdraw,
        ('GET', 'drains'): views.list_drains,
        ('PUT', 'drains/{kind}/{name}'): changes.drain,
        ('DELETE', 'drains/{kind}/{name}'): changes.undrain,
    }


def _log_refusal(route: Route, operator: Operator, reply: Reply) -> None:
    status, body = reply
    if route.method != 'GET' and status >= _MIN_ERROR_STATUS:
        events.log(
            events.CHANGE_REFUSED,
            operator=operator.name,
            route=f'{route.method} {route.path}',
            status=status,
            detail=body.get('detail', ''),
        )


def _answer_mismatch(request: Request, mismatch: Mismatch) -> Answer:
    detail = f'{request.method} {request.path!r}'
    if not mismatch.allowed:
        return render((404, make_error_body(detail)))
    allow = ('Allow', ', '.join(mismatch.allowed))
    return render((405, make_error_body(detail)), (allow,))
