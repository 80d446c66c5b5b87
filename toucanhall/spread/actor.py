"""The actor that offers revisions to peers and takes theirs."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import pykka

from toucanhall import events
from toucanhall.catalogue import Holder, Revision, Verdict
from toucanhall.catalogue.reading import revise
from toucanhall.documents import Finding, render
from toucanhall.spread.messages import Offer

__all__ = ('Behind', 'Offered', 'Push', 'Spread')


class Offered(NamedTuple):
    """A peer offered a revision."""

    offer: Offer


class Behind(NamedTuple):
    """A peer at an address was heard to hold an older revision."""

    address: str
    revision: int


class Push(NamedTuple):
    """A new revision came into force here; tell the contacts."""

    revision: Revision


class Spread(pykka.ThreadingActor):
    """Offers the revision in force to peers that hold an older one."""

    use_daemon_thread = True

    def __init__(
        self,
        *,
        holder: Holder,
        send: Callable[[str, Offer], None],
        list_contacts: Callable[[], tuple[str, ...]],
    ) -> None:
        """Send offers with `send` to the addresses of the contacts."""
        super().__init__()
        self._holder = holder
        self._send = send
        self._list_contacts = list_contacts
        self._handlers: Mapping[type, Callable[[Any], None]] = {
            Offered: self._take,
            Behind: self._answer,
            Push: self._push,
        }

    def on_receive(self, message: Any) -> None:
        """Handle one message of this actor."""
        self._handlers[type(message)](message)

    def _take(self, message: Offered) -> None:
        offer = message.offer
        held = self._holder.current
        if held and offer.number <= held.number:
            return
        revised = revise(offer.number, offer.change, offer.document)
        revised.map(self._holder.offer)
        revised.alt(log_invalid)

    def _answer(self, message: Behind) -> None:
        held = self._holder.current
        if held and message.revision < held.number:
            self._send(message.address, make_offer(held))

    def _push(self, message: Push) -> None:
        offer = make_offer(message.revision)
        for address in self._list_contacts():
            self._send(address, offer)


def make_offer(revision: Revision) -> Offer:
    """Return the message that carries a revision."""
    return Offer(revision.number, revision.change, revision.document)


def log_invalid(findings: tuple[Finding, ...]) -> Verdict:
    """Log the errors of a revision that cannot be read."""
    errors = [render(finding) for finding in findings]
    events.log(events.CATALOGUE_INVALID, errors=errors)
    return Verdict.STALE
