"""Tests of refusals: their documentation page and their rendering."""

import json
from pathlib import Path

import pytest

from toucanhall.forwarding.problems import REASONS, make_refusal, render

PAGE = Path(__file__).parents[2] / 'docs' / 'REFUSALS.md'


def test_page_lists_each_reason():
    rows = [
        f'| `{name}` | {reason.status} | {reason.ran} | {reason.title} |'
        for name, reason in REASONS.items()
    ]
    lines = PAGE.read_text().splitlines()
    found = [line for line in lines if line.endswith(tuple(ends()))]
    assert found == rows


def ends():
    return {f'| {reason.title} |' for reason in REASONS.values()}


@pytest.mark.parametrize('name', REASONS)
def test_refusal_is_problem_json_and_says_if_the_request_ran(name):
    answer = render(make_refusal(name, 'detail', 0.2))
    headers = dict(answer.headers)
    body = b''.join(answer.body)
    assert json.loads(body)['reason'] == name
    assert headers['Content-Type'] == 'application/problem+json'
    assert headers['Content-Length'] == str(len(body))
    assert headers['Toucanhall-Ran'] in {'no', 'maybe'}
    assert headers['Retry-After'] == '1'


def test_unknown_reason_raises_key_error():
    with pytest.raises(KeyError, match='no-such'):
        make_refusal('no-such', '')
