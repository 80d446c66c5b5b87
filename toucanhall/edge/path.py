"""The path of a request: admit, choose a target, send, answer."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from toucanhall.edge import refusals
from toucanhall.edge.pool import Pool
from toucanhall.edge.refusals import Refusal, make_refusal
from toucanhall.fleet.knowledge import Knowledge, find_route
from toucanhall.fleet.model import (
    Bounds,
    Configuration,
    Route,
    Service,
    Target,
    Team,
)
from toucanhall.limits.quota import Quotas
from toucanhall.limits.retries import Retries
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.observe.metrics import Metrics
from toucanhall.placement.choice import Ask, Candidate, choose
from toucanhall.placement.field import Field, Need
from toucanhall.platform.headers import (
    REQUEST_ID,
    CallerMarks,
    TargetMarks,
    make_forwarded,
    make_passed_on,
    read_caller_marks,
    read_target_marks,
)
from toucanhall.web.client import Broken, Reply, Unreachable
from toucanhall.web.messages import Answer, Request, write_request

__all__ = ('Path',)

# Connections that failed without a byte sent do not count as attempts.
_MOST_UNSENT: Final = 3
_DEFAULT_OBJECTIVE: Final = 1.0  # seconds, of routes that name none
_DEFAULT_PATIENCE: Final = 10.0  # seconds, of callers that name none
_USUAL_WEIGHT: Final = 0.05
_FIRST_USUAL_SHARE: Final = 0.5  # of the objective, before any answer
_SERVED_SAMPLE: Final = 64  # one line for so many requests that were served
_FAILED_STATUS: Final = 500


class Admitted(NamedTuple):
    """A request that may be sent to a target; times of the loop's clock."""

    request: Request
    marks: CallerMarks
    route: Route
    team: Team | None
    service: Service
    homes: frozenset[str]
    priority: int
    received_at: float
    deadline: float
    objective_at: float


class Failure(NamedTuple):
    """An attempt that brought no success.

    `was_sent` tells that bytes left for the target, `may_have_run` that it may
    have worked on them; `reply` is its own answer, if there was one.
    """

    reason: str
    was_sent: bool
    may_have_run: bool
    reply: Reply | None = None


