"""Messages between the slot holders of a zone."""

from typing import NamedTuple

from toucanhall.shares.slots import Table

__all__ = ('GiftRequest', 'Gift', 'Acknowledgement', 'Probe')


class Probe(NamedTuple):
    """Asks a peer whether it knows a table newer than `number`.

    `asked_at` is on the clock of the asking process. The table is included
    unless the peer is known to have it.
    """

    asked_at: float
    number: int
    table: Table | None


class Acknowledgement(NamedTuple):
    """Answers a probe.

    `start`, `asked_at` and `asked` repeat the start, time and table number of
    the probe. The table is included if it is newer than that number.
    """

    start: str
    asked_at: float
    asked: int
    number: int
    revision: int
    table: Table | None


class GiftRequest(NamedTuple):
    """Asks a peer for unused tokens of a team."""

    team: str
    tokens: float
    asked_at: float


class Gift(NamedTuple):
    """Tokens that the giver debited, and the request that they answer."""

    start: str
    team: str
    tokens: float
    asked_at: float
