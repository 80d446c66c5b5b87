"""Draws the faults of a run from its seed."""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from standins.soak.links import LINK_FAULT_MODES

__all__ = ('Fault', 'FaultSubjects', 'draw_faults')

_MOST_SECONDS: Final = 5.0  # longer than any time after which a VM gives up
_LEAST_SECONDS: Final = 0.3
_GAP_SECONDS: Final = 0.8  # mean time between the starts of two faults
_SERIES: Final = 0.25  # share of faults that strike again at once
_TARGET_MODES: Final = (
    'shed',
    'fail',
    'stray',
    'twice',
    'cut',
    'lost',
    'silent',
    'unframed',
    'leaving',
    'busy',
    'limit',
    'odd',
)
_STORE_MODES: Final = ('503', '429', 'silent', 'lost')
_CHANGES: Final = ('routes', 'withdraw', 'evacuate', 'drain', 'compact')
_STOPS: Final = ('kill', 'pause', 'terminate', 'reload')


class Fault(NamedTuple):
    """What happens to whom, and for how long; seconds from the start."""

    start_seconds: float
    kind: str
    subject: str
    mode: str
    seconds: float


class FaultSubjects(NamedTuple):
    """The names of what may be struck."""

    vms: Sequence[str]
    targets: Sequence[str]
    zones: Sequence[str]


def draw_faults(
    seed: int, seconds: float, subjects: FaultSubjects
) -> list[Fault]:
    """Return the faults of a run, by time; they overlap and repeat."""
    chance = random.Random(seed)
    kinds: dict[str, tuple[Sequence[str], Sequence[str]]] = {
        'vm': (subjects.vms, _STOPS),
        'target': (subjects.targets, _TARGET_MODES),
        'store': (('store',), _STORE_MODES),
        'target link': (subjects.targets, LINK_FAULT_MODES),
        'store link': (subjects.vms, LINK_FAULT_MODES),
        'change': (subjects.zones, _CHANGES),
    }
    faults = []
    at = 1.0
    while at < seconds:
        kind = chance.choice(sorted(kinds))
        names, hows = kinds[kind]
        subject, how = chance.choice(names), chance.choice(hows)
        for _again in range(1 + 2 * (chance.random() < _SERIES)):
            lasting = chance.uniform(_LEAST_SECONDS, _MOST_SECONDS)
            faults.append(Fault(round(at, 3), kind, subject, how, lasting))
            at += chance.expovariate(1 / _GAP_SECONDS)
    return [fault for fault in faults if fault.start_seconds < seconds]
