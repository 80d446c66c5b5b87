"""Answers of the VM itself, and what they promise.

A status of 429 or 503 says that the request has not run and never will.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from toucanhall.web.messages import Answer, make_answer

__all__ = ('Refusal', 'make_over_quota', 'make_refusal_answer')


class Refusal(NamedTuple):
    """A final answer; `retry_after` is in seconds, None where it is useless.

    `inputs` are the figures that decided it, for the log.
    """

    status: int
    reason: str
    retry_after: float | None = None
    team: str | None = None
    inputs: Mapping[str, float] = MappingProxyType({})


# A quarter of a second is the usual time of a request: slots are free again.
TARGETS_FULL: Final = Refusal(503, 'targets-full', 0.25)
NOT_RUN: Final = Refusal(503, 'not-run', 0.25)
# The directory names other VMs by the next time that clients ask.
VM_OVERLOADED: Final = Refusal(503, 'vm-overloaded', 0.5)
# Other VMs take requests at once; a client leaves the address that refused.
VM_STOPPING: Final = Refusal(503, 'vm-stopping', 0.05)
# Configurations and targets are read within half a second of a start.
NO_CONFIGURATION: Final = Refusal(503, 'no-configuration', 0.5)
NO_TARGET: Final = Refusal(503, 'no-target', 0.5)
NO_ROUTE: Final = Refusal(404, 'no-route')
UNKNOWN_KEY: Final = Refusal(401, 'unknown-key')
ANSWER_LOST: Final = Refusal(502, 'answer-lost')
TIMED_OUT: Final = Refusal(504, 'timeout')
INTERNAL_ERROR: Final = Refusal(502, 'internal-error')


def make_over_quota(
    team: str,
    retry_after: float,
    inputs: Mapping[str, float],
) -> Refusal:
    """Return the refusal of a team that is over its limit."""
    return Refusal(429, 'over-quota', retry_after, team, inputs)


def make_refusal_answer(refusal: Refusal) -> Answer:
    """Return the answer of a refusal."""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if refusal.retry_after is not None:
        headers = ((b'retry-after', b'%.3f' % refusal.retry_after),)
    return make_answer(refusal.status, refusal.reason, *headers)
