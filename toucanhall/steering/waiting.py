"""Serves waiting requests as soon as a target has a free slot."""

from typing import TypeAlias

from toucanhall.steering import arrivals, targets
from toucanhall.steering.fairness import pop
from toucanhall.steering.records import Effect, Refuse, Run, State

__all__ = ('serve',)

Transition: TypeAlias = tuple[State, tuple[Effect, ...]]


def serve(state: State, now: float) -> Transition:
    """Send waiting requests to free targets, the smallest tag first."""
    effects: list[Effect] = []
    while state.queue.waiting:
        target = targets.pick(
            (
                target
                for target in state.targets.values()
                if target.draining_at is None
            ),
            now,
            may_probe=False,
        )
        if target is None:
            break
        queue, first = pop(state.queue)
        state = state._replace(queue=queue)
        if first.expires_at <= now + state.latency:
            effects.append(
                Refuse(first.ticket, 'deadline', arrivals.BACK_SOON_SECONDS),
            )
            continue
        state = arrivals.record_request_sent(state, target)
        effects.append(Run(first.ticket, target.name, target.address))
    return state, tuple(effects)
