"""Model of at most once: two claimants of one key, and a lossy store."""

from typing import NamedTuple

from minicheck import Protocol, check_safety

from toucanhall.idempotency import Claim, Standing, judge

CLAIMANTS = ('one', 'two')
DIGEST = 'd'


class State(NamedTuple):
    """The claim in the store, each claimant's step, and the executions."""

    stored: Claim | None = None
    one: str = 'start'
    two: str = 'start'
    runs: int = 0


def list_steps(state: State, judge_claim):
    """Yield what can happen next; a write's reply may be lost."""
    for name in CLAIMANTS:
        step = getattr(state, name)
        if step == 'start':
            yield from create(state, name)
        elif step == 'unsure':
            yield from settle(state, name, judge_claim)
        elif step == 'mine':
            yield (
                f'{name} sends',
                state._replace(
                    **{name: 'sent'},
                    runs=state.runs + 1,
                ),
            )


def create(state, name):
    """Create the claim on the condition that there is none."""
    if state.stored is None:
        stored = state._replace(stored=Claim(name, DIGEST))
        yield f'{name} creates', stored._replace(**{name: 'mine'})
        yield (
            f'{name} creates, reply lost',
            stored._replace(
                **{name: 'unsure'},
            ),
        )
    else:
        yield f'{name} conflicts', state._replace(**{name: 'unsure'})


def settle(state, name, judge_claim):
    """Read back and judge what is there."""
    standing = judge_claim(state.stored, name, DIGEST)
    ends = 'mine' if standing is Standing.MINE else 'refused'
    yield f'{name} reads back', state._replace(**{name: ends})


def check(judge_claim):
    """Check that the request runs at most once."""
    protocol = Protocol(
        name='claims',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda state: [
            (label, tuple(after))
            for label, after in list_steps(State(*state), judge_claim)
        ],
        invariants={'at_most_once': lambda fields: fields['runs'] <= 1},
    )
    return check_safety(protocol)


def test_request_runs_at_most_once():
    checked = check(judge)
    print(f'states: {checked["reachable_states"]}')
    assert checked['properties']['at_most_once']['holds']


def test_claim_id_is_needed():
    broken = check(lambda _claim, _name, _digest: Standing.MINE)
    found = broken['properties']['at_most_once']
    assert not found['holds']
    assert len(found['counterexample']) == 6
