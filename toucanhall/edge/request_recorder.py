"""Records what became of requests, in log lines and metrics."""

from typing import Final

from toucanhall.edge.refusals import Refusal, make_refusal_answer
from toucanhall.events import Event
from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.observe.metrics import Metrics
from toucanhall.platform.headers import CallerHeaders
from toucanhall.web.messages import Answer

__all__ = ('RequestRecorder',)

# Served requests are sampled in the log; all of them are in the histogram.
_SERVED_REQUESTS_PER_LINE: Final = 64


class RequestRecorder:
    """Logs and counts each decision on a request."""

    def __init__(
        self,
        *,
        fleet_tables: FleetTables,
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        """Add the versions of the VM's tables to each line."""
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._metrics = metrics
        self._served_count = 0

    def record_refusal(
        self,
        headers: CallerHeaders,
        refusal: Refusal,
        **fields: object,
    ) -> Answer:
        """Count and log a refusal; return its answer."""
        self._metrics.count(
            'refusals',
            reason=refusal.reason,
            status=str(refusal.status),
        )
        self.write(
            events.REQUEST_REFUSED,
            headers,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            team=refusal.team,
            **refusal.log_fields,
            **fields,
        )
        return make_refusal_answer(refusal)

    def record_told_wait(
        self,
        seconds: float,
        reason: str,
        *,
        is_returned: bool,
        is_in_time: bool,
    ) -> None:
        """Observe how long a refused caller was told to wait.

        `is_returned` tells whether it seems to have been refused before,
        `is_in_time` whether it can be served before its deadline.
        """
        self._metrics.observe('told_wait', seconds, reason=reason)
        if is_returned:
            self._metrics.count('callers_refused_again', reason=reason)
        if not is_in_time:
            self._metrics.count('callers_without_slot', reason=reason)

    def record_returned(self, route: str) -> None:
        """Count a caller that seems to have been refused before."""
        self._metrics.count('callers_returned', route=route)

    def record_passed_failure(
        self, headers: CallerHeaders, reason: str, target: str
    ) -> None:
        """Count and log a failed answer of a target that its caller gets."""
        self._metrics.count('failures_passed_on', reason=reason)
        self.write(events.REQUEST_FAILED, headers, why=reason, target=target)

    def record_failed_attempt(
        self,
        headers: CallerHeaders,
        reason: str,
        **fields: object,
    ) -> None:
        """Count and log a failed attempt."""
        self._metrics.count('attempts_failed', reason=reason)
        self.write(events.ATTEMPT_FAILED, headers, why=reason, **fields)

    def record_refused_retry(
        self, headers: CallerHeaders, service: str
    ) -> None:
        """Count and log a retry for which the retry budget is spent."""
        self._metrics.count('repeats_refused', service=service)
        self.write(events.RETRY_REFUSED, headers, service=service)

    def record_relayed(
        self, headers: CallerHeaders, status: int, helper: str
    ) -> None:
        """Count and log a request that another VM has answered."""
        self._metrics.count('requests_relayed', status=str(status))
        self.write(
            events.REQUEST_RELAYED, headers, status=status, helper=helper
        )

    def record_caller_left(self, headers: CallerHeaders, route: str) -> None:
        """Count and log a request whose caller has left."""
        self._metrics.count('callers_left', route=route)
        self.write(events.CALLER_DISCONNECTED, headers)

    def record_served(
        self,
        headers: CallerHeaders,
        route: str,
        seconds: float,
        **fields: object,
    ) -> None:
        """Observe the time of a served request; log a sample of them."""
        self._metrics.observe('request', seconds, route=route)
        self._served_count += 1
        if self._served_count % _SERVED_REQUESTS_PER_LINE == 0:
            self.write(
                events.REQUEST_SERVED,
                headers,
                seconds=round(seconds, 4),
                **fields,
            )

    def write(
        self, event: Event, headers: CallerHeaders, **fields: object
    ) -> None:
        """Write a line with the id of a request and the VM's table versions."""
        configuration = self._fleet_tables.configuration
        self._journal.write(
            event,
            request=headers.request_id.decode('latin-1'),
            path=headers.path,
            configuration=configuration.version if configuration else None,
            targets=self._fleet_tables.revisions.targets.number,
            **fields,
        )
