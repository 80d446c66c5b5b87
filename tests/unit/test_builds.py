"""Tests of messages between VMs of this build and of earlier ones."""

import json
import os
import subprocess
import sys
from functools import cache
from pathlib import Path

import pytest

from standins.site.builds import HistoryMissingError, check_out

TESTS = Path(__file__).parents[1]
PROGRAM = TESTS / 'wire_samples.py'
FORMS = {'ff8121e': 1, '2836123': 1, 'f75a866': 2, 'dfdfe8e': 3}
EARLIER = tuple(FORMS)
# Messages of builds that VMs of this one may stand beside.
KEPT = (*EARLIER, 'c888059', '5850bd5', 'current')


def run(folder, verb, samples=None):
    """Encode or decode samples by the build in a folder."""
    finished = subprocess.run(
        (sys.executable, str(PROGRAM), verb),
        env={**os.environ, 'PYTHONPATH': str(folder)},
        input=json.dumps(samples),
        capture_output=True,
        text=True,
    )
    assert not finished.returncode, finished.stderr
    return json.loads(finished.stdout)


def read_kept(build):
    return json.loads((TESTS / 'wire' / f'{build}.json').read_text())


@cache
def read_by(build, kept):
    """Return the kept messages of a build as another one reads them."""
    return run(check_out(build), 'decode', read_kept(kept))


@cache
def read_by_this(kept):
    return run(TESTS.parent, 'decode', read_kept(kept))


def select_common(found, other):
    """Return what is found of the names that another record has, too."""
    if isinstance(found, dict) and isinstance(other, dict):
        return {
            name: select_common(found[name], other[name])
            for name in found.keys() & other.keys()
        }
    if isinstance(found, list) and isinstance(other, list):
        pairs = zip(found, other, strict=True)
        return [select_common(*pair) for pair in pairs]
    return found


def list_unread(read):
    return [kind for kind in read if 'error' in read[kind]]


def assert_agree(first, second):
    """Assert that both builds read all, and alike what both have names for."""
    errors = [found for found in (first, second) if 'error' in found]
    assert not errors
    assert select_common(first, second) == select_common(second, first)


def list_kinds(*builds):
    return [
        (build, kind)
        for build in builds
        for kind in read_kept(build)
        if kind != 'answer to table query of two revisions'
    ]


@pytest.mark.parametrize(('build', 'kind'), list_kinds(*EARLIER))
def test_messages_of_earlier_builds_are_read(build, kind):
    assert_agree(read_by_this(build)[kind], read_by(build, build)[kind])


@pytest.mark.parametrize('build', ('ff8121e', '2836123'))
def test_tables_of_builds_without_suspects_are_read(build):
    kind = 'answer to table query of two revisions'
    assert_agree(read_by_this(build)[kind], read_by(build, build)[kind])


@pytest.mark.parametrize('build', EARLIER)
@pytest.mark.parametrize(
    'kind', ('heartbeat', 'report', 'limits', 'entry of a VM')
)
def test_earlier_builds_read_messages_of_this_one(build, kind):
    to_build = f'{kind} to form {FORMS[build]}'
    sent = to_build if to_build in read_kept('current') else kind
    assert_agree(read_by(build, 'current')[sent], read_by_this('current')[sent])


@pytest.mark.parametrize('build', EARLIER)
@pytest.mark.parametrize('kind', ('heartbeat', 'report', 'limits'))
def test_all_builds_read_messages_to_unknown_vms(build, kind):
    first = read_by('ff8121e', 'current')[kind]
    assert_agree(read_by(build, 'current')[kind], first)


@pytest.mark.parametrize('kind', ('heartbeat', 'report', 'limits'))
def test_nothing_is_lost_between_vms_of_this_build(kind):
    read = read_by_this('current')
    sent = [read[f'{kind} to form {form}'] for form in (1, 2, 3)]
    assert sent == [read[f'{kind} to form 4']] * 3


@pytest.mark.parametrize(
    ('build', 'revisions'),
    (
        ('ff8121e', 'two'),
        ('2836123', 'two'),
        ('f75a866', 'three'),
        ('dfdfe8e', 'three'),
    ),
)
def test_earlier_builds_read_tables_of_this_one(build, revisions):
    kind = f'answer to table query of {revisions} revisions'
    assert_agree(read_by(build, 'current')[kind], read_by_this('current')[kind])


@pytest.mark.parametrize('build', KEPT)
def test_no_kept_message_is_dropped(build):
    assert not list_unread(read_by_this(build))


def test_kept_messages_of_this_build_are_those_that_it_sends():
    assert run(TESTS.parent, 'encode') == read_kept('current')


def test_build_that_is_not_in_the_history_fails_with_a_reason():
    with pytest.raises(HistoryMissingError, match='whole checkout is needed'):
        check_out('0000000000')
