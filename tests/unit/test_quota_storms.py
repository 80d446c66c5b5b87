"""The limit of a team over random kills, network cuts and pauses of VMs.

Faults overlap. VMs that restart, resume or are cut off know too little of what
others have spent, and may spend the same share of the limit again.
"""

import random
from typing import NamedTuple

from tests.fleetdata import make_team
from tests.simulated_fleet import SimulatedFleet, compute_window_bound

SEEDS = range(30)
FIRST_AT = 8.0
LAST_AT = 20.0


class Fault(NamedTuple):
    """A fault of some VMs or zones from a time on, for some seconds."""

    starts_at: float
    kind: str
    affected: frozenset[str]
    seconds: float


class FaultInjector:
    """Injects faults into a fleet while a team sends more than its limit."""

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.down_ips = set()
        self.starts = {'kill': self.kill, 'cut': self.cut, 'pause': self.pause}
        self.ends = {
            'kill': self.restart,
            'cut': self.reconnect,
            'pause': self.resume,
        }

    def run(self, faults):
        steps = [(fault.starts_at, self.starts[fault.kind], fault.affected)
                 for fault in faults]  # fmt: skip
        steps += [
            (
                fault.starts_at + fault.seconds,
                self.ends[fault.kind],
                fault.affected,
            )
            for fault in faults
        ]
        for at, act, affected in sorted(steps, key=lambda step: step[0]):
            self.fleet.run_until(at)
            act(affected)
        self.fleet.run_until(self.fleet.now + 3.0)

    def kill(self, ips):
        """Kill VMs; all restart 0.5 s later if no VM is left."""
        self.down_ips |= ips
        self.fleet.kill(ips)
        if not self.fleet.vms:
            self.fleet.now += 0.5
            self.restart(self.down_ips)

    def restart(self, ips):
        restarted = ips & self.down_ips
        self.down_ips -= restarted
        self.fleet.restart(restarted)

    def cut(self, zones):
        self.fleet.isolated_zones |= zones

    def reconnect(self, zones):
        self.fleet.isolated_zones -= zones

    def pause(self, ips):
        self.fleet.paused_ips |= ips

    def resume(self, ips):
        self.fleet.paused_ips -= ips


def draw_faults(rng, fleet):
    """Yield faults of random kinds at random times."""
    ips = [found.ip for found in fleet.entries]
    max_counts = {'kill': len(ips) * 3 // 5, 'pause': len(ips) // 3}
    at = FIRST_AT
    while at < LAST_AT:
        at += rng.uniform(0.3, 2.5)
        kind = rng.choice(('kill', 'kill all', 'cut', 'pause'))
        seconds = rng.uniform(0.5, 4.0)
        if kind == 'kill all':
            yield Fault(at, 'kill', frozenset(ips), 1.0)
        elif kind == 'cut':
            zones = rng.sample(fleet.zones, 1)
            yield Fault(at, kind, frozenset(zones), seconds)
        else:
            affected = rng.sample(ips, rng.randint(1, max_counts[kind]))
            yield Fault(at, kind, frozenset(affected), seconds)


def run_faults(seed):
    """Return the most admissions in a window over what is allowed."""
    rng = random.Random(seed)
    rate = rng.choice((40.0, 160.0, 690.0))
    team = make_team(rate=rate, burst=rate)
    hot_factor = rng.choice((3, 8))
    fleet = SimulatedFleet(
        zones=rng.choice((2, 3, 5)),
        vms=rng.choice((3, 5)),
        team=team,
        get_rate=lambda now: rate / 1.6 * (1, hot_factor)[now >= FIRST_AT],
        seed=seed,
    )
    FaultInjector(fleet=fleet).run(list(draw_faults(rng, fleet)))
    return fleet.compute_max_admitted() / compute_window_bound(team)


def test_hot_team_keeps_to_its_limit_over_kills_cuts_and_pauses():
    ratios = {seed: round(run_faults(seed), 2) for seed in SEEDS}
    exceeded = {seed: ratio for seed, ratio in ratios.items() if ratio > 1}
    assert not exceeded
