"""Sends and receives messages between VMs as UDP datagrams."""

import asyncio
import math
import time
import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple, cast

import msgspec

from toucanhall.fleet.addresses import is_ip
from toucanhall.fleet.datagrams import (
    UnknownMarkError,
    pack_datagram,
    unpack_datagram,
)
from toucanhall.fleet.membership import Heartbeat
from toucanhall.fleet.model import Address
from toucanhall.fleet.peer_forms import PeerForms
from toucanhall.fleet.record_reading import RecordReader
from toucanhall.fleet.reports import LimitReports, Member, ZoneReport

__all__ = ('Gossip', 'Message', 'open_gossip')

_MAX_DATAGRAM_BYTES: Final = 60000  # UDP allows a little more
_DECODE_ERRORS: Final = (msgspec.MsgspecError, zlib.error, UnknownMarkError)


class Message(NamedTuple):
    """A heartbeat or reports; `is_relayed` if a VM of the zone relayed them."""

    heartbeat: Heartbeat | None = None
    report: ZoneReport | None = None
    is_relayed: bool = False
    limits: LimitReports | None = None


Receive = Callable[[Message], None]
OnUnknown = Callable[[Mapping[str, int]], None]


def _ignore(_counts: Mapping[str, int]) -> None:
    """Take no notice of unknown fields."""


class Gossip(asyncio.DatagramProtocol):
    """The UDP socket that sends and receives messages."""

    def __init__(
        self,
        *,
        receive: Receive,
        on_error: Callable[[str], None],
        on_unknown: OnUnknown = _ignore,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Pass on received messages, and a text for each error.

        Errors are messages that were dropped or could not be delivered, and
        the loss of the socket. `on_unknown` gets how many unknown fields each
        record of a message has, by their names.
        """
        self._receive = receive
        self._on_error = on_error
        self._reader = RecordReader(Message, on_unknown=on_unknown)
        self.forms = PeerForms(clock=clock)
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Pass on the loss of the socket, unless it was closed on purpose."""
        if error is not None:
            self._on_error(f'socket lost: {error}')

    def datagram_received(
        self, received: bytes, address: tuple[str, int]
    ) -> None:
        """Decode a message, check it and pass it on."""
        try:
            datagram = unpack_datagram(received)
            message = self._reader.read(datagram.encoded)
        except _DECODE_ERRORS as error:
            self._on_error(str(error))
            return
        if not _has_valid_numbers(message):
            self._on_error('a number is negative, infinite or not a number')
            return
        if not all(map(is_ip, _list_ips(message))):
            self._on_error('an address is not an IPv4 address')
            return
        self._note_form(message, address[0], datagram.form)
        self._receive(message)

    def error_received(self, error: Exception) -> None:
        """Pass on that a datagram could not be delivered."""
        self._on_error(str(error))

    def send(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a message to each address."""
        if self._transport is None:
            return
        datagrams: dict[int, bytes] = {}
        for address in addresses:
            form = self.forms.get(address.host)
            if form not in datagrams:
                datagrams[form] = self._pack(message, form)
            if datagrams[form]:
                self._transport.sendto(datagrams[form], address)

    def _pack(self, message: Message, form: int) -> bytes:
        """Return a message as a datagram, empty if it is too long for one."""
        datagram = pack_datagram(message, form)
        if len(datagram) <= _MAX_DATAGRAM_BYTES:
            return datagram
        self._on_error(
            f'message not sent: {len(datagram)} bytes, '
            f'at most {_MAX_DATAGRAM_BYTES} fit in a datagram',
        )
        return b''

    def _note_form(self, message: Message, ip: str, form: int | None) -> None:
        """Note the form that the sender reads, unless it leaves.

        A message that was passed on does not tell whether its sender leaves.
        """
        members = _list_members(message)
        leaving = {found.ip for found in members if found.is_leaving}
        for leaving_ip in leaving:
            self.forms.forget(leaving_ip)
        tells_state = bool(members) and not message.is_relayed
        if form is not None and tells_state and ip not in leaving:
            self.forms.record(ip, form)


async def open_gossip(
    address: Address,
    *,
    receive: Receive,
    on_error: Callable[[str], None],
    on_unknown: OnUnknown = _ignore,
) -> Gossip:
    """Listen for messages at an address."""
    (
        _transport,
        gossip,
    ) = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Gossip(
            receive=receive, on_error=on_error, on_unknown=on_unknown
        ),
        local_addr=address,
    )
    return gossip


def _list_members(message: Message) -> list[Member]:
    """Return the states of VMs in a message."""
    heartbeat, report = message.heartbeat, message.report
    members = list(report.members) if report else []
    if heartbeat is not None:
        members.append(heartbeat.member)
    return members


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
    members = _list_members(message)
    usages = [found.usage for found in report.usage_reports] if report else []
    numbers = [found.vms for found in report.usage_reports] if report else []
    if heartbeat is not None:
        numbers.append(heartbeat.store_age or 0.0)
        usages.append(heartbeat.usage)
    for member in members:
        numbers.extend((member.lag, member.capacity, member.load))
    for usage in usages:
        for team_usage in (usage or {}).values():
            numbers.extend(team_usage)
    return numbers
