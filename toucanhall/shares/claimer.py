"""Claims slots for this VM in its zone's table and resizes the ledger."""

import threading
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import msgspec
from returns.result import Success

from toucanhall import events, runtime
from toucanhall.catalogue import Catalogue, Revision
from toucanhall.objectstore import Client, Stored
from toucanhall.shares.bucket import LOAN_SECONDS
from toucanhall.shares.fence import (
    CONFIRM_SECONDS,
    Fence,
    adopt,
    answer_probe,
    find_usable,
    get_confirmed_until,
    hear_known,
    list_waiting,
    make_probe,
    plan,
    record_read,
)
from toucanhall.shares.ledger import Ledger
from toucanhall.shares.messages import Acknowledgement, Probe
from toucanhall.shares.parts import compute_min_limit, list_slots
from toucanhall.shares.revisions import (
    Confirmed,
    list_pending,
    record_confirmed,
)
from toucanhall.shares.slots import Holding, Table, find_slots
from toucanhall.transport import Envelope

__all__ = ('Claimer', 'Place', 'Surroundings')

_MAX_CLAIM_ATTEMPTS: Final = 4
_READ_INTERVAL_SECONDS: Final = 10.0  # while a majority confirms
_RESIZE_INTERVAL_SECONDS: Final = 0.5
# A read is due when less than this remains of a confirmation.
_READ_AHEAD_SECONDS: Final = CONFIRM_SECONDS / 2
_CONFIRM_EVENTS: Final = {
    True: events.SHARE_CONFIRMED,
    False: events.SHARE_UNCONFIRMED,
}


class Place(NamedTuple):
    """The holder's zone and identity."""

    zone: str
    holder: Holding


class Surroundings(NamedTuple):
    """Addresses of the zone's other VMs, live VMs, confirmed revisions."""

    peers: Mapping[str, str]
    live_vms: frozenset[str]
    confirmed: Mapping[str, int]


