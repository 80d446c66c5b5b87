"""An entry VM: creates its components, connects them and runs them."""

import random
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
from toucanhall.frontdoor import RequestRouter
from toucanhall.idempotency import Keeper
from toucanhall.membership import Health, Heartbeat, Membership, View
from toucanhall.membership.actor import Beat, Heard, Leave, ReadList
from toucanhall.membership.confirming import report_zones
from toucanhall.membership.contacts import is_reader, select_contacts
from toucanhall.membership.view import HEARTBEAT_SECONDS, select_live
from toucanhall.objectstore import connect
from toucanhall.settings import Settings
from toucanhall.shares import Holding, Ledger
from toucanhall.shares.claimer import Claimer, Place, Surroundings
from toucanhall.shares.gifts import Gifts
from toucanhall.shares.messages import (
    Acknowledgement,
    Gift,
    GiftRequest,
    Probe,
)
from toucanhall.spread import (
    Accepting,
    Delta,
    FreshnessMonitor,
    Offer,
    RevisionAnswer,
    RevisionQuery,
    Spread,
    Watcher,
)
from toucanhall.spread.acceptance import Known
from toucanhall.spread.actor import Arrived, Compare, Message, Push, read_held
from toucanhall.spread.freshness import FRESH_SECONDS
from toucanhall.steering import (
    AdvisedVm,
    BlockIndex,
    EntryVm,
    OwnedSlots,
    Steerer,
    size_links,
    size_services,
)
from toucanhall.steering.ownership import note_gains, select_settled
from toucanhall.transport import Envelope, Exchange
from toucanhall.transport.exchange import Handler, Identity

__all__ = ('Entry',)

_MEMBER_LIST_INTERVAL_SECONDS: Final = 2.0
_CLAIM_INTERVAL_SECONDS: Final = 1.0
_SETTLE_INTERVAL_SECONDS: Final = 1.0
_FRESHNESS_INTERVAL_SECONDS: Final = 0.5
# Per check, about one a second: a VM whose revision is stale watches the store
# itself, as it may receive nothing from the watchers of its zone.
_STALE_WATCH_PROBABILITY: Final = 0.1
_COMPARE_INTERVAL_SECONDS: Final = 1.0
_RESIZE_INTERVAL_SECONDS: Final = 0.5
_JOIN_TIMEOUT_SECONDS: Final = 1.0  # for each periodic call in progress


