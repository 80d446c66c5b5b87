"""Passes tables on between VMs: who is behind asks one that is ahead.

Load pattern: a VM that starts hears of a dozen others within some milliseconds,
all of which have the tables that it lacks; hundreds start within seconds.
"""

import asyncio
import zlib
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from toucanhall.edge.peer_exchange import RevisionSource
from toucanhall.fleet.tables import FleetTables, Revisions, is_ahead
from toucanhall.fleet.model import Address, Snapshot
from toucanhall.fleet.packing import pack, unpack
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.web.client import ConnectionSettings, open_connection
from toucanhall.web.messages import Answer, Request, make_answer, encode_request

__all__ = ('TableExchange',)

_PATH: Final = b'/fleet/tables'
# The VM of the own zone that watches the store tells its zone within some
# milliseconds of a configuration or an evacuation, and within the time in
# which it gathers changes of targets: others are asked only if it does not.
_URGENT_WAIT_SECONDS: Final = 0.15
_TARGETS_WAIT_SECONDS: Final = 0.5
# What came through a VM of the zone is fetched by that VM, which tells its
# zone: the others ask far away only if it fails.
_RELAYED_WAIT_SECONDS: Final = 0.4
_PULL_SECONDS: Final = 1.0  # a snapshot of some 30 kB between regions
# A VM without tables leaves the others of its zone and of its region so much
# time to be heard of: bytes between regions cost more.
_ZONE_WAIT_SECONDS: Final = 0.02
_REGION_WAIT_SECONDS: Final = 0.06
# One answer brings all that is missing: others are asked if it takes longer.
_TURN_SECONDS: Final = 0.3
# Of a table once unpacked: over ten times the one of 3,100 targets.
_MOST_BYTES: Final = 4_000_000


class TableExchange:
    """Gives tables to other VMs and takes theirs."""

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
        """Ask VMs at the port at which each answers such questions.

        `regions` maps zones to theirs, `on_applied` gets the VM whose tables were
        taken.
        """
        self._on_taken = on_applied
        self._opening = settings
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._zone = zone
        self._regions = regions
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._asked: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reads: set[asyncio.Task[None]] = set()

    def answer(self, request: Request) -> Answer:
        """Answer a VM that asks for the tables."""
        path, _, query = request.path.partition(b'?')
        if path != _PATH:
            return make_answer(404, 'no such path')
        try:
            known = Revisions(*map(int, query.split(b',')))
        except (TypeError, ValueError):
            return make_answer(400, 'three revisions are needed')
        snapshot = self._fleet_tables.make_snapshot(known, self._loop.time())
        return Answer(200, (), pack(msgspec.msgpack.encode(snapshot)))

    def fetch_if_newer(
        self, source: RevisionSource, revisions: Revisions
    ) -> None:
        """Ask a VM for its tables if they are newer."""
        own = self._fleet_tables.revisions
        self._fleet_tables.record_peer_revisions(revisions)
        if source.vm in self._asked or not is_ahead(revisions, own):
            return
        self._asked.add(source.vm)
        wait = self._find_wait(source, revisions)
        task = self._loop.create_task(self._pull(source, revisions, wait))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _find_wait(self, source: RevisionSource, revisions: Revisions) -> float:
        own = self._fleet_tables.revisions
        if source.zone == self._zone:
            return 0.0
        if not own.configuration:
            return self._find_first_wait(source.zone)
        relayed = _RELAYED_WAIT_SECONDS if source.is_relayed else 0.0
        if is_ahead(revisions._replace(targets=0), own):
            return _URGENT_WAIT_SECONDS + relayed
        return _TARGETS_WAIT_SECONDS + relayed

    def _find_first_wait(self, zone: str) -> float:
        is_near = self._regions.get(zone) == self._regions.get(self._zone)
        return _ZONE_WAIT_SECONDS if is_near else _REGION_WAIT_SECONDS

    async def _pull(
        self,
        source: RevisionSource,
        revisions: Revisions,
        wait: float,
    ) -> None:
        try:
            await asyncio.sleep(wait)
            if self._reads:
                await asyncio.wait(self._reads, timeout=_TURN_SECONDS)
            if is_ahead(revisions, self._fleet_tables.revisions):
                await self._start_read(source)
        finally:
            self._asked.discard(source.vm)

    def _start_read(self, source: RevisionSource) -> asyncio.Task[None]:
        read = self._loop.create_task(self._take(source))
        self._reads.add(read)
        read.add_done_callback(self._reads.discard)
        return read

    async def _take(self, source: RevisionSource) -> None:
        try:
            snapshot = await self._read(Address(source.ip, self._port))
        except (OSError, msgspec.MsgspecError, zlib.error) as error:
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

    async def _read(self, address: Address) -> Snapshot:
        host = f'{address.host}:{address.port}'.encode()
        known = ','.join(map(str, self._fleet_tables.revisions))
        path = b'%s?%s' % (_PATH, known.encode())
        request = Request(b'GET', path, ((b'host', host),), b'')
        async with asyncio.timeout(_PULL_SECONDS):
            connection = await open_connection(
                address,
                seconds=_PULL_SECONDS,
                settings=self._opening,
            )
            try:
                reply = await connection.exchange(encode_request(request))
            finally:
                connection.close()
        return msgspec.msgpack.decode(
            unpack(reply.body, _MOST_BYTES),
            type=Snapshot,
        )
