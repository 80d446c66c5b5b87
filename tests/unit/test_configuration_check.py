"""Tests of the check of configurations before they are written.

Failures that they guard against: the check accepts what VMs reject, or the
reverse; an error names another field or line than its own; a route that no
request reaches passes; an operator does not see what callers will notice; a
key is printed.
"""

import copy
import json

import pytest

from release.pages import DOCS
from standins.site.documents import make_rule
from tests.configuration_texts import (
    check,
    compare,
    make_host,
    make_service,
    make_sound,
    make_team,
)
from toucanhall import cmdline
from toucanhall.configuration_check import limit_checks
from toucanhall.configuration_check.checking import check_text
from toucanhall.configuration_check.source_lines import index_lines
from toucanhall.edge import admission
from toucanhall.platform.configuration_fields import SAMPLE
from toucanhall.platform.documents import (
    InvalidDocumentError,
    decode_configuration,
)

RULES = 'virtual_hosts[0].path_rules'
ODD_VALUES = (None, '', 'odd', '2s', 0, -1, 1.5, True, [], {}, ['a'], [7])


def list_paths(value, path=()):
    """List the paths of all values of a document."""
    if path:
        yield path
    entries = {}
    if isinstance(value, dict):
        entries = value
    elif isinstance(value, list):
        entries = dict(enumerate(value))
    for step, entry in entries.items():
        yield from list_paths(entry, (*path, step))


def replace(path, *values):
    """Return the sample with another value at a path, or without it."""
    document = copy.deepcopy(SAMPLE)
    parent = document
    for step in path[:-1]:
        parent = parent[step]
    if values:
        parent[path[-1]] = values[0]
    else:
        parent.pop(path[-1])
    return document


def is_rejected(document):
    try:
        decode_configuration(document)
    except InvalidDocumentError:
        return True
    return False


def list_errors(document):
    return [entry for entry in check(document) if entry[0] == 'error']


def test_sound_configuration_has_no_finding():
    assert not check(make_sound())


@pytest.mark.parametrize('path', tuple(list_paths(SAMPLE)))
def test_field_is_rejected_exactly_if_vms_reject_it(path):
    for value in ODD_VALUES:
        document = replace(path, value)
        found = [
            reason
            for _severity, reason, _field in list_errors(document)
            if reason in {'invalid-field', 'missing-field'}
        ]
        # VMs take the characters of a string for entries of a list.
        is_string_list = isinstance(value, str) and path[-1] in {
            'api_keys',
        }
        assert bool(found) == (
            is_rejected(document) or bool(is_string_list and value)
        ), value


@pytest.mark.parametrize('path', tuple(list_paths(SAMPLE)))
def test_missing_field_is_reported_exactly_if_vms_need_it(path):
    document = replace(path)
    is_reported = any(
        reason == 'missing-field'
        for _severity, reason, _field in check(document)
    )
    assert is_reported == is_rejected(document)


def test_all_errors_are_reported_with_field_and_line():
    text = """{
      // comment with "quotes": {
      "version": 7,
      "services": [{"name": "guide"},
        {"name": ""}],
      'virtual_hosts': [{"host": "a", "path_rules": [
        {"name": "a", "path_prefix": "/a/", "service": "guide",
         "timeout": "soon", /* of
         two lines */ "route_type": "idempotent", "timout": "2s"},
        {"name": "b", "path_prefix": "/b/", "route_type": "idempotent",
         "traffic_split": [
           {"service": "guide", "weight": 1},
           {"service": "guide", "weight": "x"},
         ]}]}],
      limits: {idle_timeout: "1m"},
    }"""
    found = [
        (line, finding.reason, finding.path)
        for line, finding in check_text(text).findings
    ]
    rules = ('virtual_hosts', 0, 'path_rules')
    assert found == [
        (3, 'invalid-field', ('version',)),
        (5, 'invalid-field', ('services', 1, 'name')),
        (8, 'invalid-field', (*rules, 0, 'timeout')),
        (9, 'unknown-field', (*rules, 0, 'timout')),
        (13, 'invalid-field', (*rules, 1, 'traffic_split', 1, 'weight')),
        (15, 'invalid-field', ('limits', 'idle_timeout')),
    ]


