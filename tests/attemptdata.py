"""Builders of admitted requests and of what attempts them."""

from standins.site.documents import HOST, make_configuration, make_rule
from tests.fleetdata import make_bounds, make_environment, make_store
from toucanhall.edge.admission import AdmittedRequest, admit
from toucanhall.edge.attempt_loop import AttemptLoop
from toucanhall.edge.capacity_recorder import CapacityRecorder
from toucanhall.edge.quarantine import Quarantine
from toucanhall.edge.request_relay import RequestRelay
from toucanhall.edge.sender import Sender
from toucanhall.edge.target_links import TargetLinks
from toucanhall.edge.target_probe import TargetProbe
from toucanhall.fleet.suspects import SuspectTable
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.platform.documents import decode_configuration
from toucanhall.platform.headers import read_caller_headers
from toucanhall.platform.suspect_registry import SuspectRegistry
from toucanhall.web.lag import LoopLag
from toucanhall.web.messages import Request

__all__ = ('make_admitted', 'make_attempt_loop')


def make_attempt_loop(targets, pool, journal, recorder) -> AttemptLoop:
    """Return a loop of attempts for a VM whose store does not answer."""
    registry = targets.registry
    probe = TargetProbe(pool=pool, list_targets=registry.list_targets)
    links = TargetLinks(
        registry=registry,
        pool=pool,
        probe=probe,
        on_change=lambda: None,
        journal=journal,
    )
    environment = make_environment()
    return AttemptLoop(
        registry=registry,
        sender=Sender(
            registry=registry,
            pool=pool,
            journal=journal,
            limits=targets.limits,
            links=links,
        ),
        retries=RetryBudget(bounds=make_bounds()),
        quarantine=Quarantine(
            table=SuspectTable(),
            targets=registry,
            registry=SuspectRegistry(store=make_store(environment.store)),
            probe=probe,
            journal=journal,
        ),
        links=links,
        relay=RequestRelay(
            environment=environment, pool=pool, list_members=tuple
        ),
        recorder=recorder,
        capacity=CapacityRecorder(
            registry=registry, journal=journal, lag=LoopLag()
        ),
    )


def make_admitted(is_idempotent: bool = True) -> AdmittedRequest:
    """Return a request that was admitted without team, for three seconds."""
    rule = make_rule(
        '/view/',
        public=True,
        route_type='idempotent' if is_idempotent else 'non_idempotent',
    )
    headers = (
        (b'host', HOST.encode()),
        (b'x-toucanhall-request-id', b'r1'),
    )
    request = Request(b'GET', b'/view/1', headers, b'')
    admitted = admit(
        request,
        read_caller_headers(request),
        decode_configuration(make_configuration(rules=(rule,))),
        None,
        0.0,
    )
    assert isinstance(admitted, AdmittedRequest)
    return admitted
