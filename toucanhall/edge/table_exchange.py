"""Passes tables between VMs: one with older tables asks one with newer ones.

Load pattern: a VM that starts receives the revisions of a dozen others within
some milliseconds, all of which have the tables that it lacks; hundreds of VMs
start within seconds.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from toucanhall.edge.peer_exchange import RevisionSource
from toucanhall.edge.unknown_parts import UnknownParts
from toucanhall.fleet.model import Address, Snapshot
from toucanhall.fleet.record_forms import (
    CURRENT_FORM,
    FIRST_FORM,
    THIRD_FORM,
)
from toucanhall.fleet.revisions import Revision, Revisions, is_ahead
from toucanhall.fleet.table_messages import (
    SNAPSHOT_ERRORS,
    SnapshotReader,
    decode_revisions,
    encode_revisions,
    find_query_form,
    pack_snapshot,
)
from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.web.client import (
    ConnectionSettings,
    ReceivedAnswer,
    open_connection,
)
from toucanhall.web.messages import (
    Answer,
    Request,
    encode_request,
    get_header,
    make_answer,
)

__all__ = ('TableExchange',)

_PATH: Final = b'/fleet/tables'
# The watcher of the own zone broadcasts a configuration or an evacuation within
# some milliseconds, and changes of targets within the time over which it
# collects them: VMs of other zones are asked only if it does not.
_URGENT_DELAY_SECONDS: Final = 0.15
_TARGETS_DELAY_SECONDS: Final = 0.5
# The VM of the own zone that relayed revisions fetches the tables itself and
# broadcasts to its zone: the others ask the remote VM only if that fails.
_RELAYED_DELAY_SECONDS: Final = 0.4
_FETCH_TIMEOUT_SECONDS: Final = 1.0  # a snapshot of some 30 kB between regions
# A VM without tables waits this long for revisions from its own zone, and from
# its own region, before it asks further away: bytes between regions cost more.
_ZONE_HEAD_START_SECONDS: Final = 0.02
_REGION_HEAD_START_SECONDS: Final = 0.06
# One answer brings all that is missing: others are asked if it takes longer.
_MAX_WAIT_FOR_OTHER_FETCH_SECONDS: Final = 0.3
_FETCH_ERRORS: Final = (OSError, *SNAPSHOT_ERRORS)
_REFUSED_QUERY_STATUS: Final = 400
# A query that a VM of an earlier build refuses is sent as that build knows it.
_QUERY_FORMS: Final = (CURRENT_FORM, THIRD_FORM, FIRST_FORM)


class TableExchange:
    """Answers other VMs with tables and fetches newer ones from them."""

    def __init__(
        self,
        *,
        fleet_tables: FleetTables,
        journal: Journal,
        zone: str,
        regions: Mapping[str, str],
        port: int,
        settings: ConnectionSettings,
        on_applied: Callable[[RevisionSource], None],
    ) -> None:
        """Ask each VM for its tables at `port`.

        `regions` maps zones to their regions; `on_applied` gets the VM whose
        snapshot was applied.
        """
        self._on_taken = on_applied
        self._settings = settings
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._zone = zone
        self._regions = regions
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._pending_vms: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._running_fetches: set[asyncio.Task[None]] = set()
        self.unknown_parts = UnknownParts(journal=journal)
        self._reader = SnapshotReader(on_unknown=self.unknown_parts.record)

    def answer(self, request: Request) -> Answer:
        """Answer a VM that asks for newer tables."""
        path, _, query = request.path.partition(b'?')
        if path != _PATH:
            return make_answer(404, 'no such path')
        try:
            known = decode_revisions(query)
        except (TypeError, ValueError):
            return make_answer(
                _REFUSED_QUERY_STATUS, 'a version and revisions are needed'
            )
        form = find_query_form(
            query, get_header(request.headers, names.RECORD_FORM_HEADER)
        )
        snapshot = self._fleet_tables.make_snapshot(known, self._loop.time())
        return Answer(200, (), pack_snapshot(snapshot, form))

    def fetch_if_newer(
        self, source: RevisionSource, revisions: Revisions
    ) -> None:
        """Fetch the tables of a VM if its revisions are newer."""
        own = self._fleet_tables.revisions
        self._fleet_tables.record_peer_revisions(revisions)
        if source.vm in self._pending_vms or not is_ahead(revisions, own):
            return
        self._pending_vms.add(source.vm)
        delay = self._get_delay(source, revisions)
        task = self._loop.create_task(
            self._fetch_later(source, revisions, delay),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _get_delay(self, source: RevisionSource, revisions: Revisions) -> float:
        own = self._fleet_tables.revisions
        if source.zone == self._zone:
            return 0.0
        if not own.configuration:
            return self._get_first_delay(source.zone)
        extra = _RELAYED_DELAY_SECONDS if source.is_relayed else 0.0
        if is_ahead(revisions._replace(targets=Revision()), own):
            return _URGENT_DELAY_SECONDS + extra
        return _TARGETS_DELAY_SECONDS + extra

    def _get_first_delay(self, zone: str) -> float:
        is_in_region = self._regions.get(zone) == self._regions.get(self._zone)
        return (
            _ZONE_HEAD_START_SECONDS
            if is_in_region
            else _REGION_HEAD_START_SECONDS
        )

    async def _fetch_later(
        self,
        source: RevisionSource,
        revisions: Revisions,
        delay: float,
    ) -> None:
        try:
            await asyncio.sleep(delay)
            if self._running_fetches:
                await asyncio.wait(
                    self._running_fetches,
                    timeout=_MAX_WAIT_FOR_OTHER_FETCH_SECONDS,
                )
            if is_ahead(revisions, self._fleet_tables.revisions):
                await self._start_fetch(source)
        finally:
            self._pending_vms.discard(source.vm)

    def _start_fetch(self, source: RevisionSource) -> asyncio.Task[None]:
        task = self._loop.create_task(self._fetch(source))
        self._running_fetches.add(task)
        task.add_done_callback(self._running_fetches.discard)
        return task

    async def _fetch(self, source: RevisionSource) -> None:
        try:
            snapshot = await self._request_snapshot(
                Address(source.ip, self._port)
            )
        except _FETCH_ERRORS as error:
            self._journal.write(
                events.SNAPSHOT_FAILED,
                peer=source.vm,
                why=str(error) or type(error).__name__,
            )
            return
        self._fleet_tables.apply_snapshot(snapshot, self._loop.time())
        self._journal.write(
            events.SNAPSHOT_APPLIED,
            peer=source.vm,
            revisions=self._fleet_tables.revisions,
        )
        self._on_taken(source)

    async def _request_snapshot(self, address: Address) -> Snapshot:
        own = self._fleet_tables.revisions
        queries = [encode_revisions(own, form) for form in _QUERY_FORMS]
        async with asyncio.timeout(_FETCH_TIMEOUT_SECONDS):
            reply = await self._ask_in_turn(
                address, list(dict.fromkeys(queries))
            )
        return self._reader.read(reply.body)

    async def _ask_in_turn(
        self, address: Address, queries: list[bytes]
    ) -> ReceivedAnswer:
        """Send the next query if a VM of an earlier build refuses the first."""
        query, *others = queries
        reply = await self._ask(address, query)
        if reply.status != _REFUSED_QUERY_STATUS or not others:
            return reply
        return await self._ask_in_turn(address, others)

    async def _ask(self, address: Address, query: bytes) -> ReceivedAnswer:
        host = f'{address.host}:{address.port}'.encode()
        headers = (
            (b'host', host),
            (names.RECORD_FORM_HEADER, b'%d' % CURRENT_FORM),
        )
        path = b'%s?%s' % (_PATH, query)
        request = Request(b'GET', path, headers, b'')
        connection = await open_connection(
            address,
            seconds=_FETCH_TIMEOUT_SECONDS,
            settings=self._settings,
        )
        try:
            return await connection.exchange(encode_request(request))
        finally:
            connection.close()
