"""Finds out whether this VM reaches any target, and when it does again.

Load patterns: connections to all targets hang, are reset, or live on while new
ones are refused, for one VM, a zone or all; a target, or all of a zone, crash.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.target_probe import TargetProbe
from toucanhall.fleet.model import Target
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.placement.registry import TargetRegistry

__all__ = ('TargetLinks',)

_CHECK_INTERVAL_SECONDS: Final = 0.25
# While requests are in flight; most are answered sooner.
_MAX_SILENCE_SECONDS: Final = 0.7
# An answer this recent shows that targets are reached.
_RECENT_ANSWER_SECONDS: Final = 0.25
# Addresses that refused in a row, after which answers on connections that were
# open before do not count.
_MAX_FAILED_ADDRESSES: Final = 3
# Asked at the same time, in different zones as far as there are.
_ASKED_TARGETS_COUNT: Final = 4


class TargetLinks:
    """Whether this VM is cut off from all targets."""

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        pool: ConnectionPool,
        probe: TargetProbe,
        on_change: Callable[[], None],
        journal: Journal,
    ) -> None:
        """Call `on_change` when `is_cut_off` changes."""
        self._registry = registry
        self._pool = pool
        self._probe = probe
        self._on_change = on_change
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._checked_at = 0.0
        self._in_flight = 0
        self._check_task: asyncio.Task[bool] | None = None
        self.is_cut_off = False

    def start(self) -> None:
        """Start to watch for silence."""
        self._loop.call_later(_CHECK_INTERVAL_SECONDS, self._watch)

    def record_sent(self) -> None:
        """Record that a request is on its way to a target."""
        if not self._in_flight:
            self._heard_at = max(
                self._heard_at, self._loop.time() - _RECENT_ANSWER_SECONDS
            )
        self._in_flight += 1

    def record_end(self, *, is_answered: bool) -> None:
        """Record the end of a request that was sent."""
        self._in_flight -= 1
        if is_answered:
            self._heard_at = self._loop.time()

    async def check(self) -> bool:
        """Return whether this VM is cut off; ask some targets if in doubt."""
        if self.is_cut_off:
            return True
        now = self._loop.time()
        is_refused = len(self._pool.failed_addresses) >= _MAX_FAILED_ADDRESSES
        is_heard = now - self._heard_at < _RECENT_ANSWER_SECONDS
        if self._check_task is None and (
            now - self._checked_at < _CHECK_INTERVAL_SECONDS
            or (is_heard and not is_refused)
        ):
            return False
        return await self._join_check()

    async def _join_check(self) -> bool:
        if self._check_task is None:
            self._check_task = self._loop.create_task(self._check())
        return await asyncio.shield(self._check_task)

    async def _check(self) -> bool:
        """Ask some targets; return whether none of them accepts."""
        try:
            targets = self._pick_targets()
            is_accepted = await self._ask(targets)
        finally:
            self._check_task = None
            self._checked_at = self._loop.time()
        # The end of one target is no sign of a cut.
        if len(targets) > 1 or is_accepted:
            self._set(is_cut_off=not is_accepted, asked=targets)
        return self.is_cut_off

    async def _ask(self, targets: list[Target]) -> bool:
        """Whether a target accepts; most often, one connection tells."""
        if not self.is_cut_off and await self._probe.is_any_accepted(
            targets[:1]
        ):
            return True
        return await self._probe.is_any_accepted(targets)

    def _pick_targets(self) -> list[Target]:
        usable = [
            target
            for target in self._registry.list_targets()
            if not target.is_draining
        ]
        random.shuffle(usable)
        one_per_zone = {target.zone: target for target in usable}
        ranked = dict.fromkeys((*one_per_zone.values(), *usable))
        return list(ranked)[:_ASKED_TARGETS_COUNT]

    def _set(self, *, is_cut_off: bool, asked: list[Target]) -> None:
        if is_cut_off == self.is_cut_off:
            return
        self.is_cut_off = is_cut_off
        event = events.CUT_OFF if is_cut_off else events.REACHABLE
        self._journal.write(
            event,
            asked=[target.id for target in asked],
            silent=round(self._loop.time() - self._heard_at, 2),
        )
        if is_cut_off:
            self._pool.close_idle()
        else:
            self._heard_at = self._loop.time()
            # Failures since the cut began were those of the links.
            self._registry.resume_all()
        self._on_change()

    def _watch(self) -> None:
        self._loop.call_later(_CHECK_INTERVAL_SECONDS, self._watch)
        now = self._loop.time()
        is_silent = self._in_flight > 0 and (
            now - self._heard_at > _MAX_SILENCE_SECONDS
        )
        if self.is_cut_off and is_silent:
            self._pool.abandon()
        is_in_doubt = is_silent and (
            now - self._checked_at > _MAX_SILENCE_SECONDS
        )
        if (self.is_cut_off or is_in_doubt) and self._check_task is None:
            self._check_task = self._loop.create_task(self._check())
