"""A VM as a real process whose targets send heads of answers without an end."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site.deployment import Deployment
from toucanhall.observe import events

NETWORK_OCTET = 92
VM_MEMORY_BYTES = 152_000_000  # `memory_mb` of its settings
FAULTY_NAMES = tuple(f't{number}' for number in range(1, 13))
SOUND_NAMES = tuple(f't{number}' for number in range(13, 21))
CALLERS_COUNT = 160
# Of a caller between its requests, so that the targets are not overloaded.
CALLER_PAUSE_SECONDS = 0.8
SECONDS = 5.0
PAUSE_SECONDS = 0.2


def send_until(deployment, end, caller):
    """Send requests for different objects, some time apart."""
    outcomes = []
    while time.monotonic() < end:
        key = f'{caller}-{len(outcomes)}'
        outcomes.append(deployment.request('vm-1', affinity_key=key))
        time.sleep(CALLER_PAUSE_SECONDS)
    return outcomes


@pytest.mark.parametrize(
    'kind', ('short header lines', 'few header lines'), ids=('short', 'few')
)
def test_targets_whose_heads_never_end_take_neither_memory_nor_requests(kind):
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        for name in FAULTY_NAMES:
            deployment.add_endless_target(
                name, kind, pause_seconds=PAUSE_SECONDS
            )
        for name in SOUND_NAMES:
            deployment.add_target(name)
        deployment.start_vm('vm-1')
        deployment.wait_ready()
        end = time.monotonic() + SECONDS
        with ThreadPoolExecutor(CALLERS_COUNT) as pool:
            outcomes = sum(
                pool.map(
                    lambda caller: send_until(deployment, end, caller),
                    range(CALLERS_COUNT),
                ),
                [],
            )
        peak = deployment.read_peak_memory_bytes('vm-1')
        executed = {
            run.request_id
            for name in SOUND_NAMES
            for run in deployment.targets[name].executed
        }
        suspended = {
            line['target']
            for line in deployment.find_events(
                'vm-1', events.TARGET_SUSPENDED.number
            )
            # A stand-in on a busy machine may accept too late.
            if not line['why'].endswith('did not accept in time')
        }
        print('peak', peak, 'requests', len(outcomes), 'run', len(executed))
        assert peak < VM_MEMORY_BYTES
        assert executed
        statuses = {
            outcome.status
            for outcome in outcomes
            if outcome.request_id in executed
        }
        assert statuses == {200}
        assert suspended == set(FAULTY_NAMES)
