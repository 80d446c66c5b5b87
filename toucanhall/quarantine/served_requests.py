"""Fingerprints of the requests that were served lately, in bounded memory.

Load pattern: an object in high demand is in flight at several targets that
crash for another reason. A request that crashes targets never succeeds.
"""

from typing import Final, NamedTuple

__all__ = ('ServedRequests',)

# A success this long ago shows that a request does not crash its targets.
_PROOF_SECONDS: Final = 5.0
# Some 200 kB; the requests of a few seconds at the load that a VM can serve.
_MAX_REQUESTS: Final = 1024


class _Success(NamedTuple):
    release: str
    at: float


class ServedRequests:
    """When each request last succeeded, and at which release of targets."""

    def __init__(self, *, max_requests: int = _MAX_REQUESTS) -> None:
        """Start empty; beyond the maximum, the oldest are dropped."""
        self._max_requests = max_requests
        self._successes: dict[str, _Success] = {}

    def record(self, fingerprint: str, release: str, now: float) -> None:
        """Record that targets of a release have served a request."""
        self._successes.pop(fingerprint, None)
        self._successes[fingerprint] = _Success(release, now)
        if len(self._successes) > self._max_requests:
            self._successes.pop(next(iter(self._successes)))

    def has_served(self, fingerprint: str, release: str, now: float) -> bool:
        """Whether targets of a release have served a request lately."""
        found = self._successes.get(fingerprint)
        return (
            found is not None
            and found.release == release
            and now - found.at <= _PROOF_SECONDS
        )
