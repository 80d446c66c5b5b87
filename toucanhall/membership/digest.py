"""Chooses what a heartbeat tells of others, and how long to wait for news."""

from collections.abc import Mapping, Sequence
from itertools import chain, islice
from typing import Final, TypeVar

from toucanhall.membership.messages import Row
from toucanhall.membership.view import (
    SUSPECT_SECONDS,
    Health,
    Member,
    View,
    assess,
)

__all__ = ('list_rows', 'sample_confirmed', 'set_patience')

_FAR_ROWS: Final = 16
_NEAR_ROWS_ABROAD: Final = 8
_CONFIRMED_ZONES: Final = 8
_SECONDS_PER_DOUBLING: Final = 1.0
_FAR_SECONDS: Final = 20.0
_SMALL_ZONE: Final = 4
_TOLD: Final = frozenset((Health.ALIVE, Health.LEAVING))

Item = TypeVar('Item')


def list_rows(
    view: View,
    zone: str,
    turn: int,
    now: float,
    *,
    is_near: bool,
) -> tuple[Row, ...]:
    """Return the rows for a VM of the own zone, or for one of another zone.

    The own zone hears of all its VMs and in turns of those of other zones;
    other zones hear of the VMs of this zone in turns.
    """
    near, far = _split_told(view, zone, now)
    if not is_near:
        return _rotate(near, turn, _NEAR_ROWS_ABROAD)
    return (*near, *_rotate(far, turn, _FAR_ROWS))


def sample_confirmed(
    confirmed: Mapping[str, int],
    zone: str,
    turn: int,
) -> Mapping[str, int]:
    """Return the own zone's confirmation and, in turns, those of others."""
    names = _rotate(sorted(confirmed), turn, _CONFIRMED_ZONES)
    return {name: confirmed[name] for name in {zone, *names} & set(confirmed)}


def set_patience(view: View, zone: str) -> View:
    """Return the view with the seconds after which silence is suspicious.

    News of a VM takes more rounds in a larger zone, and more across zones.
    """
    size = 1 + sum(member.zone == zone for member in view.members.values())
    doublings = 0 if size <= _SMALL_ZONE else (size - 1).bit_length()
    near = SUSPECT_SECONDS + _SECONDS_PER_DOUBLING * doublings
    return view._replace(
        members={
            vm: member._replace(
                patience=near if member.zone == zone else _FAR_SECONDS,
            )
            for vm, member in view.members.items()
        },
    )


def _split_told(
    view: View,
    zone: str,
    now: float,
) -> tuple[list[Row], list[Row]]:
    """Return rows of the own zone and of others, also of VMs that leave."""
    near: list[Row] = []
    far: list[Row] = []
    for member in view.members.values():
        if assess(member, now) in _TOLD and member.heard_at is not None:
            rows = near if member.zone == zone else far
            rows.append(_make_row(member))
    return near, far


def _make_row(member: Member) -> Row:
    return Row(
        member.vm,
        member.start,
        member.sequence,
        member.revision,
        member.leaving,
    )


def _rotate(
    found: Sequence[Item],
    turn: int,
    count: int,
) -> tuple[Item, ...]:
    if len(found) <= count:
        return tuple(found)
    begin = turn * count % len(found)
    return tuple(
        islice(chain(found[begin:], found[:begin]), count),
    )
