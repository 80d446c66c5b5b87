"""Which VMs a client should use."""

from collections.abc import Sequence
from typing import Final, NamedTuple

__all__ = ('Choice', 'pick_vms')

_MOST_VMS: Final = 64


class Choice(NamedTuple):
    """A VM that takes requests."""

    vm: str
    zone: str
    region: str
    ip: str


def pick_vms(
    vms: Sequence[Choice],
    zone: str,
    region: str,
    homes: frozenset[str],
) -> list[Choice]:
    """Return the nearest VMs: of the zone, else of the region, else any.

    Far ones in a home region of the host go before other far ones.
    """
    rings = (
        [found for found in vms if found.zone == zone],
        [found for found in vms if found.region == region],
        [found for found in vms if found.region in homes],
        list(vms),
    )
    return next((ring[:_MOST_VMS] for ring in rings if ring), [])
