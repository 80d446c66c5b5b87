"""Calls the operators' API of entry VMs, the next when one is not reached."""

import os
import time
from argparse import Namespace
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple, TypeAlias

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from toucanhall import runtime
from toucanhall.admin.calls import CHANGE_HEADER
from toucanhall.admin.routes import PREFIX
from toucanhall.commands.model import (
    AT_VARIABLE,
    TOKEN_VARIABLE,
    Code,
    Console,
    find_bases,
)

__all__ = ('Api', 'ApiError', 'Body', 'connect', 'fail')

Body: TypeAlias = Mapping[str, Any]

_CONNECT_SECONDS: Final = 2.0
_CALL_SECONDS: Final = 15.0
_SETTLE_TRIES: Final = 3
_SETTLE_PAUSE_SECONDS: Final = 0.5
_OK: Final = 200
_NEVER_SENT: Final = (NewConnectionError, ConnectTimeoutError)


class ApiError(NamedTuple):
    """The operators' API did not do what was asked; `code` is to exit with."""

    code: Code
    what: str
    body: Body


class Api:
    """The operators' API at one or more entry VMs."""

    def __init__(self, *, bases: list[str], token: str) -> None:
        """Call the VMs at the URLs, in order, with an operator's token."""
        self._bases = bases
        self._token = token
        self._pool = urllib3.PoolManager(retries=False)

    def read(self, name: str) -> Result[Body, ApiError]:
        """Return what the first VM that answers shows."""
        failures = []
        for base in self._bases:
            try:
                return _read_response(self._send(base, 'GET', name))
            except HTTPError as error:
                failures.append(f'{base}: {error}')
        return Failure(_make_unreached(failures))

    def write(
        self,
        method: str,
        name: str,
        content: Body | None = None,
        revision: int | None = None,
    ) -> Result[Body, ApiError]:
        """Make a change once; a lost reply is looked up in the history."""
        headers = {CHANGE_HEADER: runtime.make_id()}
        if revision is not None:
            headers['If-Match'] = f'"{revision}"'
        failures = []
        for base in self._bases:
            try:
                response = self._send(base, method, name, content, headers)
            except _NEVER_SENT as error:
                failures.append(f'{base}: {error}')
                continue
            except HTTPError as error:
                return self._settle(headers[CHANGE_HEADER], f'{base}: {error}')
            written = _read_response(response)
            if _is_unknown(written):
                return self._settle(headers[CHANGE_HEADER], base)
            return written
        return Failure(_make_unreached(failures))

    def _settle(self, change: str, what: str) -> Result[Body, ApiError]:
        for _ in range(_SETTLE_TRIES):
            for entry in self._list_changes(change):
                accepted = {'accepted': entry['revision'], 'change': change}
                return Success(accepted)
            time.sleep(_SETTLE_PAUSE_SECONDS)
        return Failure(
            ApiError(
                Code.UNKNOWN,
                f'the outcome of change {change} is not known ({what}); to '
                f'find out: toucanhall catalogue history --change {change}',
                {'change': change, 'outcome': 'unknown'},
            ),
        )

    def _list_changes(self, change: str) -> Iterator[Body]:
        shown = self.read(f'history?change={change}')
        if isinstance(shown, Success):
            yield from shown.unwrap()['changes']

    def _send(
        self,
        base: str,
        method: str,
        name: str,
        content: Body | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            method,
            f'{base}{PREFIX}{name}',
            body=None if content is None else msgspec.json.encode(content),
            headers={
                'Authorization': f'Bearer {self._token}',
                **(headers or {}),
            },
            timeout=urllib3.Timeout(
                connect=_CONNECT_SECONDS,
                read=_CALL_SECONDS,
            ),
        )


def connect(options: Namespace) -> Result[Api, ApiError]:
    """Return the API at the URLs of the options or of the environment."""
    bases = find_bases(options)
    if not bases:
        what = f'no entry VM: give --at URL or set {AT_VARIABLE}'
        return Failure(ApiError(Code.WRONG, what, {}))
    token = os.environ.get(TOKEN_VARIABLE, '')
    return Success(Api(bases=bases, token=token))


def fail(console: Console, error: ApiError) -> int:
    """Print an error with its details and return the exit code."""
    console.complain(error.what)
    for name in ('errors', 'violations'):
        for line in error.body.get(name, ()):
            console.complain(f'  {line}')
    return error.code


def _read_response(
    response: urllib3.BaseHTTPResponse,
) -> Result[Body, ApiError]:
    try:
        body = msgspec.json.decode(response.data, type=dict[str, Any])
    except msgspec.MsgspecError:
        what = f'status {response.status} with a body that is no JSON object'
        return Failure(ApiError(Code.UNKNOWN, what, {'outcome': 'unknown'}))
    if response.status == _OK:
        return Success(body)
    what = f'{body.get("detail", body.get("title", ""))} ({response.status})'
    return Failure(ApiError(Code.REFUSED, what, body))


def _is_unknown(written: Result[Body, ApiError]) -> bool:
    if isinstance(written, Success):
        return False
    return written.failure().body.get('outcome') == 'unknown'


def _make_unreached(failures: list[str]) -> ApiError:
    what = f'no entry VM was reached, nothing was sent: {"; ".join(failures)}'
    return ApiError(Code.UNKNOWN, what, {})
