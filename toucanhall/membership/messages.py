"""Messages that VMs exchange about membership."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ('Heartbeat', 'Row')


class Row(NamedTuple):
    """The latest state that a VM knows of another one."""

    vm: str
    start: str
    sequence: int
    revision: int
    leaving: bool


class Heartbeat(NamedTuple):
    """Reports that a VM is alive, its address, revision and known peers.

    `sequence` increases with each heartbeat, also across restarts.
    `confirmed` maps a zone to the catalogue revision that all of its VMs have
    in force. `rows` hold the state of other VMs.
    """

    zone: str
    address: str
    sequence: int
    leaving: bool
    revision: int
    confirmed: Mapping[str, int]
    rows: tuple[Row, ...] = ()
