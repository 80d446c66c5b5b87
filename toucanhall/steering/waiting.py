"""Serves waiting requests as soon as a target has a free slot."""

from typing import TypeAlias

from toucanhall.steering import arrivals, places
from toucanhall.steering.fairness import pop
from toucanhall.steering.records import Effect, Refuse, Run, State

__all__ = ('serve',)

Transition: TypeAlias = tuple[State, tuple[Effect, ...]]


def serve(state: State, now: float) -> Transition:
    """Send waiting requests to free targets, the smallest tag first."""
    effects: list[Effect] = []
    while state.queue.waiting:
        place = places.pick(
            (
                place
                for place in state.places.values()
                if place.draining_at is None
            ),
            now,
            may_probe=False,
        )
        if place is None:
            break
        queue, first = pop(state.queue)
        state = state._replace(queue=queue)
        if first.expires_at <= now + state.latency:
            effects.append(
                Refuse(first.ticket, 'deadline', arrivals.BACK_SOON_SECONDS),
            )
            continue
        state = arrivals.place_request(state, place)
        effects.append(Run(first.ticket, place.target, place.address))
    return state, tuple(effects)
