"""Fleet-wide limits, divided into shares that never sum to more."""

from toucanhall.shares.ledger import Ledger
from toucanhall.shares.slots import Holding, Table

__all__ = ('Holding', 'Ledger', 'Table')
