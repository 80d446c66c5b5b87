"""Decides where a request goes: to a target, to a peer or to the queue."""

from collections.abc import Callable
from typing import Final, TypeAlias

from toucanhall.steering import capacity, fairness, peers, targets
from toucanhall.steering.budget import refill, spend
from toucanhall.steering.fairness import Waiting
from toucanhall.steering.peers import Distance, Peer
from toucanhall.steering.ramps import record_arrival
from toucanhall.steering.records import (
    Arrive,
    Carry,
    Effect,
    Origin,
    Refuse,
    Run,
    State,
    Wait,
)
from toucanhall.steering.targets import LocalTarget

__all__ = ('BACK_SOON_SECONDS', 'arrive', 'record_request_sent')

BACK_SOON_SECONDS: Final = 1.0

_MAX_RETRY_AFTER_SECONDS: Final = 5.0
_MAX_ATTEMPTS: Final = 3
_MAX_WAITING_REQUESTS: Final = 48
_MIN_QUEUE_DIFFERENCE: Final = 1
_MAX_SHORT_WAIT_SECONDS: Final = 0.05

Transition: TypeAlias = tuple[State, tuple[Effect, ...]]
MaybeTransition: TypeAlias = Transition | None


def arrive(state: State, event: Arrive, now: float) -> Transition:
    """Decide on a request that arrived or that needs a retry."""
    if event.expires_at <= now:
        return state, (Refuse(event.ticket, 'deadline', BACK_SOON_SECONDS),)
    state = state._replace(budget=refill(state.budget, now))
    needs_no_budget = not event.attempts or (
        # Nothing was sent, so this retry adds no load to a failing target.
        event.is_unsent and event.attempts < _MAX_ATTEMPTS
    )
    if needs_no_budget:
        return _ARRIVALS[event.origin](state, event, now)
    budget, may_retry = spend(state.budget)
    state = state._replace(budget=budget)
    if may_retry and event.attempts < _MAX_ATTEMPTS:
        return _ARRIVALS[event.origin](state, event, now)
    if event.is_bounced:
        return _try_strategies(_LOCAL_STRATEGIES, state, event, now)
    refusal = Refuse(event.ticket, 'retry-budget', BACK_SOON_SECONDS)
    return state, (refusal,)


def record_request_sent(state: State, target: LocalTarget) -> State:
    """Return the state after a request was sent to a target."""
    return state._replace(
        targets={**state.targets, target.name: targets.begin(target)},
    )


def _arrive_from_caller(state: State, event: Arrive, now: float) -> Transition:
    return _try_strategies(_STRATEGIES, state, event, now)


def _try_strategies(
    strategies: tuple[Callable[[State, Arrive, float], MaybeTransition], ...],
    state: State,
    event: Arrive,
    now: float,
) -> Transition:
    for strategy in strategies:
        transition = strategy(state, event, now)
        if transition is not None:
            return transition
    wait_seconds = min(
        capacity.estimate_wait(state, event, now), _MAX_RETRY_AFTER_SECONDS
    )
    return state, (
        Refuse(event.ticket, 'no-target', max(BACK_SOON_SECONDS, wait_seconds)),
    )


def _arrive_from_sibling(state: State, event: Arrive, now: float) -> Transition:
    return _try_strategies(_LOCAL_STRATEGIES, state, event, now)


def _arrive_from_zone(state: State, event: Arrive, now: float) -> Transition:
    ramp = record_arrival(state.ramp, state.shifted, now)
    state = state._replace(ramp=ramp)
    has_spare_slots = capacity.count_free(state, now) > capacity.count_reserve(
        state, now
    )
    transition = None
    if has_spare_slots and state.shifted + 1 <= ramp.level:
        transition = _run(state, event, now)
    if transition is None:
        return state, (Refuse(event.ticket, 'no-target', BACK_SOON_SECONDS),)
    ran, effects = transition
    return ran._replace(shifted=ran.shifted + 1), effects


def _run(state: State, event: Arrive, now: float) -> MaybeTransition:
    if state.queue.waiting:
        return None
    return _run_at(state, event, now, is_draining=False)


def _run_at_draining(
    state: State, event: Arrive, now: float
) -> MaybeTransition:
    return _run_at(state, event, now, is_draining=True)


