"""Decides whether a VM may rely on the revision that it holds.

`as_of` is the latest time, on the clock of this process, at which the store is
known to have held no newer revision. It is derived from the time at which this
VM sent a query, so an answer that was buffered during a pause is no evidence
for the time of the pause.
"""

from typing import Final, NamedTuple

__all__ = (
    'FRESH_SECONDS',
    'Freshness',
    'MIN_PAUSE_SECONDS',
    'SETTLE_SECONDS',
    'REQUIRED_SOURCES_COUNT',
    'MAX_TICK_GAP_SECONDS',
    'STORE',
    'begin',
    'is_settled',
    'record_evidence',
    'may_serve',
    'tick',
)

STORE: Final = 'store'  # source name of the store; other sources are VMs
MAX_TICK_GAP_SECONDS: Final = 1.0
MIN_PAUSE_SECONDS: Final = 3.0
FRESH_SECONDS: Final = 5.0
SETTLE_SECONDS: Final = 4.0
REQUIRED_SOURCES_COUNT: Final = 2


class Freshness(NamedTuple):
    """What a VM knows of the age of its revision.

    After a start or a pause it is not settled until `required_sources` sources
    gave fresh evidence. One is not enough where there are more, as the store
    may have been restored to an older revision. `running_seconds` is the time
    that the VM ran without a gap since its newest evidence: at SETTLE_SECONDS
    the VM or the store counts as cut off, and the VM continues with the
    revision that it holds. `unsettled_seconds` is the time that it ran without
    being settled, whatever it received: when all VMs start at once, none of
    them can be a source for the others.
    """

    ticked_at: float
    settled: bool = False
    as_of: float | None = None
    running_seconds: float = 0.0
    sources: frozenset[str] = frozenset()
    required_sources: int = REQUIRED_SOURCES_COUNT
    unsettled_seconds: float = 0.0


def begin(now: float) -> Freshness:
    """Return the state of a VM that has just started."""
    return Freshness(now)


def tick(state: Freshness, now: float, peers: int | None) -> Freshness:
    """Return the state after a regular call, which detects a pause.

    `peers` is the number of other VMs, or None before they are known.
    """
    gap_seconds = now - state.ticked_at
    state = state._replace(ticked_at=now)
    if peers is not None:
        state = state._replace(
            required_sources=min(REQUIRED_SOURCES_COUNT, 1 + peers)
        )
    if gap_seconds > MIN_PAUSE_SECONDS:
        return begin(now)._replace(
            as_of=state.as_of, required_sources=state.required_sources
        )
    if gap_seconds <= MAX_TICK_GAP_SECONDS:
        unsettled_seconds = (
            0.0 if state.settled else state.unsettled_seconds + gap_seconds
        )
        running_seconds = min(
            state.running_seconds + gap_seconds, SETTLE_SECONDS
        )
        state = state._replace(
            running_seconds=running_seconds, unsettled_seconds=unsettled_seconds
        )
    return _settle(state)


def record_evidence(
    state: Freshness,
    as_of: float,
    source: str,
    now: float,
) -> Freshness:
    """Return the state after evidence from the store or a VM.

    `as_of` is the time for which it holds.
    """
    newest = as_of if state.as_of is None else max(as_of, state.as_of)
    updated = state._replace(as_of=newest)
    # Old evidence that peers keep relaying does not restart the count.
    running_seconds = min(state.running_seconds, max(0.0, now - as_of))
    if now - state.ticked_at > MIN_PAUSE_SECONDS or now - as_of > FRESH_SECONDS:
        return updated
    if state.settled:
        return updated._replace(running_seconds=running_seconds)
    return _settle(
        updated._replace(
            running_seconds=running_seconds, sources=state.sources | {source}
        ),
    )


def is_settled(state: Freshness, now: float) -> bool:
    """Return whether the VM compared its revision, or is known to be cut off.

    Neither holds for a VM that is paused briefly again and again.
    """
    if not state.settled or now - state.ticked_at > MIN_PAUSE_SECONDS:
        return False
    if state.running_seconds >= SETTLE_SECONDS:
        return True
    return state.as_of is not None and now - state.as_of <= FRESH_SECONDS


def may_serve(state: Freshness, now: float, hold_seconds: float) -> bool:
    """Return whether keys of the held revision may still be relied on."""
    if state.as_of is None or not is_settled(state, now):
        return False
    return now - state.as_of <= hold_seconds


def _settle(state: Freshness) -> Freshness:
    is_enough = len(state.sources) >= state.required_sources
    if is_enough or state.unsettled_seconds >= SETTLE_SECONDS:
        return state._replace(
            settled=True, unsettled_seconds=0.0, sources=frozenset()
        )
    return state
