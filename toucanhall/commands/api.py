"""Client of the operators' API; tries entry VMs in order until one answers."""

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
    Console,
    ExitCode,
    get_base_urls,
)

__all__ = ('Api', 'ApiError', 'Body', 'connect', 'print_failure')

Body: TypeAlias = Mapping[str, Any]

_CONNECT_TIMEOUT_SECONDS: Final = 2.0
_READ_TIMEOUT_SECONDS: Final = 15.0
_MAX_HISTORY_READS: Final = 3
_HISTORY_READ_INTERVAL_SECONDS: Final = 0.5
_OK: Final = 200
_UNSENT_ERRORS: Final = (NewConnectionError, ConnectTimeoutError)


class ApiError(NamedTuple):
    """A failed call of the operators' API, with the exit code to return."""

    code: ExitCode
    message: str
    body: Body


class Api:
    """Client of the operators' API of one or more entry VMs."""

    def __init__(self, *, base_urls: list[str], token: str) -> None:
        """Call the VMs at the URLs, in order, with an operator's token."""
        self._base_urls = base_urls
        self._token = token
        self._pool = urllib3.PoolManager(retries=False)

    def read(self, name: str) -> Result[Body, ApiError]:
        """Return the body that the first VM within reach answers with."""
        failures = []
        for base_url in self._base_urls:
            try:
                return _read_response(self._send(base_url, 'GET', name))
            except HTTPError as error:
                failures.append(f'{base_url}: {error}')
        return Failure(_make_unreachable_error(failures))

    def write(
        self,
        method: str,
        name: str,
        content: Body | None = None,
        revision: int | None = None,
    ) -> Result[Body, ApiError]:
        """Send a change once; look up a lost response in the history."""
        headers = {CHANGE_HEADER: runtime.make_id()}
        if revision is not None:
            headers['If-Match'] = f'"{revision}"'
        failures = []
        for base_url in self._base_urls:
            try:
                response = self._send(base_url, method, name, content, headers)
            except _UNSENT_ERRORS as error:
                failures.append(f'{base_url}: {error}')
                continue
            except HTTPError as error:
                return self._find_outcome(
                    headers[CHANGE_HEADER], f'{base_url}: {error}'
                )
            written = _read_response(response)
            if _is_unknown(written):
                return self._find_outcome(headers[CHANGE_HEADER], base_url)
            return written
        return Failure(_make_unreachable_error(failures))

    def _find_outcome(
        self, change: str, message: str
    ) -> Result[Body, ApiError]:
        for _ in range(_MAX_HISTORY_READS):
            for entry in self._list_changes(change):
                accepted = {'accepted': entry['revision'], 'change': change}
                return Success(accepted)
            time.sleep(_HISTORY_READ_INTERVAL_SECONDS)
        return Failure(
            ApiError(
                ExitCode.UNKNOWN,
                f'the outcome of change {change} is unknown ({message}); to '
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
        base_url: str,
        method: str,
        name: str,
        content: Body | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            method,
            f'{base_url}{PREFIX}{name}',
            body=None if content is None else msgspec.json.encode(content),
            headers={
                'Authorization': f'Bearer {self._token}',
                **(headers or {}),
            },
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_SECONDS,
                read=_READ_TIMEOUT_SECONDS,
            ),
        )


def connect(options: Namespace) -> Result[Api, ApiError]:
    """Return the client for the URLs of the options or the environment."""
    base_urls = get_base_urls(options)
    if not base_urls:
        message = f'no URL of an entry VM: give --at URL or set {AT_VARIABLE}'
        return Failure(ApiError(ExitCode.INVALID_INPUT, message, {}))
    token = os.environ.get(TOKEN_VARIABLE, '')
    return Success(Api(base_urls=base_urls, token=token))


def print_failure(console: Console, error: ApiError) -> int:
    """Print an error with its details and return its exit code."""
    console.print_error(error.message)
    for name in ('errors', 'violations'):
        for line in error.body.get(name, ()):
            console.print_error(f'  {line}')
    return error.code


def _read_response(
    response: urllib3.BaseHTTPResponse,
) -> Result[Body, ApiError]:
    try:
        body = msgspec.json.decode(response.data, type=dict[str, Any])
    except msgspec.MsgspecError:
        message = f'response with status {response.status} has no JSON object'
        return Failure(
            ApiError(ExitCode.UNKNOWN, message, {'outcome': 'unknown'})
        )
    if response.status == _OK:
        return Success(body)
    message = f'{body.get("detail", body.get("title", ""))} ({response.status})'
    return Failure(ApiError(ExitCode.REFUSED, message, body))


def _is_unknown(written: Result[Body, ApiError]) -> bool:
    if isinstance(written, Success):
        return False
    return written.failure().body.get('outcome') == 'unknown'


def _make_unreachable_error(failures: list[str]) -> ApiError:
    message = f'no entry VM reached, nothing was sent: {"; ".join(failures)}'
    return ApiError(ExitCode.UNKNOWN, message, {})
