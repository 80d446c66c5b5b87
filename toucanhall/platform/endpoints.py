"""Calls that the platform and its clients make to a VM."""

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
    'make_readiness_handler',
    'read_directory_query',
    'make_directory_answer',
)

_JSON: Final = ((b'content-type', b'application/json'),)


class DirectoryQuery(NamedTuple):
    """A client asks which VMs to use for a host."""

    host: str
    zone: str
    region: str


def read_directory_query(request: Request) -> DirectoryQuery | None:
    """Read a question to the directory, or return None for another path."""
    path, _, query = request.path.decode('latin-1').partition('?')
    if path != names.DIRECTORY_PATH:
        return None
    found = parse_qs(query)
    return DirectoryQuery(
        host=found.get('name', [''])[0].lower(),
        zone=found.get('zone', [''])[0],
        region=found.get('region', [''])[0],
    )


def make_directory_answer(addresses: list[Address], seconds: float) -> Answer:
    """Return the answer of the directory."""
    body = {
        'addresses': [f'{found.host}:{found.port}' for found in addresses],
        'ttl': format_seconds(seconds),
    }
    return Answer(200, _JSON, msgspec.json.encode(body))


def make_readiness_handler(
    is_ready: Callable[[], bool],
) -> Callable[[Request], Answer]:
    """Return what answers the question whether the VM takes requests."""

    def answer(request: Request) -> Answer:
        if request.path.partition(b'?')[0] != names.READINESS_PATH.encode():
            return make_answer(404, 'no such path')
        if is_ready():
            return make_answer(200, 'ready')
        return make_answer(503, 'not ready')

    return answer
