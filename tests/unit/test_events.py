"""Tests of the log events and their page."""

import json
import logging
from datetime import datetime, timedelta
from pathlib import Path

from toucanhall import events
from toucanhall.events import CATALOGUE

PAGE = Path(__file__).parents[2] / 'docs' / 'EVENTS.md'


def test_numbers_are_unique():
    numbers = [event.number for event in CATALOGUE]
    assert len(set(numbers)) == len(numbers)


def test_events_page_lists_each_event():
    rows = [
        f'| {event.number} | {logging.getLevelName(event.level).lower()} '
        f'| {event.text} |'
        for event in CATALOGUE
    ]
    lines = PAGE.read_text().splitlines()
    assert [line for line in lines if line[2:3].isdigit()] == rows


def test_line_carries_number_level_time_vm_and_fields(capsys):
    events.configure('info', 'north-a-1')
    try:
        events.log(events.CATALOGUE_APPLIED, revision=7)
    finally:
        logging.getLogger('toucanhall').handlers.clear()
        logging.getLogger('toucanhall').propagate = True
    line = json.loads(capsys.readouterr().err)
    stamp = datetime.strptime(line.pop('asctime'), '%Y-%m-%dT%H:%M:%S%z')
    assert stamp.utcoffset() == timedelta(0)
    assert line == {
        'event': 200,
        'levelname': 'INFO',
        'message': 'revision applied',
        'vm': 'north-a-1',
        'fields': {'revision': 7},
    }