def _run_at(
    state: State,
    event: Arrive,
    now: float,
    *,
    is_draining: bool,
) -> MaybeTransition:
    target = targets.pick(
        (
            target
            for name, target in state.targets.items()
            if name not in event.passed
            and is_draining == (target.draining_at is not None)
        ),
        now,
        may_probe=event.is_safe,
    )
    if target is None:
        return None
    queue = fairness.record_served(state.queue, event.team, event.weight)
    state = record_request_sent(state._replace(queue=queue), target)
    return state, (Run(event.ticket, target.name, target.address),)


def _carry(
    distance: Distance,
) -> Callable[[State, Arrive, float], MaybeTransition]:
    def strategy(state: State, event: Arrive, now: float) -> MaybeTransition:
        peer = peers.pick(
            (
                peer
                for vm, peer in state.peers.items()
                if vm not in event.passed
            ),
            distance,
            event.closed_regions,
            now,
            can_query=_can_query_peers(state, event, now),
        )
        if peer is None:
            return None
        return _send_to_peer(state, event, peer)

    return strategy


def _send_to_shorter_queue(
    state: State, event: Arrive, now: float
) -> MaybeTransition:
    shorter_than_own = len(state.queue.waiting) - _MIN_QUEUE_DIFFERENCE
    return _send_to_sibling_queue(
        state, event, now, max_waiting=shorter_than_own
    )


def _send_to_sibling_queue(
    state: State,
    event: Arrive,
    now: float,
    max_waiting: int = _MAX_WAITING_REQUESTS,
) -> MaybeTransition:
    peer = peers.pick_to_wait(
        (peer for vm, peer in state.peers.items() if vm not in event.passed),
        now,
    )
    if peer is None or -peer.spare > max_waiting:
        return None
    return _send_to_peer(state, event, peer)


def _send_to_peer(state: State, event: Arrive, peer: Peer) -> Transition:
    sent = state._replace(
        peers={**state.peers, peer.vm: peers.begin(peer)},
        queue=fairness.record_sent(state.queue, event.team, event.weight),
    )
    return sent, (_make_carry(event, peer),)


def _make_carry(event: Arrive, peer: Peer) -> Carry:
    return Carry(
        event.ticket,
        peer.vm,
        peer.address,
        peer.region,
        is_far=peer.distance is Distance.OTHER_REGION,
    )


def _can_query_peers(state: State, event: Arrive, now: float) -> bool:
    # A retry was charged to the budget on arrival, or is free (`is_unsent`).
    if event.is_unsent or state.budget.retries >= 1:
        return True
    return not capacity.count_usable(state, now)


def _wait_briefly(state: State, event: Arrive, now: float) -> MaybeTransition:
    if capacity.estimate_wait(state, event, now) > _MAX_SHORT_WAIT_SECONDS:
        return None
    return _wait(state, event, now)


def _wait(state: State, event: Arrive, now: float) -> MaybeTransition:
    if event.attempts and not _has_untried_target(state, event, now):
        return None
    estimated_seconds = capacity.estimate_wait(
        state, event, now
    ) + capacity.get_mean_latency(state)
    if estimated_seconds > event.expires_at - now:
        return None
    waiting = Waiting(
        event.origin is not Origin.CALLER,
        0,
        event.ticket,
        event.team,
        event.weight,
        event.expires_at,
    )
    queue, pushed_out = fairness.push(
        state.queue, waiting, _MAX_WAITING_REQUESTS
    )
    state = state._replace(queue=queue)
    wait = Wait(event.ticket, event.expires_at)
    if pushed_out is None:
        return state, (wait,)
    refusal = Refuse(pushed_out.ticket, 'overloaded', BACK_SOON_SECONDS)
    if pushed_out.ticket == event.ticket:
        return state, (refusal,)
    return state, (wait, refusal)


def _has_untried_target(state: State, event: Arrive, now: float) -> bool:
    return any(
        targets.limit(target, now)
        for name, target in state.targets.items()
        if name not in event.passed
    )


_STRATEGIES: Final = (
    _run,
    _carry(Distance.ZONE),
    _carry(Distance.REGION),
    _wait_briefly,
    _carry(Distance.OTHER_REGION),
    _run_at_draining,
    _send_to_shorter_queue,
    _wait,
    _send_to_sibling_queue,
)

_LOCAL_STRATEGIES: Final = (_run, _run_at_draining, _wait)

_ARRIVALS: Final = {
    Origin.CALLER: _arrive_from_caller,
    Origin.SIBLING: _arrive_from_sibling,
    Origin.ZONE: _arrive_from_zone,
}
