"""Tells what became of requests, in log lines and metrics."""

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

# One line for so many requests that were served; all are in the histogram.
_SERVED_SAMPLE: Final = 64


class RequestRecorder:
    """Writes one line for each decision that touches a request."""

    def __init__(
        self,
        *,
        fleet_tables: FleetTables,
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        """Add to each line the versions of what the VM knows."""
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._metrics = metrics
        self._served = 0

    def record_refusal(
        self,
        marks: CallerHeaders,
        refusal: Refusal,
        **fields: object,
    ) -> Answer:
        """Count and write a refusal; return its answer."""
        self._metrics.count(
            'refusals',
            reason=refusal.reason,
            status=str(refusal.status),
        )
        self.write(
            events.REQUEST_REFUSED,
            marks,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            team=refusal.team,
            **refusal.inputs,
            **fields,
        )
        return make_refusal_answer(refusal)

    def record_passed_failure(
        self, marks: CallerHeaders, reason: str, target: str
    ) -> None:
        """Count and write a failure of a target that its caller gets."""
        self._metrics.count('failures_passed_on', reason=reason)
        self.write(events.REQUEST_FAILED, marks, why=reason, target=target)

    def record_failed_attempt(
        self,
        marks: CallerHeaders,
        reason: str,
        **fields: object,
    ) -> None:
        """Count and write an attempt without success."""
        self._metrics.count('attempts_failed', reason=reason)
        self.write(events.ATTEMPT_FAILED, marks, why=reason, **fields)

    def record_refused_retry(self, marks: CallerHeaders, service: str) -> None:
        """Count and write a repeat that the budget has no room for."""
        self._metrics.count('repeats_refused', service=service)
        self.write(events.RETRY_REFUSED, marks, service=service)

    def record_caller_left(self, marks: CallerHeaders, route: str) -> None:
        """Count and write a request whose caller has left."""
        self._metrics.count('callers_left', route=route)
        self.write(events.CALLER_DISCONNECTED, marks)

    def serve(
        self,
        marks: CallerHeaders,
        route: str,
        seconds: float,
        **fields: object,
    ) -> None:
        """Observe the time of a request that was served; write some."""
        self._metrics.observe('request', seconds, route=route)
        self._served += 1
        if self._served % _SERVED_SAMPLE == 0:
            self.write(
                events.REQUEST_SERVED,
                marks,
                seconds=round(seconds, 4),
                **fields,
            )

    def write(
        self, event: Event, marks: CallerHeaders, **fields: object
    ) -> None:
        """Write a line with the id of a request and what the VM knows."""
        configuration = self._fleet_tables.configuration
        self._journal.write(
            event,
            request=marks.request_id.decode('latin-1'),
            path=marks.path,
            configuration=configuration.version if configuration else None,
            targets=self._fleet_tables.revisions.targets,
            **fields,
        )
