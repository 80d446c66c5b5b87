"""Carries an answer back, and tells the policy how the request ended."""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from toucanhall import runtime
from toucanhall.forwarding.bodies import SettledBody, close_body
from toucanhall.forwarding.records import Answer, find_header
from toucanhall.steering import Carry, End, Origin, Outcome, Run, Steerer

__all__ = ('Transfer', 'collect', 'read_spare', 'settle')

_SPARE_HEADER: Final = 'toucanhall-spare'
_SERVER_ERROR: Final = 500


class Transfer(NamedTuple):
    """A request under way, as the policy has to be told of it."""

    steerer: Steerer
    service: str
    way: Run | Carry
    origin: Origin
    started_at: float

    def finish(self, *, healthy: bool | None, spare: int | None = None) -> None:
        """Tell the policy how the request ended."""
        seconds = runtime.read_clock() - self.started_at
        outcome = Outcome(healthy, seconds)
        self.steerer.finish(
            self.service,
            End(self.way.name, outcome, self.origin, spare),
        )

    def meter(self, count: int) -> None:
        """Keep the bytes of another region within this VM's link part."""
        if isinstance(self.way, Carry) and self.way.is_far:
            seconds = self.steerer.spend(self.way.region, count)
            if seconds > 0:
                runtime.pause(seconds)


def read_spare(way: Run | Carry, answer: Answer) -> int | None:
    """Return the room that the answer of an entry VM tells."""
    told = find_header(answer.headers, _SPARE_HEADER)
    if isinstance(way, Run) or not told.removeprefix('-').isdigit():
        return None
    return int(told)


def settle(transfer: Transfer, answer: Answer, spare: int | None) -> Answer:
    """Return the answer with a body that tells the policy of its end."""
    healthy = _judge(transfer, answer)
    if isinstance(answer.body, tuple):
        transfer.meter(sum(len(part) for part in answer.body))
        transfer.finish(healthy=healthy, spare=spare)
        return answer._replace(headers=_tell_spare(transfer, answer))
    stream = _Stream(transfer=transfer, body=answer.body)
    body = SettledBody(
        body=stream.relay(),
        settle=lambda whole: transfer.finish(
            healthy=stream.judge(healthy, whole=whole),
            spare=spare,
        ),
    )
    return answer._replace(body=body, headers=_tell_spare(transfer, answer))


def collect(answer: Answer) -> Answer:
    """Return the answer with its whole body read."""
    try:
        return answer._replace(body=(b''.join(answer.body),))
    finally:
        close_body(answer.body)


def _judge(transfer: Transfer, answer: Answer) -> bool | None:
    if answer.status < _SERVER_ERROR:
        return True
    # What a target of another zone does tells nothing of the VM before it.
    return None if isinstance(transfer.way, Carry) else False


def _tell_spare(
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


class _Stream:
    """A body that is relayed; `is_broken` once the sender failed."""

    def __init__(self, *, transfer: Transfer, body: Iterable[bytes]) -> None:
        """Relay nothing before `relay`."""
        self._transfer = transfer
        self._body = body
        self.is_broken = False

    def relay(self) -> Iterator[bytes]:
        """Yield the parts of the body at the pace of the link."""
        try:
            yield from self._read()
        finally:
            close_body(self._body)

    def judge(self, healthy: bool | None, *, whole: bool) -> bool | None:
        """Return the health that the end shows; a caller may hang up."""
        if self.is_broken:
            return False
        return healthy if whole else None

    def _read(self) -> Iterator[bytes]:
        parts = iter(self._body)
        while True:
            try:
                part = next(parts, None)
            except Exception:
                self.is_broken = True
                raise
            if part is None:
                return
            self._transfer.meter(len(part))
            yield part
