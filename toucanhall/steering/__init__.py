"""Where a caller goes, and which zone and target serve a request."""

from toucanhall.steering.advice import Advice, AdvisedVm, advise
from toucanhall.steering.blocks import BlockIndex
from toucanhall.steering.places import Outcome
from toucanhall.steering.records import Arrive, Carry, End, Origin, Refuse, Run
from toucanhall.steering.sizes import Hop, Seat, size_links, size_services
from toucanhall.steering.steerer import Decision, Steerer

__all__ = (
    'Advice',
    'AdvisedVm',
    'Arrive',
    'BlockIndex',
    'Carry',
    'Decision',
    'End',
    'Hop',
    'Origin',
    'Outcome',
    'Refuse',
    'Run',
    'Seat',
    'Steerer',
    'advise',
    'size_links',
    'size_services',
)
