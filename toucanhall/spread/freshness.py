"""Decides whether a VM may rely on the revision that it holds.

`as_of` is the latest time, on the clock of this process, at which the store is
known to have held no newer revision. It comes from a question that this VM
sent at that time, so an answer that waited in a buffer during a pause proves
nothing about the time of the pause.
"""

from typing import Final, NamedTuple

__all__ = (
    'FRESH_SECONDS',
    'Freshness',
    'PAUSE_SECONDS',
    'SETTLE_SECONDS',
    'begin',
    'is_settled',
    'learn',
    'may_serve',
    'tick',
)

PAUSE_SECONDS: Final = 3.0
FRESH_SECONDS: Final = 5.0
SETTLE_SECONDS: Final = 4.0


class Freshness(NamedTuple):
    """What a VM knows of the age of its revision.

    `settling_since` is set after a start and after a pause, until the VM has
    fresh evidence or has waited long enough to take itself for cut off.
    """

    ticked_at: float
    settling_since: float | None
    as_of: float | None = None


def begin(now: float) -> Freshness:
    """Return the state of a VM that has just started."""
    return Freshness(now, now)


def tick(state: Freshness, now: float) -> Freshness:
    """Return the state after a regular call, which detects a pause."""
    since = state.settling_since
    if now - state.ticked_at > PAUSE_SECONDS:
        since = now
    elif since is not None and now - since >= SETTLE_SECONDS:
        since = None
    return _settle(state._replace(ticked_at=now, settling_since=since), now)


def learn(state: Freshness, as_of: float, now: float) -> Freshness:
    """Return the state after evidence of a time."""
    newest = as_of if state.as_of is None else max(as_of, state.as_of)
    return _settle(state._replace(as_of=newest), now)


def is_settled(state: Freshness, now: float) -> bool:
    """Return whether the VM was checked since its start or latest pause."""
    if now - state.ticked_at > PAUSE_SECONDS:
        return False
    return state.settling_since is None


def may_serve(state: Freshness, now: float, hold_seconds: float) -> bool:
    """Return whether keys of the held revision may still be relied on."""
    if state.as_of is None or not is_settled(state, now):
        return False
    return now - state.as_of <= hold_seconds


def _settle(state: Freshness, now: float) -> Freshness:
    paused = now - state.ticked_at > PAUSE_SECONDS
    if paused or state.as_of is None or now - state.as_of > FRESH_SECONDS:
        return state
    return state._replace(settling_since=None)
