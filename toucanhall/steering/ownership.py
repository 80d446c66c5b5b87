"""Divides the slots of targets among the VMs of a zone."""

import math
from collections.abc import Mapping
from typing import Final

from toucanhall.catalogue import Catalogue, Target

__all__ = ('divide', 'note_gains', 'select_settled', 'select_targets')


_GOLDEN_FRACTION: Final = 0.618
_SETTLE_SECONDS: Final = 3.0


def select_targets(
    catalogue: Catalogue,
    zone: str,
) -> Mapping[str, tuple[Target, ...]]:
    """Return the targets of a zone by service, sorted by name."""
    selected: dict[str, tuple[Target, ...]] = {}
    for name in sorted(catalogue.targets):
        target = catalogue.targets[name]
        if target.zone == zone:
            known = selected.get(target.service, ())
            selected[target.service] = (*known, target)
    return selected


def divide(
    targets: tuple[Target, ...],
    held: frozenset[int],
    size: int,
) -> Mapping[str, int]:
    """Return how many slots of each target the holder of zone slots owns.

    The slots of all targets are numbered consecutively, and number k belongs
    to the holder of zone slot `k * stride % size`. The stride maps
    consecutive numbers to distant zone slots, so that a service with few slots
    is spread over several holders. Holders without a common zone slot own no
    common target slot.
    """
    owned: dict[str, int] = {}
    first = 0
    stride = _compute_stride(size)
    for target in targets:
        numbers = range(first, first + target.slots)
        owned[target.name] = sum(
            (number * stride) % size in held for number in numbers
        )
        first += target.slots
    return owned


def _compute_stride(size: int) -> int:
    stride = max(1, round(size * _GOLDEN_FRACTION))
    while math.gcd(stride, size) > 1:
        stride += 1
    return stride


def note_gains(
    gained: Mapping[int, float],
    held: frozenset[int],
    now: float,
) -> Mapping[int, float]:
    """Return the time from which each zone slot has been held."""
    return {slot: gained.get(slot, now) for slot in held}


def select_settled(gained: Mapping[int, float], now: float) -> frozenset[int]:
    """Return the zone slots that their previous holder no longer uses.

    The previous holder notices the loss of a slot when it next reads the table,
    and then needs time to finish the requests in flight.
    """
    return frozenset(
        slot for slot, since in gained.items() if now - since >= _SETTLE_SECONDS
    )
