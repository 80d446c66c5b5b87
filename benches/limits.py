"""Compares methods of enforcing a fleet-wide limit, in virtual time.

Simulates the VMs of one zone with each method: shares of the limit with gifts
between VMs, fixed shares, and batches of tokens leased from the platform.
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
    give_tokens,
    hold,
    make_share,
    spend,
)

RATE_PER_SECOND: Final = 400.0  # requests of the team
BURST_TOKENS: Final = 400.0
DURATION_SECONDS: Final = 120.0
WARM_UP_SECONDS: Final = 20.0  # until every bucket has been full once
LOAD_FACTORS: Final = (0.8, 3.0)  # multiples of the rate
BUSIEST_VM_LOAD_RATIO: Final = 10.0  # to the load of any other VM
MESSAGE_DELAY_SECONDS: Final = 0.002  # between VMs of a zone
VM_COUNTS: Final = (3, 6, 12, 25)  # VMs per zone
LOSS_FRACTION: Final = 0.01  # of the messages
LEASE_SECONDS: Final = 1.0
CALLS_PER_LEASE: Final = 2  # a read and a write of the store
_TABLE_READ_SECONDS: Final = 10.0  # between reads of the slot table


class Arrival(NamedTuple):
    """A request: its time of arrival and its VM."""

    at: float
    vm: int


class Method(NamedTuple):
    """How a method admits requests, and its platform and peer traffic."""

    admit: Callable[[Arrival], bool]
    get_costs: Callable[[], tuple[float, float]]


class MessageQueue:
    """Delivers messages in order of time; loses and duplicates some."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start with an empty queue."""
        self._rng = rng
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.sent = 0

    def send(self, now: float, deliver: Callable[[float], None]) -> None:
        """Queue a message, which may be lost or duplicated."""
        self.sent += 1
        copies = self._rng.choices(
            (0, 1, 2), (LOSS_FRACTION, 1 - LOSS_FRACTION * 2, LOSS_FRACTION)
        )
        for copy in range(copies[0]):
            at = now + MESSAGE_DELAY_SECONDS * self._rng.uniform(0.5, 4)
            order = self.sent * 2 + copy
            heapq.heappush(self._queue, (at, order, deliver))

    def run(self, until: float) -> None:
        """Deliver all messages that are due by a time."""
        while self._queue and self._queue[0][0] <= until:
            at, _, deliver = heapq.heappop(self._queue)
            deliver(at)


def make_shares(vms: int) -> list[Share]:
    """Return a share without tokens for each VM, all of equal size."""
    limit = Limit(RATE_PER_SECOND / vms, BURST_TOKENS / vms)
    return [hold(make_share(0), limit, 0) for _ in range(vms)]


def make_share_method(vms: int, rng: random.Random, *, gifts: bool) -> Method:
    """Return the method of shares, with gifts or without."""
    shares = make_shares(vms)
    messages = MessageQueue(rng=rng)

    def give(
        vm: int, requester: int, wanted_tokens: float, asked_at: float
    ) -> None:
        def deliver(tokens: float, at: float) -> None:
            shares[requester] = accept(shares[requester], tokens, asked_at, at)

        def answer(at: float) -> None:
            shares[vm], tokens = give_tokens(shares[vm], wanted_tokens, at)
            if tokens:
                messages.send(at, partial(deliver, tokens))

        messages.send(asked_at, answer)

    def admit(arrival: Arrival) -> bool:
        at, vm = arrival
        messages.run(at)
        share, wait = spend(shares[vm], at)
        if gifts:
            share, wanted_tokens = ask(share, at)
            if wanted_tokens:
                peers = [peer for peer in range(vms) if peer != vm]
                peer = peers[share.turn % len(peers)]
                give(peer, vm, wanted_tokens, at)
        shares[vm] = share
        return wait is None

    probes_per_second = vms * (vms - 1) * 2
    return Method(
        admit,
        lambda: (
            vms / _TABLE_READ_SECONDS,
            messages.sent / DURATION_SECONDS
            + (probes_per_second if gifts else 0),
        ),
    )


def make_lease_method(vms: int, _rng: random.Random) -> Method:
    """Return the method of leases: VMs fetch tokens from the platform.

    A VM without tokens reads the bucket in the store and takes a batch for one
    lease from it; unused tokens expire with the lease.
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
    """Return random requests; the first VM receives the most."""
    weights = [BUSIEST_VM_LOAD_RATIO] + [1.0] * (vms - 1)
    count = int(RATE_PER_SECOND * load * DURATION_SECONDS)
    times = sorted(rng.uniform(0, DURATION_SECONDS) for _ in range(count))
    vm_indexes = rng.choices(range(vms), weights, k=count)
    return [Arrival(at, vm) for at, vm in zip(times, vm_indexes)]


def compute_max_ratio(admitted: Sequence[float]) -> float:
    """Return the maximum ratio of admitted to allowed requests in a window.

    Searches for the window that exceeds an estimated ratio the most, and takes
    its ratio as the next estimate, until no window has a higher ratio.
    """
    ratio = 0.0
    while True:
        found = find_max_window_ratio(admitted, ratio)
        if found <= ratio:
            return ratio
        ratio = found


def find_max_window_ratio(admitted: Sequence[float], ratio: float) -> float:
    """Return the ratio of the window that exceeds an estimate the most."""
    max_excess, found = 0.0, ratio
    lowest_level = float('inf')
    window_start, first = 0.0, 0
    for count, at in enumerate(admitted):
        level = count - ratio * RATE_PER_SECOND * at
        if level < lowest_level:
            lowest_level, window_start, first = level, at, count
        excess = level + 1 - lowest_level - ratio * BURST_TOKENS
        if excess > max_excess + 1e-9:
            max_excess = excess
            found = (count + 1 - first) / (
                BURST_TOKENS + RATE_PER_SECOND * (at - window_start)
            )
    return found


def measure(method: Method, arrivals: Sequence[Arrival]) -> tuple[float, float]:
    """Return the maximum window ratio and the fraction of refusals."""
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
    'shares_with_gifts': 'its whole share while a majority of holders answers',
    'fixed_parts': 'its whole share',
    'platform_leases': f'nothing after {LEASE_SECONDS:g} s',
}


def measure_method(name: str, vms: int, seed: int) -> dict[str, Any]:
    """Measure one method with a number of VMs."""
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
    """Run the benchmark and print its result as a line of JSON."""
    parser = argparse.ArgumentParser(prog='bench limits')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    print(
        f'slots are confirmed for {CONFIRM_SECONDS:g} s; '
        f'limit of the zone: {RATE_PER_SECOND:g} requests/s',
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
