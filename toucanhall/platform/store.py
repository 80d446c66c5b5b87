"""Client of the platform's object store."""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple
from urllib.parse import quote, urlencode

import msgspec

from toucanhall.fleet.model import Address
from toucanhall.fleet.revisions import Revision
from toucanhall.platform import names
from toucanhall.platform.headers import (
    find_unknown_headers,
    read_store_era,
)
from toucanhall.platform.store_answers import (
    InvalidAnswerError,
    decode_object,
    decode_page,
)
from toucanhall.platform.store_connections import StoreConnections
from toucanhall.platform.store_objects import Change
from toucanhall.web.client import ConnectionSettings, ReceivedAnswer
from toucanhall.web.messages import Headers, Request, encode_request

__all__ = (
    'ConflictError',
    'EraChangedError',
    'HistoryLostError',
    'NotFoundError',
    'Store',
    'StoreError',
    'Table',
)

# A slow store takes up to a hundred times its usual 4 ms to answer.
_CALL_TIMEOUT_SECONDS: Final = 1.0
_WATCH_TIMEOUT_MARGIN_SECONDS: Final = 1.0
_CONFLICT_STATUS: Final = 409
_GONE_STATUS: Final = 410
_NOT_FOUND_STATUS: Final = 404
_SUCCESS_STATUSES: Final = range(200, 300)


class StoreError(Exception):
    """A call to the store failed or timed out."""


class HistoryLostError(StoreError):
    """The store no longer keeps the changes since a revision."""


class EraChangedError(HistoryLostError):
    """The store came back from a copy since a revision."""


class NotFoundError(StoreError):
    """The object does not exist."""


class ConflictError(StoreError):
    """The object exists already, or has another revision."""


class Table(NamedTuple):
    """Objects, or changes of objects, as of a revision of the store.

    `unnamed` tells of each object whose name cannot be read.
    """

    revision: Revision
    changes: tuple[Change, ...]
    unnamed: tuple[str, ...] = ()


class _StoreAnswer(NamedTuple):
    """A successful answer and the era of the store in which it was given."""

    era: int
    body: bytes


