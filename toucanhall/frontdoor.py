"""Routes requests to the operators' API, health, advice or forwarding."""

from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl

import msgspec
from returns.result import Result, Success

from toucanhall.admin import Admin
from toucanhall.admin.service import PREFIX as ADMIN_PREFIX
from toucanhall.catalogue import Holder
from toucanhall.forwarding import (
    Answer,
    Parts,
    Refusal,
    Request,
    make_refusal,
    render,
    serve,
)
from toucanhall.forwarding.credentials import digest_key, find_key
from toucanhall.forwarding.problems import refuse
from toucanhall.steering import AdvisedVm, advise

__all__ = ('RequestRouter', 'answer_json')

_ADVICE_PATH: Final = '/.toucanhall/entry-vms'
_CLIENT_PARAMETER: Final = 'client'
_HEALTH_PATH: Final = '/.toucanhall/health'


class RequestRouter(NamedTuple):
    """Routes the requests that callers and operators send to one entry VM."""

    zone: str
    holder: Holder
    parts: Parts
    admin: Admin
    find_zone: Callable[[str], str]
    list_usable_vms: Callable[[], tuple[AdvisedVm, ...]]
    list_holders: Callable[[str], frozenset[str]]

    def serve(self, request: Request) -> Answer:
        """Answer a request by the handler of its path, or forward it."""
        if request.path.startswith(ADMIN_PREFIX):
            return self.admin.serve(request)
        handler = _HANDLERS.get(request.path)
        if handler is not None:
            return handler(self, request)
        return serve(self.parts, request)


def answer_json(content: Mapping[str, Any]) -> Answer:
    """Return an answer that carries a JSON object."""
    body = msgspec.json.encode(content)
    headers = (
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    )
    return Answer(200, 'OK', headers, (body,))


def _report_health(router: RequestRouter, _request: Request) -> Answer:
    is_ready = router.holder.is_ready() and router.parts.steerer.is_sized
    return answer_json({'ready': is_ready})


def _advise(router: RequestRouter, request: Request) -> Answer:
    revision = router.holder.current
    if revision is None:
        return render(make_refusal('not-ready', 'no catalogue yet', 1))
    key = revision.catalogue.keys.get(digest_key(find_key(request)))
    team = key.team if key else ''
    zone = _find_client_zone(router, request)
    if not isinstance(zone, Success):
        return render(zone.failure())
    advice = advise(
        revision.catalogue,
        team,
        zone.unwrap() or router.zone,
        router.list_usable_vms(),
        router.list_holders(team),
    )
    return answer_json(advice._asdict())


def _find_client_zone(
    router: RequestRouter,
    request: Request,
) -> Result[str, Refusal]:
    """Return the zone nearest to the `client` of the query, '' if unknown."""
    query = dict(parse_qsl(request.query))
    client = query.get(_CLIENT_PARAMETER, '')
    if not client:
        return Success('')
    try:
        return Success(router.find_zone(client))
    except ValueError:
        return refuse('bad-request', f'{_CLIENT_PARAMETER} is no IP address')


_HANDLERS: Final[Mapping[str, Callable[[RequestRouter, Request], Answer]]] = {
    _ADVICE_PATH: _advise,
    _HEALTH_PATH: _report_health,
}
