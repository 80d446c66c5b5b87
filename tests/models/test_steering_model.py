"""Random histories of requests, hops, ends and faults.

They guard against overloaded targets, whatever the order of the events.
"""

import time

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import make_arrival, make_state
from tests.models.reports import report_size
from toucanhall.steering import Outcome
from toucanhall.steering.policy import decide
from toucanhall.steering.records import End, Expire, Origin, Run
from toucanhall.steering.targets import LocalTarget

SLOTS_PER_TARGET = 3
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('arrive', 'end', 'expire')),
        st.sampled_from(tuple(Origin)),
        st.sampled_from((True, False, None)),
        st.floats(0, 2),
    ),
    max_size=60,
)


def take_step(state, step, number, running, now):
    """Apply one step of the model; return the state and the effects."""
    kind, origin, healthy, _ = step
    if kind == 'arrive':
        arrival = make_arrival(str(number), origin=origin, expires_at=now + 5)
        return decide(state, arrival, now)
    if kind == 'end' and running:
        name, started_by = running.pop(number % len(running))
        end = End(name, Outcome(healthy, 0.05), started_by)
        return decide(state, end, now)
    return decide(state, Expire(str(number - 1)), now)


def check_history(steps):
    """Check that no target ever runs more than its slots."""
    state = make_state(
        LocalTarget('a', '', SLOTS_PER_TARGET),
        LocalTarget('b', '', SLOTS_PER_TARGET),
    )
    running = []
    origins = {}
    now = 0
    for number, step in enumerate(steps):
        now += step[3]
        origins[str(number)] = step[1]
        state, effects = take_step(state, step, number, running, now)
        for effect in effects:
            if isinstance(effect, Run):
                running.append((effect.name, origins[effect.ticket]))
        for name, target in state.targets.items():
            count = sum(entry[0] == name for entry in running)
            assert target.in_flight == count
            assert count <= SLOTS_PER_TARGET


def test_no_order_of_events_overloads_a_target():
    lengths = []

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(STEPS)
    def check_histories(steps):
        lengths.append(len(steps))
        check_history(steps)

    started = time.perf_counter()
    check_histories()
    seconds = time.perf_counter() - started
    size = f'{sum(lengths)} states of {len(lengths)} random histories'
    report_size('steering', size, seconds)
