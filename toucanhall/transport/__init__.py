"""Authenticated messages between entry VMs."""

from toucanhall.transport.exchange import Exchange
from toucanhall.transport.frames import Envelope, FrameError, seal, unseal

__all__ = ('Envelope', 'Exchange', 'FrameError', 'seal', 'unseal')
