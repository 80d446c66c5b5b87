"""Tests of log lines and metrics of a VM, and of commands that read logs."""

import json
import logging
import os
from pathlib import Path

import msgspec
import pytest

from toucanhall import cmdline
from toucanhall.edge.unknown_headers import UnknownHeaders
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.observe.log_lines import (
    Line,
    count_reasons,
    explain,
    read_lines,
)
from toucanhall.observe.metrics import Metrics
from toucanhall.observe.refusal_causes import count_refusal_causes

PAGE = Path(__file__).parents[2] / 'docs' / 'LOGS.md'


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_line_holds_event_and_fields(pipe):
    reader, writer = pipe
    journal = Journal(vm='vm-1', descriptor=writer, clock=lambda: 1.0)
    journal.write(events.REQUEST_REFUSED, request='r1', status=503)
    line = json.loads(os.read(reader, 4096))
    assert line.pop('at') > 0
    assert line == {
        'vm': 'vm-1',
        'level': 'info',
        'event': 600,
        'message': 'request refused',
        'request': 'r1',
        'status': 503,
    }


def test_line_with_odd_fields_is_written(pipe):
    reader, writer = pipe
    journal = Journal(vm='vm-1', descriptor=writer)
    odd = ('half \ud800', ['\udc00'], {'\ud800': 1}, 10**30, {(1, 2): 3})
    for value in odd:
        journal.write(events.ENTRY_IGNORED, why=value, where='servers')
    lines = list(map(msgspec.json.decode, os.read(reader, 65536).splitlines()))
    assert len(lines) == len(odd)
    assert {(line['event'], line['where']) for line in lines} == {
        (events.ENTRY_IGNORED.number, 'servers')
    }
    assert lines[0]['why'] == ascii(odd[0])


def test_each_unknown_header_is_logged_once(pipe):
    reader, writer = pipe
    unknown = UnknownHeaders(
        journal=Journal(vm='vm-1', descriptor=writer),
        event=events.UNKNOWN_HEADER,
    )
    for number in range(3):
        unknown.record(((b'x-new', b'8' * 100),), target=f't{number}')
    for number in range(40):
        unknown.record(((b'x-%d' % number, b''),), target='t9')
    lines = [json.loads(line) for line in os.read(reader, 1 << 16).splitlines()]
    assert len(lines) == 32
    assert lines[0]['header'] == 'x-new'
    assert lines[0]['content'] == '8' * 80
    assert lines[0]['target'] == 't0'


def test_lines_of_one_event_are_bounded_and_dropped_ones_are_counted(pipe):
    reader, writer = pipe
    journal = Journal(vm='vm-1', descriptor=writer, clock=lambda: 1.0)
    for _line in range(200):
        journal.write(events.REQUEST_REFUSED)
    journal.write(events.STOPPED)
    journal.log_dropped_counts()
    lines = [json.loads(line) for line in os.read(reader, 1 << 16).splitlines()]
    numbers = [line['event'] for line in lines]
    assert numbers.count(600) == 50
    assert 102 in numbers
    assert lines[-1]['counts'] == {'600': 150}


def test_lines_are_dropped_when_nobody_reads_them(pipe):
    _reader, writer = pipe
    times = iter(range(100000))
    journal = Journal(vm='vm-1', descriptor=writer, clock=lambda: next(times))
    for _line in range(5000):
        journal.write(events.REQUEST_REFUSED, request='r' * 100)
    assert journal.dropped[events.REQUEST_REFUSED.number] > 0


def test_journal_makes_its_descriptor_non_blocking():
    reader, writer = os.pipe()
    Journal(vm='vm-1', descriptor=writer)
    assert not os.get_blocking(writer)
    os.close(reader)
    os.close(writer)


def test_numbers_of_events_are_unique():
    numbers = [event.number for event in events.CATALOGUE]
    assert len(set(numbers)) == len(numbers)


def test_page_lists_all_events_with_their_texts():
    rows = [
        f'| {event.number} | {logging.getLevelName(event.level).lower()} '
        f'| {event.text} |'
        for event in events.CATALOGUE
    ]
    lines = PAGE.read_text().splitlines()
    found = [line.rsplit('|', 2)[0] + '|' for line in lines]
    assert [line for line in found if line[2:3].isdigit()] == rows


