"""A token bucket for one target, which holds hardly more than a request."""

__all__ = ('TokenBucket',)


class TokenBucket:
    """The requests that this VM may send to one target."""

    def __init__(
        self,
        *,
        now: float,
        tokens: float = 0.0,
        min_burst: float = 1.0,
        burst_seconds: float = 0.0,
    ) -> None:
        """Start without a token: what was sent before a start is not known.

        With negative `tokens` it takes longer until the first request. The
        bucket holds the requests of `burst_seconds`, `min_burst` at least.
        """
        self._tokens = tokens
        self._min_burst = min_burst
        self._burst_seconds = burst_seconds
        self._updated_at = now

    def has_token(self, rate: float, now: float) -> bool:
        """Add the tokens since the last call; whether there is one.

        `rate` is how many requests per second this VM may send.
        """
        elapsed_seconds = now - self._updated_at
        most = max(self._min_burst, rate * self._burst_seconds)
        self._tokens = min(most, self._tokens + elapsed_seconds * rate)
        self._updated_at = now
        return self._tokens >= 1

    def try_acquire(self, rate: float, now: float) -> bool:
        """Take the token of a request; return whether there was one."""
        if not self.has_token(rate, now):
            return False
        self._tokens -= 1
        return True