class Path:
    """Serves requests of callers by targets."""

    def __init__(
        self,
        *,
        knowledge: Knowledge,
        field: Field,
        pool: Pool,
        quotas: Quotas,
        bounds: Bounds,
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        """Decide by what the VM knows; send on pooled connections."""
        self._knowledge = knowledge
        self._field = field
        self._pool = pool
        self._quotas = quotas
        self._bounds = bounds
        self._journal = journal
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._retries: dict[str, Retries] = {}
        self._usual: dict[str, float] = {}
        self._vms = 1
        self._served = 0
        self.in_flight = 0

    def resize(self, vms: int) -> None:
        """Take the number of VMs that share the fleet's limits."""
        self._vms = max(1, vms)
        for retries in self._retries.values():
            retries.resize(self._vms)

    def is_cancellable(self, request: Request) -> bool:
        """Whether a request is ended when its caller has left."""
        configuration = self._knowledge.configuration
        if configuration is None:
            return True
        marks = read_caller_marks(request)
        route = find_route(configuration, marks.host, marks.path)
        return route is None or route.is_idempotent

    async def serve(self, request: Request) -> Answer:
        """Return the final answer to a request."""
        marks = read_caller_marks(request)
        now = self._loop.time()
        admitted = self._admit(request, marks, now)
        if isinstance(admitted, Refusal):
            return self._refuse(marks, admitted)
        self.in_flight += 1
        try:
            return await self._run(admitted)
        except asyncio.CancelledError:
            self._metrics.count('callers_left', route=admitted.route.name)
            self._write(events.CALLER_LEFT, marks)
            raise
        except Exception as error:  # noqa: BLE001
            self._write(events.REQUEST_CRASHED, marks, why=repr(error))
            return self._refuse(marks, refusals.CRASHED)
        finally:
            self.in_flight -= 1

    def _admit(
        self,
        request: Request,
        marks: CallerMarks,
        now: float,
    ) -> Admitted | Refusal:
        configuration = self._knowledge.configuration
        if configuration is None:
            return refusals.NO_CONFIGURATION
        route = find_route(configuration, marks.host, marks.path)
        if route is None:
            return refusals.NO_ROUTE
        team = _find_team(configuration, marks.key)
        if team is None and not route.is_public and configuration.teams:
            return refusals.UNKNOWN_KEY
        if team is not None:
            wait = self._quotas.admit(team, now)
            if wait:
                return Refusal(429, 'over-quota', wait, team.name)
        homes = _join_homes(route, team)
        if homes is None:
            return refusals.NO_TARGET
        service = configuration.services.get(_pick_part(route))
        if service is None:
            return refusals.NO_TARGET
        patience = marks.seconds_left or _DEFAULT_PATIENCE
        objective = route.objective or _DEFAULT_OBJECTIVE
        timeout = route.timeout or patience
        return Admitted(
            request=request,
            marks=marks,
            route=route,
            team=team,
            service=service,
            homes=homes,
            priority=_pick_priority(route, team),
            received_at=now,
            deadline=now + min(patience, timeout),
            objective_at=now + objective,
        )

    async def _run(self, admitted: Admitted) -> Answer:
        self._earn(admitted.service.name)
        try:
            async with asyncio.timeout_at(admitted.deadline):
                return await self._attempt_all(admitted)
        except TimeoutError:
            return self._refuse(
                admitted.marks,
                refusals.TIMED_OUT,
                route=admitted.route.name,
            )

    async def _attempt_all(self, admitted: Admitted) -> Answer:
        tried: set[str] = set()
        sent = 0
        unsent = 0
        failure: Failure | None = None
        while True:
            candidate = self._choose(admitted, tried, failure)
            if candidate is None:
                return self._give_up(admitted, failure, tried)
            tried.add(candidate.target.id)
            outcome = await self._attempt(admitted, candidate)
            if isinstance(outcome, Answer):
                return outcome
            self._write(
                events.ATTEMPT_FAILED,
                admitted.marks,
                target=candidate.target.id,
                why=outcome.reason,
                sent=outcome.was_sent,
                may_have_run=outcome.may_have_run,
            )
            self._metrics.count('attempts_failed', reason=outcome.reason)
            failure = _keep_worse(failure, outcome)
            if outcome.may_have_run and not admitted.route.is_idempotent:
                return self._give_up(admitted, failure, tried)
            if outcome.was_sent:
                sent += 1
            else:
                unsent += 1
            if not self._may_repeat(admitted, sent, unsent, failure):
                return self._give_up(admitted, failure, tried)

    def _may_repeat(
        self,
        admitted: Admitted,
        sent: int,
        unsent: int,
        failure: Failure,
    ) -> bool:
        now = self._loop.time()
        if sent >= admitted.route.attempts or unsent > _MOST_UNSENT:
            return False
        if now + self._get_usual(admitted) / 2 >= admitted.deadline:
            return False
        if not sent:
            return True
        spent = self._get_retries(admitted.service.name).spend(now)
        if not spent:
            self._metrics.count('retries_refused', reason='budget')
        return spent

    def _choose(
        self,
        admitted: Admitted,
        tried: set[str],
        failure: Failure | None,
    ) -> Candidate | None:
        now = self._loop.time()
        need = Need(
            service=admitted.service.name,
            key=admitted.marks.object_key
            or admitted.marks.request_id.decode('latin-1'),
            homes=admitted.homes,
            tried=frozenset(tried),
        )
        candidates = self._field.list_candidates(need, now)
        ask = Ask(
            seconds_to_objective=admitted.objective_at - now,
            usual_seconds=self._get_usual(admitted),
            priority=admitted.priority,
        )
        while candidates:
            chosen = choose(candidates, ask, now)
            if chosen is None:
                return None
            if self._field.spend(
                chosen.target,
                admitted.service.cold_per_second,
                now,
            ):
                return chosen
            candidates.remove(chosen)
        return None

    async def _attempt(
        self,
        admitted: Admitted,
        candidate: Candidate,
    ) -> Answer | Failure:
        target, load = candidate
        started_at = self._loop.time()
        fill = load.estimate(started_at) / load.slots
        load.in_flight += 1
        try:
            reply = await self._exchange(admitted, target)
        except Unreachable as error:
            self._fail(target, is_lost=True, why=str(error))
            return Failure('unreachable', was_sent=False, may_have_run=False)
        except Broken as error:
            self._fail(target, is_lost=False, why=str(error))
            return Failure('broken', was_sent=True, may_have_run=True)
        finally:
            load.in_flight -= 1
        marks = read_target_marks(reply)
        now = self._loop.time()
        if marks.busy is not None:
            load.report(marks.busy, now)
        if marks.is_not_run:
            return self._take_not_run(target, load, marks, now)
        if reply.status >= _FAILED_STATUS:
            self._fail(target, is_lost=False, why=f'status {reply.status}')
            failure = Failure(
                f'status-{reply.status}',
                was_sent=True,
                may_have_run=True,
                reply=reply,
            )
            return failure
        if not marks.is_stamped and reply.status < 300:
            self._fail(target, is_lost=False, why='answer without a stamp')
            return Failure('unstamped', was_sent=True, may_have_run=True)
        self._succeed(admitted, candidate, now - started_at, fill)
        return make_passed_on(reply)

    async def _exchange(self, admitted: Admitted, target: Target) -> Reply:
        may_repeat = admitted.route.is_idempotent
        connection, _was_used = await self._pool.take(
            target.address,
            may_repeat=may_repeat,
        )
        now = self._loop.time()
        forwarded = make_forwarded(
            admitted.request,
            target=target.id,
            team=admitted.team.name if admitted.team else None,
            seconds_left=admitted.deadline - now,
        )
        reply = await connection.exchange(
            write_request(forwarded),
            admitted.marks.request_id,
        )
        self._pool.give_back(target.address, connection)
        return reply

    def _take_not_run(
        self,
        target: Target,
        load: object,
        marks: TargetMarks,
        now: float,
    ) -> Failure:
        if marks.is_misdirected:
            self._field.lose(target.id, now)
            return Failure('misdirected', was_sent=True, may_have_run=False)
        found = self._field.loads.get(target.id)
        if found is not None:
            found.fill(now)
        return Failure('not-run', was_sent=True, may_have_run=False)

    def _succeed(
        self,
        admitted: Admitted,
        candidate: Candidate,
        seconds: float,
        fill: float,
    ) -> None:
        usual = self._get_usual(admitted)
        ratio = None
        if fill < 1:
            ratio = min(4.0, seconds / max(usual, 0.001))
            self._usual[admitted.route.name] = (
                usual + (seconds - usual) * _USUAL_WEIGHT
            )
        if candidate.load.succeed(ratio):
            self._journal.write(
                events.TARGET_RESUMED,
                target=candidate.target.id,
            )
        total = self._loop.time() - admitted.received_at
        self._metrics.observe('request', total, route=admitted.route.name)
        self._served += 1
        if self._served % _SERVED_SAMPLE == 0:
            self._write(
                events.REQUEST_SERVED,
                admitted.marks,
                target=candidate.target.id,
                seconds=round(total, 4),
                fill=round(fill, 2),
            )

    def _fail(self, target: Target, *, is_lost: bool, why: str) -> None:
        load = self._field.loads.get(target.id)
        now = self._loop.time()
        if load is not None and load.fail(now, is_lost=is_lost):
            self._journal.write(
                events.TARGET_SUSPENDED,
                target=target.id,
                why=why,
                seconds=round(load.suspended_until - now, 2),
            )

    def _give_up(
        self,
        admitted: Admitted,
        failure: Failure | None,
        tried: set[str],
    ) -> Answer:
        if failure is None:
            return self._refuse(admitted.marks, refusals.FULL)
        if failure.reply is not None:
            self._metrics.count('failures_passed_on', status=failure.reason)
            return make_passed_on(failure.reply)
        if failure.may_have_run:
            return self._refuse(
                admitted.marks,
                refusals.MAY_HAVE_RUN,
                why=failure.reason,
                tried=sorted(tried),
            )
        return self._refuse(
            admitted.marks,
            refusals.NOT_RUN,
            why=failure.reason,
            tried=sorted(tried),
        )

    def _refuse(
        self,
        marks: CallerMarks,
        refusal: Refusal,
        **fields: object,
    ) -> Answer:
        self._metrics.count(
            'refusals',
            reason=refusal.reason,
            status=str(refusal.status),
        )
        self._write(
            events.REQUEST_REFUSED,
            marks,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            team=refusal.team,
            **fields,
        )
        return make_refusal(refusal)

    def _write(
        self,
        event: events.Event,
        marks: CallerMarks,
        **fields: object,
    ) -> None:
        configuration = self._knowledge.configuration
        self._journal.write(
            event,
            request=marks.request_id.decode('latin-1'),
            path=marks.path,
            configuration=configuration.version if configuration else None,
            targets=self._knowledge.revisions.targets,
            **fields,
        )

    def _get_usual(self, admitted: Admitted) -> float:
        usual = self._usual.get(admitted.route.name)
        if usual is None:
            objective = admitted.route.objective or _DEFAULT_OBJECTIVE
            usual = objective * _FIRST_USUAL_SHARE
            self._usual[admitted.route.name] = usual
        return usual

    def _earn(self, service: str) -> None:
        self._get_retries(service).earn()

    def _get_retries(self, service: str) -> Retries:
        found = self._retries.get(service)
        if found is None:
            found = Retries(
                bounds=self._bounds,
                vms=self._vms,
                now=self._loop.time(),
            )
            self._retries[service] = found
        return found


def _find_team(configuration: Configuration, key: str | None) -> Team | None:
    name = configuration.keys.get(key) if key is not None else None
    return configuration.teams.get(name) if name is not None else None


def _join_homes(route: Route, team: Team | None) -> frozenset[str] | None:
    """Return the regions allowed, empty for all, None for none of them."""
    if team is None or not team.homes:
        return route.homes
    if not route.homes:
        return team.homes
    return (route.homes & team.homes) or None


def _pick_part(
    route: Route,
    draw: Callable[[], float] = random.random,
) -> str:
    if len(route.parts) == 1:
        return route.parts[0].service
    point = draw() * sum(part.weight for part in route.parts)
    for part in route.parts:
        point -= part.weight
        if point < 0:
            return part.service
    return route.parts[-1].service


def _pick_priority(route: Route, team: Team | None) -> int:
    if team is None or team.priority is None:
        return route.priority
    return team.priority


def _keep_worse(known: Failure | None, found: Failure) -> Failure:
    if known is not None and known.may_have_run and not found.may_have_run:
        return known
    return found
