"""Decides whether a request that crashed targets may run again, and where.

Load patterns: one request crashes each target that begins to run it and comes
again at all VMs; others are in flight at the same targets; targets crash for
other reasons; a corrected release replaces the targets; several requests crash
targets at the same time.

A request that ran at two targets when they crashed is held back, until a
single trial at a time shows whether it was the cause. Trials become rarer, and
each new release of the targets is worth one of its own.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from toucanhall.fleet.suspects import Crash, Suspect

__all__ = ('Verdict', 'count_crashes', 'judge')

# Crashes at which a request is held back.
MIN_CRASHES_COUNT: Final = 2
# Before the first trial, and before the second one; doubled after each.
_FIRST_TRIAL_SECONDS: Final = 1.0
_SECOND_TRIAL_SECONDS: Final = 30.0
_MAX_TRIAL_SECONDS: Final = 3600.0


class Verdict(NamedTuple):
    """Where a suspected request may run.

    `releases` are those of the targets that may run it, None for all. If
    `is_trial`, a single request may, which has to be acquired. If it may run
    nowhere, `retry_after` is the time in seconds until the next trial.
    """

    releases: frozenset[str] | None = None
    is_trial: bool = False
    retry_after: float = 0.0

    @property
    def is_free(self) -> bool:
        """Whether the request may run without a trial."""
        return not self.is_trial and not self.retry_after


def judge(
    suspect: Suspect,
    crash_count: int,
    releases: frozenset[str],
    age_seconds: float,
) -> Verdict:
    """Return where a suspected request may run.

    `crash_count` are the crashes that it may have caused, `releases` those of
    the targets of its service, `age_seconds` the time since the last crash or
    trial.
    """
    if crash_count < MIN_CRASHES_COUNT:
        return Verdict()
    serving = releases.intersection(suspect.served_releases)
    if serving:
        return Verdict(releases=serving)
    crashed = {crash.release for crash in suspect.crashes}
    untested = releases - crashed - set(suspect.tried_releases)
    if untested:
        return Verdict(releases=frozenset((max(untested),)), is_trial=True)
    remaining = _compute_trial_delay(suspect.trial_count) - age_seconds
    if remaining <= 0:
        return Verdict(is_trial=True)
    return Verdict(retry_after=remaining)


def count_crashes(name: str, suspects: Mapping[str, Suspect]) -> int:
    """Return the crashes that no other request explains better.

    A request that was in flight at more crashes explains those that it shares
    with others.
    """
    crashes = suspects[name].crashes
    explained: set[Crash] = set()
    for other, suspect in suspects.items():
        if other != name and len(suspect.crashes) > len(crashes):
            explained.update(suspect.crashes)
    return _count_other(crashes, explained)


def _count_other(crashes: Iterable[Crash], explained: set[Crash]) -> int:
    return sum(crash not in explained for crash in crashes)


def _compute_trial_delay(trial_count: int) -> float:
    if not trial_count:
        return _FIRST_TRIAL_SECONDS
    doubled = _SECOND_TRIAL_SECONDS * 2.0 ** min(trial_count - 1, 16)
    return min(_MAX_TRIAL_SECONDS, doubled)
