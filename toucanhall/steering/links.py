"""The bytes that this VM may draw over the link to another region."""

from typing import Final, NamedTuple

from toucanhall.catalogue import Catalogue

__all__ = ('Meter', 'is_open', 'read_part', 'resize', 'spend', 'wait_for')

_BITS_PER_BYTE: Final = 8
_MEGA: Final = 1_000_000
_BURST_SECONDS: Final = 0.05


class Meter(NamedTuple):
    """A token bucket of bytes; it starts empty and may be overdrawn once."""

    stock: float = 0.0
    updated_at: float = 0.0
    per_second: float = 0.0


def read_part(
    catalogue: Catalogue,
    zone: str,
    region: str,
    held_share: float,
) -> float:
    """Return this VM's part of a link in bytes/s.

    A region's end of the link is divided evenly over the region's zones, and a
    zone's part over its VMs by the zone slots that they hold.
    """
    own_region = catalogue.zones[zone].region
    peers = sum(
        entry.region == own_region for entry in catalogue.zones.values()
    )
    capacity = sum(
        link.capacity_mbit_per_second
        for link in catalogue.links
        if {own_region, region} == set(link.regions)
    )
    return capacity * _MEGA / _BITS_PER_BYTE / peers * held_share


def resize(meter: Meter, per_second: float, now: float) -> Meter:
    """Return the meter with another rate; its stock only shrinks."""
    filled = _refill(meter, now)
    stock = min(filled.stock, per_second * _BURST_SECONDS)
    return Meter(stock, now, per_second)


def is_open(meter: Meter, now: float) -> bool:
    """Return whether a new transfer may start."""
    return _refill(meter, now).stock > 0


def spend(meter: Meter, count: float, now: float) -> Meter:
    """Return the meter after some bytes were drawn."""
    filled = _refill(meter, now)
    return filled._replace(stock=filled.stock - count)


def wait_for(meter: Meter) -> float:
    """Return the seconds until the next bytes may be drawn."""
    if meter.stock >= 0 or not meter.per_second:
        return 0.0
    return -meter.stock / meter.per_second


def _refill(meter: Meter, now: float) -> Meter:
    elapsed = max(0.0, now - meter.updated_at)
    stock = min(
        meter.per_second * _BURST_SECONDS,
        meter.stock + elapsed * meter.per_second,
    )
    return meter._replace(stock=stock, updated_at=now)
