"""HTTP client of the platform: read, conditional write, watch, list VMs."""

from typing import Final
from urllib.parse import quote

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from toucanhall.objectstore.errors import (
    Ambiguous,
    Conflict,
    PlatformError,
    Unavailable,
)
from toucanhall.objectstore.model import ABSENT, Listed, Stored

__all__ = ('Client', 'connect')

_CONNECT_TIMEOUT_SECONDS: Final = 0.5
_READ_TIMEOUT_SECONDS: Final = 2.0
_WATCH_READ_MARGIN_SECONDS: Final = 2.0
_MAX_IDLE_CONNECTIONS: Final = 16
_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_PRECONDITION_FAILED: Final = 412
_NOT_SENT_ERRORS: Final = (NewConnectionError, ConnectTimeoutError)


class Client:
    """The only interface to the platform; another platform needs another."""

    def __init__(self, *, base: str, pool: urllib3.PoolManager) -> None:
        """Call the platform at a base URL through a connection pool."""
        self._base = base
        self._pool = pool

    def read(self, name: str) -> Result[Stored, PlatformError]:
        """Return an object, with version 0 and empty content if absent."""
        return self._get(f'/objects/{quote(name)}', _READ_TIMEOUT_SECONDS).bind(
            lambda response: _parse_object(name, response),
        )

    def write(
        self,
        name: str,
        content: bytes,
        expected: int,
    ) -> Result[int, PlatformError]:
        """Write an object if its version is the expected one.

        Returns the new version. An expected version of 0 means that no object
        exists. A failure is `Conflict` or `Unavailable` if nothing was
        written, and `Ambiguous` if the write may have taken effect.
        """
        condition = (
            {'If-None-Match': '*'}
            if expected == ABSENT
            else {'If-Match': f'"{expected}"'}
        )
        try:
            response = self._pool.request(
                'PUT',
                f'{self._base}/objects/{quote(name)}',
                body=content,
                headers=condition,
                timeout=_make_timeout(_READ_TIMEOUT_SECONDS),
                retries=False,
            )
        except _NOT_SENT_ERRORS as error:
            return Failure(Unavailable(f'write {name}: {error}'))
        except HTTPError as error:
            self._pool.clear()
            return Failure(Ambiguous(name, str(error)))
        return _parse_write_result(name, expected, response)

    def watch(
        self,
        name: str,
        known: int,
        wait_seconds: float,
    ) -> Result[Stored, PlatformError]:
        """Wait until an object's version differs from the known one.

        Returns the current object after at most `wait_seconds`.
        """
        path = f'/watch/{quote(name)}?known={known}&wait={wait_seconds}'
        return self._get(path, wait_seconds + _WATCH_READ_MARGIN_SECONDS).bind(
            lambda response: _parse_object(name, response),
        )

    def list_vms(self, zone: str) -> Result[tuple[Listed, ...], PlatformError]:
        """Return alive and leaving VMs with the addresses that a zone uses."""
        path = f'/vms?zone={quote(zone)}'
        return self._get(path, _READ_TIMEOUT_SECONDS).bind(_parse_vms)

    def _get(
        self,
        path: str,
        seconds: float,
    ) -> Result[urllib3.BaseHTTPResponse, PlatformError]:
        try:
            response = self._pool.request(
                'GET',
                f'{self._base}{path}',
                timeout=_make_timeout(seconds),
                retries=False,
            )
        except HTTPError as error:
            # After a timeout the pooled connections may be dead: open new ones.
            self._pool.clear()
            return Failure(Unavailable(f'read {path}: {error}'))
        return Success(response)


def connect(base: str) -> Client:
    """Return a client of the platform at a URL such as `http://ip:port`."""
    pool = urllib3.PoolManager(maxsize=_MAX_IDLE_CONNECTIONS, retries=False)
    return Client(base=base, pool=pool)


def _make_timeout(seconds: float) -> urllib3.Timeout:
    return urllib3.Timeout(connect=_CONNECT_TIMEOUT_SECONDS, read=seconds)


def _parse_object(
    name: str,
    response: urllib3.BaseHTTPResponse,
) -> Result[Stored, PlatformError]:
    if response.status == _NOT_FOUND:
        return Success(Stored(name, ABSENT, b''))
    if response.status != _OK:
        return Failure(Unavailable(f'read {name}: status {response.status}'))
    return _parse_version(response).map(
        lambda version: Stored(name, version, response.data),
    )


def _parse_write_result(
    name: str,
    expected: int,
    response: urllib3.BaseHTTPResponse,
) -> Result[int, PlatformError]:
    if response.status == _PRECONDITION_FAILED:
        return Failure(Conflict(name, expected))
    if response.status not in {_OK, _CREATED}:
        return Failure(Unavailable(f'write {name}: status {response.status}'))
    return _parse_version(response)


def _parse_version(
    response: urllib3.BaseHTTPResponse,
) -> Result[int, PlatformError]:
    etag = response.headers.get('ETag', '').strip('"')
    if not etag.isdigit():
        return Failure(Unavailable(f'answer has no version: ETag {etag!r}'))
    return Success(int(etag))


def _parse_vms(
    response: urllib3.BaseHTTPResponse,
) -> Result[tuple[Listed, ...], PlatformError]:
    if response.status != _OK:
        return Failure(Unavailable(f'list VMs: status {response.status}'))
    try:
        return Success(
            msgspec.json.decode(response.data, type=tuple[Listed, ...]),
        )
    except msgspec.MsgspecError as error:
        return Failure(Unavailable(f'list VMs: {error}'))
