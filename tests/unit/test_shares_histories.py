"""Long random histories of a zone, in which no window may exceed the limit.

They guard against slots or gifts that two VMs use at once. The VMs run the
functions of the process; their clocks differ in speed, messages are lost,
delayed and duplicated, and VMs pause, die and restart.
"""

import random
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanhall.shares import Holding, Table, fence, share
from toucanhall.shares.parts import Limit

RATES = (2, 120)  # the burst refills in 15 s, or in the life of a gift
BURST = 30
SLOT_COUNT = 6
VMS = ('a', 'b', 'c')
SPEEDS = {'a': 1, 'b': 1.001, 'c': 1.0019}  # within the allowed skew
ROUNDING = 1e-6


class World:
    """The zone: its store, VMs, gifts in transit and admitted requests.

    `level` falls at the rate and rises by one per admission. If it exceeds the
    burst, some window admitted more than the limit.
    """

    def __init__(self, *, rate):
        """Divide the slots evenly among the VMs."""
        self.rate = rate
        self.now = 0.0
        self.level = 0.0
        self.worst = 0.0
        self.starts = 1
        holders = [Holding(name, 's1') for name in VMS]
        holdings = {
            slot: holders[slot % len(VMS)] for slot in range(SLOT_COUNT)
        }
        self.stored = Table(holdings, 1, tuple(holders))
        self.fences = {
            holder.vm: fence.Fence(holder, self.stored) for holder in holders
        }
        self.shares = dict.fromkeys(VMS, share.make_share(0))
        self.under_way = []
        self.paused = None

    def read_clock(self, vm):
        """Return the clock of a VM."""
        return self.now * SPEEDS[vm]

    def pass_time(self, _vm, _peer, amount):
        """Advance the time; most spans are short."""
        span = 6 * amount**8
        self.now += span
        self.under_way = [
            gift for gift in self.under_way if self.now - gift[3] < 1
        ]
        self.level = max(0.0, self.level - self.rate * span)

    def can_spend(self, vm):
        """Resize the share of a VM and return whether it is confirmed."""
        now = self.read_clock(vm)
        slots = len(fence.find_usable(self.fences[vm], now))
        limit = Limit(
            self.rate * slots / SLOT_COUNT, BURST * slots / SLOT_COUNT
        )
        self.shares[vm] = share.hold(self.shares[vm], limit, now)
        until = fence.get_confirmed_until(self.fences[vm])
        return until is not None and now < until

    def spend(self, vm, _peer, amount):
        """Admit some requests."""
        if not self.can_spend(vm):
            return
        now = self.read_clock(vm)
        for _ in range(1 + int(amount * BURST)):
            left, wait = share.spend(self.shares[vm], now)
            self.shares[vm] = left
            self.level += wait is None
        self.worst = max(self.worst, self.level)

    def ask(self, vm, peer, _amount):
        """Request tokens of a peer, which sends a gift at once."""
        now = self.read_clock(vm)
        if peer == vm or not self.can_spend(peer):
            return
        asking, wanted = share.ask(self.shares[vm], now)
        self.shares[vm] = asking
        if wanted:
            left, tokens = share.give_tokens(
                self.shares[peer], wanted, self.read_clock(peer),
            )  # fmt: skip
            self.shares[peer] = left
            start = self.fences[vm].own.start
            self.under_way.append((vm, start, tokens, now))

    def accept(self, _vm, _peer, amount):
        """Deliver a gift in transit; it may be delivered again."""
        if not self.under_way:
            return
        index = int(amount * (len(self.under_way) - 1))
        vm, start, tokens, asked_at = self.under_way[index]
        if start == self.fences[vm].own.start:
            self.can_spend(vm)
            self.shares[vm] = share.accept(
                self.shares[vm], tokens, asked_at, self.read_clock(vm),
            )  # fmt: skip

    def drain(self, vm, peer, amount):
        """Deliver every gift and let every VM admit what it can."""
        last = len(self.under_way) - 1
        for index, _gift in enumerate(self.under_way):
            self.accept(vm, peer, index / max(1, last))
        for name in VMS:
            if name != self.paused:
                self.spend(name, peer, 1)

    def pause(self, vm, _peer, _amount):
        """Pause a VM, and resume the one that was paused."""
        self.paused = vm

    def resume(self, _vm, _peer, _amount):
        """Resume the paused VM."""
        self.paused = None

    def read(self, vm, _peer, _amount):
        """Read the slot table."""
        now = self.read_clock(vm)
        self.fences[vm] = fence.record_read(
            self.fences[vm], self.stored, now, now,
        )  # fmt: skip

    def probe(self, vm, peer, _amount):
        """Probe a peer."""
        if peer == vm:
            return
        now = self.read_clock(vm)
        own = self.fences[vm]
        informed, answer = fence.answer_probe(
            self.fences[peer],
            own.own.start,
            fence.make_probe(own, peer, now),
            1,
            self.read_clock(peer),
        )
        self.fences[peer] = informed
        self.fences[vm] = fence.hear_known(
            own, informed.own, answer, now,
        )  # fmt: skip

    def write(self, vm, peer, amount):
        """Write the plan, with all VMs live or without one peer.

        A plan that releases slots of the writer is not written.
        """
        own = self.fences[vm]
        dropped = {peer} if int(amount * 2) else set()
        live = frozenset(VMS) - dropped | {vm}
        now = self.read_clock(vm)
        planned = fence.plan(own, live, SLOT_COUNT, now)
        slots = fence.find_slots(own.table, own.own)
        gives_back = slots - fence.find_slots(planned, own.own)
        if own.table.number == self.stored.number and not gives_back:
            self.stored = planned
            self.fences[vm] = fence.adopt(own, planned, now)

    def restart(self, vm, _peer, _amount):
        """Replace a VM's process by one that knows nothing."""
        self.starts += 1
        self.fences[vm] = fence.Fence(Holding(vm, f's{self.starts}'))
        self.shares[vm] = share.make_share(self.read_clock(vm))


