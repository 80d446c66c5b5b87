"""Claims slots of the zone in the platform and sizes the ledger by them."""

from typing import Final, NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Success

from toucanhall import events
from toucanhall.catalogue import Catalogue
from toucanhall.platform import Client, Stored
from toucanhall.shares.ledger import Ledger
from toucanhall.shares.slots import Holding, Table, claim, count_slots

__all__ = ('Claimer', 'Place')

_TRIES: Final = 8


class Place(NamedTuple):
    """The holder's zone and identity."""

    zone: str
    holder: Holding


class Claimer:
    """Keeps this VM's slots in the table of its zone."""

    def __init__(
        self,
        *,
        place: Place,
        platform: Client,
        ledger: Ledger,
    ) -> None:
        """Start with no slot."""
        self._place = place
        self._platform = platform
        self._ledger = ledger
        self._slots = 0
        self.held: frozenset[int] = frozenset()
        self.gained: frozenset[int] = frozenset()

    def claim(self, catalogue: Catalogue, live_vms: frozenset[str]) -> None:
        """Bring the slot table up to date and size the ledger by it."""
        size = catalogue.slots_per_zone
        for _try in range(_TRIES):
            if self._try_claim(size, live_vms):
                break
        self.size_ledger(catalogue)

    def size_ledger(self, catalogue: Catalogue) -> None:
        """Size the ledger by the slots that are held."""
        zone = catalogue.zones.get(self._place.zone)
        fraction = zone.fraction if zone else 0.0
        part = fraction * self._slots / catalogue.slots_per_zone
        self._ledger.resize(catalogue.teams, part)

    def _try_claim(self, size: int, live_vms: frozenset[str]) -> bool:
        name = f'slots/{self._place.zone}'
        read = self._platform.read(name)
        if not isinstance(read, Success):
            return True
        stored = read.unwrap()
        table = _decode(stored)
        claimed = claim(table, self._place.holder, live_vms, size)
        if claimed != table:
            content = msgspec.json.encode(claimed)
            written = self._platform.write(name, content, stored.version)
            if not is_successful(written):
                return False
        self.held = self._select_own(claimed)
        self.gained = self.held - self._select_own(table)
        self._note(count_slots(claimed, self._place.holder))
        return True

    def _select_own(self, table: Table) -> frozenset[int]:
        return frozenset(
            slot
            for slot, holder in table.holdings.items()
            if holder == self._place.holder
        )

    def _note(self, slots: int) -> None:
        if slots != self._slots:
            self._slots = slots
            events.log(events.SLOTS_CLAIMED, slots=slots)


def _decode(stored: Stored) -> Table:
    if not stored.content:
        return Table({})
    return msgspec.json.decode(stored.content, type=Table)
