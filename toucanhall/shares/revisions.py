"""Which revisions of the limits some zone may still run."""

from collections.abc import Mapping
from typing import NamedTuple

from toucanhall.catalogue import Catalogue
from toucanhall.shares.fence import WAIT_SECONDS

__all__ = ('Confirmed', 'list_pending', 'record_confirmed')


class Confirmed(NamedTuple):
    """The revision that each zone confirmed.

    A VM that was paused does not delay what its zone confirms. `settled` holds
    what was confirmed so long ago that such a VM has to be confirmed anew.
    """

    settled: Mapping[str, int] = {}
    waiting: tuple[tuple[float, Mapping[str, int]], ...] = ()


def record_confirmed(
    confirmed: Confirmed,
    reported: Mapping[str, int],
    now: float,
) -> Confirmed:
    """Return what is confirmed after it was heard from the zones."""
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
    """Return the revisions that some zone may still run, the oldest first.

    None are returned when an older revision may run that is not known here;
    nothing may be spent then.
    """
    zones = {zone for catalogue in known.values() for zone in catalogue.zones}
    oldest = min((confirmed.get(zone, 0) for zone in zones), default=0)
    pending = range(max(1, oldest), max(known, default=0) + 1)
    return tuple(pending) if known.keys() >= set(pending) else ()
