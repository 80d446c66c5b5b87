"""Sends messages to peers and dispatches received ones to handlers."""

import threading
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import msgspec
import pynng
from returns.result import Result, Success

from toucanhall import events, runtime
from toucanhall.counters import Counters
from toucanhall.transport.frames import Envelope, FrameError, seal, unseal

__all__ = ('Exchange', 'Handler', 'Identity')

_MAX_UNSENT_MESSAGES: Final = 64
# The receiving thread may still be in a handler when the VM stops.
_JOIN_TIMEOUT_SECONDS: Final = 1.0
_MAX_CONNECTIONS: Final = 64
_MIN_RECONNECT_MS: Final = 100
_MAX_RECONNECT_MS: Final = 1000


class Identity(NamedTuple):
    """The VM's name, the id of this start, and the secret of the fleet."""

    vm: str
    start: str
    secret: bytes


class Handler(NamedTuple):
    """A type of message and the function that handles it."""

    kind: type
    receive: Callable[[Envelope, Any], None]


class Exchange:
    """One listening socket, and one sending socket per peer."""

    def __init__(
        self,
        *,
        identity: Identity,
        address: str,
        port: int,
        counters: Counters,
    ) -> None:
        """Listen on an address and port of this VM."""
        self._identity = identity
        self._address = address
        self._port = port
        self._counters = counters
        self._lock = threading.Lock()
        self._peers: dict[str, pynng.Push0] = {}
        self._handlers: Mapping[str, Handler] = {}
        self._socket = pynng.Pull0()
        self._thread = threading.Thread(
            target=self._receive_frames,
            name='exchange',
            daemon=True,
        )

    def start(self, handlers: tuple[Handler, ...]) -> None:
        """Start to receive messages; each type of message has one handler."""
        self._handlers = {
            handler.kind.__name__: handler for handler in handlers
        }
        if len(self._handlers) < len(handlers):
            kinds = [handler.kind.__name__ for handler in handlers]
            raise ValueError(
                f'a message type has two handlers: {sorted(kinds)}'
            )
        self._socket.listen(f'tcp://{self._address}:{self._port}')
        self._thread.start()

    def send(self, address: str, message: tuple[Any, ...]) -> None:
        """Send a message to the VM at an address; delivery is not certain.

        It is dropped and counted if the send buffer is full.
        """
        frame = seal(
            self._identity.secret,
            self._identity.vm,
            self._identity.start,
            message,
        )
        with self._lock:
            peer = self._peers.pop(address, None) or self._connect(address)
            self._peers[address] = peer
            try:
                peer.send(frame, block=False)
            except pynng.TryAgain:
                self._counters.add('message.unsent')

    def redial(self, address: str) -> None:
        """Close the connection to a silent peer; the next send reconnects."""
        with self._lock:
            peer = self._peers.pop(address, None)
        if peer is not None:
            peer.close()

    def stop(self) -> None:
        """Close all sockets and wait for the handler that is running.

        A thread that returns from pynng while the interpreter shuts down may
        abort the process.
        """
        with self._lock:
            peers = tuple(self._peers.values())
            self._peers.clear()
        for peer in peers:
            peer.close()
        self._socket.close()
        if self._thread.is_alive():
            self._thread.join(_JOIN_TIMEOUT_SECONDS)

    def _connect(self, address: str) -> pynng.Push0:
        peer = pynng.Push0(
            send_buffer_size=_MAX_UNSENT_MESSAGES,
            reconnect_time_min=_MIN_RECONNECT_MS,
            reconnect_time_max=_MAX_RECONNECT_MS,
        )
        peer.dial(f'tcp://{address}:{self._port}', block=False)
        if len(self._peers) >= _MAX_CONNECTIONS:
            least_recent = next(iter(self._peers))
            self._peers.pop(least_recent).close()
        return peer

    def _receive_frames(self) -> None:
        while True:
            try:
                frame = self._socket.recv()
            except pynng.Closed:
                return
            runtime.call_and_log_errors(self._handle_frame, frame)

    def _handle_frame(self, frame: bytes) -> None:
        unsealed = unseal(self._identity.secret, frame).bind(self._dispatch)
        unsealed.alt(self._record_dropped)

    def _dispatch(self, envelope: Envelope) -> Result[None, FrameError]:
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            return Result.from_failure(FrameError('unknown', envelope.kind))
        try:
            message: Any = msgspec.msgpack.decode(
                envelope.body,
                type=handler.kind,
            )
        except msgspec.MsgspecError as error:
            return Result.from_failure(FrameError('damaged', str(error)))
        handler.receive(envelope, message)
        return Success(None)

    def _record_dropped(self, error: FrameError) -> None:
        self._counters.add(f'message.dropped.{error.reason}')
        events.log(events.MESSAGE_DROPPED, reason=error.reason)
