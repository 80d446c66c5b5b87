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

RATE_PER_SECOND: Final = 400.0  # requests/s of the team
BURST_TOKENS: Final = 400.0
DURATION_SECONDS: Final = 120.0
WARM_UP_SECONDS: Final = 20.0  # until every bucket has been full once
LOAD_FACTORS: Final = (0.8, 3.0)  # of the rate
BUSIEST_VM_LOAD_RATIO: Final = 10.0  # load of the busiest VM by that of another
MESSAGE_DELAY_SECONDS: Final = 0.002  # of a message between VMs of a zone
VM_COUNTS: Final = (3, 6, 12, 25)  # VMs per zone
LOSS_FRACTION: Final = 0.01  # of the messages
LEASE_SECONDS: Final = 1.0
CALLS_PER_LEASE: Final = 2  # a read and a write
_TABLE_READ_SECONDS: Final = 10.0  # between reads of the slot table


class Arrival(NamedTuple):
    """A request: when it comes, and to which VM."""

    at: float
    vm: int


class Method(NamedTuple):
    """How a way admits, and what it costs."""

    admit: Callable[[Arrival], bool]
    get_costs: Callable[[], tuple[float, float]]


class MessageQueue:
    """Deliveries in order of time, some lost and some doubled."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start with none under way."""
        self._rng = rng
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.sent = 0

    def send(self, now: float, deliver: Callable[[float], None]) -> None:
        """Send one message."""
        self.sent += 1
        copies = self._rng.choices(
            (0, 1, 2), (LOSS_FRACTION, 1 - LOSS_FRACTION * 2, LOSS_FRACTION)
        )
        for copy in range(copies[0]):
            at = now + MESSAGE_DELAY_SECONDS * self._rng.uniform(0.5, 4)
            order = self.sent * 2 + copy
            heapq.heappush(self._queue, (at, order, deliver))

    def run(self, until: float) -> None:
        """Deliver what is due."""
        while self._queue and self._queue[0][0] <= until:
            at, _, deliver = heapq.heappop(self._queue)
            deliver(at)


def make_shares(vms: int) -> list[Share]:
    """Return an empty share with an even part for each VM."""
    limit = Limit(RATE_PER_SECOND / vms, BURST_TOKENS / vms)
    return [hold(make_share(0), limit, 0) for _ in range(vms)]


def make_share_method(vms: int, rng: random.Random, *, gifts: bool) -> Method:
    """Return the way of shares, with gifts or with fixed parts."""
    shares = make_shares(vms)
    messages = MessageQueue(rng=rng)

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

    probes_per_second = vms * (vms - 1) * 2  # each second
    return Method(
        admit,
        lambda: (
            vms / _TABLE_READ_SECONDS,
            messages.sent / DURATION_SECONDS
            + (probes_per_second if gifts else 0),
        ),
    )


def make_lease_method(vms: int, _rng: random.Random) -> Method:
    """Return the way of leases: the platform hands out tokens in batches.

    A VM that is short reads the store's bucket and debits a second's worth of
    its load from it; unused tokens lapse with the lease.
    """
    store = hold(make_share(0), Limit(RATE_PER_SECOND, BURST_TOKENS), 0)
    held_tokens = [0.0] * vms
    lease_ends_at = [0.0] * vms
    calls = 0

    def admit(arrival: Arrival) -> bool:
        nonlocal store, calls
        at, vm = arrival
        if at >= lease_ends_at[vm] or held_tokens[vm] < 1:
            if at < lease_ends_at[vm] - LEASE_SECONDS * 0.9:
                return False
            calls += CALLS_PER_LEASE
            bucket = refill(store.bucket, at)
            batch = min(bucket.tokens, RATE_PER_SECOND / vms * LEASE_SECONDS)
            store = Share(bucket._replace(tokens=bucket.tokens - batch))
            held_tokens[vm], lease_ends_at[vm] = batch, at + LEASE_SECONDS
        if held_tokens[vm] < 1:
            return False
        held_tokens[vm] -= 1
        return True

    return Method(admit, lambda: (calls / DURATION_SECONDS, 0.0))


