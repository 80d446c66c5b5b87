"""Answers that the VM itself gives to requests, and what they promise.

A status of 429 or 503 promises that the request has not run and never will.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from toucanhall.web.messages import Answer, make_answer

__all__ = (
    'Refusal',
    'make_held_back',
    'make_over_quota',
    'make_refusal_answer',
    'make_targets_limited',
    'make_targets_paused',
)


class Refusal(NamedTuple):
    """A final answer; `retry_after` is in seconds, None where it is useless.

    `log_fields` are the figures that led to the refusal.
    """

    status: int
    reason: str
    retry_after: float | None = None
    team: str | None = None
    log_fields: Mapping[str, float] = MappingProxyType({})


# A request usually takes a quarter of a second: slots are free again by then.
# Load shedding replaces the time where it applies.
TARGETS_FULL: Final = Refusal(503, 'targets-full', 0.25)
NOT_RUN: Final = Refusal(503, 'not-run', 0.25)
# The directory returns other VMs when clients ask it the next time.
VM_OVERLOADED: Final = Refusal(503, 'vm-overloaded', 0.5)
# Bytes of other requests are given back in about half a second.
VM_MEMORY_FULL: Final = Refusal(503, 'vm-memory-full', 0.5)
# Other VMs accept requests at once; a client leaves the address that refused.
VM_STOPPING: Final = Refusal(503, 'vm-stopping', 0.05)
# A VM reads configuration and targets within half a second of its start.
NO_CONFIGURATION: Final = Refusal(503, 'no-configuration', 0.5)
NO_TARGET: Final = Refusal(503, 'no-target', 0.5)
# Other VMs may be cut off as well; links are often back within a second.
TARGETS_UNREACHABLE: Final = Refusal(503, 'targets-unreachable', 0.5)
NO_ROUTE: Final = Refusal(404, 'no-route')
UNKNOWN_KEY: Final = Refusal(401, 'unknown-key')
# Targets run no request without an id.
NO_REQUEST_ID: Final = Refusal(400, 'no-request-id')
ANSWER_LOST: Final = Refusal(502, 'answer-lost')
TIMED_OUT: Final = Refusal(504, 'timeout')
INTERNAL_ERROR: Final = Refusal(502, 'internal-error')


def make_over_quota(
    team: str,
    retry_after: float,
    log_fields: Mapping[str, float],
) -> Refusal:
    """Return the refusal of a request whose team is over its quota."""
    return Refusal(429, 'over-quota', retry_after, team, log_fields)


def make_targets_limited(retry_after: float, rate: float) -> Refusal:
    """Return the refusal of a request whose targets all name a limit.

    `rate` is what all VMs may send to them per second.
    """
    return Refusal(
        503, 'targets-limited', retry_after, log_fields={'rate': round(rate, 2)}
    )


def make_targets_paused(retry_after: float) -> Refusal:
    """Return the refusal of a request whose targets all want a pause."""
    return Refusal(503, 'targets-paused', retry_after)


def make_held_back(retry_after: float) -> Refusal:
    """Return the refusal of a request that crashes targets.

    `retry_after` is the time until it may run as a trial, in seconds.
    """
    return Refusal(503, 'request-held-back', retry_after)


def make_refusal_answer(refusal: Refusal) -> Answer:
    """Return the HTTP answer of a refusal."""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if refusal.retry_after is not None:
        headers = ((b'retry-after', b'%.3f' % refusal.retry_after),)
    return make_answer(refusal.status, refusal.reason, *headers)
