"""Model of a change of limits: zones on older and newer revisions.

It guards against zones that spend more than the limit together. Each zone is
modelled as one VM, as the fence allows only what all VMs of a zone agree on. It
may skip revisions, receive the other zone's confirmations late or never, and be
replaced by a VM without any state.
"""

from typing import NamedTuple

import pytest
from minicheck import Protocol

from tests.builders import make_catalogue
from tests.models.reports import explore, report_model, report_variant
from toucanhall.shares import parts, revisions

ZONES = ('north-a', 'south-a')
SLOTS = frozenset(range(64))
NUMBERS = (1, 2, 3)
SMALL = 1e-6


def make(rate, fraction):
    """Return a catalogue with a rate and the fraction of the first zone."""
    return make_catalogue(
        zones={
            'north-a': {'region': 'north', 'fraction': fraction},
            'south-a': {'region': 'south', 'fraction': 1 - fraction},
        },
        teams={'hostels': {'rate': rate, 'burst': rate * 200}},
    )


CATALOGUES = {1: make(10, 0.5), 2: make(6, 0.9), 3: make(8, 0.2)}
RATES = {
    number: catalogue.teams['hostels'].rate
    for number, catalogue in CATALOGUES.items()
}


class Zone(NamedTuple):
    """The revisions that a zone knows, and those known to be confirmed."""

    known: tuple[int, ...] = (1,)
    own: int = 1
    other: int = 1


class State(NamedTuple):
    """Both zones and the newest revision."""

    north: Zone = Zone()
    south: Zone = Zone()
    newest: int = 1


def find_rate(name, zone, list_pending):
    """Return the rate that a zone holds."""
    index = ZONES.index(name)
    confirmed = {ZONES[index]: zone.own, ZONES[1 - index]: zone.other}
    known = {number: CATALOGUES[number] for number in zone.known}
    pending = list_pending(known, confirmed)
    held = [CATALOGUES[number] for number in pending]
    return parts.compute_min_limit(held, name, 'hostels', SLOTS).rate


def list_steps(state):
    """Yield the possible steps."""
    if state.newest < NUMBERS[-1]:
        yield 'change accepted', state._replace(newest=state.newest + 1)
    for name, other in (('north', 'south'), ('south', 'north')):
        zone = getattr(state, name)
        top = max(zone.known, default=0)
        for number in range(top + 1, state.newest + 1):
            taken = zone._replace(known=(*zone.known, number), own=number)
            yield f'{name} takes {number}', state._replace(**{name: taken})
        heard = getattr(state, other).own
        for number in range(zone.other + 1, heard + 1):
            told = zone._replace(other=number)
            yield f'{name} hears {number}', state._replace(**{name: told})
        fresh = Zone((max(zone.own, 1),), zone.own, 0)
        yield f'{name} replaced', state._replace(**{name: fresh})


def is_bounded(state, list_pending):
    """Return whether the zones hold no more than a limit in force."""
    north = find_rate('north-a', state.north, list_pending)
    south = find_rate('south-a', state.south, list_pending)
    oldest = min(state.north.own, state.south.own)
    if state.north.own == state.south.own:
        return north + south <= RATES[oldest] + SMALL
    in_force = range(oldest, max(state.north.own, state.south.own) + 1)
    return north + south <= max(RATES[number] for number in in_force) + SMALL


def check(list_pending):
    """Check that the shares in force never sum to more than the limit."""
    protocol = Protocol(
        name='revisions',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda fields: [
            (label, tuple(after)) for label, after in list_steps(State(*fields))
        ],
        invariants={
            'refill': lambda fields: is_bounded(State(**fields), list_pending),
        },
    )
    return explore(protocol)


def test_parts_in_force_stay_within_the_limit():
    checked = check(revisions.list_pending)
    report_model('revisions', checked)
    assert checked['properties']['refill']['holds'] is True


def use_newest(known, _confirmed):
    """Use the newest revision at once."""
    return (max(known),)


def pass_over_unknown(known, confirmed):
    """Use the minimum of the known revisions, even if some were skipped."""
    oldest = min(confirmed.values())
    return tuple(number for number in sorted(known) if number >= oldest)


@pytest.mark.parametrize('broken', [use_newest, pass_over_unknown])
def test_each_guard_is_needed(broken):
    found = check(broken)['properties']['refill']
    report_variant(f'revisions {broken.__name__}', found)
    assert found['holds'] is False
