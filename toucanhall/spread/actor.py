"""Actor that compares revisions with peers and exchanges newer ones."""

from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import pykka

from toucanhall import events, runtime
from toucanhall.catalogue import Holder, Revision, Verdict
from toucanhall.catalogue.reading import revise_after
from toucanhall.documents import Finding, render
from toucanhall.spread.acceptance import Known
from toucanhall.spread.messages import (
    Delta,
    Offer,
    RevisionAnswer,
    RevisionQuery,
)
from toucanhall.spread.monitor import FreshnessMonitor
from toucanhall.spread.patches import apply_delta, find_delta
from toucanhall.spread.silence import record_answer, record_query

__all__ = ('Arrived', 'Compare', 'Push', 'Spread', 'read_held')

Message = RevisionQuery | Delta | Offer | RevisionAnswer


class Arrived(NamedTuple):
    """A message received from a peer, and the address to reply to."""

    peer: str
    address: str
    message: Any


class Compare(NamedTuple):
    """Timer message: compare revisions with the contacts."""


class Push(NamedTuple):
    """A new revision is in force on this VM: send it to the contacts."""

    revision: Revision


class Spread(pykka.ThreadingActor):
    """Sends the newest revision to peers and receives it from them."""

    use_daemon_thread = True

    def __init__(
        self,
        *,
        holder: Holder,
        monitor: FreshnessMonitor,
        own_address: str,
        send: Callable[[str, Message], None],
        redial: Callable[[str], None],
        list_contacts: Callable[[], tuple[str, ...]],
    ) -> None:
        """`send` and `redial` take the address of a contact."""
        super().__init__()
        self._holder = holder
        self._monitor = monitor
        self._own_address = own_address
        self._send = send
        self._redial = redial
        self._unanswered: Mapping[str, float] = {}
        self._pushed: Revision | None = None
        self._delta: Delta | None = None
        self._list_contacts = list_contacts
        self._handlers: Mapping[type, Callable[[Any], None]] = {
            Arrived: self._receive,
            Compare: self._query_contacts,
            Push: self._push_revision,
        }

    def on_receive(self, message: Any) -> None:
        """Handle one message of this actor."""
        runtime.dispatch(self._handlers, message)

    def _receive(self, arrived: Arrived) -> None:
        _RECEIVERS[type(arrived.message)](self, arrived)

    def _answer_query(self, arrived: Arrived) -> None:
        query: RevisionQuery = arrived.message
        held = read_held(self._holder)
        self._send(arrived.address, self._monitor.make_answer(held, query))
        self._send_newer(arrived.address, Known(query.number, query.change))

    def _receive_answer(self, arrived: Arrived) -> None:
        answer: RevisionAnswer = arrived.message
        self._unanswered = record_answer(self._unanswered, arrived.address)
        self._monitor.receive_answer(
            read_held(self._holder), answer, arrived.peer
        )
        self._send_newer(arrived.address, Known(answer.number, answer.change))

    def _receive_offer(self, arrived: Arrived) -> None:
        offer: Offer = arrived.message
        held = read_held(self._holder)
        if (offer.number, offer.change) > held:
            self._revise(offer.number, offer.change, offer.document)
            self._send_query(arrived.address)

    def _receive_delta(self, arrived: Arrived) -> None:
        delta: Delta = arrived.message
        held = self._holder.current
        if (delta.number, delta.change) <= read_held(self._holder):
            return
        if held is not None:
            apply_delta(held, delta).map(
                lambda document: self._revise(
                    delta.number,
                    delta.change,
                    document,
                ),
            )
        # The answer confirms the new revision, or a whole offer follows it.
        self._send_query(arrived.address)

    def _revise(self, number: int, change: str, document: bytes) -> None:
        held = self._holder.current
        revised = revise_after(held, number, change, document)
        revised.map(self._holder.offer)
        revised.alt(log_invalid)

    def _send_newer(self, address: str, peer_known: Known) -> None:
        revision = self._holder.current
        if revision is None or peer_known >= read_held(self._holder):
            return
        delta = self._delta
        if delta and peer_known == (delta.base_number, delta.base_change):
            self._send(address, delta)
        else:
            self._send(address, make_offer(revision))

    def _query_contacts(self, _message: Compare) -> None:
        for address in self._list_contacts():
            self._send_query(address)

    def _send_query(self, address: str) -> None:
        now = runtime.read_clock()
        unanswered, is_silent = record_query(self._unanswered, address, now)
        self._unanswered = unanswered
        if is_silent:
            self._redial(address)
        held = read_held(self._holder)
        query = self._monitor.make_query(held, self._own_address)
        self._send(address, query)

    def _push_revision(self, message: Push) -> None:
        revision = message.revision
        self._delta = find_delta(self._pushed, revision)
        self._pushed = revision
        update = self._delta or make_offer(revision)
        for address in self._list_contacts():
            self._send(address, update)


_RECEIVERS: Final[Mapping[type, Callable[[Spread, Arrived], None]]] = {
    RevisionQuery: Spread._answer_query,
    Delta: Spread._receive_delta,
    Offer: Spread._receive_offer,
    RevisionAnswer: Spread._receive_answer,
}


def read_held(holder: Holder) -> Known:
    """Return the number and change of the revision in force."""
    held = holder.current
    return Known(held.number, held.change) if held else Known()


def make_offer(revision: Revision) -> Offer:
    """Return the message that carries a whole revision."""
    return Offer(revision.number, revision.change, revision.document)


def log_invalid(findings: tuple[Finding, ...]) -> Verdict:
    """Log the errors of a revision that cannot be decoded."""
    errors = [render(finding) for finding in findings]
    events.log(events.CATALOGUE_INVALID, errors=errors)
    return Verdict.STALE
