"""A team's limit over random kills, cuts and pauses that follow one another."""

import random
from typing import NamedTuple

from tests.simulated_fleet import SimulatedFleet, compute_window_bound
from tests.fleetdata import make_team

SEEDS = range(30)
FIRST_AT = 8.0
LAST_AT = 20.0


class Trouble(NamedTuple):
    """What strikes some VMs or zones from a time on, for some seconds."""

    at: float
    kind: str
    struck: frozenset[str]
    seconds: float


class Storm:
    """Plays troubles on a fleet beside a team that sends too much."""

    def __init__(self, *, exchange):
        self.exchange = exchange
        self.down = set()
        self.starts = {'kill': self.kill, 'cut': self.cut, 'pause': self.pause}
        self.ends = {'kill': self.start, 'cut': self.heal, 'pause': self.resume}

    def play(self, troubles):
        steps = [(found.at, self.starts[found.kind], found.struck)
                 for found in troubles]  # fmt: skip
        steps += [
            (found.at + found.seconds, self.ends[found.kind], found.struck)
            for found in troubles
        ]
        for at, act, struck in sorted(steps, key=lambda step: step[0]):
            self.exchange.play(at)
            act(struck)
        self.exchange.play(self.exchange.now + 3.0)

    def kill(self, ips):
        """Kill VMs; the fleet starts again at once where none is left."""
        self.down |= ips
        self.exchange.kill(ips)
        if not self.exchange.vms:
            self.exchange.now += 0.5
            self.start(self.down)

    def start(self, ips):
        started = ips & self.down
        self.down -= started
        self.exchange.restart(started)

    def cut(self, zones):
        self.exchange.cut |= zones

    def heal(self, zones):
        self.exchange.cut -= zones

    def pause(self, ips):
        self.exchange.paused |= ips

    def resume(self, ips):
        self.exchange.paused -= ips


def draw_troubles(draw, exchange):
    """Yield troubles of random kinds, one to three seconds apart."""
    ips = [found.ip for found in exchange.entries]
    most = {'kill': len(ips) * 3 // 5, 'pause': len(ips) // 3}
    at = FIRST_AT
    while at < LAST_AT:
        at += draw.uniform(0.3, 2.5)
        kind = draw.choice(('kill', 'kill all', 'cut', 'pause'))
        seconds = draw.uniform(0.5, 4.0)
        if kind == 'kill all':
            yield Trouble(at, 'kill', frozenset(ips), 1.0)
        elif kind == 'cut':
            zones = draw.sample(exchange.zones, 1)
            yield Trouble(at, kind, frozenset(zones), seconds)
        else:
            struck = draw.sample(ips, draw.randint(1, most[kind]))
            yield Trouble(at, kind, frozenset(struck), seconds)


def play_storm(seed):
    """Return the most admissions in a window over what is allowed."""
    draw = random.Random(seed)
    rate = draw.choice((40.0, 160.0, 690.0))
    team = make_team(rate=rate, burst=rate)
    hot = draw.choice((3, 8))
    exchange = SimulatedFleet(
        zones=draw.choice((2, 3, 5)),
        vms=draw.choice((3, 5)),
        team=team,
        find_rate=lambda now: rate / 1.6 * (1, hot)[now >= FIRST_AT],
        seed=seed,
    )
    Storm(exchange=exchange).play(list(draw_troubles(draw, exchange)))
    return exchange.compute_max_admitted() / compute_window_bound(team)


def test_hot_team_keeps_to_its_limit_over_kills_cuts_and_pauses():
    found = {seed: round(play_storm(seed), 2) for seed in SEEDS}
    over = {seed: most for seed, most in found.items() if most > 1}
    assert not over
