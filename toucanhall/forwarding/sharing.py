"""Lets identical bulk requests share one transfer from another region."""

import threading
from typing import Final, NamedTuple, TypeAlias

from toucanhall import runtime
from toucanhall.catalogue import Route
from toucanhall.forwarding.records import (
    Answer,
    Headers,
    Request,
    find_header,
)

__all__ = ('Key', 'Sharing', 'can_share', 'make_key')

Key: TypeAlias = tuple[str, str, Headers]

_MAX_SHARED_BYTES: Final = 16777216
_ID_HEADER: Final = 'toucanhall-request-id'
# Request headers that do not change the answer of a target.
_IGNORED_HEADERS: Final = frozenset(
    ('user-agent', 'connection', 'host', 'x-forwarded-for', 'date'),
)


class _Transfer(NamedTuple):
    """A running transfer, and its whole answer once received."""

    done: threading.Event
    answers: list[Answer]


class Sharing:
    """Running transfers that other callers can join."""

    def __init__(self) -> None:
        """Start with no transfer."""
        self._lock = threading.Lock()
        self._transfers: dict[Key, _Transfer] = {}
        self.joined_count = 0

    def begin(self, key: Key) -> bool:
        """Begin a transfer; return false if one is already running."""
        with self._lock:
            if key in self._transfers:
                return False
            self._transfers[key] = _Transfer(threading.Event(), [])
            return True

    def publish(self, key: Key, answer: Answer | None) -> None:
        """End a transfer with its whole answer, or None if it failed."""
        with self._lock:
            transfer = self._transfers.pop(key, None)
        if transfer is None:
            return
        if answer is not None:
            transfer.answers.append(answer)
        transfer.done.set()

    def join(
        self,
        key: Key,
        request_id: str,
        give_up_at: float,
    ) -> Answer | None:
        """Wait for a running transfer; return its answer with the id given.

        None if no transfer runs, or it failed or missed the deadline.
        """
        with self._lock:
            transfer = self._transfers.get(key)
            self.joined_count += transfer is not None
        if transfer is None:
            return None
        transfer.done.wait(max(0, give_up_at - runtime.read_clock()))
        if not transfer.answers:
            return None
        return _replace_request_id(transfer.answers[0], request_id)


def make_key(route: Route, request: Request) -> Key | None:
    """Return the key of identical requests, or None if they do not share."""
    if route.kind != 'bulk' or request.method != 'GET' or request.body:
        return None
    headers = sorted(
        (name.lower(), content)
        for name, content in request.headers
        if name.lower() not in _IGNORED_HEADERS
    )
    return route.path, request.target, tuple(headers)


def can_share(answer: Answer) -> bool:
    """Return whether an answer is small enough to share from memory."""
    length = find_header(answer.headers, 'content-length')
    return length.isdigit() and int(length) <= _MAX_SHARED_BYTES


def _replace_request_id(answer: Answer, request_id: str) -> Answer:
    headers = tuple(
        (name, request_id if name.lower() == _ID_HEADER else content)
        for name, content in answer.headers
    )
    return answer._replace(headers=headers)
