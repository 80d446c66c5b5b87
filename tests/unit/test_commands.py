"""Tests of the subcommands that call the operators' API."""

import io
import json
from pathlib import Path

import msgspec
import pytest
import urllib3
from urllib3.exceptions import NewConnectionError, ReadTimeoutError

from toucanhall import cmdline
from toucanhall.admin.routes import PREFIX
from toucanhall.commands import Console

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'lumina.jsonc'
FIRST, SECOND = 'http://127.0.0.1:1', 'http://127.0.0.2:1'
AT = [f'--at={FIRST}', f'--at={SECOND}']
ENTRY = {
    'id': 'x', 'operator': 'lead', 'at': 'noon', 'revision': 7, 'what': ['y'],
}  # fmt: skip


class Vms:
    """Stand-in that answers by method and path; exceptions are raised."""

    def __init__(self, monkeypatch):
        self.answers = {
            ('GET', 'catalogue'): (200, {'revision': 3, 'catalogue': None}),
            ('GET', 'history'): (200, {'changes': []}),
            ('GET', 'status'): (200, {'zones': {'a': {'in_force': 3}}}),
        }
        self.calls = []
        self.unreached = frozenset()
        monkeypatch.setattr(urllib3.PoolManager, 'request', self.answer)
        monkeypatch.setattr('time.sleep', lambda _seconds: None)

    def answer(self, method, url, body=None, headers=None, **_bounds):
        base, _, name = url.partition(PREFIX)
        self.calls.append((method, base, name, headers))
        if base in self.unreached:
            raise NewConnectionError(None, 'refused')
        answer = self.answers[method, name.partition('?')[0]]
        if isinstance(answer, Exception):
            raise answer
        data = msgspec.json.encode(answer[1])
        return urllib3.HTTPResponse(
            data, status=answer[0], preload_content=True
        )

    def run(self, *arguments):
        """Run a subcommand; return its code, output and errors."""
        options = cmdline.make_parser().parse_args(arguments)
        console = Console(io.StringIO(), io.StringIO())
        code = options.command.run(options, console)
        return code, console.out.getvalue(), console.err.getvalue()


@pytest.fixture(name='vms')
def make_vms(monkeypatch):
    """Return a stand-in for entry VMs that needs no network."""
    return Vms(monkeypatch)


def test_next_vm_is_called_when_one_is_unreachable(vms):
    vms.unreached = {FIRST}
    vms.answers['PUT', 'keys/k'] = (200, {'accepted': 4, 'change': 'c'})
    code, out, _ = vms.run('key', 'grant', 'k', '--team=t', *AT)
    assert code == 0
    assert [call[1] for call in vms.calls] == [FIRST, SECOND]
    assert 'key ' in out


def test_urls_and_token_are_read_from_the_environment(vms, monkeypatch):
    monkeypatch.setenv('TOUCANHALL_AT', f'{FIRST},{SECOND}')
    monkeypatch.setenv('TOUCANHALL_TOKEN', 'token')
    vms.answers['GET', 'drains'] = (200, {'drains': {'vms': ['v']}})
    code, out, _ = vms.run('drain', 'status')
    assert (code, vms.calls[0][1]) == (0, FIRST)
    assert vms.calls[0][3]['Authorization'] == 'Bearer token'
    assert out.splitlines() == ['kind  drained', 'vm    v']


def test_missing_url_exits_two(vms, monkeypatch):
    monkeypatch.delenv('TOUCANHALL_AT', raising=False)
    assert vms.run('drain', 'status')[0] == 2


def test_unreachable_vms_exit_three(vms):
    vms.unreached = {FIRST, SECOND}
    code, out, err = vms.run('key', 'withdraw', 'k', *AT)
    assert (code, out) == (3, '')
    assert 'nothing was sent' in err


def test_lost_reply_is_looked_up_in_the_history(vms):
    vms.answers['DELETE', 'keys/k'] = ReadTimeoutError(None, '', 'timed out')
    vms.answers['GET', 'history'] = (200, {'changes': [ENTRY]})
    code, out, _ = vms.run('key', 'withdraw', 'k', *AT)
    assert code == 0
    assert 'accepted as revision 7' in out
    assert [call[0] for call in vms.calls] == ['DELETE', 'GET']


