"""Decides where an arriving request goes: a target, a peer, the queue."""

from collections.abc import Callable
from typing import Final, TypeAlias

from toucanhall.steering import fairness, peers, places, room
from toucanhall.steering.budget import refill, spend
from toucanhall.steering.fairness import Waiting
from toucanhall.steering.peers import Distance, Peer
from toucanhall.steering.places import Place
from toucanhall.steering.ramps import touch
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

__all__ = ('BACK_SOON_SECONDS', 'arrive', 'place_request')

BACK_SOON_SECONDS: Final = 1.0

_LONGEST_BACK_SECONDS: Final = 5.0
_MOST_ATTEMPTS: Final = 3
_MOST_WAITING: Final = 48
_QUEUE_SLACK: Final = 1
_FAR_SECONDS: Final = 0.05

Decided: TypeAlias = tuple[State, tuple[Effect, ...]]
Found: TypeAlias = Decided | None


def arrive(state: State, event: Arrive, now: float) -> Decided:
    """Decide on a request that arrived, or that comes back for a retry."""
    if event.expires_at <= now:
        return state, (Refuse(event.ticket, 'deadline', BACK_SOON_SECONDS),)
    state = state._replace(budget=refill(state.budget, now))
    is_free = not event.attempts or (
        # A target that refuses connections is given no work by a retry.
        event.is_unsent and event.attempts < _MOST_ATTEMPTS
    )
    if is_free:
        return _ARRIVALS[event.origin](state, event, now)
    budget, may_retry = spend(state.budget)
    state = state._replace(budget=budget)
    if may_retry and event.attempts < _MOST_ATTEMPTS:
        return _ARRIVALS[event.origin](state, event, now)
    if event.is_bounced:
        return _try_ways(_OWN_WAYS, state, event, now)
    refusal = Refuse(event.ticket, 'retry-budget', BACK_SOON_SECONDS)
    return state, (refusal,)


def place_request(state: State, place: Place) -> State:
    """Return the state after a request was sent to a place."""
    return state._replace(
        places={**state.places, place.target: places.begin(place)},
    )


def _arrive_from_caller(state: State, event: Arrive, now: float) -> Decided:
    return _try_ways(_WAYS, state, event, now)


def _try_ways(
    ways: tuple[Callable[[State, Arrive, float], Found], ...],
    state: State,
    event: Arrive,
    now: float,
) -> Decided:
    for find in ways:
        found = find(state, event, now)
        if found is not None:
            return found
    seconds = min(room.estimate_wait(state, event, now), _LONGEST_BACK_SECONDS)
    return state, (
        Refuse(event.ticket, 'no-target', max(BACK_SOON_SECONDS, seconds)),
    )


def _arrive_from_sibling(state: State, event: Arrive, now: float) -> Decided:
    return _try_ways(_OWN_WAYS, state, event, now)


def _arrive_from_zone(state: State, event: Arrive, now: float) -> Decided:
    ramp = touch(state.ramp, state.shifted, now)
    state = state._replace(ramp=ramp)
    has_room = room.count_free(state, now) > room.count_reserve(state, now)
    found = None
    if has_room and state.shifted + 1 <= ramp.level:
        found = _run(state, event, now)
    if found is None:
        return state, (Refuse(event.ticket, 'no-target', BACK_SOON_SECONDS),)
    ran, effects = found
    return ran._replace(shifted=ran.shifted + 1), effects


def _run(state: State, event: Arrive, now: float) -> Found:
    if state.queue.waiting:
        return None
    return _run_at(state, event, now, is_draining=False)


def _run_at_draining(state: State, event: Arrive, now: float) -> Found:
    return _run_at(state, event, now, is_draining=True)


