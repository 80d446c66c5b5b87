"""Model of at most once: claimants of one key, a lossy store, and time.

The claimants run the steps of the protocol itself. A write without a reply may
take effect at once, at any later moment or never. Time may pass between any
two steps, which stands for a pause. A claimant that dies takes no further
step, so the states in which the others go on without it are covered. After the
retention period the store drops the claim.
"""

from typing import NamedTuple

import pytest
from minicheck import Protocol

from tests.models.reports import explore, report_model, report_variant
from toucanhall.idempotency import Claim, Found, Outcome, messages, protocol
from toucanhall.idempotency.attempt import Attempt, Stage, Verdict

DEADLINE = 1  # ticks after the start of an attempt
RETENTION = 2
TRIES = 2
FIRST_STATES = 60_000  # contain a counterexample of each variant
OUTCOME = Outcome(201, (), b'')
ENDED = Attempt(Claim('', ''), DEADLINE, Stage.ENDED)
STAGE_EVENTS = {
    Stage.HELD: {
        'is ready': messages.Connected(),
        'gives up': messages.Abandoned(),
    },
    Stage.SENT: {
        'gets the answer': messages.ResponseReceived(OUTCOME),
        'gets no answer': messages.ResponseMissing(),
    },
}
NOT_RUN = frozenset((Verdict.MISMATCH, Verdict.UNCLAIMED, Verdict.LATE))


class Claimant(NamedTuple):
    """An attempt, the effect it awaits, its verdict, and requests sent."""

    attempt: Attempt | None = None
    awaited_effect: object = None
    verdict: Verdict | None = None
    sent: int = 0


class State(NamedTuple):
    """The claim in the store, pending writes, and claimants."""

    stored: Found | None = None
    version: int = 0
    pending_writes: frozenset = frozenset()
    clock: int = 0
    expired: bool = False
    one: Claimant = Claimant()
    two: Claimant = Claimant()


class Rules(NamedTuple):
    """The step under test and the digests of the two requests."""

    step: object = protocol.step
    digests: tuple = ('d', 'd')


def list_steps(state, rules):
    """Yield all next steps and the states after them."""
    for name, digest in zip(('one', 'two'), rules.digests, strict=True):
        actor = getattr(state, name)
        for label, after in list_actions(state, name, actor, digest, rules):
            yield f'{name} {label}', after
    for write in state.pending_writes:
        landed, done = try_write(state, write)
        if done:
            yield f'late write lands {write}', landed
    if state.clock < RETENTION:
        yield 'time passes', state._replace(clock=state.clock + 1)
    elif state.stored is not None and not state.expired:
        yield 'claim expires', state._replace(stored=None, expired=True)


def list_actions(state, name, actor, digest, rules):
    """Yield the next steps of one claimant."""
    if actor.attempt is None:
        if state.clock < RETENTION:
            give_up_at = state.clock + DEADLINE
            transition = protocol.start(Claim(name, digest), give_up_at)
            short = transition.attempt._replace(remaining_tries=TRIES)
            started = transition._replace(attempt=short)
            yield 'starts', apply_transition(state, name, started)
        return
    if actor.attempt.stage is Stage.ENDED:
        return
    for label, after, event in list_events(state, actor):
        transition = rules.step(actor.attempt, event, state.clock)
        applied = apply_transition(after, name, transition)
        yield label, record_abandonment(applied, name, event)
    if actor.attempt.stage is Stage.SENT:
        unsent = put(state, name, actor._replace(sent=actor.sent - 1))
        transition = rules.step(
            actor.attempt, messages.Disclaimed(), state.clock
        )
        yield (
            'is told by the other VM that it did not run',
            apply_transition(unsent, name, transition),
        )


def list_events(state, actor):
    """Yield label, state and event of the effect that a claimant awaits."""
    if actor.awaited_effect is None:
        for label, event in STAGE_EVENTS[actor.attempt.stage].items():
            yield label, state, event
    elif isinstance(actor.awaited_effect, messages.Write):
        yield from list_write_events(state, actor.awaited_effect)
    elif isinstance(actor.awaited_effect, messages.Read):
        yield 'reads', state, messages.ReadDone(state.stored)
        yield 'cannot read', state, messages.StoreUnreachable()
    else:
        yield 'retries', state, messages.Retry()


def list_write_events(state, write):
    """Yield the outcomes of a write: done, refused, pending or not sent."""
    landed, done = try_write(state, write)
    if done:
        yield 'writes', landed, messages.Written(landed.version)
    else:
        yield 'conflicts', state, messages.Conflicted()
    late = state._replace(pending_writes=state.pending_writes | {write})
    yield 'write gets no reply', late, messages.ReplyLost()
    yield 'store is down', state, messages.StoreUnreachable()


def try_write(state, write):
    """Return the state after a conditional write, and whether it succeeded."""
    current = state.stored.version if state.stored else 0
    if current != write.expected:
        return state, False
    version = state.version + 1
    found = Found(write.claim, version)
    return state._replace(stored=found, version=version), True


def record_abandonment(state, name, event):
    """Record the verdict of a claimant that gave up before sending."""
    if not isinstance(event, messages.Abandoned):
        return state
    actor = getattr(state, name)
    return put(state, name, actor._replace(verdict=Verdict.UNCLAIMED))


