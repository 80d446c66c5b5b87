"""Chooses entry VMs for callers, and zones and targets for requests."""

from toucanhall.steering.advice import Advice, AdvisedVm, advise
from toucanhall.steering.blocks import BlockIndex
from toucanhall.steering.records import Arrive, Carry, End, Origin, Refuse, Run
from toucanhall.steering.sizes import (
    EntryVm,
    OwnedSlots,
    size_links,
    size_services,
)
from toucanhall.steering.steerer import Decision, Steerer
from toucanhall.steering.targets import Outcome

__all__ = (
    'Advice',
    'AdvisedVm',
    'Arrive',
    'BlockIndex',
    'Carry',
    'Decision',
    'End',
    'EntryVm',
    'Origin',
    'Outcome',
    'Refuse',
    'Run',
    'OwnedSlots',
    'Steerer',
    'advise',
    'size_links',
    'size_services',
)
