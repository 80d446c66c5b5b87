"""An entry VM: builds the slices, joins them and runs until told to stop."""

import signal
import threading
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, Final

from toucanhall import events, runtime
from toucanhall.admin import Admin
from toucanhall.catalogue import Holder, Revision
from toucanhall.counters import Counters
from toucanhall.forwarding import Parts
from toucanhall.forwarding.dispatch import Dispatcher
from toucanhall.forwarding.server import make_server
from toucanhall.forwarding.sharing import Sharing
from toucanhall.forwarding.stop import stop_after
from toucanhall.forwarding.web import make_application
from toucanhall.frontdoor import Frontdoor
from toucanhall.idempotency import Keeper
from toucanhall.membership import Health, Heartbeat, Membership, View
from toucanhall.membership.actor import Beat, Heard, Leave, ReadList
from toucanhall.membership.view import HEARTBEAT_SECONDS
from toucanhall.platform import connect
from toucanhall.settings import Settings
from toucanhall.shares import Holding, Ledger
from toucanhall.shares.claimer import Claimer, Place
from toucanhall.spread import Offer, Spread, Watcher
from toucanhall.spread.actor import Behind, Offered, Push
from toucanhall.steering import (
    AdvisedVm,
    BlockIndex,
    Hop,
    Seat,
    Steerer,
    size_links,
    size_services,
)
from toucanhall.steering.ownership import note_gains, select_settled
from toucanhall.transport import Envelope, Exchange
from toucanhall.transport.exchange import Handler, Identity

__all__ = ('Entry',)

_LIST_SECONDS: Final = 2.0
_CLAIM_SECONDS: Final = 2.0
_RESIZE_SECONDS: Final = 0.5


