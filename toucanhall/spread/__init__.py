"""Distributes catalogue revisions between the store and the VMs."""

from toucanhall.spread.accepting import Accepting, Change
from toucanhall.spread.actor import Spread
from toucanhall.spread.messages import (
    Delta,
    Offer,
    RevisionAnswer,
    RevisionQuery,
)
from toucanhall.spread.monitor import FreshnessMonitor
from toucanhall.spread.watcher import Watcher

__all__ = (
    'Accepting',
    'RevisionQuery',
    'Change',
    'FreshnessMonitor',
    'Delta',
    'Offer',
    'Spread',
    'RevisionAnswer',
    'Watcher',
)
