"""State machine of one claim: pure functions of state, event and time."""

from collections.abc import Callable, Mapping
from typing import Any, Final, TypeAlias

from toucanhall.idempotency import messages
from toucanhall.idempotency.attempt import Attempt, Stage, Verdict, may_send
from toucanhall.idempotency.claims import Claim, Standing, judge
from toucanhall.idempotency.messages import Transition
from toucanhall.objectstore.model import ABSENT

__all__ = ('start', 'step')


def start(claim: Claim, give_up_at: float) -> Transition:
    """Start an attempt, which first creates the claim if none exists."""
    return Transition(
        Attempt(claim, give_up_at), (messages.Write(claim, ABSENT),)
    )


def step(attempt: Attempt, event: messages.Event, now: float) -> Transition:
    """Apply an event to an attempt; an unexpected event changes nothing.

    Only its claimant releases a claim, and only before the first byte was
    sent.
    """
    handler = _HANDLERS.get((attempt.stage, type(event)))
    if handler is None:
        return Transition(attempt)
    return handler(attempt, event, now)


def _hold(attempt: Attempt, version: int, now: float) -> Transition:
    held = attempt._replace(stage=Stage.HELD, expected=version)
    if not may_send(attempt.give_up_at, now):
        return _release(held, Verdict.LATE)
    return Transition(held, (messages.Notify(Verdict.MINE, attempt.claim),))


def _hold_written(
    attempt: Attempt, event: messages.Written, now: float
) -> Transition:
    return _hold(attempt, event.version, now)


def _read_claim(
    attempt: Attempt, _event: messages.Event, _now: float
) -> Transition:
    return Transition(attempt._replace(stage=Stage.READING), (messages.Read(),))


def _read_after_lost_reply(
    attempt: Attempt,
    event: messages.Event,
    now: float,
) -> Transition:
    return _read_claim(attempt._replace(has_unconfirmed_write=True), event, now)


def _resolve_read(
    attempt: Attempt, event: messages.ReadDone, now: float
) -> Transition:
    found = event.found
    if found is None:
        return _retry_write(attempt, ABSENT, now)
    standing = judge(
        found.claim,
        attempt.claim.claim_id,
        attempt.claim.digest,
    )
    if standing is Standing.MINE:
        return _hold(attempt, found.version, now)
    if standing is Standing.FREE:
        return _retry_write(attempt, found.version, now)
    ended = attempt._replace(stage=Stage.ENDED)
    return Transition(
        ended, (messages.Notify(Verdict(standing.value), found.claim),)
    )


def _retry_write(attempt: Attempt, expected: int, now: float) -> Transition:
    updated = attempt._replace(expected=expected)
    if not may_send(attempt.give_up_at, now):
        return _end_or_release(updated, Verdict.LATE)
    if attempt.remaining_tries <= 1:
        return _end_or_release(updated, Verdict.UNCLAIMED)
    again = updated._replace(
        stage=Stage.WRITING, remaining_tries=attempt.remaining_tries - 1
    )
    return Transition(again, (messages.Write(attempt.claim, expected),))


def _end_unclaimed(
    attempt: Attempt,
    _event: messages.Event,
    _now: float,
) -> Transition:
    return _end_or_release(attempt, Verdict.UNCLAIMED)


def _end_or_release(attempt: Attempt, verdict: Verdict) -> Transition:
    """End an attempt; release the claim if a write may still create it."""
    if attempt.has_unconfirmed_write:
        return _release(attempt, verdict)
    ended = attempt._replace(stage=Stage.ENDED)
    return Transition(ended, (messages.Notify(verdict, attempt.claim),))


def _send_if_in_time(
    attempt: Attempt, _event: messages.Event, now: float
) -> Transition:
    if not may_send(attempt.give_up_at, now):
        return _release(attempt, Verdict.LATE)
    return Transition(attempt._replace(stage=Stage.SENT), (messages.Send(),))


def _hold_disclaimed(
    attempt: Attempt, _event: messages.Event, _now: float
) -> Transition:
    return Transition(attempt._replace(stage=Stage.HELD))