class Entry:
    """All components of one entry VM."""

    def __init__(self, *, settings: Settings) -> None:
        """Create the components; nothing runs before `run`."""
        self._settings = settings
        self._stopping = threading.Event()
        self._contact_round = 0
        self._resize_lock = threading.Lock()
        self._slots_held_since: Mapping[int, float] = {}
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
        self._monitor = FreshnessMonitor()
        self._holder = Holder(
            is_settled=self._monitor.is_settled,
            may_serve=self._monitor.may_serve,
        )
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
            send=self._exchange.send,
        )
        self._gifts = Gifts(
            start=self._identity.start,
            ledger=self._ledger,
            send=self._exchange.send,
            list_peers=self._list_peers,
        )
        self._ledger.listen(self._gifts.request)
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
        self._router = RequestRouter(
            zone=settings.zone,
            holder=self._holder,
            parts=self._parts,
            admin=Admin(
                operators=settings.operators,
                holder=self._holder,
                platform=self._platform,
                counters=self._counters,
                accepting=Accepting(
                    platform=self._platform,
                    holder=self._holder,
                    read_known=self._read_known,
                    wait_settled=self._monitor.wait_settled,
                ),
                read_status=self._read_status,
            ),
            find_zone=self._blocks.find,
            list_usable_vms=self._list_usable_vms,
            list_holders=self._claimer.list_holders,
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish requests and return."""
        server = make_server(
            self._settings, make_application(self._router.serve)
        )
        self._start_actors()
        signal.signal(
            signal.SIGTERM, lambda *_args: self._begin_shutdown(server)
        )
        signal.signal(
            signal.SIGINT, lambda *_args: self._begin_shutdown(server)
        )
        events.log(events.ENTRY_STARTED, zone=self._settings.zone)
        server.run()
        self._complete_shutdown(server)
        events.log(events.ENTRY_STOPPED)

    def _start_actors(self) -> None:
        self._spread = Spread.start(
            holder=self._holder,
            monitor=self._monitor,
            own_address=self._settings.address,
            send=self._exchange.send,
            redial=self._exchange.redial,
            list_contacts=self._list_contacts,
        )
        self._membership = Membership.start(
            settings=self._settings,
            platform=self._platform,
            send=self._exchange.send,
            redial=self._exchange.redial,
            read_revision=self._read_revision,
            publish=self._replace_view,
        )
        self._holder.add_listener(self._apply_revision)
        self._exchange.start(self._list_handlers())
        Watcher(
            platform=self._platform,
            holder=self._holder,
            monitor=self._monitor,
            may_watch=self._may_watch,
            stopping=self._stopping,
        ).start()
        self._membership.tell(ReadList())
        self._tickers = tuple(
            runtime.start_ticker(period, call, self._stopping)
            for period, call in self._list_tickers()
        )

    def _list_handlers(self) -> tuple[Handler, ...]:
        limits = (
            Handler(Probe, self._answer_probe),
            Handler(Acknowledgement, self._claimer.hear),
            Handler(GiftRequest, self._gifts.give),
            Handler(Gift, self._gifts.accept),
        )
        return (
            Handler(Heartbeat, self._receive_heartbeat),
            Handler(RevisionQuery, self._receive_revision_message),
            Handler(Delta, self._receive_revision_message),
            Handler(Offer, self._receive_revision_message),
            Handler(RevisionAnswer, self._receive_revision_message),
            *limits,
        )

    def _list_tickers(self) -> tuple[tuple[float, Callable[[], None]], ...]:
        return (
            (HEARTBEAT_SECONDS, partial(self._membership.tell, Beat())),
            (
                _MEMBER_LIST_INTERVAL_SECONDS,
                partial(self._membership.tell, ReadList()),
            ),
            (_CLAIM_INTERVAL_SECONDS, self._claim_slots),
            (_SETTLE_INTERVAL_SECONDS, self._parts.keeper.settle),
            (_FRESHNESS_INTERVAL_SECONDS, self._update_freshness),
            (_COMPARE_INTERVAL_SECONDS, partial(self._spread.tell, Compare())),
            (_RESIZE_INTERVAL_SECONDS, self._resize_steerer),
        )

    def _receive_heartbeat(
        self, envelope: Envelope, heartbeat: Heartbeat
    ) -> None:
        self._membership.tell(Heard(envelope.vm, envelope.start, heartbeat))

    def _receive_revision_message(
        self,
        envelope: Envelope,
        message: Message,
    ) -> None:
        known = self._view.members.get(envelope.vm)
        if known:
            self._spread.tell(Arrived(envelope.vm, known.address, message))
        elif isinstance(message, RevisionQuery):
            self._spread.tell(Arrived(envelope.vm, message.address, message))

    def _update_freshness(self) -> None:
        view = self._view
        self._monitor.tick(len(view.members) if view.is_listed else None)

    def _may_watch(self) -> bool:
        own = self._settings
        age = self._monitor.read_age()
        if age is None:
            return True
        if age > FRESH_SECONDS and random.random() < _STALE_WATCH_PROBABILITY:
            return True
        return is_reader(self._view, own.vm, own.zone, runtime.read_clock())

    def _read_known(self) -> Known:
        return max(self._monitor.read_heard(), read_held(self._holder))

    def _apply_revision(self, revision: Revision) -> None:
        self._spread.tell(Push(revision))
        self._claimer.take_revision(revision)
        self._resize_steerer()
        self._blocks.size(revision.catalogue.blocks)

    def _replace_view(self, view: View) -> None:
        is_first = view.is_listed and not self._view.is_listed
        self._view = view
        if is_first:
            self._spread.tell(Compare())

    def _read_revision(self) -> int:
        held = self._holder.current
        return held.number if held else 0

    def _list_contacts(self) -> tuple[str, ...]:
        own = self._settings
        self._contact_round += 1
        contacts = select_contacts(
            self._view,
            own.vm,
            own.zone,
            self._contact_round,
            runtime.read_clock(),
        )
        return tuple(member.address for member in contacts)

    def _list_alive_vms(self) -> tuple[EntryVm, ...]:
        now = runtime.read_clock()
        return tuple(
            EntryVm(
                member.vm,
                member.zone,
                f'{member.address}:{self._settings.caller_port}',
            )
            for member in self._view.select(Health.ALIVE, now)
        )

    def _resize_steerer(self) -> None:
        held = self._holder.current
        own = self._claimer.list_own()
        if held is None or own is None:
            return
        with self._resize_lock:
            now = runtime.read_clock()
            self._slots_held_since = note_gains(
                self._slots_held_since, own, now
            )
            settled = select_settled(self._slots_held_since, now)
            if own and not settled and not self._steerer.is_sized:
                return
            owned = OwnedSlots(self._settings.zone, settled)
            self._steerer.resize(
                size_services(
                    held.catalogue, owned, self._list_alive_vms(), now
                ),
                size_links(held.catalogue, owned),
            )

    def _list_peers(self) -> Mapping[str, str]:
        now = runtime.read_clock()
        return {
            member.vm: member.address
            for member in self._view.select(Health.ALIVE, now)
            if member.zone == self._settings.zone
        }

    def _answer_probe(self, envelope: Envelope, probe: Probe) -> None:
        member = self._view.members.get(envelope.vm)
        if member is not None:
            self._claimer.answer(envelope, probe, member.address)

    def _claim_slots(self) -> None:
        if self._stopping.is_set():
            return
        view, own = self._view, self._settings
        live = select_live(view, own.zone, own.vm, runtime.read_clock())
        self._claimer.tick(
            Surroundings(self._list_peers(), live, view.confirmed),
        )

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
            'age': self._monitor.read_age(),
            'in_force': self._view.confirmed,
            'zones': self._report_zones(now),
            'members': [
                {'vm': member.vm, 'zone': member.zone, 'health': health.value}
                for health in Health
                for member in self._view.select(health, now)
            ],
            'shares': {
                team: bucket._asdict()
                for team, bucket in self._ledger.read().items()
            },
            'share_slots': self._claimer.read_status(),
            'counters': self._counters.read(),
        }

    def _report_zones(self, now: float) -> Mapping[str, Any]:
        held = self._holder.current
        if held is None:
            return {}
        reports = report_zones(
            self._view,
            sorted(held.catalogue.zones),
            held.number,
            now,
        )
        return {zone: report._asdict() for zone, report in reports.items()}

    def _begin_shutdown(self, server: Any) -> None:
        if self._stopping.is_set():
            return
        events.log(events.ENTRY_LEAVING)
        self._stopping.set()
        self._membership.tell(Leave())
        bounds = self._settings.bounds
        stop_after(server, bounds.linger_seconds, bounds.idle_seconds)

    def _complete_shutdown(self, server: Any) -> None:
        server.task_dispatcher.shutdown(cancel_pending=False)
        for ticker in self._tickers:
            ticker.join(_JOIN_TIMEOUT_SECONDS)
        self._parts.keeper.settle()
        self._membership.stop()
        self._spread.stop()
        self._exchange.stop()
