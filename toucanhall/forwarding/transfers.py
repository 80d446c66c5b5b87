"""Relays answers and reports the end of requests to the steering policy."""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from toucanhall import runtime
from toucanhall.forwarding.bodies import TrackedBody, close_body
from toucanhall.forwarding.records import Answer, find_header
from toucanhall.steering import Carry, End, Origin, Outcome, Run, Steerer

__all__ = ('Transfer', 'parse_spare', 'read_whole', 'track_end')

_SPARE_HEADER: Final = 'toucanhall-spare'
_MIN_SERVER_ERROR_STATUS: Final = 500


class Transfer(NamedTuple):
    """A request in flight, as it is reported to the steering policy."""

    steerer: Steerer
    service: str
    choice: Run | Carry
    origin: Origin
    started_at: float

    def finish(self, *, healthy: bool | None, spare: int | None = None) -> None:
        """Report to the policy how the request ended."""
        seconds = runtime.read_clock() - self.started_at
        outcome = Outcome(healthy, seconds)
        self.steerer.finish(
            self.service,
            End(self.choice.name, outcome, self.origin, spare),
        )

    def throttle(self, byte_count: int) -> None:
        """Pause to keep a remote region's bytes within this VM's link share."""
        if isinstance(self.choice, Carry) and self.choice.is_far:
            seconds = self.steerer.spend(self.choice.region, byte_count)
            if seconds > 0:
                runtime.pause(seconds)


def parse_spare(choice: Run | Carry, answer: Answer) -> int | None:
    """Return the spare capacity that an entry VM states in its answer."""
    text = find_header(answer.headers, _SPARE_HEADER)
    if isinstance(choice, Run) or not text.removeprefix('-').isdigit():
        return None
    return int(text)


def track_end(transfer: Transfer, answer: Answer, spare: int | None) -> Answer:
    """Return the answer with a body that reports its end to the policy."""
    healthy = _get_health(transfer, answer)
    if isinstance(answer.body, tuple):
        transfer.throttle(sum(len(chunk) for chunk in answer.body))
        transfer.finish(healthy=healthy, spare=spare)
        return answer._replace(headers=_set_spare_header(transfer, answer))
    relayed = _RelayedBody(transfer=transfer, body=answer.body)
    body = TrackedBody(
        body=relayed.relay(),
        on_end=lambda is_whole: transfer.finish(
            healthy=relayed.get_health(healthy, is_whole=is_whole),
            spare=spare,
        ),
    )
    return answer._replace(
        body=body, headers=_set_spare_header(transfer, answer)
    )


def read_whole(answer: Answer) -> Answer:
    """Return the answer with its whole body read."""
    try:
        return answer._replace(body=(b''.join(answer.body),))
    finally:
        close_body(answer.body)


def _get_health(transfer: Transfer, answer: Answer) -> bool | None:
    if answer.status < _MIN_SERVER_ERROR_STATUS:
        return True
    # An error of a remote target says nothing about its entry VM.
    return None if isinstance(transfer.choice, Carry) else False


def _set_spare_header(
    transfer: Transfer,
    answer: Answer,
) -> tuple[tuple[str, str], ...]:
    headers = tuple(
        entry for entry in answer.headers if entry[0].lower() != _SPARE_HEADER
    )
    if transfer.origin is Origin.CALLER:
        return headers
    spare = transfer.steerer.count_spare(
        transfer.service,
        shifting=transfer.origin is Origin.ZONE,
    )
    return (*headers, (_SPARE_HEADER.title(), str(spare)))


class _RelayedBody:
    """A relayed body; `is_broken` is true once the sender failed."""

    def __init__(self, *, transfer: Transfer, body: Iterable[bytes]) -> None:
        """Read nothing before `relay` is iterated."""
        self._transfer = transfer
        self._body = body
        self.is_broken = False

    def relay(self) -> Iterator[bytes]:
        """Yield the chunks of the body within the share of the link."""
        try:
            yield from self._read_chunks()
        finally:
            close_body(self._body)

    def get_health(
        self, healthy: bool | None, *, is_whole: bool
    ) -> bool | None:
        """Return the health shown by the end; None if the caller hung up."""
        if self.is_broken:
            return False
        return healthy if is_whole else None

    def _read_chunks(self) -> Iterator[bytes]:
        chunks = iter(self._body)
        while True:
            try:
                chunk = next(chunks, None)
            except Exception:
                self.is_broken = True
                raise
            if chunk is None:
                return
            self._transfer.throttle(len(chunk))
            yield chunk
