"""Plays random faults by seed and tells which promises were broken."""

import argparse
import sys
from collections.abc import Sequence

from standins.soak.runner import run_soak
from standins.soak.regressions import REGRESSIONS

_LINES_SHOWN = 20


def main(arguments: Sequence[str]) -> int:
    """Play the seeds that are asked for; return 1 if one was wrong."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='play the seeds that failed before as well',
    )
    options = parser.parse_args(arguments)
    seeds = range(options.seed, options.seed + options.seeds)
    runs = [(seed, options.seconds) for seed in seeds]
    if options.regressions:
        runs += [(found.seed, found.seconds) for found in REGRESSIONS]
    failed = [seed for seed, seconds in runs if not _is_kept(seed, seconds)]
    print(f'seeds that failed: {failed}' if failed else 'no promise was broken')
    return 1 if failed else 0


def _is_kept(seed: int, seconds: float) -> bool:
    wrong = run_soak(seed, seconds)
    for line in wrong[:_LINES_SHOWN]:
        print(f'  {line}', flush=True)
    return not wrong


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