def list_arrivals(
    vms: int,
    load: float,
    rng: random.Random,
) -> list[Arrival]:
    """Return requests at a load, most of them at the first VM."""
    weights = [BUSIEST_VM_LOAD_RATIO] + [1.0] * (vms - 1)
    count = int(RATE_PER_SECOND * load * DURATION_SECONDS)
    times = sorted(rng.uniform(0, DURATION_SECONDS) for _ in range(count))
    vm_indexes = rng.choices(range(vms), weights, k=count)
    return [Arrival(at, vm) for at, vm in zip(times, vm_indexes)]


def compute_max_ratio(admitted: Sequence[float]) -> float:
    """Return the most admitted in any window, by what the limit allows.

    The best window for a guessed ratio gives a better guess, until none does.
    """
    ratio = 0.0
    while True:
        found = find_max_window_ratio(admitted, ratio)
        if found <= ratio:
            return ratio
        ratio = found


def find_max_window_ratio(admitted: Sequence[float], ratio: float) -> float:
    """Return the ratio of the window that exceeds a guessed one the most."""
    best, found = 0.0, ratio
    lowest = float('inf')
    since, first = 0.0, 0
    for count, at in enumerate(admitted):
        level = count - ratio * RATE_PER_SECOND * at
        if level < lowest:
            lowest, since, first = level, at, count
        excess = level + 1 - lowest - ratio * BURST_TOKENS
        if excess > best + 1e-9:
            best = excess
            found = (count + 1 - first) / (
                BURST_TOKENS + RATE_PER_SECOND * (at - since)
            )
    return found


def measure(method: Method, arrivals: Sequence[Arrival]) -> tuple[float, float]:
    """Return the worst window by the bound, and the share refused."""
    admitted: list[float] = []
    refused = 0
    counted = 0
    for arrival in arrivals:
        is_admitted = method.admit(arrival)
        if is_admitted:
            admitted.append(arrival.at)
        if arrival.at >= WARM_UP_SECONDS:
            counted += 1
            refused += not is_admitted
    return compute_max_ratio(admitted), refused / counted


METHODS: Final[dict[str, Callable[[int, random.Random], Method]]] = {
    'shares_with_gifts': lambda vms, rng: make_share_method(
        vms, rng, gifts=True
    ),
    'fixed_parts': lambda vms, rng: make_share_method(vms, rng, gifts=False),
    'platform_leases': make_lease_method,
}
CUT_ZONE_EFFECTS: Final = {
    'shares_with_gifts': 'its whole part, while a majority of holders answers',
    'fixed_parts': 'its whole part',
    'platform_leases': f'nothing after {LEASE_SECONDS:g} s',
}


def measure_method(name: str, vms: int, seed: int) -> dict[str, Any]:
    """Measure one way at one size."""
    max_ratio = 0.0
    wrongful = 0.0
    costs = (0.0, 0.0)
    for load in LOAD_FACTORS:
        rng = random.Random(f'{seed}/{vms}/{load}')
        arrivals = list_arrivals(vms, load, rng)
        method = METHODS[name](vms, rng)
        found, refused = measure(method, arrivals)
        max_ratio = max(max_ratio, found)
        if load < 1:
            wrongful = refused
            costs = method.get_costs()
    return {
        'worst_over_bound': round(max_ratio, 4),
        'wrongful_refusals': round(wrongful, 6),
        'platform_calls_per_s': round(costs[0], 3),
        'peer_messages_per_s': round(costs[1], 1),
    }


def main(arguments: Sequence[str]) -> int:
    """Run the measurement and print a line of JSON at its end."""
    parser = argparse.ArgumentParser(prog='bench limits')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    print(
        f'confirmed for {CONFIRM_SECONDS:g} s; '
        f'zone of {RATE_PER_SECOND:g} requests/s',
    )
    result: dict[str, Any] = {}
    for name in METHODS:
        for vms in VM_COUNTS:
            found = measure_method(name, vms, options.seed)
            print(f'{name}, {vms} VMs: {found}', flush=True)
            if vms == VM_COUNTS[0]:
                result[name] = {**found, 'cut_zone': CUT_ZONE_EFFECTS[name]}
                result[name]['by_vms'] = {}
            result[name]['by_vms'][vms] = found
    print(json.dumps(result))
    return 0
