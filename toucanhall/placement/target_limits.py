"""Keeps to the limits that targets name for all VMs together.

Load patterns: a target in need names a few requests per second while every VM
prefers it for some objects; all targets of a service do so; limits rise, fall
and end; VMs start, are cut off and see different VMs as alive.

A few VMs of the target's region own a limited target and send it their share.
The others send it nothing and learn of changes from the owners. A VM without
news for long sends a single request. docs/TARGET-LIMITS.md has the sums.
"""

from collections.abc import Callable, Mapping, Set
from typing import Final

from toucanhall.fleet.model import Target
from toucanhall.placement.limit_observations import LimitObservations
from toucanhall.placement.limit_shares import LimitShares, compute_fleet_rate
from toucanhall.placement.owners import VmGroup
from toucanhall.placement.token_bucket import TokenBucket

__all__ = ('TargetLimits',)

# A new bucket owes the requests of this time: what was sent to the target
# before still counts there, and a former owner may go on for so long.
_INITIAL_DEBT_SECONDS: Final = 2.0
# The next token grows while one waits for a request.
_MIN_BURST: Final = 1.5
# High shares are spent in bursts, as requests arrive.
_BURST_SECONDS: Final = 0.1


class TargetLimits:
    """What this VM may send to targets that name a limit."""

    def __init__(
        self, *, regions: Mapping[str, str], clock: Callable[[], float]
    ) -> None:
        """Start without limits; see LimitObservations for the clock."""
        self._shares = LimitShares(regions=regions)
        self._share_by_target: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._single_requests_at: dict[str, float] = {}
        self._clock = clock
        self.observations = LimitObservations(clock=clock)
        self.sent_count = 0

    def replace_targets(
        self, targets: Mapping[str, Target], changed: Set[str]
    ) -> None:
        """Replace the targets; forget limits of those removed or restarted."""
        self.observations.replace_targets(targets, changed)
        for name in changed:
            self._buckets.pop(name, None)
            self._share_by_target.pop(name, None)
            self._single_requests_at.pop(name, None)

    def set_vm_groups(self, own: str, groups: Mapping[str, VmGroup]) -> None:
        """Replace the VMs of each zone as this VM, `own`, sees them."""
        self._shares.set_vm_groups(own, groups)
        for target in self.observations.list_limited():
            self.update_share(target)

    def update_share(self, target: Target) -> float:
        """Divide the limit of a target anew; return the own share.

        The share is in requests per second. It is 0 without a limit too.
        """
        limit = self.observations.get_limit(target.id)
        share = 0.0
        if limit is not None:
            share = self._shares.compute_share(target, limit)
        self._share_by_target[target.id] = share
        if not share:
            self._buckets.pop(target.id, None)
        elif target.id not in self._buckets:
            self._buckets[target.id] = TokenBucket(
                now=self._clock(),
                tokens=-share * _INITIAL_DEBT_SECONDS,
                min_burst=_MIN_BURST,
                burst_seconds=_BURST_SECONDS,
            )
        return share

    def is_limited(self, target: str) -> bool:
        """Whether a target names a limit."""
        return self.observations.get_limit(target) is not None

    def may_send(self, target: str) -> bool:
        """Whether this VM may send a request to a target now."""
        limit = self.observations.get_limit(target)
        if limit is None:
            return True
        now = self._clock()
        bucket = self._buckets.get(target)
        if bucket is None:
            return now >= self._get_single_request_time(target, limit)
        return bucket.has_token(self._share_by_target[target], now)

    def record_request(self, target: str) -> None:
        """Count a request that is sent to a target."""
        if not self.is_limited(target):
            return
        self.sent_count += 1
        now = self._clock()
        bucket = self._buckets.get(target)
        if bucket is None:
            self._single_requests_at[target] = now
        else:
            bucket.try_acquire(self._share_by_target[target], now)

    def compute_fleet_rate(self, target: str) -> float:
        """Return what all VMs together send to a limited target per second."""
        return compute_fleet_rate(self.observations.get_limit(target) or 0.0)

    def count_serving_vms(self) -> int:
        """Return how many VMs take requests, at least one."""
        return self._shares.count_serving_vms()

    def count_owned(self) -> int:
        """Return how many limited targets this VM has a share of."""
        return len(self._buckets)

    def _get_single_request_time(self, target: str, limit: float) -> float:
        """Return when a VM without share may ask the target itself."""
        observation = self.observations.get(target)
        known_at = observation.received_at if observation else 0.0
        asked_at = self._single_requests_at.get(target, 0.0)
        silence_seconds = self._shares.compute_silence_seconds(target, limit)
        return max(known_at, asked_at) + silence_seconds
