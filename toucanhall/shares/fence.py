"""Decides when a holder may use its slots, as pure functions.

A holder may use its slots only if, within the last `CONFIRM_SECONDS`, it read
its own entry in the table or a majority of the holders in its table knew no
newer table. A VM that takes a slot from a holder first ensures that a majority
of the earlier holders knows the new table, and then waits until every earlier
confirmation has expired.
"""

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

from toucanhall.shares.bucket import MAX_CLOCK_SKEW_RATIO
from toucanhall.shares.messages import Acknowledgement, Probe
from toucanhall.shares.slots import Holding, Table, claim, find_slots

__all__ = (
    'CONFIRM_SECONDS',
    'Fence',
    'adopt',
    'answer_probe',
    'find_usable',
    'get_confirmed_until',
    'hear_known',
    'list_waiting',
    'make_probe',
    'plan',
    'record_read',
)

CONFIRM_SECONDS: Final = 5.0
WAIT_SECONDS: Final = CONFIRM_SECONDS * (1 + MAX_CLOCK_SKEW_RATIO)
_NO_SLOTS: Final[frozenset[int]] = frozenset()


class PeerState(NamedTuple):
    """The start of a peer and the number of the newest table it knew."""

    start: str
    number: int


class Fence(NamedTuple):
    """What a holder knows: the table, and which peer confirmed it when.

    `waiting` maps slots that were taken from a holder to the time from which
    they may be used, or to `None` until a majority knows the table.
    """

    own: Holding
    table: Table = Table({})
    read_at: float | None = None
    votes: Mapping[Holding, float] = {}
    peer_states: Mapping[str, PeerState] = {}
    waiting: Mapping[int, float | None] = {}


def adopt(
    fence: Fence,
    table: Table,
    now: float,
    usable_at_once: frozenset[int] = _NO_SLOTS,
) -> Fence:
    """Return the fence with a newer table; an older one is ignored.

    Slots that the table gives to this holder have to wait before use, except
    those in `usable_at_once`.
    """
    if table.number <= fence.table.number:
        return fence
    gained = find_slots(table, fence.own) - find_slots(fence.table, fence.own)
    waiting: dict[int, float | None] = {
        # The newer table was written only after a majority knew this one.
        slot: now + WAIT_SECONDS if until is None else until
        for slot, until in fence.waiting.items()
        if slot in find_slots(table, fence.own)
    }
    waiting.update(dict.fromkeys(gained - usable_at_once))
    return _start_waiting(
        fence._replace(table=table, votes={}, read_at=None, waiting=waiting),
        now,
    )


def record_read(
    fence: Fence, table: Table, read_at: float, now: float
) -> Fence:
    """Return the fence after a read of the table that began at `read_at`.

    An older table, as from a restored store, confirms nothing.
    """
    newest = adopt(fence, table, now)
    if table.number < newest.table.number:
        return newest
    return newest._replace(read_at=read_at)


def make_probe(fence: Fence, vm: str, now: float) -> Probe:
    """Return the probe for a VM, with the table unless the VM knows it."""
    number = fence.table.number
    peer_state = fence.peer_states.get(vm)
    knows = peer_state is not None and peer_state.number >= number
    return Probe(now, number, None if knows else fence.table)


def answer_probe(
    fence: Fence,
    start: str,
    probe: Probe,
    revision: int,
    now: float,
) -> tuple[Fence, Acknowledgement]:
    """Return the fence after a probe, and the answer to send."""
    if probe.table is not None:
        fence = adopt(fence, probe.table, now)
    number = fence.table.number
    table = fence.table if number > probe.number else None
    answer = Acknowledgement(
        start, probe.asked_at, probe.number, number, revision, table,
    )  # fmt: skip
    return fence, answer


def hear_known(
    fence: Fence, peer: Holding, answer: Acknowledgement, now: float
) -> Fence:
    """Return the fence after a peer's answer.

    Answers to probes of an earlier start of this VM are ignored.
    """
    if answer.start != fence.own.start:
        return fence
    if answer.table is not None:
        fence = adopt(fence, answer.table, now)
    peer_state = fence.peer_states.get(peer.vm)
    if peer_state is None or peer_state.start != peer.start:
        peer_state = PeerState(peer.start, 0)
    number = max(peer_state.number, answer.number)
    peer_state = peer_state._replace(number=number)
    fence = fence._replace(
        peer_states={**fence.peer_states, peer.vm: peer_state}
    )
    is_newest = answer.number <= fence.table.number
    if is_newest and answer.asked == fence.table.number:
        at = max(answer.asked_at, fence.votes.get(peer, answer.asked_at))
        fence = fence._replace(votes={**fence.votes, peer: at})
    return _start_waiting(fence, now)


def get_confirmed_until(fence: Fence) -> float | None:
    """Return the time until which the slots are confirmed, if at all."""
    times = [
        confirmed_at
        for confirmed_at in (fence.read_at, _get_majority_time(fence))
        if confirmed_at is not None
    ]
    return max(times) + CONFIRM_SECONDS if times else None


def find_usable(fence: Fence, now: float) -> frozenset[int]:
    """Return the slots that this holder may use while it is confirmed."""
    return find_slots(fence.table, fence.own) - {
        slot
        for slot, until in fence.waiting.items()
        if until is None or now < until
    }


def list_waiting(fence: Fence, now: float) -> frozenset[int]:
    """Return the slots that this holder took and may not use yet."""
    return find_slots(fence.table, fence.own) - find_usable(fence, now)


def plan(
    fence: Fence,
    live_vms: frozenset[str],
    size: int,
    now: float,
) -> Table:
    """Return the table to write, or the known one if nothing changes."""
    if list_waiting(fence, now) or not is_told(fence):
        return fence.table
    return claim(fence.table, fence.own, live_vms, size)


def is_told(fence: Fence) -> bool:
    """Return whether a majority of the previous holders knows the table.

    A holder whose VM restarted counts too, as it no longer uses its slots.
    """
    previous = fence.table.previous
    informed_count = sum(
        _knows_or_has_ended(fence, holder) for holder in previous
    )
    return not previous or informed_count > len(previous) // 2


def _knows_or_has_ended(fence: Fence, holder: Holding) -> bool:
    if holder.vm == fence.own.vm:
        return True
    peer_state = fence.peer_states.get(holder.vm)
    if peer_state is None:
        return False
    return (
        peer_state.start != holder.start
        or peer_state.number >= fence.table.number
    )


def _start_waiting(fence: Fence, now: float) -> Fence:
    if None not in fence.waiting.values() or not is_told(fence):
        return fence
    waiting = {
        slot: now + WAIT_SECONDS if until is None else until
        for slot, until in fence.waiting.items()
    }
    return fence._replace(waiting=waiting)


def _get_majority_time(fence: Fence) -> float | None:
    holders = fence.table.list_holders()
    if fence.own not in holders:
        return None
    needed = len(holders) // 2
    times = sorted(
        (fence.votes[peer] for peer in holders if peer in fence.votes),
        reverse=True,
    )
    if not needed:
        return math.inf
    return times[needed - 1] if len(times) >= needed else None
