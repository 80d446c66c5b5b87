"""The process of a VM: creates its parts, starts and stops them."""

import asyncio
import gc
import math
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from toucanhall.edge.attempt_loop import AttemptLoop
from toucanhall.edge.buffer_watch import BufferWatch
from toucanhall.edge.capacity_recorder import CapacityRecorder
from toucanhall.edge.caller_connections import CallerConnections
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.directory import Directory
from toucanhall.edge.dispatcher import RequestDispatcher
from toucanhall.edge.peer_exchange import (
    HEARTBEAT_INTERVAL_SECONDS,
    PeerExchange,
    RevisionSource,
)
from toucanhall.edge.quarantine import Quarantine
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.request_relay import RequestRelay
from toucanhall.edge.sender import Sender
from toucanhall.edge.state_updater import StateUpdater
from toucanhall.edge.table_exchange import TableExchange
from toucanhall.edge.target_links import TargetLinks
from toucanhall.edge.target_probe import TargetProbe
from toucanhall.edge.target_state import make_target_state
from toucanhall.edge.unknown_headers import UnknownHeaders
from toucanhall.edge.vm_entries import VmEntries
from toucanhall.edge.watch_duty import WatchDuty
from toucanhall.fleet.model import Address, Environment, VmContact
from toucanhall.fleet.reports import Member
from toucanhall.fleet.selection import MAX_LOOP_LAG_SECONDS
from toucanhall.fleet.tables import FleetTables
from toucanhall.limits.quota import Quotas
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.observe.metrics import Metrics
from toucanhall.platform import settings_file
from toucanhall.platform.endpoints import make_readiness_handler
from toucanhall.platform.headers import REQUEST_ID_HEADER
from toucanhall.platform.relay_headers import read_relay_attempts
from toucanhall.platform.store import Store
from toucanhall.platform.store_watch import StoreWatch
from toucanhall.platform.suspect_registry import SuspectRegistry
from toucanhall.platform.vm_registry import VmRegistry
from toucanhall.web.client import ConnectionSettings
from toucanhall.web.lag import LoopLag
from toucanhall.web.memory import compute_answer_bounds
from toucanhall.web.messages import (
    Answer,
    Request,
    make_answer,
    make_error_answer,
)
from toucanhall.web.server import Handler, ServerLimits

__all__ = ('run',)

METRICS_PORT: Final = 9464
# Between checks of the idle connections and of the settings file.
_MAINTENANCE_INTERVAL_SECONDS: Final = 1.0
# Before a configuration is known; of the order of what operators allow.
_INITIAL_LIMITS: Final = ServerLimits(65536, 1 << 20, 5.0, 30.0)
# Fractions of the grace period after which idle connections are closed,
# requests under way get their final answer, and the process ends.
_CLOSE_IDLE_GRACE_FRACTION: Final = 0.75
_ANSWER_GRACE_FRACTION: Final = 0.91
_END_GRACE_FRACTION: Final = 0.93
# Descriptors that the platform reserves for files, and fractions of the others:
# for connections of callers and for idle ones to targets. Requests under way
# have as many connections to targets as callers have to this VM.
_RESERVED_FILES_COUNT: Final = 200
_CALLERS_SOCKETS_FRACTION: Final = 0.4
_IDLE_TARGETS_SOCKETS_FRACTION: Final = 0.15
_MAX_IDLE_RELAY_CONNECTIONS: Final = 64


