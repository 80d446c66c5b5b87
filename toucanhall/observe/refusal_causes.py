"""Counts refusals of teams by why their limit did not allow the request."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final

from toucanhall.observe import events
from toucanhall.observe.log_lines import Line

__all__ = ('count_refusal_causes',)

_REASON: Final = 'over-quota'
# From this fraction of the limit of a window on, the limit counts as spent.
_SPENT_FRACTION: Final = 0.8


def count_refusal_causes(lines: Iterable[Line]) -> Iterator[str]:
    """Yield how many refusals over a limit had each cause, the rarest last.

    Lines are in the order of their times. Only with the cause `limit spent`
    had the team spent its limit. The log drops lines of frequent events, so
    it may hold only some of the refusals.
    """
    stopping: set[str] = set()
    causes: Counter[str] = Counter()
    for line in lines:
        if line.event == events.STARTED.number:
            stopping.discard(line.vm)
        elif line.event == events.STOPPING.number:
            stopping.add(line.vm)
        elif line.fields.get('reason') == _REASON:
            causes[_find_cause(line, line.vm in stopping)] += 1
    for cause, count in causes.most_common():
        yield f'{count:7d}  over the limit of a team: {cause}'


def _find_cause(line: Line, is_stopping: bool) -> str:
    limit = line.fields.get('limit', 0)
    if not limit:
        return 'no limit known yet'
    if line.fields.get('spent', 0) >= _SPENT_FRACTION * limit:
        return 'limit spent'
    if is_stopping:
        return 'VM stopping, within the limit'
    return 'own part spent, within the limit'
