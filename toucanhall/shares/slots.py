"""The slot table of a zone: which VM holds which part of every limit."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ('Holding', 'Table', 'claim', 'count_slots')


class Holding(NamedTuple):
    """A slot is held by one start of a VM."""

    vm: str
    start: str


class Table(NamedTuple):
    """The holder of each slot; a slot that is missing is free."""

    holdings: Mapping[int, Holding]


def count_slots(table: Table, holder: Holding) -> int:
    """Return how many slots a holder has."""
    return sum(held == holder for held in table.holdings.values())


def claim(
    table: Table,
    holder: Holding,
    live_vms: frozenset[str],
    size: int,
) -> Table:
    """Return the table after a holder took what it may have.

    It takes slots that are free, held by an earlier start of the same VM, or
    held by a VM that is not live, up to an even part of `size` slots, and
    gives back what it holds beyond that part.
    """
    even = -(-size // max(1, len(live_vms | {holder.vm})))
    holdings = {
        slot: held
        for slot, held in table.holdings.items()
        if slot < size and held != holder and _keeps(held, holder, live_vms)
    }
    own = [slot for slot, held in table.holdings.items() if held == holder]
    free = [slot for slot in range(size) if slot not in holdings]
    wanted = sorted(free, key=lambda slot: (slot not in own, slot))
    holdings.update(dict.fromkeys(wanted[:even], holder))
    return Table(holdings)


def _keeps(held: Holding, holder: Holding, live_vms: frozenset[str]) -> bool:
    return held.vm != holder.vm and held.vm in live_vms
