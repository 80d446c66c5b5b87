"""Sends and receives messages between VMs as UDP datagrams."""

import asyncio
import math
import zlib
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, cast

import msgspec

from toucanhall.fleet.addresses import is_ip
from toucanhall.fleet.membership import Heartbeat
from toucanhall.fleet.model import Address
from toucanhall.fleet.packing import pack, unpack
from toucanhall.fleet.reports import ZoneReport

__all__ = ('Gossip', 'Message', 'open_gossip')

_MOST_BYTES: Final = 60000  # a UDP datagram holds a little more
_MOST_DECODED: Final = 1 << 20  # bytes: ten times the largest report
# Reports name VMs and teams over and over: they shrink below three fifths.
# What fits in one packet of a link gains too little for the time.
_COMPRESS_FROM: Final = 1200
_PLAIN: Final = b'\x00'
_COMPRESSED: Final = b'\x01'


class Message(NamedTuple):
    """A heartbeat or a report; `is_relayed` if a VM of the zone relayed it."""

    heartbeat: Heartbeat | None = None
    report: ZoneReport | None = None
    is_relayed: bool = False


Hear = Callable[[Message], None]


class Gossip(asyncio.DatagramProtocol):
    """The UDP socket that sends and receives messages."""

    def __init__(self, *, hear: Hear, on_bad: Callable[[str], None]) -> None:
        """Pass each message to `hear`; tell `on_bad` why one was dropped."""
        self._hear = hear
        self._on_bad = on_bad
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Pass on the loss of the socket, unless it was closed on purpose."""
        if error is not None:
            self._on_bad(f'socket lost: {error}')

    def datagram_received(self, received: bytes, _address: object) -> None:
        """Decode a message, check it and pass it on."""
        try:
            message = _DECODER.decode(_unpack(received))
        except (msgspec.MsgspecError, zlib.error) as error:
            self._on_bad(str(error))
            return
        if not _is_sane(message):
            self._on_bad('figures out of range')
            return
        if not all(map(is_ip, _list_ips(message))):
            self._on_bad('no IP address')
            return
        self._hear(message)

    def error_received(self, error: Exception) -> None:
        """Note that a datagram could not be delivered."""
        self._on_bad(str(error))

    def send(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a message to each address."""
        if self._transport is None:
            return
        sent = _pack(_ENCODER.encode(message))
        if len(sent) > _MOST_BYTES:
            self._on_bad(f'{len(sent)} bytes do not fit in a datagram')
            return
        for address in addresses:
            self._transport.sendto(sent, address)


async def open_gossip(
    address: Address,
    *,
    hear: Hear,
    on_bad: Callable[[str], None],
) -> Gossip:
    """Listen for messages at an address."""
    (
        _transport,
        gossip,
    ) = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Gossip(hear=hear, on_bad=on_bad),
        local_addr=address,
    )
    return gossip


def _pack(encoded: bytes) -> bytes:
    """Compress a message that is worth it; a mark tells which ones are."""
    if len(encoded) < _COMPRESS_FROM:
        return _PLAIN + encoded
    return _COMPRESSED + pack(encoded)


def _unpack(received: bytes) -> bytes:
    mark, rest = received[:1], received[1:]
    if mark != _COMPRESSED:
        return rest
    return unpack(rest, _MOST_DECODED)


def _list_ips(message: Message) -> list[str]:
    """Return all addresses in a message."""
    heartbeat, report = message.heartbeat, message.report
    found: list[str] = []
    if report is not None:
        found.append(report.ip)
        found.extend(member.ip for member in report.members)
    if heartbeat is not None:
        found.append(heartbeat.member.ip)
        found.extend(member.ip for member in heartbeat.introduced)
    return found


def _is_sane(message: Message) -> bool:
    """Whether all figures can be worked with: none is negative or no number."""
    heartbeat, report = message.heartbeat, message.report
    members = list(report.members) if report else []
    usages = [told.usage for told in report.told] if report else []
    figures = [told.vms for told in report.told] if report else []
    if heartbeat is not None:
        members.append(heartbeat.member)
        usages.append(heartbeat.usage)
    for member in members:
        figures.extend((member.lag, member.capacity, member.load))
    for usage in usages:
        for found in (usage or {}).values():
            figures.extend(found)
    return all(0 <= figure < math.inf for figure in figures)


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Message)