class Store:
    """Calls of one process to the store, on reused connections.

    An answer of an earlier era than the newest one is an error.
    """

    def __init__(
        self,
        *,
        address: Address,
        settings: ConnectionSettings,
        on_call: Callable[[str, float], None],
        on_unknown_headers: Callable[[Headers], None],
        on_era: Callable[[int, int], None],
    ) -> None:
        """Report the outcome and the seconds of each call to `on_call`.

        `on_unknown_headers` gets the headers of each answer that this program
        has no name for, `on_era` the era of the store before and after it came
        back from a copy.
        """
        self.era = 0
        self._on_era = on_era
        self._on_unknown_headers = on_unknown_headers
        self._connections = StoreConnections(address=address, settings=settings)
        self._on_call = on_call
        self._host_header = f'{address.host}:{address.port}'.encode()

    async def read(self, kind: str, *, may_be_stale: bool = False) -> Table:
        """Return all objects of a kind, page by page.

        The revision is that of the first page: what changes before the last
        one is read comes again with a watch from there.
        """
        first, has_more = await self._read_page(kind, '', may_be_stale)
        changes = list(first.changes)
        unnamed = list(first.unnamed)
        while has_more:
            table, has_more = await self._read_page(
                kind, changes[-1].name, may_be_stale
            )
            if table.revision.era != first.revision.era:
                raise EraChangedError('store came back between two pages')
            changes.extend(table.changes)
            unnamed.extend(table.unnamed)
        return Table(first.revision, tuple(changes), tuple(unnamed))

    async def watch(
        self, kind: str, revision: Revision, seconds: float
    ) -> Table:
        """Wait up to `seconds` for changes after a revision; maybe none.

        Raises HistoryLostError if the store does not know what came after the
        revision, EraChangedError if it is of an earlier era.
        """
        wait_ms = round(seconds * 1000)
        answer = await self._call(
            'GET',
            f'{kind}?watch={revision.number}&wait_ms={wait_ms}',
            seconds=seconds + _WATCH_TIMEOUT_MARGIN_SECONDS,
        )
        if answer.era != revision.era:
            raise EraChangedError(
                f'watch of era {revision.era} answered in era {answer.era}'
            )
        return _read_table(answer)[0]

    async def create(self, kind: str, name: str, spec: object) -> None:
        """Create an object; raise ConflictError if it exists."""
        await self._call(
            'POST', kind, {'metadata': {'name': name}, 'spec': spec}
        )

    async def read_object(self, kind: str, name: str) -> Change:
        """Return an object; raise NotFoundError if there is none."""
        answer = await self._call('GET', f'{kind}/{quote(name)}')
        try:
            return decode_object(answer.body)
        except InvalidAnswerError as error:
            raise StoreError(
                f'store answer cannot be decoded: {error}'
            ) from error

    async def replace(
        self, kind: str, name: str, spec: object, *, revision: int = 0
    ) -> None:
        """Replace an object, or only one with a revision.

        Raises ConflictError if it has another one.
        """
        metadata: dict[str, object] = {'name': name}
        if revision:
            metadata['revision'] = revision
        await self._call(
            'PUT',
            f'{kind}/{quote(name)}',
            {'metadata': metadata, 'spec': spec},
        )

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        await self._call('DELETE', f'{kind}/{quote(name)}')

    def note_era(self, era: int) -> None:
        """Record an era that the store is known to be in, or to have been."""
        known = self.era
        if era > known:
            self.era = era
            if known:
                self._on_era(known, era)

    async def _read_page(
        self, kind: str, after: str, may_be_stale: bool
    ) -> tuple[Table, bool]:
        query = {'after': after} if after else {}
        if may_be_stale:
            query['allow_stale'] = '1'
        path = f'{kind}?{urlencode(query)}' if query else kind
        answer = await self._call('GET', path)
        return _read_table(answer)

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> _StoreAnswer:
        encoded_request = encode_request(
            Request(
                method=method.encode(),
                path=f'{names.OBJECTS_PATH}{path}'.encode(),
                headers=(
                    (b'host', self._host_header),
                    (b'content-type', b'application/json'),
                ),
                body=b'' if body is None else msgspec.json.encode(body),
            ),
        )
        started_at = time.monotonic()
        outcome = 'broken'
        try:
            async with asyncio.timeout(seconds):
                reply = await self._connections.exchange(
                    encoded_request, _get_read_kind(method, path)
                )
            outcome = str(reply.status)
        except TimeoutError as error:
            outcome = 'timeout'
            raise StoreError(
                f'store did not answer within {seconds} s'
            ) from error
        except ConnectionError as error:
            raise StoreError(str(error)) from error
        finally:
            self._on_call(outcome, time.monotonic() - started_at)
        self._on_unknown_headers(find_unknown_headers(reply))
        era = self._read_era(reply.headers)
        return _StoreAnswer(era, _read_body(reply))

    def _read_era(self, headers: Headers) -> int:
        """Return the era of an answer; raise StoreError if it is outdated."""
        try:
            era = read_store_era(headers)
        except ValueError as error:
            raise StoreError(str(error)) from error
        self.note_era(era)
        if era < self.era:
            raise StoreError(
                f'answer of era {era}, after one of era {self.era}'
            )
        return era


def _get_read_kind(method: str, path: str) -> str:
    """Return the kind that a call lists, empty for any other call."""
    kind = path.partition('?')[0]
    return kind if method == 'GET' and '/' not in kind else ''


def _read_table(answer: _StoreAnswer) -> tuple[Table, bool]:
    """Return a table and whether more of it follows, or raise StoreError."""
    try:
        page = decode_page(answer.body)
    except InvalidAnswerError as error:
        raise StoreError(f'store answer cannot be decoded: {error}') from error
    revision = Revision(answer.era, page.revision)
    return Table(revision, page.changes, page.unnamed), page.has_more


def _read_body(reply: ReceivedAnswer) -> bytes:
    if reply.status not in _SUCCESS_STATUSES:
        error = _ERRORS_BY_STATUS.get(reply.status, StoreError)
        raise error(f'store answered with status {reply.status}')
    return reply.body


_ERRORS_BY_STATUS: Final[Mapping[int, type[StoreError]]] = {
    _CONFLICT_STATUS: ConflictError,
    _GONE_STATUS: HistoryLostError,
    _NOT_FOUND_STATUS: NotFoundError,
}
