"""Endpoints of a VM for the platform and its clients."""

from collections.abc import Callable
from typing import Final, NamedTuple
from urllib.parse import parse_qs

import msgspec

from toucanhall.fleet.model import Address
from toucanhall.platform import names
from toucanhall.platform.units import format_seconds
from toucanhall.web.messages import Answer, Request, make_answer

__all__ = (
    'DirectoryQuery',
    'make_directory_answer',
    'make_readiness_handler',
    'read_directory_query',
)

_JSON_HEADERS: Final = ((b'content-type', b'application/json'),)


class DirectoryQuery(NamedTuple):
    """Query of a client for the VMs to use for a host."""

    host: str
    zone: str
    region: str


def read_directory_query(request: Request) -> DirectoryQuery | None:
    """Read a query to the directory; return None for any other path."""
    path, _, query = request.path.decode('latin-1').partition('?')
    if path != names.DIRECTORY_PATH:
        return None
    query_fields = parse_qs(query)
    return DirectoryQuery(
        host=query_fields.get('name', [''])[0].lower(),
        zone=query_fields.get('zone', [''])[0],
        region=query_fields.get('region', [''])[0],
    )


def make_directory_answer(addresses: list[Address], seconds: float) -> Answer:
    """Return the answer of the directory, valid for `seconds`."""
    body = {
        'addresses': [
            f'{address.host}:{address.port}' for address in addresses
        ],
        'ttl': format_seconds(seconds),
    }
    return Answer(200, _JSON_HEADERS, msgspec.json.encode(body))


def make_readiness_handler(
    is_ready: Callable[[], bool],
) -> Callable[[Request], Answer]:
    """Return a handler of the readiness endpoint."""

    def answer(request: Request) -> Answer:
        if request.path.partition(b'?')[0] != names.READINESS_PATH.encode():
            return make_answer(404, 'no such path')
        if is_ready():
            return make_answer(200, 'ready')
        return make_answer(503, 'not ready')

    return answer
