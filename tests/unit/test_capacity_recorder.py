"""Tests of what answers of targets make a VM learn, and tell its operators."""

import asyncio
import os

import msgspec
import pytest

from tests.attemptdata import make_admitted
from tests.fleetdata import make_environment, make_target
from toucanhall.edge.attempts import Attempts
from toucanhall.edge.capacity_recorder import CapacityRecorder
from toucanhall.edge.outcomes import Success
from toucanhall.edge.target_state import make_target_state
from toucanhall.observe.journal import Journal
from toucanhall.placement.choice import Candidate
from toucanhall.quarantine.verdicts import Verdict
from toucanhall.web.client import ReceivedAnswer
from toucanhall.web.lag import LoopLag

REPLY = ReceivedAnswer(200, (), b'', is_keep_alive=True)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


class Fleet:
    """Two targets of one service, of which one is the first of the object."""

    def __init__(self, journal):
        self.admitted = make_admitted()
        self.service = self.admitted.service.name
        names = ('t1', 't2')
        targets = {
            name: make_target(name, service=self.service) for name in names
        }
        self.registry = make_target_state(make_environment(), journal).registry
        self.registry.replace_targets(targets, 0.0)
        self.lag = LoopLag()
        self.recorder = CapacityRecorder(
            registry=self.registry, journal=journal, lag=self.lag
        )

    def answer(self, name, seconds, percent=None):
        """Record an answer of a target."""
        now = asyncio.get_running_loop().time()
        load = self.registry.loads[name]
        load.record_reported_load(0, now, percent)
        target = make_target(name, service=self.service)
        self.recorder.record(
            self.admitted,
            Attempts(verdict=Verdict()),
            Candidate(target, load),
            Success(REPLY, seconds, 0.0),
        )

    def read_gauges(self):
        """Return the gauges by name."""
        return {
            name: read() for name, read in self.recorder.list_gauges().items()
        }

    def estimate(self, name):
        """Return the lasting slowdown of a target."""
        now = asyncio.get_running_loop().time()
        load = self.registry.loads[name]
        return load.capacity.compute_lasting_slowdown(now)


def run(journal, act):
    """Return what `act` returns for a fleet."""

    async def main():
        return act(Fleet(journal))

    return asyncio.run(main())


def slow_down(fleet):
    """Let both targets take three times as long; return the slow ones."""
    names = ('t1', 't2')
    for name in names:
        fleet.answer(name, 0.1)
    for _answer in range(12):
        for name in names:
            fleet.answer(name, 0.3)
    return [name for name in names if fleet.estimate(name) > 1]


@pytest.mark.parametrize(('lag_seconds', 'slow_count'), [(0.0, 1), (0.5, 0)])
def test_only_times_of_a_first_target_and_of_a_vm_in_time_count(
    journal, lag_seconds, slow_count
):
    def act(fleet):
        for _tick in range(30):
            fleet.lag.record(lag_seconds)
        return slow_down(fleet)

    assert len(run(journal, act)) == slow_count


def test_change_is_logged_once_and_gauges_tell_the_slowest(pipe):
    reader, writer = pipe

    def act(fleet):
        before = fleet.read_gauges()
        slow = slow_down(fleet)
        return before, slow, fleet.read_gauges()

    before, slow, after = run(Journal(vm='vm-1', descriptor=writer), act)
    assert before['targets_slow'] == before['targets_below_slots'] == 0
    assert before['slowest_target_slowdown'] == 1
    assert after['targets_slow'] == 1
    # The slow answers are a half of those that tell what is usual.
    assert after['slowest_target_slowdown'] > 1.5
    assert 0 <= after['slowest_target_age_seconds'] < 1
    written = os.read(reader, 65536).splitlines()
    lines = [msgspec.json.decode(line) for line in written]
    assert {line['event'] for line in lines} == {645}
    assert lines[0]['target'] == slow[0]
    assert lines[0]['slowdown_before'] == 1
    assert lines[0]['slowdown'] > 1.5
    assert len(lines) <= 2