def _run_at(
    state: State,
    event: Arrive,
    now: float,
    *,
    is_draining: bool,
) -> Found:
    place = places.pick(
        (
            place
            for name, place in state.places.items()
            if name not in event.passed
            and is_draining == (place.draining_at is not None)
        ),
        now,
        may_probe=event.is_safe,
    )
    if place is None:
        return None
    queue = fairness.charge(state.queue, event.team, event.weight)
    state = place_request(state._replace(queue=queue), place)
    return state, (Run(event.ticket, place.target, place.address),)


def _carry(distance: Distance) -> Callable[[State, Arrive, float], Found]:
    def find(state: State, event: Arrive, now: float) -> Found:
        peer = peers.pick(
            (
                peer
                for vm, peer in state.peers.items()
                if vm not in event.passed
            ),
            distance,
            event.closed_regions,
            now,
            can_ask=_may_ask(state, event, now),
        )
        if peer is None:
            return None
        return _send_to(state, event, peer)

    return find


def _wait_at_shorter(state: State, event: Arrive, now: float) -> Found:
    backlog = len(state.queue.waiting) - _QUEUE_SLACK
    return _wait_at_sibling(state, event, now, most=backlog)


def _wait_at_sibling(
    state: State,
    event: Arrive,
    now: float,
    most: int = _MOST_WAITING,
) -> Found:
    peer = peers.pick_to_wait(
        (peer for vm, peer in state.peers.items() if vm not in event.passed),
        now,
    )
    if peer is None or -peer.spare > most:
        return None
    return _send_to(state, event, peer)


def _send_to(state: State, event: Arrive, peer: Peer) -> Decided:
    sent = state._replace(
        peers={**state.peers, peer.vm: peers.begin(peer)},
        queue=fairness.reserve(state.queue, event.team, event.weight),
    )
    return sent, (_make_carry(event, peer),)


def _make_carry(event: Arrive, peer: Peer) -> Carry:
    return Carry(
        event.ticket,
        peer.vm,
        peer.address,
        peer.region,
        is_far=peer.distance is Distance.FAR,
    )


def _may_ask(state: State, event: Arrive, now: float) -> bool:
    # A retry was paid for when it arrived, or need not be.
    if event.is_unsent or state.budget.retries >= 1:
        return True
    return not room.count_usable(state, now)


def _wait_briefly(state: State, event: Arrive, now: float) -> Found:
    if room.estimate_wait(state, event, now) > _FAR_SECONDS:
        return None
    return _wait(state, event, now)


def _wait(state: State, event: Arrive, now: float) -> Found:
    if event.attempts and not _has_untried(state, event, now):
        return None
    estimate = room.estimate_wait(state, event, now) + room.read_latency(state)
    if estimate > event.expires_at - now:
        return None
    waiting = Waiting(
        event.origin is not Origin.CALLER,
        0,
        event.ticket,
        event.team,
        event.weight,
        event.expires_at,
    )
    queue, pushed_out = fairness.push(state.queue, waiting, _MOST_WAITING)
    state = state._replace(queue=queue)
    wait = Wait(event.ticket, event.expires_at)
    if pushed_out is None:
        return state, (wait,)
    refusal = Refuse(pushed_out.ticket, 'overloaded', BACK_SOON_SECONDS)
    if pushed_out.ticket == event.ticket:
        return state, (refusal,)
    return state, (wait, refusal)


def _has_untried(state: State, event: Arrive, now: float) -> bool:
    return any(
        places.limit(place, now)
        for name, place in state.places.items()
        if name not in event.passed
    )


_WAYS: Final = (
    _run,
    _carry(Distance.ZONE),
    _carry(Distance.REGION),
    _wait_briefly,
    _carry(Distance.FAR),
    _run_at_draining,
    _wait_at_shorter,
    _wait,
    _wait_at_sibling,
)

_OWN_WAYS: Final = (_run, _run_at_draining, _wait)

_ARRIVALS: Final = {
    Origin.CALLER: _arrive_from_caller,
    Origin.SIBLING: _arrive_from_sibling,
    Origin.ZONE: _arrive_from_zone,
}
