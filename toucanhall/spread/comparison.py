"""Compares revisions with peers: who is behind, and what an answer proves."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from toucanhall.spread.acceptance import Known
from toucanhall.spread.freshness import Freshness, is_settled, learn
from toucanhall.spread.messages import RevisionQuery, RevisionAnswer

__all__ = ('Comparison', 'ask', 'hear_ask', 'hear_told', 'tell')

_ANSWER_SECONDS: Final = 10.0


class Comparison(NamedTuple):
    """Questions without an answer, by nonce, and the newest revision heard."""

    freshness: Freshness
    asked: Mapping[int, float]
    nonce: int = 0
    heard: Known = Known()


def ask(
    state: Comparison,
    held: Known,
    address: str,
    now: float,
) -> tuple[Comparison, RevisionQuery]:
    """Return a new question that was sent at `now`."""
    nonce = state.nonce + 1
    waiting = {
        number: asked_at
        for number, asked_at in state.asked.items()
        if now - asked_at < _ANSWER_SECONDS
    }
    return (
        state._replace(asked={**waiting, nonce: now}, nonce=nonce),
        RevisionQuery(nonce, address, held.number, held.change),
    )


def hear_ask(state: Comparison, question: RevisionQuery) -> Comparison:
    """Note what the asking peer holds."""
    return _note(state, Known(question.number, question.change))


def tell(
    state: Comparison, held: Known, question: RevisionQuery, now: float
) -> RevisionAnswer:
    """Return the answer to a peer's question."""
    freshness = state.freshness
    age = None
    if freshness.as_of is not None and is_settled(freshness, now):
        age = now - freshness.as_of
    return RevisionAnswer(question.nonce, held.number, held.change, age)


def hear_told(
    state: Comparison,
    held: Known,
    answer: RevisionAnswer,
    peer: str,
    now: float,
) -> Comparison:
    """Return the state after an answer of a peer.

    It proves something only when it answers an open question, comes from a
    peer that relies on its own revision, and names none newer than the held.
    """
    asked_at = state.asked.get(answer.nonce)
    state = _note(state, Known(answer.number, answer.change))
    if asked_at is None:
        return state
    remaining = {
        nonce: at for nonce, at in state.asked.items() if nonce != answer.nonce
    }
    state = state._replace(asked=remaining)
    if answer.age is None or (answer.number, answer.change) > held:
        return state
    as_of = asked_at - max(0, answer.age)
    freshness = learn(state.freshness, as_of, peer, now)
    return state._replace(freshness=freshness)


def _note(state: Comparison, known: Known) -> Comparison:
    return state._replace(heard=max(state.heard, known))