@pytest.mark.parametrize(
    ('text', 'line', 'reason'),
    (
        ('{\n"version": "1",\n"services": [}\n', 3, 'malformed'),
        ('[]', 1, 'malformed'),
        ('', 1, 'malformed'),
        ('{"a": 1,\n "b": {"a": 1,\n"a": 2}}', 3, 'repeated-field'),
        ('{"version": NaN}', 1, 'malformed'),
    ),
)
def test_malformed_file_is_an_error_in_its_line(text, line, reason):
    found = [(at, error.reason) for at, error in check_text(text).findings]
    assert found == [(line, reason)]


def test_lines_are_found_in_any_notation():
    text = r"""{a: [1,
    {"b\u0063": '}\'//'}],
    // {
    "d": -1e5, }"""
    lines = index_lines(text)
    assert lines[('a', 1, 'bc')] == 2
    assert lines[('d',)] == 4


@pytest.mark.parametrize(
    ('document', 'finding'),
    (
        (
            make_sound(make_rule('/a/'), make_rule('/a/')),
            ('error', 'unmatched-route', f'{RULES}[1].path_prefix'),
        ),
        (
            make_sound(make_rule('/a/'), make_rule('b/')),
            ('error', 'unmatched-route', f'{RULES}[1].path_prefix'),
        ),
        (
            make_sound(make_rule('/a')),
            ('warning', 'open-prefix', f'{RULES}[0].path_prefix'),
        ),
        (
            make_sound(
                hosts=[
                    make_host(make_rule('/a/')),
                    make_host(make_rule('/a/'), host='TOURS.example'),
                ]
            ),
            ('error', 'unmatched-route', f'{RULES}[0].path_prefix'),
        ),
        (
            make_sound(
                hosts=[make_host(make_rule('/a/')), make_host(make_rule('/b/'))]
            ),
            ('error', 'repeated-name', 'virtual_hosts[1].host'),
        ),
        (
            make_sound(hosts=[make_host(make_rule('/a/'), host='a:80')]),
            ('error', 'unmatched-host', 'virtual_hosts[0].host'),
        ),
        (
            make_sound(services=[make_service(), make_service()]),
            ('error', 'repeated-name', 'services[1].name'),
        ),
        (
            make_sound(services=[make_service(), make_service('feed')]),
            ('warning', 'unused-service', 'services[1].name'),
        ),
        (
            make_sound(make_rule('/a/', service='none')),
            ('error', 'unlisted-service', f'{RULES}[0].service'),
        ),
        (
            make_sound(
                make_rule(
                    '/a/', traffic_split=[{'service': 'none', 'weight': 2}]
                )
            ),
            (
                'error',
                'unlisted-service',
                f'{RULES}[0].traffic_split[0].service',
            ),
        ),
        (
            make_sound(
                tenants=[make_team(), make_team('b', api_keys=['guides-key'])]
            ),
            ('error', 'shared-key', 'tenants[1].api_keys[0]'),
        ),
        (
            make_sound(
                make_rule(
                    '/a/', traffic_split=[{'service': 'guide', 'weight': 0}]
                )
            ),
            ('error', 'zero-weights', f'{RULES}[0].traffic_split'),
        ),
        (
            make_sound(
                make_rule(
                    '/a/',
                    traffic_split=[
                        {'service': 'guide', 'weight': 1},
                        {'service': 'guide', 'weight': 0},
                    ],
                )
            ),
            ('warning', 'zero-weight', f'{RULES}[0].traffic_split[1].weight'),
        ),
        (
            make_sound(make_rule('/a/', route_type='bulk')),
            ('warning', 'unknown-route-type', f'{RULES}[0].route_type'),
        ),
        (
            make_sound(make_rule('/a/', timeout='0ms')),
            ('warning', 'zero-timeout', f'{RULES}[0].timeout'),
        ),
        (
            make_sound(make_rule('/a/', timeout='1ms')),
            ('warning', 'unkeepable-timeout', f'{RULES}[0].timeout'),
        ),
        (
            make_sound(make_rule('/a/', timeout='400ms')),
            ('warning', 'objective-above-timeout', f'{RULES}[0].timeout'),
        ),
        (
            make_sound(make_rule('/a/', timeout='11s')),
            ('warning', 'timeout-above-deadline', f'{RULES}[0].timeout'),
        ),
        (
            make_sound(tenants=[make_team(rate_per_s=0)]),
            ('warning', 'burst-without-rate', 'tenants[0].burst'),
        ),
        (
            make_sound(tenants=[make_team(api_keys=[])]),
            ('warning', 'team-without-key', 'tenants[0]'),
        ),
        (
            make_sound(
                make_rule('/a/', home_regions=['east']),
                tenants=[make_team(home_regions=['west'])],
            ),
            ('warning', 'homes-apart', 'tenants[0]'),
        ),
        (
            make_sound(services=[make_service(cold_start='3s')]),
            ('warning', 'cold-without-rate', 'services[0]'),
        ),
        (
            make_sound(limits={'max_header_bytes': 0}),
            ('warning', 'zero-limit', 'limits.max_header_bytes'),
        ),
        (
            make_sound(limits={'idle_timeout': '1s'}),
            ('warning', 'head-above-idle', 'limits'),
        ),
        (
            make_sound(prefix='/a/'),
            ('warning', 'unknown-field', 'prefix'),
        ),
    ),
    ids=lambda entry: entry[1] if isinstance(entry, tuple) else '',
)
def test_contradiction_is_reported(document, finding):
    assert finding in check(document)


