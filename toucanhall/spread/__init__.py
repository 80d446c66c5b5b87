"""Carries catalogue revisions between the store and the VMs."""

from toucanhall.spread.actor import Spread
from toucanhall.spread.messages import Offer
from toucanhall.spread.watcher import Watcher

__all__ = ('Offer', 'Spread', 'Watcher')
