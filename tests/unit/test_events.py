"""Tests of the event catalogue and its page."""

import logging
from pathlib import Path

from toucanhall.events import CATALOGUE

PAGE = Path(__file__).parents[2] / 'docs' / 'EVENTS.md'


def test_numbers_are_unique():
    numbers = [event.number for event in CATALOGUE]
    assert len(set(numbers)) == len(numbers)


def test_page_lists_each_event():
    rows = [
        f'| {event.number} | {logging.getLevelName(event.level).lower()} '
        f'| {event.text} |'
        for event in CATALOGUE
    ]
    lines = PAGE.read_text().splitlines()
    assert [line for line in lines if line[2:3].isdigit()] == rows