@pytest.mark.parametrize(
    'answer',
    [
        ReadTimeoutError(None, '', 'timed out'),
        (503, {'detail': 'lost', 'outcome': 'unknown'}),
    ],
)
def test_unknown_outcome_exits_three_and_names_the_history(vms, answer):
    vms.answers['PUT', 'drains/vms/v'] = answer
    code, _, err = vms.run('drain', 'start', 'vm', 'v', *AT)
    change = vms.calls[0][3]['Toucanhall-Change']
    assert code == 3
    assert f'catalogue history --change {change}' in err
    assert [call[0] for call in vms.calls].count('PUT') == 1


def test_conflict_names_the_newest_change_and_how_to_replace_it(vms):
    vms.answers['PUT', 'catalogue'] = (
        412,
        {
            'status': 412,
            'detail': 'revision 3 was expected, 7 is in force',
            'current': 7,
            'newest_change': ENTRY,
        },
    )
    code, _, err = vms.run('catalogue', 'apply', str(EXAMPLE), *AT)
    assert code == 1
    assert 'revision 3 was expected, 7 is in force' in err
    assert 'revision 7 was made by lead at noon: y' in err
    assert '--replace 7' in err


def test_replace_sends_the_revision_in_if_match(vms):
    vms.answers['PUT', 'catalogue'] = (200, {'accepted': 8, 'change': 'c'})
    code, out, _ = vms.run(
        'catalogue', 'apply', str(EXAMPLE), '--replace=7', '--json', *AT,
    )  # fmt: skip
    assert (code, json.loads(out)['accepted']) == (0, 8)
    assert vms.calls[-1][3]['If-Match'] == '"7"'


@pytest.mark.parametrize(('in_force', 'expected'), [(8, 0), (7, 3)])
def test_waiting_names_zones_that_have_not_confirmed(vms, in_force, expected):
    vms.answers['PUT', 'catalogue'] = (200, {'accepted': 8, 'change': 'c'})
    zones = {'kzn-a': {'in_force': in_force}, 'kzn-b': {'in_force': 8}}
    vms.answers['GET', 'status'] = (200, {'zones': zones})
    code, _, err = vms.run(
        'catalogue', 'apply', str(EXAMPLE), '--wait=0', *AT,
    )  # fmt: skip
    assert code == expected
    assert ('by: kzn-a' in err) is (expected == 3)


def test_diff_names_entries(vms):
    code, out, _ = vms.run('catalogue', 'diff', str(EXAMPLE), *AT)
    assert code == 0
    assert '  teams hostels-kzn added' in out.splitlines()


def test_diff_and_apply_keep_keys_and_drains(vms):
    held = {'keys': {'k': {}}, 'drains': {'vms': ['v']}}
    vms.answers['GET', 'catalogue'] = (200, {'revision': 3, 'catalogue': held})
    out = vms.run('catalogue', 'diff', str(EXAMPLE), *AT)[1]
    assert 'keys' not in out
    assert 'drains' not in out


def test_unknown_change_in_history_exits_one(vms):
    code, _, err = vms.run('catalogue', 'history', '--change=x', *AT)
    assert code == 1
    assert 'change x was not accepted' in err


def test_all_errors_of_a_file_go_to_standard_error(vms, tmp_path):
    path = tmp_path / 'catalogue.jsonc'
    path.write_text('{"zone": {}, "routes": 7}')
    code, out, err = vms.run('catalogue', 'check', str(path))
    assert (code, out) == (2, '')
    assert "did you mean 'zones'?" in err
    assert '$.routes' in err


def test_status_prints_tables(vms):
    vms.answers['GET', 'status'] = (
        200,
        {
            'vm': 'a-1',
            'revision': 3,
            'zones': {
                'a': {'in_force': 2, 'confirmed': False, 'waiting': ['a-2']}
            },
            'members': [{'vm': 'a-2', 'zone': 'a', 'health': 'alive'}],
            'shares': {'t': {'tokens': 1.0, 'rate': 2.0, 'cap': 4.0}},
            'counters': {'refused.rate': 5, 'retry.unsent': 9},
        },
    )
    code, out, _ = vms.run('status', *AT)
    rows = [line.split() for line in out.splitlines()]
    assert code == 0
    assert ['a', '2', 'NOT', 'YET', 'a-2'] in rows
    assert ['t', '2', '4', '75%'] in rows
    assert ['rate', '5'] in rows