def test_routes_of_one_host_that_differ_all_match():
    rules = [make_rule(prefix) for prefix in ('/', '', '/a/', '/a/b/', '/b/')]
    assert not check(make_sound(*rules))


def test_deadline_of_callers_is_that_of_admission():
    assert (
        limit_checks._DEFAULT_DEADLINE_SECONDS
        == admission._DEFAULT_DEADLINE_SECONDS
    )


def test_same_configuration_has_no_difference():
    assert not compare(make_sound(), make_sound(version=2))


@pytest.mark.parametrize(
    ('current', 'changed', 'differences'),
    (
        (
            make_sound(make_rule('/a/'), make_rule('/b/')),
            make_sound(make_rule('/a/'), make_rule('/c/')),
            [
                ('routes gone or new', 'gone: tours.example/b/'),
                ('routes gone or new', 'new: tours.example/c/'),
            ],
        ),
        (
            make_sound(services=[make_service(), make_service('b')]),
            make_sound(
                make_rule(
                    '/a/',
                    traffic_split=[
                        {'service': 'guide', 'weight': 3},
                        {'service': 'b', 'weight': 1},
                    ],
                ),
                services=[make_service(), make_service('b')],
            ),
            [
                (
                    'other services or weights',
                    'tours.example/a/: guide 100.0% -> guide 75.0%, b 25.0%',
                )
            ],
        ),
        (
            make_sound(),
            make_sound(tenants=[make_team(rate_per_s=80)]),
            [
                (
                    'limits lower or higher',
                    'team guides lower: 100/s, burst 20 -> 80/s, burst 20',
                )
            ],
        ),
        (
            make_sound(),
            make_sound(tenants=[make_team(rate_per_s=0, burst=0)]),
            [
                (
                    'limits lower or higher',
                    'team guides higher: 100/s, burst 20 -> none',
                )
            ],
        ),
        (
            make_sound(limits={'max_body_bytes': 100}),
            make_sound(limits={'max_body_bytes': 50}),
            [
                (
                    'limits lower or higher',
                    'callers body_bytes lower: 100 -> 50',
                )
            ],
        ),
        (
            make_sound(make_rule('/a/')),
            make_sound(make_rule('/a/', timeout='3s', public=True)),
            [
                ('times', 'tours.example/a/ timeout: 2 -> 3'),
                (
                    'other handling of requests',
                    'tours.example/a/ is_public: False -> True',
                ),
            ],
        ),
    ),
)
def test_differences_are_grouped_by_what_callers_notice(
    current, changed, differences
):
    assert compare(current, {**changed, 'version': '2'}) == differences


