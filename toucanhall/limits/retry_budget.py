"""This VM's share of the retry budget of each service.

Load pattern: many targets of a service fail at once, and every request would
be retried. The shares of all VMs add up to the ratio of the requests and the
slack that the fleet is allowed in each window.
"""

from typing import Final

from toucanhall.fleet.model import Bounds

__all__ = ('RetryBudget', 'ServiceRetryBudget')

# Fraction of the ratio and of the slack that is used. The rest is held back:
# the requests of a window are counted when they arrive at this VM, and their
# retries arrive a little later.
_BUDGET_FRACTION: Final = 0.8
# Fraction of the slack that may be spent at once.
_BURST_FRACTION: Final = 0.25


class ServiceRetryBudget:
    """Token bucket of the retries of one service."""

    def __init__(self, *, bounds: Bounds, vms: float, now: float) -> None:
        """Start with one retry: what was spent before is not known."""
        self._bounds = bounds
        self._sharing_vms = vms
        self._updated_at = now
        self._tokens = 1.0

    def set_vm_count(self, vms: float) -> None:
        """Set how many VMs share the slack; inf for a VM without a share."""
        self._sharing_vms = max(1.0, vms)

    def record_request(self) -> None:
        """Add the retries that a request for the service allows."""
        self._tokens += self._bounds.retry_ratio * _BUDGET_FRACTION

    def try_acquire(self, now: float) -> bool:
        """Take one retry; return whether there was one."""
        bounds = self._bounds
        per_second = (
            bounds.retry_slack
            * (_BUDGET_FRACTION - _BURST_FRACTION)
            / self._sharing_vms
            / bounds.retry_window_seconds
        )
        self._tokens += (now - self._updated_at) * per_second
        self._updated_at = now
        # Tokens earned by requests are held for two bursts at most.
        self._tokens = min(self._tokens, self._compute_max_burst() * 2)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _compute_max_burst(self) -> float:
        return max(
            1.0,
            self._bounds.retry_slack * _BURST_FRACTION / self._sharing_vms,
        )


class RetryBudget:
    """The retry budgets of all services."""

    def __init__(self, *, bounds: Bounds) -> None:
        """Start with no service and with this VM alone."""
        self._bounds = bounds
        self._sharing_vms = 1.0
        self._services: dict[str, ServiceRetryBudget] = {}

    def set_vm_count(self, vms: float) -> None:
        """Set how many VMs share the slack; inf for a VM without a share."""
        self._sharing_vms = vms
        for budget in self._services.values():
            budget.set_vm_count(vms)

    def record_request(self, service: str, now: float) -> None:
        """Add the retries that a request for a service allows."""
        self._get(service, now).record_request()

    def try_acquire(self, service: str, now: float) -> bool:
        """Take one retry of a service; return whether there was one."""
        return self._get(service, now).try_acquire(now)

    def _get(self, service: str, now: float) -> ServiceRetryBudget:
        budget = self._services.get(service)
        if budget is None:
            budget = ServiceRetryBudget(
                bounds=self._bounds,
                vms=self._sharing_vms,
                now=now,
            )
            self._services[service] = budget
        return budget
