"""Client of the platform: object store, watches and the list of VMs."""

from toucanhall.platform.client import Client, connect
from toucanhall.platform.errors import Ambiguous, Conflict, Unavailable
from toucanhall.platform.model import Listed, Stored

__all__ = (
    'Ambiguous',
    'Client',
    'Conflict',
    'Listed',
    'Stored',
    'Unavailable',
    'connect',
)
