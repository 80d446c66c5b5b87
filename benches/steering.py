"""Compares the steering policy with baselines under simulated load."""

import argparse
import json
import statistics
from collections.abc import Sequence
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from benches.steering_fleet import Fleet
from benches.steering_places import DEPLOYMENTS, TEAM_LOAD_FRACTIONS, Deployment
from benches.steering_policies import POLICIES
from benches.steering_scenarios import SCENARIOS

_DURATION_SECONDS: Final = 14.0
_EVENT_AT_SECONDS: Final = 4.0
_MAX_LATENCY_US: Final = 60_000_000
_US_PER_SECOND: Final = 1_000_000
_US_PER_MS: Final = 1000
_SETTLING_SECONDS: Final = 3.0
_BYTES_PER_MBIT: Final = 125000
_PERCENTILES: Final = {'p50_ms': 50, 'p99_ms': 99, 'p999_ms': 99.9}
_TABLE_COLUMNS: Final = (
    'policy', 'p50_ms', 'p99_ms', 'p999_ms', 'headroom', 'drain_s',
    'worst_team', 'wrongful', 'wrongful_settled', 'lost', 'attempts',
    'overloads', 'link_cap_passed', 'shift_cap_passed',
)  # fmt: skip


def main(arguments: Sequence[str]) -> int:
    """Run one scenario under each policy; print a table and lines of JSON."""
    parser = argparse.ArgumentParser(prog='bench steering')
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='lumina',
    )  # fmt: skip
    parser.add_argument(
        '--scenario', choices=sorted(SCENARIOS), default='steady',
    )  # fmt: skip
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policy', choices=sorted(POLICIES), action='append')
    options = parser.parse_args(arguments)
    rows = [
        run(
            DEPLOYMENTS[options.deployment],
            options.scenario,
            options.seed,
            policy,
        )
        | {
            'deployment': options.deployment,
            'scenario': options.scenario,
            'seed': options.seed,
        }
        for policy in options.policy or POLICIES
    ]
    print('  '.join(f'{name:>16}' for name in _TABLE_COLUMNS))
    for row in rows:
        print('  '.join(f'{row[name]!s:>16}' for name in _TABLE_COLUMNS))
    for row in rows:
        print(json.dumps(row))
    return 0


def run(
    deployment: Deployment,
    scenario: str,
    seed: int,
    policy: str,
    seconds: float = _DURATION_SECONDS,
    event_at: float = _EVENT_AT_SECONDS,
) -> dict[str, Any]:
    """Simulate one scenario under one policy and return the measurements."""
    chosen = SCENARIOS[scenario]
    fleet = Fleet(deployment=deployment, seed=seed, load=chosen.load)
    fleet.make_policy = POLICIES[policy](fleet)
    fleet.start(seconds)
    fleet.clock.call_later(event_at, chosen.apply, fleet)
    fleet.clock.run(seconds + 12)
    return {'policy': policy} | measure(fleet, scenario, seconds, event_at)


def measure(
    fleet: Fleet,
    scenario: str,
    seconds: float,
    event_at: float,
) -> dict[str, Any]:
    """Return the measurements of a finished run."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for _, _, latency in fleet.answered:
        histogram.record_value(int(latency * _US_PER_SECOND))
    surging = {'team-0'} if scenario == 'surge' else set()
    wrongful = [
        sent_at
        for sent_at, team, result in fleet.refused
        if result != 'lost' and team not in surging
    ]
    served_fractions = measure_served_fractions(
        fleet, scenario, seconds, event_at
    )
    return {
        name: round(histogram.get_value_at_percentile(percent) / _US_PER_MS, 1)
        for name, percent in _PERCENTILES.items()
    } | {
        'headroom': round(statistics.median(fleet.min_free_fractions), 3),
        'drain_s': measure_drain_seconds(fleet),
        'worst_team': round(min(served_fractions.values()), 4),
        'worst_other_team': round(
            min(
                fraction
                for team, fraction in served_fractions.items()
                if team != 'team-0'
            ),
            4,
        ),
        'wrongful': len(wrongful),
        'wrongful_settled': sum(
            sent_at > event_at + _SETTLING_SECONDS for sent_at in wrongful
        ),
        'lost': fleet.counts['lost'],
        'attempts': round(fleet.counts['attempts'] / fleet.counts['sent'], 3),
        'bounced': fleet.counts['bounced'],
        'waited': fleet.counts['waited'],
        'overloads': fleet.counts['overloads'],
        'link_cap_passed': count_exceeded_link_seconds(fleet),
        'shift_cap_passed': count_exceeded_shift_samples(fleet),
        'sent': fleet.counts['sent'],
        'answered': len(fleet.answered),
    }  # fmt: skip


def measure_served_fractions(
    fleet: Fleet,
    scenario: str,
    seconds: float,
    event_at: float,
) -> dict[str, float]:
    """Return the answered fraction of each team's requests within its rate."""
    served_fractions = {}
    for number, _ in enumerate(TEAM_LOAD_FRACTIONS):
        team = f'team-{number}'
        expected = float(fleet.sent_by_team[team])
        if scenario == 'surge' and number == 0:
            expected *= seconds / (event_at + 5 * (seconds - event_at))
        answered = sum(answer[1] == team for answer in fleet.answered)
        served_fractions[team] = min(1, answered / max(1, expected))
    return served_fractions


def measure_drain_seconds(fleet: Fleet) -> float | None:
    """Return the seconds until all targets of the drained zone were idle."""
    if fleet.drained_zone is None:
        return None
    last = max(
        target.last_finished_at
        for target in fleet.targets.values()
        if target.entry.zone == fleet.drained_zone
    )
    return round(last - fleet.drained_at, 2)


def count_exceeded_link_seconds(fleet: Fleet) -> int:
    """Return the number of seconds in which a link exceeded its limit."""
    max_bytes = fleet.deployment.link_mbit_per_second * _BYTES_PER_MBIT
    return sum(
        link_bytes > max_bytes for link_bytes in fleet.link_bytes.values()
    )


def count_exceeded_shift_samples(fleet: Fleet) -> int:
    """Return the number of samples at which a zone's shift limit was exceeded.

    Running requests from other zones are compared with their peak from three to
    one seconds before, because a level that was reached may be used again.
    """
    exceeded_count = 0
    for zone, samples in fleet.remote_running_samples.items():
        vms = sum(vm.zone == zone for vm in fleet.vms.values())
        services = len(fleet.deployment.services)
        slots = sum(
            fleet.count_slots(service.name, zone)
            for service in fleet.deployment.services
        )
        max_increase = fleet.catalogue.shift_share * slots + vms * services
        exceeded_count += sum(
            samples[index] - max(samples[max(0, index - 30) : index - 9])
            > max_increase
            for index in range(10, len(samples))
        )
    return exceeded_count
