"""Reads log files of VMs: explains one request, counts the reasons of all."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

from toucanhall.observe import events

__all__ = ('Line', 'explain', 'read_lines', 'count_reasons')

# Events that say what a VM knows, or that its own state changed.
_STATE_EVENTS: Final = frozenset(
    (
        events.CONFIGURATION_APPLIED.number,
        events.TARGETS_CHANGED.number,
        events.EVACUATIONS_CHANGED.number,
        events.STORE_LOST.number,
        events.STORE_RECOVERED.number,
        events.SERVING_CHANGED.number,
        events.RESUMED.number,
        events.STARTED.number,
        events.STOPPING.number,
    )
)
# Likewise, of one target.
_TARGET_STATE_EVENTS: Final = frozenset(
    (
        events.TARGET_SUSPENDED.number,
        events.TARGET_RESUMED.number,
    )
)
_COMMON_FIELDS: Final = frozenset(('at', 'vm', 'level', 'event', 'message'))
_MS_PER_SECOND: Final = 1000


class Line(NamedTuple):
    """A log line: time in Unix milliseconds, VM, event number and fields."""

    at: int
    vm: str
    event: int
    message: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return log lines by time; skip other lines and text before an object."""
    found = []
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            document = json.loads(text[start:])
        except ValueError:
            continue
        fields = {
            name: content
            for name, content in document.items()
            if name not in _COMMON_FIELDS
        }
        found.append(
            Line(
                at=document['at'],
                vm=document['vm'],
                event=document['event'],
                message=document['message'],
                fields=fields,
            ),
        )
    return sorted(found, key=_get_time)


def explain(lines: list[Line], request: str) -> Iterator[str]:
    """Yield the lines of a request, each after the state of its VM then."""
    printed: set[int] = set()
    request_lines = [
        line for line in lines if line.fields.get('request') == request
    ]
    if not request_lines:
        yield f'no line has the request {request}; it may have been dropped'
        return
    for line in request_lines:
        targets = _list_targets(line)
        for state in _find_states(lines, line, targets):
            if id(state) not in printed:
                printed.add(id(state))
                age = (line.at - state.at) / _MS_PER_SECOND
                yield f'  {age:.3f} s before: {_render(state)}'
        yield f'{line.at} {line.vm}: {_render(line)}'


def count_reasons(lines: list[Line]) -> Iterator[str]:
    """Yield how often each event and reason occurs, the most frequent first."""
    counts = Counter(
        (line.event, line.message, _get_reason(line)) for line in lines
    )
    for (event, message, reason), count in counts.most_common():
        yield f'{count:7d}  {event} {message}{reason}'


def _find_states(
    lines: list[Line],
    line: Line,
    targets: set[str],
) -> list[Line]:
    """Return the last line of each state event of a VM up to one of its lines.

    Lines of targets count only for `targets`.
    """
    latest = {
        (found.event, found.fields.get('target', '')): found
        for found in lines
        if found.vm == line.vm
        and found.at <= line.at
        and _is_state(found, targets)
    }
    return sorted(latest.values(), key=_get_time)


def _is_state(line: Line, targets: set[str]) -> bool:
    if line.event in _TARGET_STATE_EVENTS:
        return line.fields.get('target', '') in targets
    return line.event in _STATE_EVENTS


def _list_targets(line: Line) -> set[str]:
    """Return the targets of a line; empty is that of lines without one."""
    targets = set(line.fields.get('tried') or ())
    targets.add(line.fields.get('target', ''))
    return targets


def _render(line: Line) -> str:
    fields = ' '.join(
        f'{name}={json.dumps(content)}'
        for name, content in line.fields.items()
        if name != 'request' and content is not None
    )
    return f'[{line.event}] {line.message} {fields}'.rstrip()


def _get_reason(line: Line) -> str:
    reason = line.fields.get('reason') or line.fields.get('why')
    return f': {reason}' if reason else ''


def _get_time(line: Line) -> int:
    return line.at
