"""Tests of documents: parsing, errors, and random input."""

from pathlib import Path

import json5
import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from returns.result import Success

from tests.builders import make_document, make_settings_text, make_target
from tests.mutations import mutate
from toucanhall import catalogue, documents
from toucanhall import settings as settings_slice
from toucanhall.catalogue.reading import revise

EXAMPLES = Path(__file__).parents[2] / 'examples'
CATALOGUES = ('lumina.jsonc', 'qureshi.jsonc', 'demo.jsonc', 'bench.jsonc')


@pytest.mark.parametrize('name', CATALOGUES)
def test_example_catalogues_are_valid(name):
    read = catalogue.read_text((EXAMPLES / name).read_text())
    assert isinstance(read, Success)


@pytest.mark.parametrize(
    ('name', 'services', 'slots', 'connections', 'capacity'),
    [
        ('lumina', {'guide': 20, 'feed': 16}, 9, 800, 4000),
        ('qureshi', {'desk': 16, 'archive': 12}, 3, 650, 300),
    ],
)
def test_examples_have_the_sizes_of_their_deployments(
    name, services, slots, connections, capacity,
):  # fmt: skip
    text = (EXAMPLES / f'{name}.jsonc').read_text()
    read = catalogue.read_text(text).unwrap()
    targets = read.targets.values()
    found = [target.service for target in targets]
    assert {name: found.count(name) for name in set(found)} == services
    assert {target.slots for target in targets} == {slots}
    assert {target.connections for target in targets} == {connections}
    assert [link.capacity_mbit_per_second for link in read.links] == [
        capacity,
        capacity,
        capacity,
    ]
    assert len(read.zones) == 6
    assert len({zone.region for zone in read.zones.values()}) == 3
    assert len(read.teams) == 8


def test_example_settings_are_valid():
    read = settings_slice.load(
        EXAMPLES / 'vm.jsonc', {'FLEET_SECRET': 'secret'},
    )  # fmt: skip
    assert {operator.role for operator in read.unwrap().operators} == {
        'read', 'owner', 'operate', 'administer',
    }  # fmt: skip


@pytest.mark.parametrize(
    'address',
    ['300.1.1.1', '1.2.3', '01.2.3.4', 'localhost', '1.2.3.4\n', '::1', ''],
)
def test_invalid_address_is_rejected(address):
    text = make_settings_text(address=address)
    findings = settings_slice.read(text, {'SECRET': 's'}).failure()
    assert [(entry.path, entry.allowed) for entry in findings] == [
        ('$.address', 'an IPv4 address such as 127.0.0.1'),
    ]


@pytest.mark.parametrize(
    'address', ['1.2.3.4', '1.2.3.4:0', '1.2.3.4:65536', '1.2.3.4:x', '1.2:80'],
)  # fmt: skip
def test_target_address_without_valid_port_is_rejected(address):
    target = make_target('north-a', 1) | {'address': address}
    document = make_document(targets={'guide-1': target})
    paths = [entry.path for entry in catalogue.read(document).failure()]
    assert paths == ["$.targets['guide-1'].address"]


@pytest.mark.parametrize('number', ['Infinity', '-Infinity', 'NaN', '1e999'])
def test_non_finite_numbers_are_rejected(number):
    found = documents.parse(f'{{"a": [{number}]}}').failure()
    assert found[0].path == '$.a[0]'


def test_floats_and_booleans_are_no_integers():
    for slots in (9.0, True, 0):
        target = make_target('north-a', 1, slots)
        document = make_document(targets={'guide-1': target})
        assert catalogue.read(document).failure()


def test_drains_and_links_must_name_existing_entries():
    document = make_document(
        drains={'targets': ['guide-9'], 'zones': ['west-a'], 'vms': ['any']},
        links=[{'regions': ['north', 'west'], 'mbit_per_second': 1}],
    )
    assert [entry.path for entry in catalogue.read(document).failure()] == [
        '$.links[0].regions',
        '$.drains.targets',
        '$.drains.zones',
    ]


@given(mutate((EXAMPLES / 'lumina.jsonc').read_text()))
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_catalogue_is_read_whole_or_rejected(document):
    checked = documents.check_object(document).bind(catalogue.read)
    if not isinstance(checked, Success):
        assert all(entry.path.startswith('$') for entry in checked.failure())
        return
    content = msgspec.json.encode(document)
    assert revise(1, 'c', content).unwrap().catalogue == checked.unwrap()


@given(mutate((EXAMPLES / 'vm.jsonc').read_text()))
@hypothesis_settings(max_examples=120, deadline=None, derandomize=True)
def test_any_settings_are_read_or_rejected(document):
    text = json5.dumps(document)
    read = settings_slice.read(text, {'FLEET_SECRET': 'secret'})
    if not isinstance(read, Success):
        assert all(documents.render(entry) for entry in read.failure())


@given(st.text(max_size=40))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_parsing_any_text_raises_nothing(text):
    documents.parse(text)
    documents.parse(f'{{"vm": {text}}}')


def test_deep_nesting_is_an_error():
    assert documents.parse('[' * 100000).failure()


@given(mutate(json5.dumps(make_document())))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_skipping_known_entries_reports_the_same_errors(document):
    whole = documents.check_object(document).bind(catalogue.read)
    known = make_document()
    partly = documents.check_object(document).bind(
        lambda checked: catalogue.read(checked, known),
    )
    assert partly == whole


@pytest.mark.parametrize('slots', [9.0, True])
def test_equal_value_of_another_type_is_checked_again(slots):
    known = make_document(
        targets={'guide-1': make_target('north-a', 1, int(slots))},
    )
    document = make_document(
        targets={'guide-1': make_target('north-a', 1, slots)},
    )
    assert catalogue.read(document, known).failure()
