"""Client of the platform: object store, watches and list of VMs."""

from toucanhall.objectstore.client import Client, connect
from toucanhall.objectstore.errors import Ambiguous, Conflict, Unavailable
from toucanhall.objectstore.model import Listed, Stored

__all__ = (
    'Ambiguous',
    'Client',
    'Conflict',
    'Listed',
    'Stored',
    'Unavailable',
    'connect',
)
