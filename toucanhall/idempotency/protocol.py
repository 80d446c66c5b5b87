"""The life of one claim as pure steps of state, event and time."""

from collections.abc import Callable, Mapping
from typing import Any, Final, TypeAlias

from toucanhall.idempotency import messages
from toucanhall.idempotency.attempt import Attempt, Stage, Verdict, may_send
from toucanhall.idempotency.claims import Claim, Standing, judge
from toucanhall.idempotency.messages import Moved
from toucanhall.objectstore.model import ABSENT

__all__ = ('start', 'step')


def start(claim: Claim, give_up_at: float) -> Moved:
    """Begin with the conditional creation of the claim."""
    return Moved(Attempt(claim, give_up_at), (messages.Write(claim, ABSENT),))


def step(attempt: Attempt, event: messages.Event, now: float) -> Moved:
    """Return what an event makes of an attempt; unexpected ones change it not.

    A claim is never taken from its claimant: only the claimant releases it,
    and only before the first byte was sent.
    """
    move = _MOVES.get((attempt.stage, type(event)))
    if move is None:
        return Moved(attempt)
    return move(attempt, event, now)


def _hold(attempt: Attempt, version: int, now: float) -> Moved:
    held = attempt._replace(stage=Stage.HELD, expected=version)
    if not may_send(attempt.give_up_at, now):
        return _release(held, Verdict.LATE)
    return Moved(held, (messages.Tell(Verdict.MINE, attempt.claim),))


def _take_written(
    attempt: Attempt, event: messages.Written, now: float
) -> Moved:
    return _hold(attempt, event.version, now)


def _look(attempt: Attempt, _event: messages.Event, _now: float) -> Moved:
    return Moved(attempt._replace(stage=Stage.READING), (messages.Look(),))


def _settle_lost(
    attempt: Attempt,
    event: messages.Event,
    now: float,
) -> Moved:
    return _look(attempt._replace(is_loose=True), event, now)


def _settle(attempt: Attempt, event: messages.Seen, now: float) -> Moved:
    found = event.found
    if found is None:
        return _write_again(attempt, ABSENT, now)
    standing = judge(
        found.claim,
        attempt.claim.claim_id,
        attempt.claim.digest,
    )
    if standing is Standing.MINE:
        return _hold(attempt, found.version, now)
    if standing is Standing.FREE:
        return _write_again(attempt, found.version, now)
    ended = attempt._replace(stage=Stage.ENDED)
    return Moved(ended, (messages.Tell(Verdict(standing.value), found.claim),))


def _write_again(attempt: Attempt, expected: int, now: float) -> Moved:
    seen = attempt._replace(expected=expected)
    if not may_send(attempt.give_up_at, now):
        return _forgo(seen, Verdict.LATE)
    if attempt.tries <= 1:
        return _forgo(seen, Verdict.UNCLAIMED)
    again = seen._replace(stage=Stage.WRITING, tries=attempt.tries - 1)
    return Moved(again, (messages.Write(attempt.claim, expected),))


def _abandon(
    attempt: Attempt,
    _event: messages.Event,
    _now: float,
) -> Moved:
    return _forgo(attempt, Verdict.UNCLAIMED)


def _forgo(attempt: Attempt, verdict: Verdict) -> Moved:
    """Give up a claim that does not stand, unless a write may make it."""
    if attempt.is_loose:
        return _release(attempt, verdict)
    ended = attempt._replace(stage=Stage.ENDED)
    return Moved(ended, (messages.Tell(verdict, attempt.claim),))


def _make_ready(attempt: Attempt, _event: messages.Event, now: float) -> Moved:
    if not may_send(attempt.give_up_at, now):
        return _release(attempt, Verdict.LATE)
    return Moved(attempt._replace(stage=Stage.SENT), (messages.Send(),))


def _hold_again(attempt: Attempt, _event: messages.Event, _now: float) -> Moved:
    return Moved(attempt._replace(stage=Stage.HELD))


def _release(attempt: Attempt, verdict: Verdict) -> Moved:
    """Answer first; the release is written when the caller is gone."""
    return Moved(
        attempt._replace(stage=Stage.RELEASING),
        (messages.Tell(verdict, attempt.claim), messages.Later()),
    )


def _write_release(
    attempt: Attempt, _event: messages.Event, _now: float
) -> Moved:
    released = attempt.claim._replace(released=True)
    return Moved(
        attempt._replace(stage=Stage.RELEASING),
        (messages.Write(released, attempt.expected),),
    )


def _check(attempt: Attempt, _event: messages.Event, _now: float) -> Moved:
    return Moved(attempt._replace(stage=Stage.CHECKING), (messages.Look(),))


def _release_seen(attempt: Attempt, event: messages.Seen, now: float) -> Moved:
    found = event.found
    if found is None:
        absent = attempt._replace(expected=ABSENT)
        return _write_release(absent, event, now)
    is_mine = found.claim.claim_id == attempt.claim.claim_id
    if is_mine and not found.claim.released:
        mine = attempt._replace(expected=found.version)
        return _write_release(mine, event, now)
    return _end(attempt, event, now)


def _finish(attempt: Attempt, event: messages.Answered, now: float) -> Moved:
    done = attempt.claim._replace(outcome=event.outcome)
    return _write_outcome(attempt._replace(claim=done), event, now)


def _write_outcome(
    attempt: Attempt, _event: messages.Event, _now: float
) -> Moved:
    return Moved(
        attempt._replace(stage=Stage.FINISHING),
        (messages.Write(attempt.claim, attempt.expected),),
    )


def _put_off(
    attempt: Attempt,
    _event: messages.Event,
    _now: float,
) -> Moved:
    stage = _AFTER_PUT_OFF.get(attempt.stage, attempt.stage)
    return Moved(attempt._replace(stage=stage), (messages.Later(),))


def _end(attempt: Attempt, _event: messages.Event, _now: float) -> Moved:
    return Moved(attempt._replace(stage=Stage.ENDED))


_AFTER_PUT_OFF: Final = {Stage.CHECKING: Stage.RELEASING}

_Move: TypeAlias = Callable[[Attempt, Any, float], Moved]

_MOVES: Final[Mapping[tuple[Stage, type[Any]], _Move]] = {
    (Stage.WRITING, messages.Written): _take_written,
    (Stage.WRITING, messages.Conflicted): _look,
    (Stage.WRITING, messages.Lost): _settle_lost,
    (Stage.WRITING, messages.Down): _abandon,
    (Stage.READING, messages.Seen): _settle,
    (Stage.READING, messages.Down): _abandon,
    (Stage.HELD, messages.Ready): _make_ready,
    (Stage.HELD, messages.Unsent): _write_release,
    (Stage.HELD, messages.Answered): _finish,
    (Stage.SENT, messages.Disclaimed): _hold_again,
    (Stage.SENT, messages.Answered): _finish,
    (Stage.SENT, messages.Failed): _end,
    (Stage.FINISHING, messages.Written): _end,
    (Stage.FINISHING, messages.Conflicted): _end,
    (Stage.FINISHING, messages.Lost): _put_off,
    (Stage.FINISHING, messages.Down): _put_off,
    (Stage.FINISHING, messages.Retry): _write_outcome,
    (Stage.RELEASING, messages.Written): _end,
    (Stage.RELEASING, messages.Conflicted): _check,
    (Stage.RELEASING, messages.Lost): _put_off,
    (Stage.RELEASING, messages.Down): _put_off,
    (Stage.RELEASING, messages.Retry): _write_release,
    (Stage.CHECKING, messages.Seen): _release_seen,
    (Stage.CHECKING, messages.Down): _put_off,
}