class Entry:
    """One entry VM with all its duties."""

    def __init__(self, *, settings: Settings) -> None:
        """Build the slices; nothing runs before `run`."""
        self._settings = settings
        self._stopping = threading.Event()
        self._has_claimed = False
        self._gained: Mapping[int, float] = {}
        self._view = View({}, {})
        self._counters = Counters(
            host=settings.statsd_host,
            port=settings.statsd_port,
        )
        self._identity = Identity(
            settings.vm,
            runtime.make_id(),
            settings.secret,
        )
        self._platform = connect(settings.platform)
        self._holder = Holder()
        self._ledger = Ledger()
        self._steerer = Steerer()
        self._blocks = BlockIndex()
        self._exchange = Exchange(
            identity=self._identity,
            address=settings.address,
            port=settings.peer_port,
            counters=self._counters,
        )
        self._claimer = Claimer(
            place=Place(
                settings.zone,
                Holding(settings.vm, self._identity.start),
            ),
            platform=self._platform,
            ledger=self._ledger,
        )
        self._parts = Parts(
            identity=self._identity,
            zone=settings.zone,
            holder=self._holder,
            ledger=self._ledger,
            steerer=self._steerer,
            sharing=Sharing(),
            keeper=Keeper(platform=self._platform),
            dispatcher=Dispatcher(),
            counters=self._counters,
        )
        self._door = Frontdoor(
            zone=settings.zone,
            holder=self._holder,
            parts=self._parts,
            admin=Admin(
                operators=settings.operators,
                holder=self._holder,
                platform=self._platform,
                read_status=self._read_status,
            ),
            list_usable_vms=self._list_usable_vms,
        )

    def run(self) -> None:
        """Serve until SIGTERM, then leave, finish what runs and return."""
        server = make_server(self._settings, make_application(self._door.serve))
        self._start_actors()
        signal.signal(signal.SIGTERM, lambda *_args: self._leave(server))
        signal.signal(signal.SIGINT, lambda *_args: self._leave(server))
        events.log(events.ENTRY_STARTED, zone=self._settings.zone)
        server.run()
        self._finish(server)
        events.log(events.ENTRY_STOPPED)

    def _start_actors(self) -> None:
        self._spread = Spread.start(
            holder=self._holder,
            send=self._exchange.send,
            list_contacts=self._list_contacts,
        )
        self._membership = Membership.start(
            settings=self._settings,
            platform=self._platform,
            send=self._exchange.send,
            redial=self._exchange.redial,
            read_revision=self._read_revision,
            publish=self._publish,
        )
        self._holder.listen(self._take_revision)
        self._exchange.start(
            (
                Handler(Heartbeat, self._hear),
                Handler(Offer, self._take_offer),
            )
        )
        Watcher(
            platform=self._platform,
            holder=self._holder,
            stopping=self._stopping,
        ).start()
        self._membership.tell(ReadList())
        for period, call in self._list_tickers():
            runtime.start_ticker(period, call, self._stopping)

    def _list_handlers(self) -> tuple[Handler, ...]:
        return (
            Handler(Heartbeat, self._hear),
            Handler(Offer, self._take_offer),
        )

    def _list_tickers(self) -> tuple[tuple[float, Callable[[], None]], ...]:
        return (
            (HEARTBEAT_SECONDS, partial(self._membership.tell, Beat())),
            (_LIST_SECONDS, partial(self._membership.tell, ReadList())),
            (_CLAIM_SECONDS, self._claim),
            (_RESIZE_SECONDS, self._tend_steerer),
        )

    def _hear(self, envelope: Envelope, heartbeat: Heartbeat) -> None:
        self._membership.tell(Heard(envelope.vm, envelope.start, heartbeat))
        if heartbeat.revision < self._read_revision():
            known = self._view.members.get(envelope.vm)
            address = known.address if known else heartbeat.address
            self._spread.tell(Behind(address, heartbeat.revision))

    def _take_offer(self, _envelope: Envelope, offer: Offer) -> None:
        self._spread.tell(Offered(offer))

    def _take_revision(self, revision: Revision) -> None:
        self._spread.tell(Push(revision))
        self._claimer.size_ledger(revision.catalogue)
        self._resize_steerer()
        self._blocks.size(revision.catalogue.blocks)

    def _publish(self, view: View) -> None:
        self._view = view

    def _read_revision(self) -> int:
        held = self._holder.current
        return held.number if held else 0

    def _list_contacts(self) -> tuple[str, ...]:
        return tuple(member.address for member in self._view.members.values())

    def _list_hops(self) -> tuple[Hop, ...]:
        now = runtime.read_clock()
        return tuple(
            Hop(
                member.vm,
                member.zone,
                f'{member.address}:{self._settings.caller_port}',
            )
            for member in self._view.select(Health.ALIVE, now)
        )

    def _tend_steerer(self) -> None:
        if not self._has_claimed:
            self._claim()
        self._resize_steerer()

    def _resize_steerer(self) -> None:
        held = self._holder.current
        if held is None or not self._has_claimed:
            return
        now = runtime.read_clock()
        self._gained = note_gains(self._gained, self._claimer.held, now)
        settled = select_settled(self._gained, now)
        if self._gained and not settled and not self._steerer.is_sized:
            return
        seat = Seat(self._settings.zone, settled)
        self._steerer.resize(
            size_services(
                held.catalogue,
                seat,
                self._list_hops(),
                now,
            ),
            size_links(held.catalogue, seat),
        )

    def _claim(self) -> None:
        held = self._holder.current
        if held is None or self._stopping.is_set():
            return
        live = frozenset(
            member.vm
            for member in self._view.members.values()
            if member.zone == self._settings.zone
            and (member.listed or member.heard_at is not None)
        )
        self._claimer.claim(held.catalogue, live | {self._settings.vm})
        self._gained = {
            slot: since
            for slot, since in self._gained.items()
            if slot not in self._claimer.gained
        }
        self._has_claimed = True

    def _list_usable_vms(self) -> tuple[AdvisedVm, ...]:
        now = runtime.read_clock()
        port = self._settings.caller_port
        vms = [
            AdvisedVm(
                member.vm, member.zone, f'http://{member.address}:{port}',
            )
            for member in self._view.select(Health.ALIVE, now)
        ]  # fmt: skip
        if not self._stopping.is_set():
            own = self._settings
            vms.append(
                AdvisedVm(own.vm, own.zone, f'http://{own.address}:{port}'),
            )
        return tuple(vms)

    def _read_status(self) -> Mapping[str, Any]:
        now = runtime.read_clock()
        return {
            'vm': self._settings.vm,
            'revision': self._read_revision(),
            'in_force': self._view.confirmed,
            'members': [
                {'vm': member.vm, 'zone': member.zone, 'health': health.value}
                for health in Health
                for member in self._view.select(health, now)
            ],
            'shares': {
                team: bucket._asdict()
                for team, bucket in self._ledger.read().items()
            },
            'counters': self._counters.read(),
        }

    def _leave(self, server: Any) -> None:
        if self._stopping.is_set():
            return
        events.log(events.ENTRY_LEAVING)
        self._stopping.set()
        self._membership.tell(Leave())
        bounds = self._settings.bounds
        stop_after(server, bounds.linger_seconds, bounds.idle_seconds)

    def _finish(self, server: Any) -> None:
        server.task_dispatcher.shutdown(cancel_pending=False)
        self._membership.stop()
        self._spread.stop()
        self._exchange.stop()
