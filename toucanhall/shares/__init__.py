"""Divides fleet-wide limits into shares that never exceed them in sum."""

from toucanhall.shares.ledger import Ledger
from toucanhall.shares.slots import Holding, Table

__all__ = ('Holding', 'Ledger', 'Table')
