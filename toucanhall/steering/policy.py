"""The steering policy: `(state, event, now) -> (state, effects)`."""

from collections.abc import Callable, Mapping
from typing import Any, Final, TypeAlias

from toucanhall.steering import arrivals, capacity, peers, targets
from toucanhall.steering.budget import earn
from toucanhall.steering.fairness import drop
from toucanhall.steering.peers import Peer
from toucanhall.steering.ramps import advance
from toucanhall.steering.records import (
    Arrive,
    Effect,
    End,
    Event,
    Expire,
    Origin,
    Refuse,
    Report,
    Resize,
    State,
)
from toucanhall.steering.targets import LocalTarget
from toucanhall.steering.waiting import serve

__all__ = ('count_spare', 'decide')

Transition: TypeAlias = tuple[State, tuple[Effect, ...]]


def decide(state: State, event: Event, now: float) -> Transition:
    """Return the state after an event, and the effects to carry out."""
    return _DECISIONS[type(event)](state, event, now)


def count_spare(state: State, now: float, *, shifting: bool) -> int:
    """Return the free slots to report to other VMs.

    For VMs of the own zone the number is negative if requests wait here,
    because the requests of these VMs may join the queue. `shifting` stands for
    the report to other zones, which is capped by the ramp and never negative.
    """
    free = capacity.count_free(state, now) - len(state.queue.waiting)
    if not shifting:
        return free
    ramp = advance(state.ramp, now)
    spare = free - capacity.count_reserve(state, now)
    return max(0, min(spare, int(ramp.level) - state.shifted))


def _arrive(state: State, event: Arrive, now: float) -> Transition:
    served, effects = serve(state, now)
    arrived, last_effects = arrivals.arrive(served, event, now)
    return arrived, (*effects, *last_effects)


def _end(state: State, event: End, now: float) -> Transition:
    peer = state.peers.get(event.name)
    target = state.targets.get(event.name)
    if peer is not None:
        peer = peers.end(
            peer,
            event.outcome,
            event.spare,
            now,
        )
        ended = state._replace(peers={**state.peers, event.name: peer})
    elif target is not None:
        target = targets.end(target, event.outcome, now)
        ended = state._replace(
            targets={**state.targets, event.name: target},
            latency=targets.update_mean_latency(state.latency, event.outcome),
        )
    else:
        ended = state
    return serve(_record_end(ended, event, now), now)


def _record_end(state: State, event: End, now: float) -> State:
    if event.outcome.healthy:
        state = state._replace(budget=earn(state.budget))
    if event.origin is not Origin.ZONE:
        return state
    return state._replace(
        ramp=advance(state.ramp, now),
        shifted=max(0, state.shifted - 1),
    )


def _expire(state: State, event: Expire, _now: float) -> Transition:
    queue = drop(state.queue, event.ticket)
    if queue == state.queue:
        return state, ()
    refusal = Refuse(event.ticket, 'deadline', arrivals.BACK_SOON_SECONDS)
    return state._replace(queue=queue), (refusal,)


def _report(state: State, event: Report, now: float) -> Transition:
    target = state.targets.get(event.target)
    if target is None:
        return state, ()
    updated = target._replace(reported=event.busy, reported_at=now)
    return state._replace(targets={**state.targets, event.target: updated}), ()


def _resize(state: State, event: Resize, now: float) -> Transition:
    cold_at = now if state.is_sized else None
    resized = state._replace(
        is_sized=True,
        targets={
            target.name: _merge_target(
                state.targets.get(target.name),
                target._replace(cold_at=cold_at),
            )
            for target in event.targets
        }
        | _list_removed_busy(state, event),
        peers={
            peer.vm: _merge_peer(state.peers.get(peer.vm), peer)
            for peer in event.peers
        },
        ramp=advance(state.ramp, now)._replace(
            per_second=event.shift_per_second,
        ),
    )
    return serve(resized, now)


def _merge_target(
    known: LocalTarget | None, target: LocalTarget
) -> LocalTarget:
    if known is None or known.address != target.address:
        return target
    was_drained = known.draining_at is not None and target.draining_at is None
    return known._replace(
        slots=target.slots,
        draining_at=_keep_earlier(known.draining_at, target.draining_at),
        cold_at=target.cold_at if was_drained else known.cold_at,
    )


def _keep_earlier(known: float | None, new: float | None) -> float | None:
    if known is None or new is None:
        return new
    return min(known, new)


def _merge_peer(known: Peer | None, peer: Peer) -> Peer:
    if known is None or known.address != peer.address:
        return peer
    return known


def _list_removed_busy(state: State, event: Resize) -> dict[str, LocalTarget]:
    named = {target.name for target in event.targets}
    return {
        name: target._replace(slots=0)
        for name, target in state.targets.items()
        if name not in named and target.in_flight
    }


_DECISIONS: Final[Mapping[type, Callable[[State, Any, float], Transition]]] = {
    Arrive: _arrive,
    End: _end,
    Expire: _expire,
    Report: _report,
    Resize: _resize,
}
