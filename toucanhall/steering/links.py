"""Limits the bytes that this VM receives over a link between regions."""

from typing import Final, NamedTuple

from toucanhall.catalogue import Catalogue

__all__ = (
    'Meter',
    'is_open',
    'compute_link_share',
    'resize',
    'spend',
    'wait_for',
)

_BITS_PER_BYTE: Final = 8
_BITS_PER_MBIT: Final = 1_000_000
_BURST_SECONDS: Final = 0.05


class Meter(NamedTuple):
    """A token bucket of bytes; it starts empty and may go below zero."""

    available_bytes: float = 0.0
    updated_at: float = 0.0
    bytes_per_second: float = 0.0


def compute_link_share(
    catalogue: Catalogue,
    zone: str,
    region: str,
    held_share: float,
) -> float:
    """Return this VM's share of a link in bytes/s.

    The capacity of a link is divided evenly over the zones of each region, and
    the share of a zone over its VMs by the zone slots that they hold.
    """
    own_region = catalogue.zones[zone].region
    zone_count = sum(
        entry.region == own_region for entry in catalogue.zones.values()
    )
    capacity = sum(
        link.capacity_mbit_per_second
        for link in catalogue.links
        if {own_region, region} == set(link.regions)
    )
    return capacity * _BITS_PER_MBIT / _BITS_PER_BYTE / zone_count * held_share


def resize(meter: Meter, bytes_per_second: float, now: float) -> Meter:
    """Return the meter with another rate; this never adds bytes."""
    filled = _refill(meter, now)
    available_bytes = min(
        filled.available_bytes, bytes_per_second * _BURST_SECONDS
    )
    return Meter(available_bytes, now, bytes_per_second)


def is_open(meter: Meter, now: float) -> bool:
    """Return whether a new transfer may start."""
    return _refill(meter, now).available_bytes > 0


def spend(meter: Meter, byte_count: float, now: float) -> Meter:
    """Return the meter after some bytes were transferred."""
    filled = _refill(meter, now)
    return filled._replace(available_bytes=filled.available_bytes - byte_count)


def wait_for(meter: Meter) -> float:
    """Return the seconds until more bytes may be transferred."""
    if meter.available_bytes >= 0 or not meter.bytes_per_second:
        return 0.0
    return -meter.available_bytes / meter.bytes_per_second


def _refill(meter: Meter, now: float) -> Meter:
    elapsed = max(0.0, now - meter.updated_at)
    available_bytes = min(
        meter.bytes_per_second * _BURST_SECONDS,
        meter.available_bytes + elapsed * meter.bytes_per_second,
    )
    return meter._replace(available_bytes=available_bytes, updated_at=now)
