"""Carries asks for unused tokens, and the gifts, between VMs of a zone."""

from collections.abc import Callable, Mapping
from typing import Any

from toucanhall.shares.ledger import Ledger
from toucanhall.shares.messages import GiftRequest, Gift
from toucanhall.transport import Envelope

__all__ = ('Gifts',)


class Gifts:
    """Asks the peers in turn, and answers theirs."""

    def __init__(
        self,
        *,
        start: str,
        ledger: Ledger,
        send: Callable[[str, Any], None],
        list_peers: Callable[[], Mapping[str, str]],
    ) -> None:
        """Move tokens of the ledger between peers, listed with addresses."""
        self._start = start
        self._ledger = ledger
        self._send = send
        self._list_peers = list_peers

    def request(self, gift_request: GiftRequest, turn: int) -> None:
        """Send an ask to the peer whose turn it is."""
        peers = self._list_peers()
        if peers:
            vm = sorted(peers)[turn % len(peers)]
            self._send(peers[vm], gift_request)

    def give(self, envelope: Envelope, gift_request: GiftRequest) -> None:
        """Answer an ask with what can be spared."""
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
        """Add a gift that was meant for this start of the VM."""
        if gift.start == self._start:
            self._ledger.accept(gift.team, gift.tokens, gift.asked_at)
