"""Tests of catalogue documents and of the revision in force."""

from tests.builders import make_document, make_revision, make_target
from toucanhall import catalogue
from toucanhall.catalogue import Holder, Verdict


def test_all_invalid_references_are_reported():
    document = make_document(
        targets={'guide-1': make_target('nowhere', 1)},
        routes=[
            {'path': '/x', 'owner': 'o', 'service': 'none', 'kind': 'read'},
        ],
        keys={'k': {'team': 'nobody', 'digest': 'b' * 64}},
    )
    findings = catalogue.read(document).failure()
    assert {finding.path for finding in findings} == {
        '$.targets.guide-1.zone',
        '$.routes[0].service',
        '$.keys.k.team',
    }


def test_fractions_sum_to_at_most_one():
    zones = {
        'north-a': {'region': 'north', 'fraction': 0.6},
        'south-a': {'region': 'south', 'fraction': 0.6},
    }
    findings = catalogue.read(make_document(zones=zones)).failure()
    assert findings[0].path == '$.zones.*.fraction'


def test_older_revision_is_not_applied():
    holder = Holder()
    holder.offer(make_revision(number=5))
    assert holder.offer(make_revision(number=4)) is Verdict.STALE
    assert holder.current.number == 5


def test_revisions_of_one_number_converge_in_either_order():
    one = make_revision(number=5, change='one')
    two = make_revision(number=5, change='two')
    first, second = Holder(), Holder()
    first.offer(one)
    second.offer(two)
    assert first.offer(two) is Verdict.REPLACE
    assert second.offer(one) is Verdict.CONFLICT
    assert first.current == second.current == two
