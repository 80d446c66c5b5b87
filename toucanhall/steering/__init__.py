"""Where a caller goes, and which zone and target serve a request."""

from toucanhall.steering.advice import Advice, AdvisedVm, advise
from toucanhall.steering.choice import Choice, Hop, Terrain, rank
from toucanhall.steering.loads import Loads

__all__ = (
    'Advice',
    'AdvisedVm',
    'Choice',
    'Hop',
    'Loads',
    'Terrain',
    'advise',
    'rank',
)
