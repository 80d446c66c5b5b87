"""A bounded queue that serves teams by weight (start-time fair queueing)."""

from collections.abc import Mapping
from typing import Final, NamedTuple

__all__ = (
    'Queue',
    'Waiting',
    'record_served',
    'drop',
    'pop',
    'push',
    'record_sent',
)

_NO_TEAMS: Final[Mapping[str, float]] = {}


class Waiting(NamedTuple):
    """A queued request; its fields are in the order of priority.

    Requests of own callers precede those of other VMs; then the smallest tag is
    served first. A team is assigned to a few VMs: without this priority, a team
    that floods its VMs would use up the slots of the other VMs too.
    """

    is_hopped: bool
    tag: float
    ticket: str
    team: str
    weight: float
    expires_at: float


class Queue(NamedTuple):
    """Waiting requests, the virtual time and the finish tag of each team."""

    waiting: tuple[Waiting, ...] = ()
    virtual_time: float = 0.0
    finish_tags: Mapping[str, float] = _NO_TEAMS


def record_served(queue: Queue, team: str, weight: float) -> Queue:
    """Return the queue after a team's request was served without waiting."""
    tagged, tag = _tag(queue, team, weight)
    return tagged._replace(virtual_time=max(queue.virtual_time, tag))


def record_sent(queue: Queue, team: str, weight: float) -> Queue:
    """Return the queue after a team's request was sent to another VM.

    What a team gets at other VMs counts too: it waits behind the teams that
    get less.
    """
    return _tag(queue, team, weight)[0]


def push(
    queue: Queue,
    waiting: Waiting,
    max_waiting: int,
) -> tuple[Queue, Waiting | None]:
    """Return the queue with one more request, and the request it evicted.

    A full queue evicts the request that would be served last, so that a team
    which floods the queue evicts its own requests.
    """
    tagged, tag = _tag(queue, waiting.team, waiting.weight)
    entries = sorted((*queue.waiting, waiting._replace(tag=tag)))
    if len(entries) <= max_waiting:
        return tagged._replace(waiting=tuple(entries)), None
    last = entries.pop()
    return _untag(tagged, last.team, last.weight)._replace(
        waiting=tuple(entries),
    ), last


def pop(queue: Queue) -> tuple[Queue, Waiting]:
    """Return the queue without its first request, and that request."""
    first = queue.waiting[0]
    return queue._replace(
        waiting=queue.waiting[1:],
        virtual_time=max(queue.virtual_time, first.tag),
    ), first


def drop(queue: Queue, ticket: str) -> Queue:
    """Return the queue without the request of a ticket."""
    kept = tuple(entry for entry in queue.waiting if entry.ticket != ticket)
    return queue._replace(waiting=kept)


def count_before(queue: Queue, team: str, *, is_hopped: bool) -> int:
    """Return how many waiting requests precede a team's next request."""
    tag = max(queue.virtual_time, queue.finish_tags.get(team, 0))
    return sum(entry[:2] <= (is_hopped, tag) for entry in queue.waiting)


def _tag(queue: Queue, team: str, weight: float) -> tuple[Queue, float]:
    tag = max(queue.virtual_time, queue.finish_tags.get(team, 0))
    finish_tags = {**queue.finish_tags, team: tag + 1 / weight}
    return queue._replace(finish_tags=finish_tags), tag


def _untag(queue: Queue, team: str, weight: float) -> Queue:
    tag = queue.finish_tags[team] - 1 / weight
    return queue._replace(finish_tags={**queue.finish_tags, team: tag})
