"""Prepares requests to targets and to other entry VMs."""

from toucanhall import runtime
from toucanhall.forwarding import hops
from toucanhall.forwarding.credentials import digest_key
from toucanhall.forwarding.dispatch import ID_HEADER
from toucanhall.forwarding.headers import drop_internal
from toucanhall.forwarding.jobs import Job, Parts
from toucanhall.forwarding.records import Request
from toucanhall.steering import Carry, Run

__all__ = ('prepare',)


def prepare(
    parts: Parts,
    job: Job,
    choice: Run | Carry,
    *,
    is_retry: bool,
) -> Request:
    """Return the request with its id, and with a hop token for an entry VM."""
    added = [(ID_HEADER, job.request_id)]
    if isinstance(choice, Carry):
        hop = hops.Hop(
            team=job.caller.team,
            key_digest=digest_key(job.caller.key) if job.caller.key else '',
            request_id=job.request_id,
            method=job.request.method,
            target=job.request.target,
            zone=parts.zone,
            seconds=job.give_up_at - runtime.read_clock(),
            is_retry=is_retry,
        )
        added.append((hops.HOP_HEADER, hops.make_token(parts.identity, hop)))
    kept = drop_internal(job.request.headers)
    return job.request._replace(headers=(*kept, *added))
