"""Tells which requests were in flight at a target when it crashed."""

import asyncio
from collections.abc import Callable
from typing import Final

from toucanhall.edge.target_probe import TargetProbe
from toucanhall.fleet.model import Target
from toucanhall.fleet.suspects import Crash
from toucanhall.observe import events
from toucanhall.observe.journal import Journal

__all__ = ('CrashInspector',)

_MAX_CRASHES_COUNT: Final = 256


class CrashInspector:
    """Inspects each start of a target once that closed connections."""

    def __init__(
        self,
        *,
        probe: TargetProbe,
        on_crash: Callable[[str, Crash], None],
        journal: Journal,
    ) -> None:
        """Call `on_crash` with the fingerprint of each request in flight."""
        self._probe = probe
        self._on_crash = on_crash
        self._journal = journal
        # Requests in flight at starts of targets that may have ended.
        self._in_question: dict[Crash, set[str]] = {}
        self._known: dict[Crash, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def inspect(self, fingerprint: str, target: Target) -> None:
        """Find out why a target closed the connection of a request."""
        crash = Crash(target.id, target.started_at, target.release)
        if crash in self._known:
            self._on_crash(fingerprint, crash)
            return
        is_new = crash not in self._in_question
        self._in_question.setdefault(crash, set()).add(fingerprint)
        if is_new:
            task = asyncio.get_running_loop().create_task(
                self._inspect(crash, target)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _inspect(self, crash: Crash, target: Target) -> None:
        try:
            has_crashed = await self._probe.has_crashed(target)
        finally:
            fingerprints = self._in_question.pop(crash)
        if not has_crashed:
            return
        self._known[crash] = None
        if len(self._known) > _MAX_CRASHES_COUNT:
            self._known.pop(next(iter(self._known)))
        self._journal.write(
            events.TARGET_ENDED,
            target=target.id,
            release=target.release,
            requests=len(fingerprints),
        )
        for fingerprint in fingerprints:
            self._on_crash(fingerprint, crash)
