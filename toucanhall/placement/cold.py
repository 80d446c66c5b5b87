"""Which VMs may send to a cold target, and how fast.

Load pattern: a target starts, or its zone comes back, and every VM prefers it
for some objects at the same moment. A few VMs own each cold target, and each
sends its part of what the target bears.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

__all__ = ('COLD_OWNERS', 'ColdPart', 'pick_owners')

COLD_OWNERS: Final = 2
# Two views of the fleet may differ for a moment, and a request counts in the
# second in which it arrives.
_SAFE_SHARE: Final = 0.8
_BURST: Final = 1.0


def pick_owners(target: str, vms: Iterable[str]) -> set[str]:
    """Return the VMs that may send to a cold target."""
    ranked = sorted(
        vms,
        key=lambda vm: xxhash.xxh64_intdigest(f'{target}\0{vm}'.encode()),
    )
    return set(ranked[:COLD_OWNERS])


class ColdPart:
    """Tokens of one VM for one cold target."""

    def __init__(self, *, per_second: float, now: float) -> None:
        """Start with one request; `per_second` holds for the whole fleet."""
        self._rate = per_second * _SAFE_SHARE / COLD_OWNERS
        self._tokens = _BURST
        self._updated_at = now

    def has_room(self, now: float) -> bool:
        """Whether a request may be sent now."""
        elapsed = now - self._updated_at
        self._tokens = min(_BURST, self._tokens + elapsed * self._rate)
        self._updated_at = now
        return self._tokens >= 1

    def spend(self) -> None:
        """Take the token of one request."""
        self._tokens -= 1
