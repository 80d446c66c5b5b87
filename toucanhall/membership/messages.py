"""Messages of membership."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ('Heartbeat', 'Row')


class Row(NamedTuple):
    """What a VM has heard of another one."""

    vm: str
    start: str
    sequence: int
    revision: int
    leaving: bool


class Heartbeat(NamedTuple):
    """A VM is alive: where it is, what it holds, and what zones confirmed.

    `sequence` grows with each heartbeat, and from a start to the next one.
    `confirmed` maps a zone to the catalogue revision that all of its VMs have
    in force. `rows` tell of other VMs.
    """

    zone: str
    address: str
    sequence: int
    leaving: bool
    revision: int
    confirmed: Mapping[str, int]
    rows: tuple[Row, ...] = ()
