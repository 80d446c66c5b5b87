"""Decides when a connection is taken for silent and is replaced.

A connection can go silent one way only: heartbeats of the peer still arrive,
while nothing sent to it does. Questions without an answer tell.
"""

from collections.abc import Mapping
from typing import Final

__all__ = ('SILENT_SECONDS', 'note_answered', 'note_asked')

SILENT_SECONDS: Final = 4.0


def note_asked(
    unanswered: Mapping[str, float],
    address: str,
    now: float,
) -> tuple[Mapping[str, float], bool]:
    """Return since when each address owes an answer, and whether to redial."""
    since = unanswered.get(address)
    if since is None:
        return {**unanswered, address: now}, False
    if now - since < SILENT_SECONDS:
        return unanswered, False
    return {**unanswered, address: now}, True


def note_answered(
    unanswered: Mapping[str, float],
    address: str,
) -> Mapping[str, float]:
    """Return the state after an answer from an address."""
    return {
        other: since for other, since in unanswered.items() if other != address
    }