class Claimer:
    """The fence of this VM, the table in the store, and the revisions."""

    def __init__(
        self,
        *,
        place: Place,
        platform: Client,
        ledger: Ledger,
        send: Callable[[str, Any], None],
    ) -> None:
        """Create a claimer that holds no slot."""
        self._place = place
        self._platform = platform
        self._ledger = ledger
        self._send = send
        self._lock = threading.RLock()
        self._fence = Fence(place.holder)
        self._known: dict[int, Catalogue] = {}
        self._confirmed = Confirmed()
        self._released: Mapping[int, float] = {}
        self._next_read = 0.0
        self._last_sized: tuple[float, frozenset[int]] = (0, frozenset())
        self._is_confirmed = False

    def take_revision(self, revision: Revision) -> None:
        """Add a revision to those whose minimum limits apply."""
        with self._lock:
            self._known[revision.number] = revision.catalogue
        self._resize_ledger()

    def tick(self, around: Surroundings) -> None:
        """Probe the peers, and read the table if that is due."""
        with self._lock:
            self._confirmed = record_confirmed(
                self._confirmed, around.confirmed, runtime.read_clock(),
            )  # fmt: skip
            catalogue = self._known.get(max(self._known, default=0))
        if catalogue is None:
            return
        now = runtime.read_clock()
        for vm, address in around.peers.items():
            self._send(address, make_probe(self._fence, vm, now))
        size = catalogue.slots_per_zone
        if self._is_read_due(around.live_vms, size):
            any(
                self._try_claim(around.live_vms, size)
                for _ in range(_MAX_CLAIM_ATTEMPTS)
            )
        self._resize_ledger()
        is_confirmed = runtime.read_clock() < (
            get_confirmed_until(self._fence) or 0
        )
        if is_confirmed is not self._is_confirmed:
            self._is_confirmed = is_confirmed
            events.log(_CONFIRM_EVENTS[is_confirmed])

    def answer(self, envelope: Envelope, probe: Probe, address: str) -> None:
        """Answer a peer's probe."""
        with self._lock:
            fence, acknowledgement = answer_probe(
                self._fence,
                envelope.start,
                probe,
                max(self._known, default=0),
                runtime.read_clock(),
            )
            self._fence = fence
        self._send(address, acknowledgement)

    def hear(
        self, envelope: Envelope, acknowledgement: Acknowledgement
    ) -> None:
        """Apply a peer's answer to a probe."""
        with self._lock:
            # A peer with a newer revision confirms nothing for an older one.
            if acknowledgement.revision > max(self._known, default=0):
                return
            self._fence = hear_known(
                self._fence,
                Holding(envelope.vm, envelope.start),
                acknowledgement,
                runtime.read_clock(),
            )
            is_due = _is_resize_due(self._fence, self._last_sized)
        if is_due:
            self._resize_ledger()

    def list_holders(self, team: str) -> frozenset[str]:
        """Return the VMs of the zone that hold the limit of a team."""
        with self._lock:
            catalogue = self._known.get(max(self._known, default=0))
            holdings = self._fence.table.holdings
        if catalogue is None or team not in catalogue.teams:
            return frozenset()
        slots = list_slots(catalogue, self._place.zone, catalogue.teams[team])
        return frozenset(
            holdings[slot].vm for slot in slots if slot in holdings
        )

    def list_own(self) -> frozenset[int] | None:
        """Return the slots that no other VM uses, or None without a table.

        Limits also require a confirmed fence. Target slots do not, so that a VM
        that is cut off from all others continues to serve.
        """
        with self._lock:
            if not self._fence.table.holdings:
                return None
            own = find_slots(self._fence.table, self._place.holder)
            waiting = list_waiting(self._fence, runtime.read_clock())
            return own - waiting - self._released.keys()

    def read_status(self) -> Mapping[str, object]:
        """Return the slots held, those waiting, and the pending revisions."""
        with self._lock:
            now = runtime.read_clock()
            return {
                'table': self._fence.table.number,
                'usable': len(find_usable(self._fence, now)),
                'waiting': len(list_waiting(self._fence, now)),
                'confirmed': now < (get_confirmed_until(self._fence) or 0),
                'revisions': list_pending(self._known, self._confirmed.settled),
            }

    def _is_read_due(self, live_vms: frozenset[str], size: int) -> bool:
        now = runtime.read_clock()
        with self._lock:
            until = get_confirmed_until(self._fence) or 0
            planned = plan(self._fence, live_vms, size, now)
            is_changing = planned != self._fence.table
            return (
                is_changing
                or now >= self._next_read
                or until - now < _READ_AHEAD_SECONDS
            )

    def _try_claim(self, live_vms: frozenset[str], size: int) -> bool:
        name = f'slots/{self._place.zone}'
        read_at = runtime.read_clock()
        read = self._platform.read(name)
        if not isinstance(read, Success):
            return True
        stored = read.unwrap()
        with self._lock:
            now = runtime.read_clock()
            self._next_read = now + _READ_INTERVAL_SECONDS
            self._fence = record_read(self._fence, decode(stored), read_at, now)
            before = self._fence.table
            planned = plan(self._fence, live_vms, size, now)
            dropped = _find_dropped(before, planned, self._place.holder)
            self._released = _record_released(self._released, dropped, now)
            is_ready = _can_release(self._released, now)
        self._resize_ledger()
        if planned == before or not is_ready:
            return True
        return self._write(stored, before, planned)

    def _write(self, stored: Stored, before: Table, planned: Table) -> bool:
        content = msgspec.json.encode(planned)
        written = self._platform.write(stored.name, content, stored.version)
        if not isinstance(written, Success):
            return False
        with self._lock:
            free = frozenset(planned.holdings) - frozenset(before.holdings)
            self._fence = adopt(
                self._fence, planned, runtime.read_clock(), free,
            )  # fmt: skip
            slots = len(find_slots(planned, self._place.holder))
        events.log(events.SLOTS_CLAIMED, slots=slots, number=planned.number)
        return True

    def _resize_ledger(self) -> None:
        with self._lock:
            now = runtime.read_clock()
            usable = find_usable(self._fence, now)
            self._last_sized = (get_confirmed_until(self._fence) or 0, usable)
            numbers = list_pending(self._known, self._confirmed.settled)
            if numbers:
                self._known = {
                    number: self._known[number] for number in numbers
                }
            catalogues = [self._known[number] for number in numbers]
            slots = usable - self._released.keys()
            teams = catalogues[-1].teams if catalogues else {}
            limits = {
                team: compute_min_limit(
                    catalogues, self._place.zone, team, slots
                )
                for team in teams
            }
            self._ledger.resize(limits, get_confirmed_until(self._fence) or 0)


def _is_resize_due(
    fence: Fence, last_sized: tuple[float, frozenset[int]]
) -> bool:
    # A resize takes time per team, and every peer sends answers.
    until = get_confirmed_until(fence) or 0
    slots = find_usable(fence, runtime.read_clock())
    until_sized, slots_sized = last_sized
    return (
        until - until_sized > _RESIZE_INTERVAL_SECONDS or slots != slots_sized
    )


def _find_dropped(
    before: Table,
    planned: Table,
    holder: Holding,
) -> frozenset[int]:
    return find_slots(before, holder) - find_slots(planned, holder)


def _record_released(
    released: Mapping[int, float],
    dropped: frozenset[int],
    now: float,
) -> Mapping[int, float]:
    """Return the time from which each slot to release is no longer used."""
    return {slot: released.get(slot, now) for slot in dropped}


def _can_release(released: Mapping[int, float], now: float) -> bool:
    return all(now - since > LOAN_SECONDS for since in released.values())


def decode(stored: Stored) -> Table:
    """Decode the table of a stored object; without content it is empty."""
    if not stored.content:
        return Table({})
    return msgspec.json.decode(stored.content, type=Table)
