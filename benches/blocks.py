"""Bytes per block and look-ups per second of the table of client blocks."""

import argparse
import ipaddress
import json
import random
import time
from collections.abc import Iterator, Sequence
from typing import Final

from toucanhall.steering.blocks import (
    Block,
    find_version4,
    find_zone,
    make_blocks,
)

_SIZES: Final = (3500, 35000, 350000, 3500000)
_ZONES: Final = 72
_LOOKUPS: Final = 300000
_BITS: Final = 32


def main(arguments: Sequence[str]) -> int:
    """Measure each size; print one line of JSON per size."""
    parser = argparse.ArgumentParser(prog='bench blocks')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    for size in _SIZES:
        print(json.dumps(measure(size, random.Random(options.seed))))
    return 0


def measure(size: int, rng: random.Random) -> dict[str, float]:
    """Build a table of some size and look up random addresses in it."""
    started = time.perf_counter()
    blocks = make_blocks(generate(size, rng), ())
    built = time.perf_counter() - started
    addresses = [rng.getrandbits(_BITS) for _ in range(_LOOKUPS)]
    started = time.perf_counter()
    for address in addresses:
        find_version4(blocks, address)
    seconds = time.perf_counter() - started
    texts = [str(ipaddress.ip_address(number)) for number in addresses]
    started = time.perf_counter()
    for text in texts:
        find_zone(blocks, text)
    text_seconds = time.perf_counter() - started
    table = blocks.version4
    room = sum(column.itemsize * len(column) for column in table)
    return {
        'blocks': size,
        'ranges': len(table.starts),
        'bytes': room,
        'bytes_per_block': round(room / size, 2),
        'build_s': round(built, 2),
        'lookups_per_s': round(_LOOKUPS / seconds),
        'text_lookups_per_s': round(_LOOKUPS / text_seconds),
    }


def generate(size: int, rng: random.Random) -> Iterator[Block]:
    """Yield blocks that lie side by side, of random zones."""
    step = (1 << _BITS) // size
    length = _BITS - (step.bit_length() - 1)
    width = 1 << (_BITS - length)
    for number in range(size):
        yield Block(number * width, length, f'zone-{rng.randrange(_ZONES)}')


if __name__ == '__main__':
    main(())
