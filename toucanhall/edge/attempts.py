"""The attempts to serve one request."""

from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.outcomes import Failure
from toucanhall.placement.registry import TargetQuery
from toucanhall.quarantine.verdicts import Verdict

__all__ = ('Attempts', 'make_query')


class Attempts:
    """The targets tried for a request, and the worst failure.

    `verdict` tells which targets may run it, `may_relay` whether other VMs may
    serve it: none that came from another VM goes on to a third. `is_returned`
    tells whether its caller seems to have been refused before.
    """

    def __init__(self, *, verdict: Verdict, may_relay: bool = True) -> None:
        """Start without any attempt."""
        self.verdict = verdict
        self.may_relay = may_relay
        self.tried: set[str] = set()
        self._repeated: set[str] = set()
        self.sent_count = 0
        self.unsent_count = 0
        self.worst_failure: Failure | None = None
        self.is_returned = False

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.worst_failure is not None and (
            self.worst_failure.may_have_run
        )

    def allow_again(self, target: str) -> None:
        """Let a target be chosen once more for the request, then no more."""
        if target not in self._repeated:
            self._repeated.add(target)
            self.tried.discard(target)

    def record(self, failure: Failure) -> None:
        """Record an attempt that failed."""
        if failure.was_sent:
            self.sent_count += 1
        else:
            self.unsent_count += 1
        worst = self.worst_failure
        if worst is None or failure.may_have_run or not worst.may_have_run:
            self.worst_failure = failure


def make_query(admitted: AdmittedRequest, attempts: Attempts) -> TargetQuery:
    """Return the query of the targets that may serve a request next."""
    return TargetQuery(
        service=admitted.service.name,
        key=admitted.object_key,
        homes=admitted.homes,
        tried=frozenset(attempts.tried),
        releases=attempts.verdict.releases,
    )
