"""Messages of membership."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ('Heartbeat',)


class Heartbeat(NamedTuple):
    """A VM is alive: where it is, what it holds, and what zones confirmed.

    `sequence` grows with each heartbeat of one start. `confirmed` maps a zone
    to the catalogue revision that all of its live VMs have in force.
    """

    zone: str
    address: str
    sequence: int
    leaving: bool
    revision: int
    confirmed: Mapping[str, int]
