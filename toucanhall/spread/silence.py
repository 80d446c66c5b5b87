"""Detects silent connections, which are then replaced.

A connection can fail in one direction only: heartbeats of the peer are still
received, while nothing sent to it arrives. Unanswered queries show this.
"""

from collections.abc import Mapping
from typing import Final

__all__ = ('SILENT_AFTER_SECONDS', 'record_answer', 'record_query')

SILENT_AFTER_SECONDS: Final = 4.0


def record_query(
    unanswered: Mapping[str, float],
    address: str,
    now: float,
) -> tuple[Mapping[str, float], bool]:
    """Return since when each address has not answered; whether to redial."""
    since = unanswered.get(address)
    if since is None:
        return {**unanswered, address: now}, False
    if now - since < SILENT_AFTER_SECONDS:
        return unanswered, False
    return {**unanswered, address: now}, True


def record_answer(
    unanswered: Mapping[str, float],
    address: str,
) -> Mapping[str, float]:
    """Return the state after an answer from an address."""
    return {
        other: since for other, since in unanswered.items() if other != address
    }