def test_keys_are_compared_by_digests():
    changed = make_sound(version=2, tenants=[make_team(api_keys=['secret-2'])])
    found = compare(make_sound(), changed)
    assert [text.partition(':')[0] for _group, text in found] == ['gone', 'new']
    assert {group for group, _text in found} == {'keys gone or new'}
    assert 'secret' not in str(found)
    assert 'guides-key' not in str(found)


def test_page_shows_the_output_of_its_example(capsys, monkeypatch):
    monkeypatch.chdir(DOCS.parent / 'examples')
    arguments = ['check', 'check.jsonc', '--against', 'check-in-force.jsonc']
    assert cmdline.run(arguments) == 2
    assert capsys.readouterr().out in (DOCS / 'CHECK.md').read_text()


def write(tmp_path, name, document):
    path = tmp_path / name
    path.write_text(
        document if isinstance(document, str) else json.dumps(document)
    )
    return str(path)


@pytest.mark.parametrize(
    ('document', 'code'),
    (
        (make_sound(), 0),
        (make_sound(make_rule('/a')), 1),
        (make_sound(version=0, services=7), 2),
        ('{', 2),
    ),
)
def test_exit_code_is_that_of_the_worst_finding(
    document, code, tmp_path, capsys
):
    assert cmdline.run(['check', write(tmp_path, 'a', document)]) == code
    assert capsys.readouterr().out


@pytest.mark.parametrize('content', (None, b'\xff'))
def test_unreadable_file_has_its_own_exit_code(content, tmp_path, capsys):
    path = tmp_path / 'a'
    if content is not None:
        path.write_bytes(content)
    assert cmdline.run(['check', str(path)]) == 3
    sound = write(tmp_path, 'sound', make_sound())
    assert cmdline.run(['check', sound, '--against', str(path)]) == 3
    assert 'cannot read' in capsys.readouterr().err


def test_version_that_vms_do_not_apply_is_an_error(tmp_path, capsys):
    file = write(tmp_path, 'a', make_sound(version=16))
    assert cmdline.run(['check', file, '--against', file]) == 2
    assert '10 is not above 10' in capsys.readouterr().out


def test_rejected_version_in_force_is_an_error(tmp_path, capsys):
    file = write(tmp_path, 'a', make_sound())
    current = write(tmp_path, 'b', '{}')
    assert cmdline.run(['check', file, '--against', current]) == 2
    assert f'{current}:1: error' in capsys.readouterr().out


def test_json_for_scripts_has_the_findings_and_differences(tmp_path, capsys):
    file = write(tmp_path, 'a', make_sound(make_rule('/b'), version=2))
    current = write(tmp_path, 'b', make_sound())
    arguments = ['check', file, '--against', current, '--format', 'json']
    assert cmdline.run(arguments) == 1
    printed = json.loads(capsys.readouterr().out)
    assert printed['exit_code'] == 1
    assert [
        (entry['line'], entry['field'], entry['severity'], entry['reason'])
        for entry in printed['findings']
    ] == [(1, f'{RULES}[0].path_prefix', 'warning', 'open-prefix')]
    assert printed['differences'] == {
        'routes gone or new': [
            'gone: tours.example/a/',
            'new: tours.example/b',
        ]
    }
