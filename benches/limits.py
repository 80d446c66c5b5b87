"""Ways to hold a limit across the fleet, weighed on a paused clock.

Each way runs its decisions on simulated VMs of one zone: the project's shares
with gifts, fixed parts, and a lease for each part from the platform.
"""

import argparse
import heapq
import json
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, Final, NamedTuple

from toucanhall.shares.bucket import refill
from toucanhall.shares.fence import CONFIRM_SECONDS
from toucanhall.shares.parts import Limit
from toucanhall.shares.share import (
    Share,
    accept,
    ask,
    hold,
    make_share,
    give_tokens,
    spend,
)

RATE: Final = 400.0  # requests/s of the team
BURST: Final = 400.0
SECONDS: Final = 120.0
WARM_SECONDS: Final = 20.0  # until every bucket has been full once
LOADS: Final = (0.8, 3.0)  # of the rate
UNEVEN: Final = 10.0  # load of the busiest VM by that of another
DELAY_SECONDS: Final = 0.002  # of a message between VMs of a zone
SIZES: Final = (3, 6, 12, 25)  # VMs per zone
LOSS: Final = 0.01  # of the messages
LEASE_SECONDS: Final = 1.0
LEASE_CALLS: Final = 2  # a read and a write
_READ_SECONDS: Final = 10.0  # between reads of the slot table


class Arrival(NamedTuple):
    """A request: when it comes, and to which VM."""

    at: float
    vm: int


class Way(NamedTuple):
    """How a way admits, and what it costs."""

    admit: Callable[[Arrival], bool]
    read_costs: Callable[[], tuple[float, float]]


class Messages:
    """Deliveries in order of time, some lost and some doubled."""

    def __init__(self, *, chance: random.Random) -> None:
        """Start with none under way."""
        self._chance = chance
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.sent = 0

    def send(self, now: float, deliver: Callable[[float], None]) -> None:
        """Send one message."""
        self.sent += 1
        copies = self._chance.choices((0, 1, 2), (LOSS, 1 - LOSS * 2, LOSS))
        for copy in range(copies[0]):
            at = now + DELAY_SECONDS * self._chance.uniform(0.5, 4)
            order = self.sent * 2 + copy
            heapq.heappush(self._queue, (at, order, deliver))

    def run(self, until: float) -> None:
        """Deliver what is due."""
        while self._queue and self._queue[0][0] <= until:
            at, _, deliver = heapq.heappop(self._queue)
            deliver(at)


def make_shares(vms: int) -> list[Share]:
    """Return an empty share with an even part for each VM."""
    limit = Limit(RATE / vms, BURST / vms)
    return [hold(make_share(0), limit, 0) for _ in range(vms)]


def share(vms: int, chance: random.Random, *, gifts: bool) -> Way:
    """Return the way of shares, with gifts or with fixed parts."""
    shares = make_shares(vms)
    messages = Messages(chance=chance)

    def give(vm: int, asker: int, wanted: float, asked_at: float) -> None:
        def deliver(tokens: float, at: float) -> None:
            shares[asker] = accept(shares[asker], tokens, asked_at, at)

        def answer(at: float) -> None:
            shares[vm], tokens = give_tokens(shares[vm], wanted, at)
            if tokens:
                messages.send(at, partial(deliver, tokens))

        messages.send(asked_at, answer)

    def admit(arrival: Arrival) -> bool:
        at, vm = arrival
        messages.run(at)
        share, wait = spend(shares[vm], at)
        if gifts:
            share, wanted = ask(share, at)
            if wanted:
                others = [peer for peer in range(vms) if peer != vm]
                peer = others[share.turn % len(others)]
                give(peer, vm, wanted, at)
        shares[vm] = share
        return wait is None

    probes = vms * (vms - 1) * 2  # each second
    return Way(
        admit,
        lambda: (
            vms / _READ_SECONDS,
            messages.sent / SECONDS + (probes if gifts else 0),
        ),
    )


