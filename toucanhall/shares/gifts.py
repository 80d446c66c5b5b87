"""Exchanges requests for unused tokens and gifts among a zone's VMs."""

from collections.abc import Callable, Mapping
from typing import Any

from toucanhall.shares.ledger import Ledger
from toucanhall.shares.messages import Gift, GiftRequest
from toucanhall.transport import Envelope

__all__ = ('Gifts',)


class Gifts:
    """Sends gift requests to the peers in turn, and answers theirs."""

    def __init__(
        self,
        *,
        start: str,
        ledger: Ledger,
        send: Callable[[str, Any], None],
        list_peers: Callable[[], Mapping[str, str]],
    ) -> None:
        """Exchange tokens of the ledger with the peers, listed by address."""
        self._start = start
        self._ledger = ledger
        self._send = send
        self._list_peers = list_peers

    def request(self, gift_request: GiftRequest, turn: int) -> None:
        """Send a gift request to the peer whose turn it is."""
        peers = self._list_peers()
        if peers:
            vm = sorted(peers)[turn % len(peers)]
            self._send(peers[vm], gift_request)

    def give(self, envelope: Envelope, gift_request: GiftRequest) -> None:
        """Answer a gift request with the tokens that can be spared."""
        address = self._list_peers().get(envelope.vm)
        if address is None:
            return
        tokens = self._ledger.give_tokens(
            gift_request.team, gift_request.tokens
        )
        if tokens:
            gift = Gift(
                envelope.start, gift_request.team, tokens, gift_request.asked_at
            )
            self._send(address, gift)

    def accept(self, _envelope: Envelope, gift: Gift) -> None:
        """Add a gift, unless it is for an earlier start of this VM."""
        if gift.start == self._start:
            self._ledger.accept(gift.team, gift.tokens, gift.asked_at)
