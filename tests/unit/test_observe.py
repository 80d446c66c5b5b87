"""Tests of log lines and metrics of a VM, and of commands that read logs."""

import json
import logging
import os
from pathlib import Path

import pytest

from toucanhall import cmdline
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.observe.metrics import Metrics
from toucanhall.observe.limits import sort_refusals
from toucanhall.observe.stories import (
    Line,
    explain,
    read_lines,
    summarise,
)

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


def test_lines_of_one_event_are_bounded_and_the_rest_is_told(pipe):
    reader, writer = pipe
    journal = Journal(vm='vm-1', descriptor=writer, clock=lambda: 1.0)
    for _line in range(200):
        journal.write(events.REQUEST_REFUSED)
    journal.write(events.STOPPED)
    journal.tell_dropped()
    lines = [json.loads(line) for line in os.read(reader, 1 << 16).splitlines()]
    numbers = [line['event'] for line in lines]
    assert numbers.count(600) == 50
    assert 102 in numbers
    assert lines[-1]['counts'] == {'600': 150}


def test_reader_that_stopped_does_not_hold_up_the_writer(pipe):
    _reader, writer = pipe
    times = iter(range(100000))
    journal = Journal(vm='vm-1', descriptor=writer, clock=lambda: next(times))
    for _line in range(5000):
        journal.write(events.REQUEST_REFUSED, request='r' * 100)
    assert journal.dropped[events.REQUEST_REFUSED.number] > 0


def test_journal_sets_its_descriptor_not_to_block():
    reader, writer = os.pipe()
    Journal(vm='vm-1', descriptor=writer)
    assert not os.get_blocking(writer)
    os.close(reader)
    os.close(writer)


def test_numbers_of_events_are_unique():
    numbers = [event.number for event in events.CATALOGUE]
    assert len(set(numbers)) == len(numbers)


def test_page_lists_each_event():
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


STORY = (
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


def test_story_of_a_request_tells_what_its_vm_believed():
    story = list(explain(read_lines(reversed(STORY)), 'r1'))
    assert story == [
        '  1.500 s before: [310] configuration in force revision=4 version=7',
        '  0.500 s before: [620] target suspended '
        'target="t1" why="unreachable"',
        '2500 vm-1: [602] attempt failed target="t1" why="broken"',
        '2600 vm-1: [600] request refused reason="answer-lost"',
    ]


def test_request_without_lines_is_told():
    (text,) = explain(read_lines(STORY), 'r2')
    assert 'no line has the request r2' in text


def test_reasons_are_counted():
    counts = list(summarise(read_lines(STORY)))
    assert counts[0] == '      2  310 configuration in force'
    assert '      1  602 attempt failed: broken' in counts


def test_commands_read_log_files(tmp_path, capsys):
    path = tmp_path / 'vm-1.log'
    path.write_text('\n'.join(STORY))
    assert cmdline.run(['explain', 'r1', str(path)]) == 0
    assert cmdline.run(['report', str(path)]) == 0
    assert 'answer-lost' in capsys.readouterr().out
    assert cmdline.run(['report', str(tmp_path / 'none.log')]) == 2
    assert 'No such file' in capsys.readouterr().err


def make_refused(at, vm, limit, spent):
    return Line(
        at=at,
        vm=vm,
        event=events.REQUEST_REFUSED.number,
        message='',
        fields={'reason': 'over-quota', 'limit': limit, 'spent': spent},
    )


def make_belief(at, vm, event):
    return Line(at=at, vm=vm, event=event.number, message='', fields={})


def test_refusals_are_sorted_by_why_the_limit_did_not_allow_them():
    lines = [
        make_refused(1, 'vm-1', 0, 0),
        make_refused(2, 'vm-1', 100, 10),
        make_refused(3, 'vm-1', 100, 10),
        make_refused(4, 'vm-1', 100, 10),
        make_belief(5, 'vm-1', events.STOPPING),
        make_refused(6, 'vm-1', 100, 10),
        make_refused(7, 'vm-1', 100, 80),
        make_refused(8, 'vm-2', 100, 79),
        make_belief(9, 'vm-1', events.STARTED),
        make_refused(10, 'vm-1', 100, 10),
        make_refused(11, 'vm-2', 100, 81),
    ]
    found = {
        text.partition(': ')[2]: int(text.split()[0])
        for text in sort_refusals(lines)
    }
    assert found == {
        'no limit known yet': 1,
        'own part spent, within the limit': 5,
        'VM stopping, within the limit': 1,
        'limit spent': 2,
    }