class Process:
    """One VM of the fleet."""

    def __init__(self, *, settings: Path, environment: Environment) -> None:
        """Prepare a VM; nothing is opened yet."""
        self._settings = settings
        self._settings_mtime_ns = _read_mtime_ns(settings)
        self._environment = environment
        self._loop = asyncio.get_running_loop()
        self._journal = Journal(vm=environment.vm)
        self._metrics = Metrics()
        self._stopping = asyncio.Event()
        targets = make_target_state(environment, self._journal)
        self._registry = targets.registry
        self._fleet_tables = FleetTables(on_change=self._on_table_changed)
        self._quotas = Quotas(
            bounds=environment.bounds,
            beat=HEARTBEAT_INTERVAL_SECONDS,
            now=self._loop.time(),
        )
        sockets = environment.max_descriptors - _RESERVED_FILES_COUNT
        self._buffers = BufferWatch(
            memory=environment.memory,
            journal=self._journal,
            metrics=self._metrics,
        )
        connection_settings = ConnectionSettings(
            compute_answer_bounds(environment.memory), self._buffers.budget
        )
        self._pool = ConnectionPool(
            clock=self._loop.time,
            max_idle_connections=round(
                sockets * _IDLE_TARGETS_SOCKETS_FRACTION
            ),
            settings=connection_settings._replace(id_header=REQUEST_ID_HEADER),
        )
        self._store = Store(
            address=environment.store,
            settings=connection_settings,
            on_call=self._record_store_call,
            on_unknown_headers=UnknownHeaders(
                journal=self._journal, event=events.STORE_HEADER
            ).record,
            on_era=self._on_store_era,
        )
        self._store_watch = StoreWatch(
            store=self._store,
            fleet_tables=self._fleet_tables,
            journal=self._journal,
            lapse_seconds=2 * environment.bounds.target_heartbeat_seconds,
        )
        probe = TargetProbe(
            pool=self._pool, list_targets=self._registry.list_targets
        )
        self._links = TargetLinks(
            registry=self._registry,
            pool=self._pool,
            probe=probe,
            on_change=self._on_links_changed,
            journal=self._journal,
        )
        self._relay_pool = ConnectionPool(
            clock=self._loop.time,
            max_idle_connections=_MAX_IDLE_RELAY_CONNECTIONS,
            settings=connection_settings._replace(id_header=REQUEST_ID_HEADER),
        )
        self._quarantine = Quarantine(
            table=self._fleet_tables.suspects,
            targets=self._registry,
            registry=SuspectRegistry(store=self._store),
            probe=probe,
            journal=self._journal,
        )
        self._has_divided_limits = False
        self._retries = RetryBudget(bounds=environment.bounds)
        self._lag = LoopLag()
        self._capacity = CapacityRecorder(
            registry=self._registry, journal=self._journal, lag=self._lag
        )
        recorder = RequestRecorder(
            fleet_tables=self._fleet_tables,
            journal=self._journal,
            metrics=self._metrics,
        )
        self._dispatcher = RequestDispatcher(
            fleet_tables=self._fleet_tables,
            attempt_loop=AttemptLoop(
                registry=self._registry,
                sender=Sender(
                    registry=self._registry,
                    pool=self._pool,
                    journal=self._journal,
                    limits=targets.limits,
                    links=self._links,
                ),
                retries=self._retries,
                quarantine=self._quarantine,
                links=self._links,
                relay=RequestRelay(
                    environment=environment,
                    pool=self._relay_pool,
                    list_members=self._list_other_vms,
                ),
                recorder=recorder,
                capacity=self._capacity,
            ),
            quotas=self._quotas,
            recorder=recorder,
            lag=self._lag,
        )
        handler = Handler(
            serve=self._dispatcher.serve,
            answer_error=self._answer_error,
            is_cancellable=self._dispatcher.is_cancellable,
            get_limits=self._get_limits,
            is_stopping=self._stopping.is_set,
            is_lagging=lambda: self._lag.seconds > MAX_LOOP_LAG_SECONDS,
            connections=set(),
            buffer_budget=self._buffers.budget,
            max_connections=round(sockets * _CALLERS_SOCKETS_FRACTION),
            on_rejected=self._buffers.record_rejected,
            answer_no_room=self._dispatcher.refuse_for_memory,
        )
        self._caller_connections = CallerConnections(handler=handler)
        self._state_updater = StateUpdater(
            environment=environment,
            fleet_tables=self._fleet_tables,
            registry=self._registry,
            quotas=self._quotas,
            retries=self._retries,
            journal=self._journal,
            clock=self._loop.time,
        )
        control = environment.listeners.control
        self._table_exchange = TableExchange(
            fleet_tables=self._fleet_tables,
            journal=self._journal,
            zone=environment.zone,
            regions=environment.regions,
            port=control.port if control else 0,
            settings=connection_settings,
            on_applied=self._on_snapshot_applied,
        )
        self._peer_exchange = PeerExchange(
            environment=environment,
            fleet_tables=self._fleet_tables,
            quotas=self._quotas,
            journal=self._journal,
            limits=targets.limits,
            get_own_member=self._get_own_member,
            get_store_age=lambda: self._store_watch.probe.answer_age,
            on_revisions=self._table_exchange.fetch_if_newer,
            on_heartbeat=self._on_heartbeat,
        )
        self._vm_entries = VmEntries(
            own=VmContact(environment.vm, environment.zone, environment.ip),
            registry=VmRegistry(store=self._store, journal=self._journal),
            peer_exchange=self._peer_exchange,
            store_watch=self._store_watch,
            journal=self._journal,
        )
        self._watch_duty = WatchDuty(
            own=environment.vm,
            store_watch=self._store_watch,
            list_zone=self._peer_exchange.list_watch_candidates,
            list_answer_ages=self._peer_exchange.list_store_ages,
            is_stopping=self._stopping.is_set,
            on_answer=lambda: self._peer_exchange.broadcast_revisions(
                is_for_all_zones=False
            ),
            journal=self._journal,
        )
        self._directory = Directory(
            environment=environment,
            fleet_tables=self._fleet_tables,
            members=self._peer_exchange.members,
            list_local_vms=self._peer_exchange.list_local_vms,
            clock=self._loop.time,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the requests under way."""
        for number, callback in (
            (signal.SIGTERM, self._stopping.set),
            (signal.SIGINT, self._stopping.set),
            (signal.SIGHUP, self._reload),
        ):
            self._loop.add_signal_handler(number, callback)
        self._loop.set_exception_handler(self._log_loop_error)
        await self._listen()
        await self._peer_exchange.start()
        store_tasks = (
            self._loop.create_task(self._vm_entries.run()),
            self._loop.create_task(self._watch_duty.run()),
        )
        self._register_gauges()
        self._lag.start()
        self._links.start()
        self._loop.call_later(_MAINTENANCE_INTERVAL_SECONDS, self._maintain)
        self._journal.write(events.STARTED, zone=self._environment.zone)
        gc.collect()
        gc.freeze()
        await self._stopping.wait()
        for task in store_tasks:
            task.cancel()
        await self._stop()

    async def _stop(self) -> None:
        began = self._loop.time()
        grace = self._environment.bounds.shutdown_grace_seconds
        self._journal.write(
            events.STOPPING, in_flight=self._dispatcher.in_flight
        )
        self._dispatcher.stop(began + grace * _ANSWER_GRACE_FRACTION)
        self._peer_exchange.broadcast_revisions(is_for_all_zones=False)
        await asyncio.sleep(grace * _CLOSE_IDLE_GRACE_FRACTION)
        await self._caller_connections.close(
            began + grace * _END_GRACE_FRACTION
        )
        self._journal.write(
            events.STOPPED, in_flight=self._dispatcher.in_flight
        )

    async def _listen(self) -> None:
        listeners = self._environment.listeners
        endpoints = {
            listeners.readiness: make_readiness_handler(self._is_ready),
            listeners.directory: self._directory.answer,
            Address(self._environment.ip, METRICS_PORT): self._answer_metrics,
        }
        for address, answer in endpoints.items():
            if address is not None:
                await self._caller_connections.open_endpoint(address, answer)
        if listeners.control is not None:
            await self._caller_connections.open_service(
                listeners.control, self._answer_peer
            )
        if listeners.requests is not None:
            await self._caller_connections.open(listeners.requests)

    def _is_ready(self) -> bool:
        return (
            not self._stopping.is_set()
            and self._fleet_tables.configuration is not None
        )

    def _get_limits(self) -> ServerLimits:
        configuration = self._fleet_tables.configuration
        if configuration is None:
            return _INITIAL_LIMITS
        return ServerLimits(*configuration.limits)

    def _get_own_member(self) -> Member:
        environment = self._environment
        return Member(
            vm=environment.vm,
            zone=environment.zone,
            ip=environment.ip,
            is_ready=self._is_ready(),
            is_leaving=self._stopping.is_set(),
            lag=round(self._lag.seconds, 3),
            capacity=environment.capacity,
            load=round(self._dispatcher.request_rate.per_second, 1),
            reaches_targets=not self._links.is_cut_off,
        )

    def _on_table_changed(self, table: str) -> None:
        if table == 'suspects':
            self._quarantine.apply_table_change()
        else:
            self._state_updater.apply_table_change(table)
        if table == 'configuration' and not self._has_divided_limits:
            # Until then no team has a limit to divide.
            self._update_state()
        self._store.note_era(self._fleet_tables.revisions.targets.era)
        self._schedule_drop()
        if self._store_watch.is_watching:
            self._peer_exchange.broadcast_revisions(is_for_all_zones=True)

    def _on_store_era(self, before: int, era: int) -> None:
        self._journal.write(events.ERA_CHANGED, before=before, era=era)
        # Not now: the call that tells of it is one of a watch.
        self._loop.call_soon(self._store_watch.watch_anew)
        self._vm_entries.renew()

    def _on_snapshot_applied(self, source: RevisionSource) -> None:
        if source.zone != self._environment.zone:
            self._peer_exchange.broadcast_revisions(is_for_all_zones=False)

    def _on_heartbeat(self) -> None:
        self._dispatcher.request_rate.measure(self._loop.time())
        self._update_state()
        self._schedule_drop()
        self._watch_duty.update()
        self._quarantine.drop_expired(is_watching=self._store_watch.is_watching)

    def _schedule_drop(self) -> None:
        """Drop held targets when they end, not with the next heartbeat."""
        end = min(self._fleet_tables.held_targets.values(), default=math.inf)
        if end < self._loop.time() + HEARTBEAT_INTERVAL_SECONDS:
            self._loop.call_at(end, self._state_updater.drop_expired_targets)

    def _on_links_changed(self) -> None:
        self._peer_exchange.broadcast_revisions(is_for_all_zones=False)
        self._update_state()

    def _list_other_vms(self) -> list[Member]:
        return self._peer_exchange.members.list_alive(self._loop.time())

    def _update_state(self) -> None:
        self._has_divided_limits = self._fleet_tables.configuration is not None
        zone = self._peer_exchange.list_local_vms()
        self._state_updater.update_from_reports(
            self._peer_exchange.members, zone, self._peer_exchange.usage
        )

    def _record_store_call(self, outcome: str, seconds: float) -> None:
        self._metrics.observe('store_call', seconds, outcome=outcome)

    def _register_gauges(self) -> None:
        fleet_tables = self._fleet_tables
        limits = self._registry.limits
        gauges: dict[str, Callable[[], float]] = {
            'loop_lag_seconds': lambda: self._lag.seconds,
            'requests_in_flight': lambda: self._dispatcher.in_flight,
            'requests_per_second': lambda: (
                self._dispatcher.request_rate.per_second
            ),
            'connections_of_callers': self._caller_connections.count,
            'connections_to_targets_opened': lambda: self._pool.opened_count,
            'vms_alive': lambda: len(
                self._peer_exchange.members.list_alive(self._loop.time()),
            ),
            'takes_requests': lambda: self._state_updater.is_serving,
            'targets_known': lambda: len(fleet_tables.targets),
            'configuration_version': lambda: (
                fleet_tables.revisions.configuration
            ),
            'store_era': lambda: fleet_tables.revisions.targets.era,
            'targets_revision': lambda: fleet_tables.revisions.targets.number,
            'evacuations_revision': lambda: (
                fleet_tables.revisions.evacuations.number
            ),
            'requests_held_back': self._quarantine.count_held_back,
            'reaches_targets': lambda: not self._links.is_cut_off,
            **self._buffers.list_gauges(),
            **self._capacity.list_gauges(),
            'targets_limited': lambda: len(limits.observations.list_limited()),
            'limited_targets_owned': limits.count_owned,
            'limited_requests_sent': lambda: limits.sent_count,
            'watches_store': lambda: self._store_watch.is_watching,
            'vms_of_earlier_forms': self._peer_exchange.count_earlier_vms,
            'unknown_parts': lambda: (
                self._peer_exchange.unknown_parts.total
                + self._table_exchange.unknown_parts.total
            ),
            'log_lines_dropped': lambda: sum(self._journal.dropped.values()),
        }
        for name, read in gauges.items():
            self._metrics.gauge(name, read)

    def _answer_error(self, error: Exception) -> Answer:
        self._journal.write(events.UNEXPECTED, why=repr(error))
        return make_error_answer(error)

    def _log_loop_error(
        self,
        _loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        self._journal.write(
            events.UNEXPECTED,
            why=repr(context.get('exception') or context['message']),
            where=str(context.get('handle') or context.get('task') or ''),
        )

    async def _answer_peer(self, request: Request) -> Answer:
        """Answer another VM: with tables, or to a request of a caller."""
        attempts = read_relay_attempts(request)
        if attempts is None:
            return self._table_exchange.answer(request)
        return await self._dispatcher.serve_relayed(request, attempts)

    def _answer_metrics(self, _request: Request) -> Answer:
        return make_answer(200, self._metrics.render())

    def _maintain(self) -> None:
        self._loop.call_later(_MAINTENANCE_INTERVAL_SECONDS, self._maintain)
        self._pool.close_expired()
        self._relay_pool.close_expired()
        self._journal.log_dropped_counts()
        if _read_mtime_ns(self._settings) != self._settings_mtime_ns:
            self._reload()

    def _reload(self) -> None:
        self._settings_mtime_ns = _read_mtime_ns(self._settings)
        try:
            environment = settings_file.load_settings(self._settings)
        except settings_file.SettingsError as error:
            self._journal.write(events.RELOAD_FAILED, why=str(error))
            return
        self._environment = self._environment._replace(
            bounds=environment.bounds,
            regions=environment.regions,
        )
        self._journal.write(events.RELOADED)


def run(settings: Path) -> None:
    """Run a VM until a signal stops it; raise SettingsError."""
    asyncio.run(_run(settings, settings_file.load_settings(settings)))


async def _run(settings: Path, environment: Environment) -> None:
    await Process(settings=settings, environment=environment).run()


def _read_mtime_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
