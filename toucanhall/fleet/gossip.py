"""Carries heartbeats between VMs as datagrams."""

import asyncio
from collections.abc import Callable
from typing import Final, cast

import msgspec

from toucanhall.fleet.membership import Heartbeat
from toucanhall.fleet.model import Address

__all__ = ('Gossip', 'open_gossip')

_MOST_BYTES: Final = 60000  # a UDP datagram holds a little more

Hear = Callable[[Heartbeat], None]


class Gossip(asyncio.DatagramProtocol):
    """The socket on which heartbeats come and go."""

    def __init__(self, *, hear: Hear, on_bad: Callable[[str], None]) -> None:
        """Pass each heartbeat to `hear`; tell `on_bad` why one was dropped."""
        self._hear = hear
        self._on_bad = on_bad
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, received: bytes, _address: object) -> None:
        """Decode a heartbeat."""
        try:
            heartbeat = _DECODER.decode(received)
        except msgspec.MsgspecError as error:
            self._on_bad(str(error))
            return
        self._hear(heartbeat)

    def error_received(self, error: Exception) -> None:
        """Note that a datagram could not be delivered."""
        self._on_bad(str(error))

    def send(self, heartbeat: Heartbeat, addresses: list[Address]) -> None:
        """Send a heartbeat to each address."""
        if self._transport is None or not addresses:
            return
        sent = _ENCODER.encode(heartbeat)[:_MOST_BYTES]
        for address in addresses:
            self._transport.sendto(sent, address)


async def open_gossip(
    address: Address,
    *,
    hear: Hear,
    on_bad: Callable[[str], None],
) -> Gossip:
    """Listen for heartbeats at an address."""
    (
        _transport,
        gossip,
    ) = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Gossip(hear=hear, on_bad=on_bad),
        local_addr=address,
    )
    return gossip


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Heartbeat)
