"""Passes tables between VMs: one with older tables asks one with newer ones.

Load pattern: a VM that starts receives the revisions of a dozen others within
some milliseconds, all of which have the tables that it lacks; hundreds of VMs
start within seconds.
"""

import asyncio
import zlib
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from toucanhall.edge.peer_exchange import RevisionSource
from toucanhall.fleet.model import Address, Snapshot
from toucanhall.fleet.packing import pack, unpack
from toucanhall.fleet.revisions import Revision, Revisions, is_ahead
from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.web.client import ConnectionSettings, open_connection
from toucanhall.web.messages import Answer, Request, encode_request, make_answer

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
_REVISIONS_COUNT: Final = 3
_FETCH_TIMEOUT_SECONDS: Final = 1.0  # a snapshot of some 30 kB between regions
# A VM without tables waits this long for revisions from its own zone, and from
# its own region, before it asks further away: bytes between regions cost more.
_ZONE_HEAD_START_SECONDS: Final = 0.02
_REGION_HEAD_START_SECONDS: Final = 0.06
# One answer brings all that is missing: others are asked if it takes longer.
_MAX_WAIT_FOR_OTHER_FETCH_SECONDS: Final = 0.3
# Of an unpacked snapshot: over ten times the one of 3,100 targets.
_MAX_SNAPSHOT_BYTES: Final = 4_000_000


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

    def answer(self, request: Request) -> Answer:
        """Answer a VM that asks for newer tables."""
        path, _, query = request.path.partition(b'?')
        if path != _PATH:
            return make_answer(404, 'no such path')
        try:
            known = _decode_revisions(query)
        except (TypeError, ValueError):
            return make_answer(400, 'a version and three revisions are needed')
        snapshot = self._fleet_tables.make_snapshot(known, self._loop.time())
        return Answer(200, (), pack(msgspec.msgpack.encode(snapshot)))

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

    async def _request_snapshot(self, address: Address) -> Snapshot:
        host = f'{address.host}:{address.port}'.encode()
        known = _encode_revisions(self._fleet_tables.revisions)
        path = b'%s?%s' % (_PATH, known)
        request = Request(b'GET', path, ((b'host', host),), b'')
        async with asyncio.timeout(_FETCH_TIMEOUT_SECONDS):
            connection = await open_connection(
                address,
                seconds=_FETCH_TIMEOUT_SECONDS,
                settings=self._settings,
            )
            try:
                reply = await connection.exchange(encode_request(request))
            finally:
                connection.close()
        return msgspec.msgpack.decode(
            unpack(reply.body, _MAX_SNAPSHOT_BYTES),
            type=Snapshot,
        )


def _encode_revisions(revisions: Revisions) -> bytes:
    """Encode the version, then era and number of each revision."""
    numbers = (
        revisions.configuration,
        *revisions.targets,
        *revisions.evacuations,
        *revisions.suspects,
    )
    return b','.join(b'%d' % number for number in numbers)


def _decode_revisions(query: bytes) -> Revisions:
    """Decode revisions; raise TypeError or ValueError if they are invalid."""
    version, *numbers = map(int, query.split(b','))
    if len(numbers) != 2 * _REVISIONS_COUNT:
        raise ValueError(f'{_REVISIONS_COUNT} revisions are needed')
    pairs = zip(numbers[::2], numbers[1::2], strict=True)
    return Revisions(version, *(Revision(*pair) for pair in pairs))
