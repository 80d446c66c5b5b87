"""Draws the faults of a run from its seed."""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from standins.soak.links import LINK_FAULT_MODES

__all__ = ('Fault', 'FaultSubjects', 'draw_faults')

_MAX_FAULT_SECONDS: Final = 5.0  # longer than every timeout of a VM
_MIN_FAULT_SECONDS: Final = 0.3
_MEAN_GAP_SECONDS: Final = 0.8  # between the starts of two faults
_SERIES_FRACTION: Final = 0.25  # of draws inject their fault three times
_TARGET_FAULT_MODES: Final = (
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
# Limits that targets name, in requests a second.
_LIMITS: Final = ('0', '0.5', '1', '2.5', '6')
_MEAN_LIMIT_GAP_SECONDS: Final = 4.0  # between the starts of two limits
# A limit binds some seconds after it was first named only.
_MIN_LIMIT_SECONDS: Final = 4.0
_MAX_LIMIT_SECONDS: Final = 12.0
# The store comes back from copies of this age, at the mean so often.
_MEAN_RESTORE_GAP_SECONDS: Final = 6.0
_MAX_COPY_AGE_SECONDS: Final = 3.0
_MEAN_SECOND_ENTRY_GAP_SECONDS: Final = 3.0
_STORE_FAULT_MODES: Final = ('503', '429', 'silent', 'lost')
_CHANGE_FAULTS: Final = ('routes', 'withdraw', 'evacuate', 'drain', 'compact')
_VM_FAULTS: Final = ('kill', 'pause', 'terminate', 'reload')


class Fault(NamedTuple):
    """A fault; `start_seconds` counts from the start of the run."""

    start_seconds: float
    kind: str
    subject: str
    mode: str
    seconds: float


class FaultSubjects(NamedTuple):
    """The names of the parts that faults may be injected into."""

    vms: Sequence[str]
    targets: Sequence[str]
    zones: Sequence[str]


def draw_faults(
    seed: int, seconds: float, subjects: FaultSubjects
) -> list[Fault]:
    """Return the faults of a run, ordered by start; they may overlap."""
    rng = random.Random(seed)
    kinds: dict[str, tuple[Sequence[str], Sequence[str]]] = {
        'vm': (subjects.vms, _VM_FAULTS),
        'target': (subjects.targets, _TARGET_FAULT_MODES),
        'store': (('store',), _STORE_FAULT_MODES),
        'target link': (subjects.targets, LINK_FAULT_MODES),
        'store link': (subjects.vms, LINK_FAULT_MODES),
        'change': (subjects.zones, _CHANGE_FAULTS),
    }
    faults = []
    start_seconds = 1.0
    while start_seconds < seconds:
        kind = rng.choice(sorted(kinds))
        names, modes = kinds[kind]
        subject, mode = rng.choice(names), rng.choice(modes)
        for _repetition in range(1 + 2 * (rng.random() < _SERIES_FRACTION)):
            fault_seconds = rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS)
            faults.append(
                Fault(
                    round(start_seconds, 3), kind, subject, mode, fault_seconds
                )
            )
            start_seconds += rng.expovariate(1 / _MEAN_GAP_SECONDS)
    limits = _draw_limits(random.Random(f'{seed} limits'), seconds, subjects)
    faults += limits
    faults += _draw_restores(random.Random(f'{seed} restores'), seconds)
    faults += _draw_second_entries(
        random.Random(f'{seed} second entries'),
        seconds,
        sorted(set(subjects.targets) - {limit.subject for limit in limits}),
    )
    return sorted(fault for fault in faults if fault.start_seconds < seconds)


def _draw_limits(
    rng: random.Random, seconds: float, subjects: FaultSubjects
) -> list[Fault]:
    """Return the limits that targets name.

    They are drawn apart, so that the other faults of a seed stay the same.
    """
    faults = []
    start_seconds = rng.uniform(0, _MEAN_LIMIT_GAP_SECONDS)
    while start_seconds < seconds:
        faults.append(
            Fault(
                round(start_seconds, 3),
                'target limit',
                rng.choice(subjects.targets),
                rng.choice(_LIMITS),
                rng.uniform(_MIN_LIMIT_SECONDS, _MAX_LIMIT_SECONDS),
            )
        )
        start_seconds += rng.expovariate(1 / _MEAN_LIMIT_GAP_SECONDS)
    return faults


def _draw_second_entries(
    rng: random.Random, seconds: float, targets: Sequence[str]
) -> list[Fault]:
    """Return when targets are listed under an earlier id as well.

    They are drawn apart, as limits are, and for targets without a limit: one
    that has started again names none of before.
    """
    faults = []
    start_seconds = rng.uniform(0, _MEAN_SECOND_ENTRY_GAP_SECONDS)
    while targets and start_seconds < seconds:
        faults.append(
            Fault(
                round(start_seconds, 3),
                'second entry',
                rng.choice(targets),
                'refusals_twice',
                rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS),
            )
        )
        start_seconds += rng.expovariate(1 / _MEAN_SECOND_ENTRY_GAP_SECONDS)
    return faults


def _draw_restores(rng: random.Random, seconds: float) -> list[Fault]:
    """Return the copies that the store comes back from; each is an era.

    They are drawn apart, as limits are, and do not overlap.
    """
    faults = []
    start_seconds = rng.expovariate(1 / _MEAN_RESTORE_GAP_SECONDS)
    while start_seconds < seconds:
        age_seconds = rng.uniform(_MIN_FAULT_SECONDS, _MAX_COPY_AGE_SECONDS)
        faults.append(
            Fault(round(start_seconds, 3), 'restore', 'store', '', age_seconds)
        )
        start_seconds += age_seconds + rng.expovariate(
            1 / _MEAN_RESTORE_GAP_SECONDS
        )
    return faults
