"""Tests of the choice of the VM that watches the store for its zone."""

import asyncio

import pytest

from tests.fleetdata import make_member
from toucanhall.edge.watch_duty import WatchDuty
from toucanhall.fleet.watchers import (
    ANSWER_EXPIRY_SECONDS,
    get_check_delay_seconds,
    pick_watcher,
)

ZONE = (
    make_member('vm-1', capacity=4.0),
    make_member('vm-2', capacity=9.0),
    make_member('vm-3', capacity=4.0),
)
STALE = ANSWER_EXPIRY_SECONDS


@pytest.mark.parametrize(
    ('ages', 'expected'),
    (
        ({}, 'vm-2'),
        ({'vm-2': 0.5, 'vm-1': 0.1}, 'vm-2'),
        ({'vm-2': STALE, 'vm-1': 0.1}, 'vm-1'),
        ({'vm-1': 0.1, 'vm-3': 0.0}, 'vm-1'),
        ({'vm-2': STALE, 'vm-1': STALE, 'vm-3': 1.3}, 'vm-3'),
        ({'vm-2': STALE, 'vm-1': STALE, 'vm-3': STALE}, 'vm-2'),
    ),
)
def test_best_vm_that_the_store_answers_watches(ages, expected):
    assert pick_watcher(ZONE, ages).vm == expected


def test_vm_that_leaves_does_not_watch():
    leaving = ZONE[1]._replace(is_leaving=True)
    ages = {'vm-2': 0.0}
    assert pick_watcher((ZONE[0], leaving, ZONE[2]), ages).vm == 'vm-1'
    assert pick_watcher((leaving,), ages).vm == 'vm-2'


def test_vms_of_a_large_zone_ask_the_store_one_after_the_other():
    zone = [make_member(f'vm-{number:02}') for number in range(62)]
    delays = [get_check_delay_seconds(zone, found.vm) for found in zone]
    assert delays == sorted(delays)
    assert delays[0] == 0
    assert max(delays) < 0.5
    assert get_check_delay_seconds(zone, 'unknown') == max(delays)


class Watch:
    """A watch that counts its checks; the store answers them or not."""

    def __init__(self, *, answers):
        self.answers = answers
        self.checks = 0
        self.is_watching = False
        self.outage_ends = 0
        self.probe = self

    async def check(self):
        self.checks += 1
        return '' if self.answers else 'refused'

    def start(self):
        self.is_watching = True

    def stop(self):
        self.is_watching = False

    def end_outage(self):
        self.outage_ends += 1


def run_duty(journal, *, ages, seconds, answers=True):
    """Run the duty of vm-3 for some time; return its watch."""

    async def run():
        watch = Watch(answers=answers)
        loop = asyncio.get_running_loop()
        answered_at = []

        def list_ages():
            found = ages(loop.time())
            if answered_at:
                found['vm-3'] = loop.time() - answered_at[-1]
            return found

        duty = WatchDuty(
            own='vm-3',
            store_watch=watch,
            list_zone=lambda: ZONE,
            list_answer_ages=list_ages,
            is_stopping=asyncio.Event().is_set,
            on_answer=lambda: answered_at.append(loop.time()),
            journal=journal,
        )
        task = asyncio.create_task(duty.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return watch

    return asyncio.run(run())


def test_no_vm_asks_the_store_while_the_watcher_is_answered(journal):
    watch = run_duty(journal, ages=lambda _now: {'vm-2': 0.5}, seconds=2.0)
    assert not watch.checks


def test_vm_asks_the_store_when_the_zone_has_no_answers(journal):
    watch = run_duty(
        journal,
        ages=lambda _now: {'vm-2': STALE},
        seconds=ANSWER_EXPIRY_SECONDS + 0.5,
    )
    assert watch.checks == 1


def test_vm_that_is_turned_away_asks_again_with_pauses(journal):
    watch = run_duty(
        journal,
        ages=lambda _now: {'vm-2': STALE},
        seconds=ANSWER_EXPIRY_SECONDS + 3.0,
        answers=False,
    )
    assert 3 <= watch.checks <= 6
    assert not watch.is_watching


@pytest.mark.parametrize(
    ('ages', 'is_ended'),
    (
        ({}, False),
        ({'vm-1': STALE, 'vm-2': STALE + 3}, False),
        ({'vm-1': 0.5}, True),
        ({'vm-2': 0.5, 'vm-3': STALE}, True),
    ),
)
def test_outage_ends_when_the_store_answers_a_vm_of_the_zone(
    journal, ages, is_ended
):
    async def run():
        watch = Watch(answers=False)
        duty = WatchDuty(
            own='vm-3',
            store_watch=watch,
            list_zone=lambda: ZONE,
            list_answer_ages=lambda: ages,
            is_stopping=asyncio.Event().is_set,
            on_answer=asyncio.Event().set,
            journal=journal,
        )
        duty.update()
        return watch

    assert bool(asyncio.run(run()).outage_ends) is is_ended
