"""What became of an attempt to send a request to a target."""

from typing import NamedTuple

from toucanhall.web.client import ConnectionUse, ReceivedAnswer

__all__ = ('Failure', 'Success')


class Success(NamedTuple):
    """An answer to pass on; `seconds` from the start of the attempt.

    `load_ratio` is the estimated number of requests at the target when the
    request was sent, over the number of its slots.
    """

    reply: ReceivedAnswer
    seconds: float
    load_ratio: float


class Failure(NamedTuple):
    """An attempt without success.

    `was_sent` tells whether bytes were sent to the target, `may_have_run`
    whether it may have processed them, `is_closed_by_target` whether it closed
    the connection before its answer; `reply` is its answer, if it gave one,
    `connection` what carried the request, if it was sent. `may_ask_again` if
    the target refused the request with slots free and holds its object.
    """

    reason: str
    target: str
    was_sent: bool = True
    may_have_run: bool = True
    reply: ReceivedAnswer | None = None
    detail: str = ''
    is_closed_by_target: bool = False
    connection: ConnectionUse | None = None
    may_ask_again: bool = False

    @property
    def is_link_failure(self) -> bool:
        """Whether no answer came, which the links may have caused."""
        return self.reason in {'unreachable', 'broken'}
