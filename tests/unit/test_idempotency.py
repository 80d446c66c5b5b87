"""Tests of what a stored claim means for a request, and of claim names."""

import pytest

from toucanhall.idempotency import Claim, Outcome, Standing, judge, name_claim

OUTCOME = Outcome(201, (), b'')


@pytest.mark.parametrize(
    ('claim', 'standing'),
    [
        (Claim('mine', 'd'), Standing.MINE),
        (Claim('other', 'd'), Standing.OPEN),
        (Claim('other', 'd', released=True), Standing.FREE),
        (Claim('other', 'd', outcome=OUTCOME), Standing.DONE),
        (Claim('other', 'x', outcome=OUTCOME), Standing.MISMATCH),
    ],
)
def test_standing_of_stored_claim(claim, standing):
    assert judge(claim, 'mine', 'd') is standing


def test_teams_with_same_key_have_separate_claims():
    assert name_claim('a', '/x', 'k') != name_claim('b', '/x', 'k')