STEPS = (
    (World.pass_time, 6),
    (World.spend, 8),
    (World.drain, 2),
    (World.ask, 6),
    (World.accept, 6),
    (World.read, 6),
    (World.probe, 8),
    (World.write, 1),
    (World.restart, 0.05),
    (World.pause, 0.5),
    (World.resume, 0.5),
)
STEPS_DURING_PAUSE = (World.pass_time, World.drain, World.resume)
STEPS_PER_HISTORY = 3000
MAX_HISTORIES = 60


def run_history(seed):
    """Return the maximum level of a history."""
    chance = random.Random(seed)
    world = World(rate=chance.choice(RATES))
    steps, weights = zip(*STEPS)
    for step in chance.choices(steps, weights, k=STEPS_PER_HISTORY):
        vm, peer = chance.choice(VMS), chance.choice(VMS)
        if step in STEPS_DURING_PAUSE or world.paused not in {vm, peer}:
            step(world, vm, peer, chance.random())
    return world.worst


@settings(max_examples=40, deadline=None)
@given(st.integers(0))
def test_no_window_admits_more_than_the_limit(seed):
    assert run_history(seed) <= BURST + ROUNDING


def hold_full(held, limit, now):
    """Return a share that is filled at once when its limit grows."""
    bucket = HOLD(held, limit, now).bucket
    if limit.burst > held.bucket.cap:
        bucket = bucket._replace(tokens=limit.burst)
    return held._replace(bucket=bucket)


HOLD = share.hold


@pytest.mark.parametrize(
    ('module', 'guard', 'broken'),
    [
        (share, 'hold', hold_full),
        (fence, 'WAIT_SECONDS', 0),
    ],
)
def test_each_guard_is_needed(module, guard, broken):
    with mock.patch.object(module, guard, broken):
        found = any(
            run_history(seed) > BURST + ROUNDING
            for seed in range(MAX_HISTORIES)
        )
    assert found
