"""Passes requests to VMs that reach targets, while this one does not."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from toucanhall.edge import refusals
from toucanhall.edge.admission import AdmittedRequest
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.refusals import Refusal
from toucanhall.fleet.model import Address, Environment
from toucanhall.fleet.reports import Member
from toucanhall.fleet.selection import compute_spare_capacity, pick_helpers
from toucanhall.platform.headers import read_target_headers
from toucanhall.platform.relay_headers import make_relayed_request
from toucanhall.web.client import (
    IncompleteAnswerError,
    ReceivedAnswer,
    UnreachableError,
)
from toucanhall.web.messages import encode_request

__all__ = ('RelayOutcome', 'RequestRelay')

# VMs that are asked for a request as long as none has taken it.
_MAX_ASKED_VMS_COUNT: Final = 3
# As to targets: VMs in an own region answer in milliseconds.
_CONNECT_TIMEOUT_SECONDS: Final = 0.35
# A VM that could not take a request is not asked again for so long.
_UNFIT_SECONDS: Final = 1.0
# Builds of the first form of records answer all other requests of VMs so.
_NO_RELAY_REASON: Final = b'no such path'
# A VM that answers with one of them has not sent the request to any target.
_UNFIT_REASONS: Final = frozenset(
    refusal.reason.encode()
    for refusal in (
        refusals.NO_CONFIGURATION,
        refusals.NO_ROUTE,
        refusals.TARGETS_UNREACHABLE,
        refusals.UNKNOWN_KEY,
        refusals.VM_OVERLOADED,
        refusals.VM_STOPPING,
    )
) | {_NO_RELAY_REASON}


class RelayOutcome(NamedTuple):
    """The answer of another VM, or else why there is none."""

    vm: str = ''
    reply: ReceivedAnswer | None = None
    refusal: Refusal = refusals.TARGETS_UNREACHABLE
    why: str = ''


class RequestRelay:
    """Sends requests to other VMs, the nearest first; never on from there."""

    def __init__(
        self,
        *,
        environment: Environment,
        pool: ConnectionPool,
        list_members: Callable[[], Iterable[Member]],
    ) -> None:
        """Choose among the other VMs of `list_members`."""
        self._environment = environment
        self._pool = pool
        self._list_members = list_members
        self._loop = asyncio.get_running_loop()
        self._own_zones = {
            zone
            for zone, region in environment.regions.items()
            if region == environment.region
        }
        # Until when VMs are not asked again.
        self._unfit_until: dict[str, float] = {}

    async def send(
        self, admitted: AdmittedRequest, attempts: int
    ) -> RelayOutcome:
        """Let another VM serve a request with so many attempts."""
        helpers = self._pick_helpers(admitted)
        outcome = RelayOutcome(why='no VM reaches targets')
        while helpers:
            helper = helpers.pop(0)
            outcome = await self._try(helper, admitted, attempts)
            if outcome.reply or outcome.refusal is refusals.ANSWER_LOST:
                break
            # Reports of other zones are some seconds old.
            self._unfit_until[helper.vm] = self._loop.time() + _UNFIT_SECONDS
        return outcome

    def _pick_helpers(self, admitted: AdmittedRequest) -> list[Member]:
        """Return the VMs to ask, in this order."""
        now = self._loop.time()
        regions = self._environment.regions
        homes = admitted.homes
        members = [
            member
            for member in self._list_members()
            if (not homes or regions.get(member.zone) in homes)
            and now >= self._unfit_until.get(member.vm, 0.0)
        ]
        near = pick_helpers(members, self._own_zones)
        helpers = _draw(near, _MAX_ASKED_VMS_COUNT - 1)
        others = [member for member in members if member not in near]
        return helpers + _draw(
            pick_helpers(others, regions), _MAX_ASKED_VMS_COUNT - len(helpers)
        )

    async def _try(
        self, helper: Member, admitted: AdmittedRequest, attempts: int
    ) -> RelayOutcome:
        control = self._environment.listeners.control
        address = Address(helper.ip, control.port if control else 0)
        relayed = make_relayed_request(
            admitted.request,
            attempts=attempts,
            remaining_seconds=admitted.deadline - self._loop.time(),
        )
        try:
            reply = await self._exchange(
                address, admitted, encode_request(relayed)
            )
        except UnreachableError as error:
            return RelayOutcome(helper.vm, why=str(error))
        except IncompleteAnswerError as error:
            return RelayOutcome(
                helper.vm, refusal=refusals.ANSWER_LOST, why=str(error)
            )
        if _is_unfit(reply):
            return RelayOutcome(helper.vm, why=reply.body.decode('latin-1'))
        return RelayOutcome(helper.vm, reply)

    async def _exchange(
        self, address: Address, admitted: AdmittedRequest, sent: bytes
    ) -> ReceivedAnswer:
        may_retry = admitted.route.is_idempotent
        connection = await self._pool.acquire(
            address,
            admitted.headers.request_id,
            may_retry=may_retry,
            connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS,
        )
        reply = await self._pool.exchange(
            connection,
            sent,
            admitted.headers.request_id,
            may_retry=may_retry,
        )
        self._pool.release(address, connection)
        return reply


def _draw(members: Iterable[Member], count: int) -> list[Member]:
    """Draw some VMs without repetition, weighted by their spare capacity."""
    ranked = sorted(
        members,
        key=lambda found: random.expovariate(
            max(compute_spare_capacity(found), 1.0)
        ),
    )
    return ranked[:count]


def _is_unfit(reply: ReceivedAnswer) -> bool:
    """Whether a VM could not take a request, or has an older configuration."""
    return (
        not read_target_headers(reply).has_stamp
        and reply.body in _UNFIT_REASONS
    )
