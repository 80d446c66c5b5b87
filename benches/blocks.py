"""Size and look-up rate of the table of client address blocks."""

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

_BLOCK_COUNTS: Final = (3500, 35000, 350000, 3500000)
_ZONE_COUNT: Final = 72
_LOOKUP_COUNT: Final = 300000
_ADDRESS_BITS: Final = 32


def main(arguments: Sequence[str]) -> int:
    """Measure each table size; print a line of JSON for each."""
    parser = argparse.ArgumentParser(prog='bench blocks')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    for block_count in _BLOCK_COUNTS:
        print(json.dumps(measure(block_count, random.Random(options.seed))))
    return 0


def measure(block_count: int, rng: random.Random) -> dict[str, float]:
    """Build a table and look up random addresses in it."""
    started_at = time.perf_counter()
    blocks = make_blocks(generate_blocks(block_count, rng), ())
    build_seconds = time.perf_counter() - started_at
    addresses = [rng.getrandbits(_ADDRESS_BITS) for _ in range(_LOOKUP_COUNT)]
    started_at = time.perf_counter()
    for address in addresses:
        find_version4(blocks, address)
    lookup_seconds = time.perf_counter() - started_at
    texts = [str(ipaddress.ip_address(number)) for number in addresses]
    started_at = time.perf_counter()
    for text in texts:
        find_zone(blocks, text)
    text_lookup_seconds = time.perf_counter() - started_at
    table = blocks.version4
    table_bytes = sum(column.itemsize * len(column) for column in table)
    return {
        'blocks': block_count,
        'ranges': len(table.starts),
        'bytes': table_bytes,
        'bytes_per_block': round(table_bytes / block_count, 2),
        'build_s': round(build_seconds, 2),
        'lookups_per_s': round(_LOOKUP_COUNT / lookup_seconds),
        'text_lookups_per_s': round(_LOOKUP_COUNT / text_lookup_seconds),
    }


def generate_blocks(block_count: int, rng: random.Random) -> Iterator[Block]:
    """Yield adjacent blocks of equal size in random zones."""
    addresses_per_block = (1 << _ADDRESS_BITS) // block_count
    prefix_bits = _ADDRESS_BITS - (addresses_per_block.bit_length() - 1)
    block_addresses = 1 << (_ADDRESS_BITS - prefix_bits)
    for number in range(block_count):
        yield Block(
            number * block_addresses,
            prefix_bits,
            f'zone-{rng.randrange(_ZONE_COUNT)}',
        )


if __name__ == '__main__':
    main(())