def drop_dead_writes(state):
    """Drop pending writes that can no longer take effect."""
    current = state.stored.version if state.stored else 0
    live = frozenset(
        write
        for write in state.pending_writes
        if write.expected == current
        or (write.expected == 0 and not state.expired)
    )
    return state._replace(pending_writes=live)


def apply_transition(state, name, transition):
    """Apply the effects of a claimant's step."""
    actor = getattr(state, name)._replace(
        attempt=transition.attempt, awaited_effect=None
    )
    for effect in transition.effects:
        if isinstance(effect, messages.Notify):
            actor = actor._replace(verdict=effect.verdict)
        elif isinstance(effect, messages.Send):
            actor = actor._replace(sent=actor.sent + 1)
        else:
            actor = actor._replace(awaited_effect=effect)
    if actor.attempt.stage is Stage.ENDED:
        actor = actor._replace(attempt=ENDED)
    return put(state, name, actor)


def put(state, name, actor):
    return state._replace(**{name: actor})


def check(rules, max_states=600_000):
    """Check every reachable state, or the first ones."""
    protocol_model = Protocol(
        name='claims',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda fields: [
            (label, tuple(drop_dead_writes(after)))
            for label, after in list_steps(State(*fields), rules)
        ],
        invariants={
            'at_most_once': runs_at_most_once,
            'refusals_true': tells_the_truth,
        },
    )
    return explore(protocol_model, max_states)


def runs_at_most_once(fields):
    """At most one request is sent, since each that is sent may run."""
    return fields['one'].sent + fields['two'].sent <= 1


def tells_the_truth(fields):
    """A claimant whose verdict says that nothing ran never sent."""
    return not any(
        actor.sent and actor.verdict in NOT_RUN
        for actor in (fields['one'], fields['two'])
    )


def get_property(checked, name):
    return checked['properties'][name]


@pytest.mark.parametrize('digests', [('d', 'd'), ('d', 'x')])
def test_claims_hold_in_every_state(digests):
    checked = check(Rules(digests=digests))
    report_model(f'claims digests {" ".join(digests)}', checked)
    assert checked['exhaustive']
    assert get_property(checked, 'at_most_once')['holds']
    assert get_property(checked, 'refusals_true')['holds']


def trust_any_claim(attempt, event, now):
    """Treat any found claim as its own."""
    if isinstance(event, messages.ReadDone) and event.found:
        own = event.found.claim._replace(claim_id=attempt.claim.claim_id)
        event = messages.ReadDone(event.found._replace(claim=own))
    return protocol.step(attempt, event, now)


def trust_lost_write(attempt, event, now):
    """Treat a write without a reply as done."""
    if isinstance(event, messages.ReplyLost) and attempt.stage is Stage.WRITING:
        event = messages.Written(1)
    return protocol.step(attempt, event, now)


def skip_deadline(attempt, event, now):
    """Send after any pause, also past the deadline."""
    return protocol.step(attempt, event, 0)


def release_after_sending(attempt, event, now):
    """Release a claim when no response was received."""
    if isinstance(event, messages.ResponseMissing):
        attempt = attempt._replace(stage=Stage.HELD)
        event = messages.Abandoned()
    return protocol.step(attempt, event, now)


def release_a_late_answer(attempt, event, now):
    """Release a claim whose response was received after the deadline."""
    if (
        isinstance(event, messages.ResponseReceived)
        and now >= attempt.give_up_at
    ):
        attempt = attempt._replace(stage=Stage.HELD)
        event = messages.Abandoned()
    return protocol.step(attempt, event, now)


def send_again(attempt, event, now):
    """Send again when no response was received."""
    if isinstance(event, messages.ResponseMissing):
        event = messages.Disclaimed()
    return protocol.step(attempt, event, now)


def send_while_releasing(attempt, event, now):
    """Send while the claim is being released."""
    transition = protocol.step(attempt, event, now)
    if (
        isinstance(event, messages.StoreUnreachable)
        and attempt.stage is Stage.WRITING
    ):
        return transition._replace(
            effects=(*transition.effects, messages.Send())
        )
    return transition


def take_open_claim(attempt, event, now):
    """Take over a claim whose outcome is unknown."""
    found = getattr(event, 'found', None)
    if found and not found.claim.outcome:
        freed = found.claim._replace(released=True)
        event = messages.ReadDone(found._replace(claim=freed))
    return protocol.step(attempt, event, now)


@pytest.mark.parametrize(
    ('broken', 'invariant'),
    [
        (trust_any_claim, 'at_most_once'),
        (trust_lost_write, 'at_most_once'),
        (skip_deadline, 'at_most_once'),
        (release_after_sending, 'at_most_once'),
        (release_a_late_answer, 'at_most_once'),
        (send_again, 'at_most_once'),
        (take_open_claim, 'at_most_once'),
        (send_while_releasing, 'refusals_true'),
    ],
)
def test_each_guard_is_needed(broken, invariant):
    found = get_property(check(Rules(step=broken), FIRST_STATES), invariant)
    report_variant(f'claims {broken.__name__}', found)
    assert found['holds'] is False
    assert found['counterexample']
