"""This VM's part of the repeats that a service may get.

Load pattern: many targets of a service fail at once and every request would
be repeated. The parts of all VMs add up to the ratio of the requests and the
slack that the fleet is allowed in each window.
"""

from typing import Final

from toucanhall.fleet.model import Bounds

__all__ = ('ServiceRetryBudget', 'RetryBudget')

# Requests of a window are counted by their arrival here, those that are
# repeated arrive a little later: a part of the ratio is kept for that.
_SAFE_SHARE: Final = 0.8
_BURST_SHARE: Final = 0.25  # of the slack, spent at once


class ServiceRetryBudget:
    """Tokens of one service."""

    def __init__(self, *, bounds: Bounds, vms: float, now: float) -> None:
        """Start with one repeat: what was spent before is not known."""
        self._bounds = bounds
        self._vms = vms
        self._updated_at = now
        self._tokens = 1.0

    def set_vm_count(self, vms: float) -> None:
        """Take how many VMs share the slack; inf for one without a part."""
        self._vms = max(1.0, vms)

    def record_request(self) -> None:
        """Count a request for the service."""
        self._tokens += self._bounds.retry_ratio * _SAFE_SHARE

    def try_acquire(self, now: float) -> bool:
        """Take one repeat if there is one."""
        bounds = self._bounds
        per_second = (
            bounds.retry_slack
            * (_SAFE_SHARE - _BURST_SHARE)
            / self._vms
            / bounds.retry_window_seconds
        )
        self._tokens += (now - self._updated_at) * per_second
        self._updated_at = now
        # Tokens earned by requests are kept for two bursts at most.
        self._tokens = min(self._tokens, self._find_most() * 2)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _find_most(self) -> float:
        return max(1.0, self._bounds.retry_slack * _BURST_SHARE / self._vms)


class RetryBudget:
    """The tokens of each service."""

    def __init__(self, *, bounds: Bounds) -> None:
        """Start without having heard of any service or other VM."""
        self._bounds = bounds
        self._vms = 1.0
        self._services: dict[str, ServiceRetryBudget] = {}

    def set_vm_count(self, vms: float) -> None:
        """Take how many VMs share the slack; inf for one without a part."""
        self._vms = vms
        for retries in self._services.values():
            retries.set_vm_count(vms)

    def record_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._get(service, now).record_request()

    def try_acquire(self, service: str, now: float) -> bool:
        """Take one repeat for a service if there is one."""
        return self._get(service, now).try_acquire(now)

    def _get(self, service: str, now: float) -> ServiceRetryBudget:
        found = self._services.get(service)
        if found is None:
            found = ServiceRetryBudget(
                bounds=self._bounds, vms=self._vms, now=now
            )
            self._services[service] = found
        return found
