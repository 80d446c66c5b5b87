"""Client of the platform's store."""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple
from urllib.parse import quote, urlencode

import msgspec

from toucanhall.fleet.model import Address
from toucanhall.platform import names
from toucanhall.web.client import (
    ConnectionSettings,
    ReceivedAnswer,
    ServerConnection,
    open_connection,
)
from toucanhall.web.messages import Request, encode_request

__all__ = (
    'Change',
    'ConflictError',
    'HistoryLostError',
    'Store',
    'StoreError',
    'Table',
)

# A slow store takes up to a hundred times its usual 4 ms.
_CALL_SECONDS: Final = 1.0
_CONNECT_SECONDS: Final = 0.5
_WATCH_SLACK_SECONDS: Final = 1.0
_IDLE_SECONDS: Final = 5.0
_CONFLICT: Final = 409
_GONE: Final = 410
_SUCCESS: Final = range(200, 300)


class StoreError(Exception):
    """A call that the store did not answer with success."""


class HistoryLostError(StoreError):
    """The changes since a revision are not kept any more."""


class ConflictError(StoreError):
    """The object exists, or is not at the revision that the call names."""


class Change(NamedTuple):
    """An object of the store; `spec` is None once it was deleted."""

    name: str
    revision: int
    spec: Any


class Table(NamedTuple):
    """Objects or changes, as of a revision of the store."""

    revision: int
    changes: tuple[Change, ...]


class Store:
    """Calls of one process to the store, on connections that are kept.

    An answer bears no mark of its question. So a connection is used for reads
    of one kind only, where a late copy of an earlier answer is older than what
    is known, and for one write.
    """

    def __init__(
        self,
        *,
        address: Address,
        settings: ConnectionSettings,
        on_call: Callable[[str, float], None],
    ) -> None:
        """Tell `on_call` the outcome and the seconds of each call."""
        self._opening = settings
        self._on_call = on_call
        self._address = address
        self._host = f'{address.host}:{address.port}'.encode()
        self._idle: dict[str, list[ServerConnection]] = {}

    async def read(self, kind: str, *, may_be_stale: bool = False) -> Table:
        """Return all objects of a kind."""
        changes: list[Change] = []
        after = ''
        while True:
            query = {'after': after} if after else {}
            if may_be_stale:
                query['allow_stale'] = '1'
            path = f'{kind}?{urlencode(query)}' if query else kind
            found = await self._call('GET', path)
            page = _read_table(found, 'items', _read_change)
            changes.extend(page.changes)
            if not found.get('more') or not page.changes:
                return Table(page.revision, tuple(changes))
            after = changes[-1].name

    async def watch(self, kind: str, revision: int, seconds: float) -> Table:
        """Wait for changes after a revision; may return none of them."""
        wait = round(seconds * 1000)
        found = await self._call(
            'GET',
            f'{kind}?watch={revision}&wait_ms={wait}',
            seconds=seconds + _WATCH_SLACK_SECONDS,
        )
        return _read_table(found, 'events', _read_event)

    async def create(self, kind: str, name: str, spec: object) -> None:
        """Create an object; raise Conflict when it exists."""
        await self._call(
            'POST', kind, {'metadata': {'name': name}, 'spec': spec}
        )

    async def replace(self, kind: str, name: str, spec: object) -> None:
        """Replace the contents of an object."""
        await self._call(
            'PUT',
            f'{kind}/{quote(name)}',
            {'metadata': {'name': name}, 'spec': spec},
        )

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        await self._call('DELETE', f'{kind}/{quote(name)}')

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        seconds: float = _CALL_SECONDS,
    ) -> Mapping[str, Any]:
        sent = encode_request(
            Request(
                method=method.encode(),
                path=f'{names.OBJECTS_PATH}{path}'.encode(),
                headers=(
                    (b'host', self._host),
                    (b'content-type', b'application/json'),
                ),
                body=b'' if body is None else msgspec.json.encode(body),
            ),
        )
        began = time.monotonic()
        outcome = 'broken'
        try:
            async with asyncio.timeout(seconds):
                reply = await self._exchange(sent, _find_use(method, path))
            outcome = str(reply.status)
        except TimeoutError as error:
            outcome = 'timeout'
            raise StoreError(f'no answer in {seconds} s') from error
        except ConnectionError as error:
            raise StoreError(str(error)) from error
        finally:
            self._on_call(outcome, time.monotonic() - began)
        return _read_reply(reply)

    async def _exchange(self, sent: bytes, use: str) -> ReceivedAnswer:
        connection = await self._take_connection(use)
        reply = await connection.exchange(sent)
        if not use:
            connection.close()
        elif connection.is_usable:
            connection.idle_since = time.monotonic()
            self._idle.setdefault(use, []).append(connection)
        return reply

    async def _take_connection(self, use: str) -> ServerConnection:
        oldest = time.monotonic() - _IDLE_SECONDS
        idle = self._idle.get(use)
        while idle:
            connection = idle.pop()
            if connection.is_usable and connection.idle_since > oldest:
                return connection
            connection.close()
        return await open_connection(
            self._address,
            seconds=_CONNECT_SECONDS,
            settings=self._opening,
        )


def _find_use(method: str, path: str) -> str:
    """Return the kind that a call reads; none for a write."""
    return path.partition('?')[0] if method == 'GET' else ''


def _read_table(
    found: Mapping[str, Any],
    field: str,
    read: Callable[[Mapping[str, Any]], Change],
) -> Table:
    """Return what a field of an answer lists; raise StoreError if it lacks."""
    try:
        return Table(int(found['as_of']), tuple(map(read, found[field])))
    except _WRONG as error:
        raise StoreError(f'{field} cannot be read: {error!r}') from error


def _read_event(event: Mapping[str, Any]) -> Change:
    change = _read_change(event['object'])
    if event.get('deleted'):
        return change._replace(spec=None)
    return change


def _read_change(entry: Mapping[str, Any]) -> Change:
    return Change(
        name=entry['metadata']['name'],
        revision=int(entry['metadata']['revision']),
        spec=entry.get('spec'),
    )


def _read_reply(reply: ReceivedAnswer) -> Mapping[str, Any]:
    if reply.status not in _SUCCESS:
        error = _ERRORS.get(reply.status, StoreError)
        raise error(f'status {reply.status}')
    try:
        return msgspec.json.decode(reply.body or b'{}', type=dict[str, Any])
    except msgspec.MsgspecError as found:
        raise StoreError(f'answer cannot be read: {found}') from found


_WRONG: Final = (KeyError, TypeError, ValueError, AttributeError)
_ERRORS: Final[Mapping[int, type[StoreError]]] = {
    _CONFLICT: ConflictError,
    _GONE: HistoryLostError,
}