def lease(vms: int, _chance: random.Random) -> Way:
    """Return the way of leases: the platform hands out tokens in batches.

    A VM that is short reads the store's bucket and debits a second's worth of
    its load from it; unused tokens lapse with the lease.
    """
    store = hold(make_share(0), Limit(RATE, BURST), 0)
    held = [0.0] * vms
    until = [0.0] * vms
    calls = 0

    def admit(arrival: Arrival) -> bool:
        nonlocal store, calls
        at, vm = arrival
        if at >= until[vm] or held[vm] < 1:
            if at < until[vm] - LEASE_SECONDS * 0.9:
                return False
            calls += LEASE_CALLS
            bucket = refill(store.bucket, at)
            batch = min(bucket.tokens, RATE / vms * LEASE_SECONDS)
            store = Share(bucket._replace(tokens=bucket.tokens - batch))
            held[vm], until[vm] = batch, at + LEASE_SECONDS
        if held[vm] < 1:
            return False
        held[vm] -= 1
        return True

    return Way(admit, lambda: (calls / SECONDS, 0.0))


def list_arrivals(
    vms: int,
    load: float,
    chance: random.Random,
) -> list[Arrival]:
    """Return requests at a load, most of them at the first VM."""
    weights = [UNEVEN] + [1.0] * (vms - 1)
    count = int(RATE * load * SECONDS)
    times = sorted(chance.uniform(0, SECONDS) for _ in range(count))
    targets = chance.choices(range(vms), weights, k=count)
    return [Arrival(at, vm) for at, vm in zip(times, targets)]


def find_worst(admitted: Sequence[float]) -> float:
    """Return the most admitted in any window, by what the limit allows.

    The best window for a guessed ratio gives a better guess, until none does.
    """
    ratio = 0.0
    while True:
        found = max_window(admitted, ratio)
        if found <= ratio:
            return ratio
        ratio = found


def max_window(admitted: Sequence[float], ratio: float) -> float:
    """Return the ratio of the window that exceeds a guessed one the most."""
    best, found = 0.0, ratio
    lowest = float('inf')
    since, first = 0.0, 0
    for count, at in enumerate(admitted):
        level = count - ratio * RATE * at
        if level < lowest:
            lowest, since, first = level, at, count
        excess = level + 1 - lowest - ratio * BURST
        if excess > best + 1e-9:
            best = excess
            found = (count + 1 - first) / (BURST + RATE * (at - since))
    return found


def measure(way: Way, arrivals: Sequence[Arrival]) -> tuple[float, float]:
    """Return the worst window by the bound, and the share refused."""
    admitted: list[float] = []
    refused = 0
    due = 0
    for arrival in arrivals:
        taken = way.admit(arrival)
        if taken:
            admitted.append(arrival.at)
        if arrival.at >= WARM_SECONDS:
            due += 1
            refused += not taken
    return find_worst(admitted), refused / due


WAYS: Final[dict[str, Callable[[int, random.Random], Way]]] = {
    'shares_with_gifts': lambda vms, chance: share(vms, chance, gifts=True),
    'fixed_parts': lambda vms, chance: share(vms, chance, gifts=False),
    'platform_leases': lease,
}
CUT_ZONE: Final = {
    'shares_with_gifts': 'its whole part, while a majority of holders answers',
    'fixed_parts': 'its whole part',
    'platform_leases': f'nothing after {LEASE_SECONDS:g} s',
}


def weigh(name: str, vms: int, seed: int) -> dict[str, Any]:
    """Measure one way at one size."""
    worst = 0.0
    wrongful = 0.0
    costs = (0.0, 0.0)
    for load in LOADS:
        chance = random.Random(f'{seed}/{vms}/{load}')
        arrivals = list_arrivals(vms, load, chance)
        way = WAYS[name](vms, chance)
        found, refused = measure(way, arrivals)
        worst = max(worst, found)
        if load < 1:
            wrongful = refused
            costs = way.read_costs()
    return {
        'worst_over_bound': round(worst, 4),
        'wrongful_refusals': round(wrongful, 6),
        'platform_calls_per_s': round(costs[0], 3),
        'peer_messages_per_s': round(costs[1], 1),
    }


def main(arguments: Sequence[str]) -> int:
    """Run the measurement and print a line of JSON at its end."""
    parser = argparse.ArgumentParser(prog='bench limits')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    print(f'confirmed for {CONFIRM_SECONDS:g} s; zone of {RATE:g} requests/s')
    result: dict[str, Any] = {}
    for name in WAYS:
        for vms in SIZES:
            found = weigh(name, vms, options.seed)
            print(f'{name}, {vms} VMs: {found}', flush=True)
            if vms == SIZES[0]:
                result[name] = {**found, 'cut_zone': CUT_ZONE[name]}
                result[name]['by_vms'] = {}
            result[name]['by_vms'][vms] = found
    print(json.dumps(result))
    return 0