def _release(attempt: Attempt, verdict: Verdict) -> Transition:
    """Give the verdict now; the release is written after the response."""
    return Transition(
        attempt._replace(stage=Stage.RELEASING),
        (messages.Notify(verdict, attempt.claim), messages.ScheduleRetry()),
    )


def _write_release(
    attempt: Attempt, _event: messages.Event, _now: float
) -> Transition:
    released = attempt.claim._replace(released=True)
    return Transition(
        attempt._replace(stage=Stage.RELEASING),
        (messages.Write(released, attempt.expected),),
    )


def _check_release(
    attempt: Attempt, _event: messages.Event, _now: float
) -> Transition:
    return Transition(
        attempt._replace(stage=Stage.CHECKING), (messages.Read(),)
    )


def _resolve_release(
    attempt: Attempt, event: messages.ReadDone, now: float
) -> Transition:
    found = event.found
    if found is None:
        absent = attempt._replace(expected=ABSENT)
        return _write_release(absent, event, now)
    is_mine = found.claim.claim_id == attempt.claim.claim_id
    if is_mine and not found.claim.released:
        mine = attempt._replace(expected=found.version)
        return _write_release(mine, event, now)
    return _end(attempt, event, now)


def _finish(
    attempt: Attempt, event: messages.ResponseReceived, now: float
) -> Transition:
    done = attempt.claim._replace(outcome=event.outcome)
    return _write_outcome(attempt._replace(claim=done), event, now)


def _write_outcome(
    attempt: Attempt, _event: messages.Event, _now: float
) -> Transition:
    return Transition(
        attempt._replace(stage=Stage.FINISHING),
        (messages.Write(attempt.claim, attempt.expected),),
    )


def _schedule_retry(
    attempt: Attempt,
    _event: messages.Event,
    _now: float,
) -> Transition:
    stage = _RETRY_STAGES.get(attempt.stage, attempt.stage)
    return Transition(
        attempt._replace(stage=stage), (messages.ScheduleRetry(),)
    )


def _end(attempt: Attempt, _event: messages.Event, _now: float) -> Transition:
    return Transition(attempt._replace(stage=Stage.ENDED))


_RETRY_STAGES: Final = {Stage.CHECKING: Stage.RELEASING}

_Handler: TypeAlias = Callable[[Attempt, Any, float], Transition]

_HANDLERS: Final[Mapping[tuple[Stage, type[Any]], _Handler]] = {
    (Stage.WRITING, messages.Written): _hold_written,
    (Stage.WRITING, messages.Conflicted): _read_claim,
    (Stage.WRITING, messages.ReplyLost): _read_after_lost_reply,
    (Stage.WRITING, messages.StoreUnreachable): _end_unclaimed,
    (Stage.READING, messages.ReadDone): _resolve_read,
    (Stage.READING, messages.StoreUnreachable): _end_unclaimed,
    (Stage.HELD, messages.Connected): _send_if_in_time,
    (Stage.HELD, messages.Abandoned): _write_release,
    (Stage.HELD, messages.ResponseReceived): _finish,
    (Stage.SENT, messages.Disclaimed): _hold_disclaimed,
    (Stage.SENT, messages.ResponseReceived): _finish,
    (Stage.SENT, messages.ResponseMissing): _end,
    (Stage.FINISHING, messages.Written): _end,
    (Stage.FINISHING, messages.Conflicted): _end,
    (Stage.FINISHING, messages.ReplyLost): _schedule_retry,
    (Stage.FINISHING, messages.StoreUnreachable): _schedule_retry,
    (Stage.FINISHING, messages.Retry): _write_outcome,
    (Stage.RELEASING, messages.Written): _end,
    (Stage.RELEASING, messages.Conflicted): _check_release,
    (Stage.RELEASING, messages.ReplyLost): _schedule_retry,
    (Stage.RELEASING, messages.StoreUnreachable): _schedule_retry,
    (Stage.RELEASING, messages.Retry): _write_release,
    (Stage.CHECKING, messages.ReadDone): _resolve_release,
    (Stage.CHECKING, messages.StoreUnreachable): _schedule_retry,
}
