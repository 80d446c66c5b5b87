"""Compares revisions with peers and derives evidence of freshness."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from toucanhall.spread.acceptance import Known
from toucanhall.spread.freshness import Freshness, is_settled, record_evidence
from toucanhall.spread.messages import RevisionAnswer, RevisionQuery

__all__ = (
    'Comparison',
    'make_query',
    'receive_query',
    'receive_answer',
    'make_answer',
)

_ANSWER_TIMEOUT_SECONDS: Final = 10.0


class Comparison(NamedTuple):
    """Unanswered queries by nonce, and the newest revision any peer named."""

    freshness: Freshness
    open_queries: Mapping[int, float]
    nonce: int = 0
    newest_known: Known = Known()


def make_query(
    state: Comparison,
    held: Known,
    address: str,
    now: float,
) -> tuple[Comparison, RevisionQuery]:
    """Return a new query that is sent at `now`."""
    nonce = state.nonce + 1
    recent = {
        number: sent_at
        for number, sent_at in state.open_queries.items()
        if now - sent_at < _ANSWER_TIMEOUT_SECONDS
    }
    return (
        state._replace(open_queries={**recent, nonce: now}, nonce=nonce),
        RevisionQuery(nonce, address, held.number, held.change),
    )


def receive_query(state: Comparison, query: RevisionQuery) -> Comparison:
    """Record the revision that the querying peer holds."""
    return _record_known(state, Known(query.number, query.change))


def make_answer(
    state: Comparison, held: Known, query: RevisionQuery, now: float
) -> RevisionAnswer:
    """Return the answer to a peer's query."""
    freshness = state.freshness
    age = None
    if freshness.as_of is not None and is_settled(freshness, now):
        age = now - freshness.as_of
    return RevisionAnswer(query.nonce, held.number, held.change, age)


def receive_answer(
    state: Comparison,
    held: Known,
    answer: RevisionAnswer,
    peer: str,
    now: float,
) -> Comparison:
    """Return the state after an answer of a peer.

    The answer is evidence only when it belongs to an open query, comes from a
    peer that relies on its own revision, and names no newer revision than the
    held one.
    """
    sent_at = state.open_queries.get(answer.nonce)
    state = _record_known(state, Known(answer.number, answer.change))
    if sent_at is None:
        return state
    remaining = {
        nonce: query_sent_at
        for nonce, query_sent_at in state.open_queries.items()
        if nonce != answer.nonce
    }
    state = state._replace(open_queries=remaining)
    if answer.age is None or (answer.number, answer.change) > held:
        return state
    as_of = sent_at - max(0, answer.age)
    freshness = record_evidence(state.freshness, as_of, peer, now)
    return state._replace(freshness=freshness)


def _record_known(state: Comparison, known: Known) -> Comparison:
    return state._replace(newest_known=max(state.newest_known, known))
