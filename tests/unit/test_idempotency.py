"""Tests of the decision on a claim that was found."""

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
def test_standing_of_a_found_claim(claim, standing):
    assert judge(claim, 'mine', 'd') is standing


def test_teams_with_the_same_key_have_claims_of_their_own():
    assert name_claim('a', '/x', 'k') != name_claim('b', '/x', 'k')
