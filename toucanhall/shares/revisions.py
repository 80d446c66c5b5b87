"""Tracks which revisions of the limits may still be in use in a zone."""

from collections.abc import Mapping
from typing import NamedTuple

from toucanhall.catalogue import Catalogue
from toucanhall.shares.fence import WAIT_SECONDS

__all__ = ('Confirmed', 'list_pending', 'record_confirmed')


class Confirmed(NamedTuple):
    """The revision that each zone confirmed.

    A zone confirms a revision without waiting for a paused VM. `settled` holds
    the revisions confirmed so long ago that such a VM must be confirmed again.
    """

    settled: Mapping[str, int] = {}
    waiting: tuple[tuple[float, Mapping[str, int]], ...] = ()


def record_confirmed(
    confirmed: Confirmed,
    reported: Mapping[str, int],
    now: float,
) -> Confirmed:
    """Return the confirmed revisions after the zones reported theirs."""
    known = confirmed.waiting[-1][1] if confirmed.waiting else confirmed.settled
    waiting = confirmed.waiting
    if known != reported:
        waiting = (*waiting, (now + WAIT_SECONDS, reported))
    due = [entry for until, entry in waiting if until <= now]
    return Confirmed(
        due[-1] if due else confirmed.settled,
        tuple(entry for entry in waiting if entry[0] > now),
    )


def list_pending(
    known: Mapping[int, Catalogue],
    confirmed: Mapping[str, int],
) -> tuple[int, ...]:
    """Return the revisions that may still be in use, the oldest first.

    The result is empty if one of them is not known here; then nothing may be
    spent.
    """
    zones = {zone for catalogue in known.values() for zone in catalogue.zones}
    oldest = min((confirmed.get(zone, 0) for zone in zones), default=0)
    pending = range(max(1, oldest), max(known, default=0) + 1)
    return tuple(pending) if known.keys() >= set(pending) else ()
