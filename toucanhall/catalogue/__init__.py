"""The catalogue of routes, teams, keys, limits and drains, and revisions."""

from toucanhall.catalogue.holder import Holder, Verdict
from toucanhall.catalogue.model import (
    Catalogue,
    Drains,
    Key,
    Revision,
    Route,
    Target,
    Team,
    Zone,
)
from toucanhall.catalogue.reading import read, read_text

__all__ = (
    'Catalogue',
    'Drains',
    'Holder',
    'Key',
    'Revision',
    'Route',
    'Target',
    'Team',
    'Verdict',
    'Zone',
    'read',
    'read_text',
)
