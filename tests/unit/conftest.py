"""Fixtures of several unit test modules."""

import os

import pytest

from toucanhall.observe.journal import Journal


@pytest.fixture
def journal():
    """Return a journal whose lines are discarded."""
    reader, writer = os.pipe()
    yield Journal(vm='vm-1', descriptor=writer)
    os.close(reader)
    os.close(writer)
