"""Runs one benchmark by name."""

import sys
from collections.abc import Callable, Sequence
from typing import Final

from benches import (
    blocks,
    capacity,
    catalogue,
    faults,
    footprint,
    limits,
    membership,
    placement,
    relay,
    spread,
    steering,
)

BENCHES: Final[dict[str, Callable[[Sequence[str]], int]]] = {
    'blocks': blocks.main,
    'capacity': capacity.main,
    'catalogue': catalogue.main,
    'faults': faults.main,
    'footprint': footprint.main,
    'limits': limits.main,
    'membership': membership.main,
    'placement': placement.main,
    'relay': relay.main,
    'spread': spread.main,
    'steering': steering.main,
}


def main(arguments: Sequence[str]) -> int:
    """Run the benchmark that the first argument names."""
    if arguments and arguments[0].startswith('--'):
        return steering.main(arguments)
    if not arguments or arguments[0] not in BENCHES:
        print(f'usage: bench NAME [options]; names: {sorted(BENCHES)}')
        return 2
    return BENCHES[arguments[0]](arguments[1:])


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
