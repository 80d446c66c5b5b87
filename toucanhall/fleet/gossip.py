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
from toucanhall.fleet.reports import LimitReports, ZoneReport

__all__ = ('Gossip', 'Message', 'open_gossip')

_MAX_DATAGRAM_BYTES: Final = 60000  # UDP allows a little more
_MAX_DECODED_BYTES: Final = 1 << 20  # ten times the largest report
# Reports repeat the names of VMs and teams: they shrink below three fifths.
# Compressing what fits in one packet of a link gains too little for its time.
_MIN_COMPRESSED_BYTES: Final = 1200
_PLAIN_MARK: Final = b'\x00'
_COMPRESSED_MARK: Final = b'\x01'


class Message(NamedTuple):
    """A heartbeat or reports; `is_relayed` if a VM of the zone relayed them."""

    heartbeat: Heartbeat | None = None
    report: ZoneReport | None = None
    is_relayed: bool = False
    limits: LimitReports | None = None


Receive = Callable[[Message], None]


class Gossip(asyncio.DatagramProtocol):
    """The UDP socket that sends and receives messages."""

    def __init__(
        self, *, receive: Receive, on_error: Callable[[str], None]
    ) -> None:
        """Pass on received messages, and a text for each error.

        Errors are messages that were dropped or could not be delivered, and
        the loss of the socket.
        """
        self._receive = receive
        self._on_error = on_error
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Pass on the loss of the socket, unless it was closed on purpose."""
        if error is not None:
            self._on_error(f'socket lost: {error}')

    def datagram_received(self, received: bytes, _address: object) -> None:
        """Decode a message, check it and pass it on."""
        try:
            message = _DECODER.decode(_unpack(received))
        except (msgspec.MsgspecError, zlib.error) as error:
            self._on_error(str(error))
            return
        if not _has_valid_numbers(message):
            self._on_error('a number is negative, infinite or not a number')
            return
        if not all(map(is_ip, _list_ips(message))):
            self._on_error('an address is not an IPv4 address')
            return
        self._receive(message)

    def error_received(self, error: Exception) -> None:
        """Pass on that a datagram could not be delivered."""
        self._on_error(str(error))

    def send(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a message to each address."""
        if self._transport is None:
            return
        datagram = _pack(_encode(message))
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            self._on_error(
                f'message not sent: {len(datagram)} bytes, '
                f'at most {_MAX_DATAGRAM_BYTES} fit in a datagram',
            )
            return
        for address in addresses:
            self._transport.sendto(datagram, address)


async def open_gossip(
    address: Address,
    *,
    receive: Receive,
    on_error: Callable[[str], None],
) -> Gossip:
    """Listen for messages at an address."""
    (
        _transport,
        gossip,
    ) = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Gossip(receive=receive, on_error=on_error),
        local_addr=address,
    )
    return gossip


def _encode(message: Message) -> bytes:
    """Encode a message; without limits, VMs that know none can read it."""
    if message.limits is None:
        return _ENCODER.encode(message[:3])
    return _ENCODER.encode(message)


def _pack(encoded: bytes) -> bytes:
    """Compress a message that is long enough; the first byte says whether."""
    if len(encoded) < _MIN_COMPRESSED_BYTES:
        return _PLAIN_MARK + encoded
    return _COMPRESSED_MARK + pack(encoded)


def _unpack(received: bytes) -> bytes:
    mark, rest = received[:1], received[1:]
    if mark != _COMPRESSED_MARK:
        return rest
    return unpack(rest, _MAX_DECODED_BYTES)


def _list_ips(message: Message) -> list[str]:
    """Return all addresses in a message."""
    heartbeat, report = message.heartbeat, message.report
    found: list[str] = []
    if report is not None:
        found.append(report.ip)
        found.extend(member.ip for member in report.members)
    if heartbeat is not None:
        found.append(heartbeat.member.ip)
        found.extend(member.ip for member in heartbeat.known_vms)
    return found


def _has_valid_numbers(message: Message) -> bool:
    """Whether all numbers are finite and none is negative."""
    numbers = [*_list_numbers(message), *_list_limit_numbers(message)]
    return all(0 <= number < math.inf for number in numbers)


def _list_limit_numbers(message: Message) -> Iterable[float]:
    for limit in message.limits.reports if message.limits else ():
        yield limit.sent_age
        yield limit.received_age
        yield limit.per_second or 0.0


def _list_numbers(message: Message) -> Iterable[float]:
    heartbeat, report = message.heartbeat, message.report
    members = list(report.members) if report else []
    usages = [found.usage for found in report.usage_reports] if report else []
    numbers = [found.vms for found in report.usage_reports] if report else []
    if heartbeat is not None:
        members.append(heartbeat.member)
        numbers.append(heartbeat.store_age or 0.0)
        usages.append(heartbeat.usage)
    for member in members:
        numbers.extend((member.lag, member.capacity, member.load))
    for usage in usages:
        for team_usage in (usage or {}).values():
            numbers.extend(team_usage)
    return numbers


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Message)