def test_metrics_are_rendered():
    metrics = Metrics()
    metrics.count('refusals', reason='full')
    metrics.count('refusals', 2, reason='full')
    metrics.observe('request', 0.1, route='view')
    metrics.observe('request', 20.0, route='view')
    metrics.gauge('requests_in_flight', lambda: 3)
    text = metrics.render()
    assert 'toucanhall_refusals_total{reason="full"} 3\n' in text
    assert 'toucanhall_requests_in_flight 3\n' in text
    for bound, count in (('0.06', 0), ('0.12', 1), ('10.0', 1), ('+Inf', 2)):
        assert (
            f'toucanhall_request_seconds_bucket{{route="view",le="{bound}"}} '
            f'{count}\n'
        ) in text
    assert 'toucanhall_request_seconds_count{route="view"} 2\n' in text


LOG = (
    '{"at":1000,"vm":"vm-1","level":"info","event":310,'
    '"message":"configuration in force","revision":4,"version":7}',
    '  1.2 vm-1 {"at":2000,"vm":"vm-1","level":"warning","event":620,'
    '"message":"target suspended","target":"t1","why":"unreachable"}',
    '{"at":2100,"vm":"vm-2","level":"info","event":310,'
    '"message":"configuration in force","revision":5,"version":8}',
    '{"at":2500,"vm":"vm-1","level":"warning","event":602,'
    '"message":"attempt failed","request":"r1","target":"t1","why":"broken"}',
    '{"at":2600,"vm":"vm-1","level":"info","event":600,'
    '"message":"request refused","request":"r1","reason":"answer-lost"}',
    'not a line',
    '{"at":3000,"cut',
)


def test_lines_of_a_request_come_with_the_state_of_its_vm():
    texts = list(explain(read_lines(reversed(LOG)), 'r1'))
    assert texts == [
        '  1.500 s before: [310] configuration in force revision=4 version=7',
        '  0.500 s before: [620] target suspended '
        'target="t1" why="unreachable"',
        '2500 vm-1: [602] attempt failed target="t1" why="broken"',
        '2600 vm-1: [600] request refused reason="answer-lost"',
    ]


def test_missing_lines_of_a_request_are_reported():
    (text,) = explain(read_lines(LOG), 'r2')
    assert 'no line has the request r2' in text


def test_reasons_are_counted():
    counts = list(count_reasons(read_lines(LOG)))
    assert counts[0] == '      2  310 configuration in force'
    assert '      1  602 attempt failed: broken' in counts


def test_commands_read_log_files(tmp_path, capsys):
    path = tmp_path / 'vm-1.log'
    path.write_text('\n'.join(LOG))
    assert cmdline.run(['explain', 'r1', str(path)]) == 0
    assert cmdline.run(['report', str(path)]) == 0
    assert 'answer-lost' in capsys.readouterr().out
    assert cmdline.run(['report', str(tmp_path / 'none.log')]) == 2
    assert 'No such file' in capsys.readouterr().err


def make_refusal(at, vm, limit, spent):
    return Line(
        at=at,
        vm=vm,
        event=events.REQUEST_REFUSED.number,
        message='',
        fields={'reason': 'over-quota', 'limit': limit, 'spent': spent},
    )


def make_line(at, vm, event):
    return Line(at=at, vm=vm, event=event.number, message='', fields={})


def test_refusals_are_counted_by_cause():
    lines = [
        make_refusal(1, 'vm-1', 0, 0),
        make_refusal(2, 'vm-1', 100, 10),
        make_refusal(3, 'vm-1', 100, 10),
        make_refusal(4, 'vm-1', 100, 10),
        make_line(5, 'vm-1', events.STOPPING),
        make_refusal(6, 'vm-1', 100, 10),
        make_refusal(7, 'vm-1', 100, 80),
        make_refusal(8, 'vm-2', 100, 79),
        make_line(9, 'vm-1', events.STARTED),
        make_refusal(10, 'vm-1', 100, 10),
        make_refusal(11, 'vm-2', 100, 81),
    ]
    found = {
        text.partition(': ')[2]: int(text.split()[0])
        for text in count_refusal_causes(lines)
    }
    assert found == {
        'no limit known yet': 1,
        'own part spent, within the limit': 5,
        'VM stopping, within the limit': 1,
        'limit spent': 2,
    }
