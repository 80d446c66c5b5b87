"""The slot table of a zone: which VM holds which share of every limit."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ('Holding', 'Table', 'claim', 'find_slots', 'make_next')


class Holding(NamedTuple):
    """The holder of a slot: one start of a VM."""

    vm: str
    start: str


class Table(NamedTuple):
    """The holder of each slot; a slot that is missing is free.

    `number` increases by one with each write. `previous` are the holders in the
    preceding table: a majority of them must know this table before it is
    replaced, or before a slot that it takes from a holder is used.
    """

    holdings: Mapping[int, Holding]
    number: int = 0
    previous: tuple[Holding, ...] = ()

    def list_holders(self) -> tuple[Holding, ...]:
        """Return the distinct holders, sorted."""
        return tuple(sorted(set(self.holdings.values())))


def find_slots(table: Table, holder: Holding) -> frozenset[int]:
    """Return the slots of a holder."""
    return frozenset(
        slot for slot, held in table.holdings.items() if held == holder
    )


def claim(
    table: Table,
    holder: Holding,
    live_vms: frozenset[str],
    size: int,
) -> Table:
    """Return the table after a holder claimed its share of the slots.

    It takes slots that are free, held by an earlier start of the same VM, or
    held by a VM that is not live, up to an even share of `size` slots, and
    releases the slots that it holds beyond that share.
    """
    max_slots = -(-size // max(1, len(live_vms | {holder.vm})))
    holdings = {
        slot: held
        for slot, held in table.holdings.items()
        if slot < size
        and held != holder
        and _is_still_held(held, holder, live_vms)
    }
    own = find_slots(table, holder)
    free = [slot for slot in range(size) if slot not in holdings]
    wanted = sorted(free, key=lambda slot: (slot not in own, slot))
    holdings.update(dict.fromkeys(wanted[:max_slots], holder))
    others = {
        slot: held
        for slot, held in table.holdings.items()
        if held != holder and slot not in holdings
    }
    return make_next(table, holdings | others)


def make_next(table: Table, holdings: Mapping[int, Holding]) -> Table:
    """Return the next table, or the given one if the holdings are equal."""
    if holdings == table.holdings:
        return table
    return Table(holdings, table.number + 1, table.list_holders())


def _is_still_held(
    held: Holding, holder: Holding, live_vms: frozenset[str]
) -> bool:
    return held.vm != holder.vm and held.vm in live_vms
