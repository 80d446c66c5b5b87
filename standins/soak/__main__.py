"""Runs the soak for some seeds and prints the violated invariants."""

import argparse
import sys
from collections.abc import Sequence

from standins.soak.regressions import REGRESSIONS
from standins.soak.runner import run_soak

_MAX_LINES_SHOWN = 20


def main(arguments: Sequence[str]) -> int:
    """Run the soak for the given seeds; return 1 if one of them failed."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument(
        '--seeds', type=int, default=1, help='the number of seeds'
    )
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='also run the seeds that failed in the past',
    )
    options = parser.parse_args(arguments)
    seeds = range(options.seed, options.seed + options.seeds)
    runs = [(seed, options.seconds) for seed in seeds]
    if options.regressions:
        runs += [
            (regression.seed, regression.seconds) for regression in REGRESSIONS
        ]
    failed = [seed for seed, seconds in runs if not _has_passed(seed, seconds)]
    print(
        f'seeds that failed: {failed}'
        if failed
        else 'no invariant was violated'
    )
    return 1 if failed else 0


def _has_passed(seed: int, seconds: float) -> bool:
    violations = run_soak(seed, seconds)
    for line in violations[:_MAX_LINES_SHOWN]:
        print(f'  {line}', flush=True)
    return not violations


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
