"""The forms of the records that VMs of different builds send each other.

Records are sent as arrays of their fields. Builds of the first three forms
refuse a record with a field more than they know, and drop the whole message.
Builds of the current form pass over fields that they don't know
(`record_reading.py`). The rule for all changes, so that builds can stand side
by side:

- A new field stands at the end of its record and has a default.
- A field that is not needed any more keeps its place and gets its default.
- A field never changes its place, its type or what it means.
- A new kind of message is a new last field of `Message`, None by default.
- The counts of the first three forms never change: they hold how many fields of
  each record the builds of these forms read.
"""

from collections.abc import Mapping
from typing import Any, Final

__all__ = (
    'CURRENT_FORM',
    'FIRST_FORM',
    'THIRD_FORM',
    'cut_record',
    'find_form',
)

FIRST_FORM: Final = 1  # builds before f46556b, without suspects
_SECOND_FORM: Final = 2  # builds before 9fd2833, without `reaches_targets`
THIRD_FORM: Final = 3  # builds up to c888059
CURRENT_FORM: Final = 4

_FIRST: Final = {
    'Address': 2,
    'ClientLimits': 4,
    'Configuration': 6,
    'EvacuationSnapshot': 3,
    'Heartbeat': 7,
    'LimitReport': 5,
    'LimitReports': 2,
    'Member': 8,
    'Message': 4,
    'Revision': 2,
    'Revisions': 3,
    'Route': 11,
    'Service': 4,
    'Snapshot': 7,
    'Target': 10,
    'Team': 5,
    'Usage': 2,
    'UsageReport': 3,
    'VmContact': 3,
    'WeightedService': 2,
    'ZoneReport': 7,
}
_SECOND: Final = {
    **_FIRST,
    'Crash': 3,
    'Revisions': 4,
    'Snapshot': 8,
    'Suspect': 5,
    'SuspectSnapshot': 2,
    'Target': 11,
}
_FIELD_COUNTS: Final[Mapping[int, Mapping[str, int]]] = {
    FIRST_FORM: _FIRST,
    _SECOND_FORM: _SECOND,
    THIRD_FORM: {**_SECOND, 'Member': 9},
}


def cut_record(record: Any, form: int) -> Any:
    """Return a record with the fields that builds of a form read."""
    counts = _FIELD_COUNTS.get(form)
    return record if counts is None else _cut(record, counts)


def find_form(decoded: Any) -> int | None:
    """Return the form of a decoded message of one of the first three forms.

    None for a message that has no record by which they differ.
    """
    heartbeat, report = decoded[:2]
    if heartbeat is not None:
        member, _started_at, revisions = heartbeat[:3]
    elif report is not None:
        revisions, (member, *_others) = report[4:6]
    else:
        return None
    if len(revisions) <= _FIRST['Revisions']:
        return FIRST_FORM
    is_second = len(member) <= _SECOND['Member']
    return _SECOND_FORM if is_second else THIRD_FORM


def _cut(found: Any, counts: Mapping[str, int]) -> Any:
    if isinstance(found, tuple):
        count = counts.get(type(found).__name__, len(found))
        return tuple(_cut(part, counts) for part in found[:count])
    if isinstance(found, Mapping):
        return {name: _cut(part, counts) for name, part in found.items()}
    return found
