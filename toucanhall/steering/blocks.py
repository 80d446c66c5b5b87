"""Finds the zone nearest to a client address by longest-prefix match."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple

__all__ = (
    'Block',
    'BlockIndex',
    'Blocks',
    'find_zone',
    'make_blocks',
    'parse_blocks',
)

_NO_ZONE: Final = 0
_V4_BITS: Final = 32
_V6_BITS: Final = 128
_V6_INDEXED_BITS: Final = 64
_V4_TYPECODE: Final = 'I'
_V6_TYPECODE: Final = 'Q'
_ZONE_TYPECODE: Final = 'H'


class Block(NamedTuple):
    """A block of one IP version: first address, prefix length, zone."""

    first: int
    length: int
    zone: str


class _Table(NamedTuple):
    """Address ranges in order: first address and zone number of each."""

    starts: 'array[int]'
    zones: 'array[int]'


class Blocks(NamedTuple):
    """A table per IP version; zone number 0 means that no block matches."""

    version4: _Table
    version6: _Table
    zones: tuple[str, ...]


def parse_blocks(
    prefixes: Mapping[str, str],
) -> tuple[tuple[Block, ...], tuple[Block, ...]]:
    """Return the IPv4 and the IPv6 blocks of a map from prefix to zone."""
    parsed: dict[int, list[Block]] = {4: [], 6: []}
    for prefix, zone in prefixes.items():
        network = ipaddress.ip_network(prefix)
        first = int(network.network_address)
        parsed[network.version].append(Block(first, network.prefixlen, zone))
    return tuple(parsed[4]), tuple(parsed[6])


def make_blocks(
    version4: Iterable[Block],
    version6: Iterable[Block],
) -> Blocks:
    """Return the tables for blocks, which may be nested.

    Only the first 64 bits of IPv6 addresses are indexed. A longer prefix
    counts as the /64 that contains it.
    """
    numbers: dict[str, int] = {}
    table4 = _make_table(version4, _V4_BITS, _V4_BITS, _V4_TYPECODE, numbers)
    table6 = _make_table(
        version6, _V6_BITS, _V6_INDEXED_BITS, _V6_TYPECODE, numbers
    )
    return Blocks(table4, table6, ('', *numbers))


def find_zone(blocks: Blocks, address: str) -> str:
    """Return the zone of the longest block that contains an address, or ''."""
    parsed = ipaddress.ip_address(address)
    if parsed.version == 4:
        return find_version4(blocks, int(parsed))
    mapped = getattr(parsed, 'ipv4_mapped', None)
    if mapped is not None:
        return find_version4(blocks, int(mapped))
    indexed = int(parsed) >> (_V6_BITS - _V6_INDEXED_BITS)
    return blocks.zones[_find_zone_number(blocks.version6, indexed)]


def find_version4(blocks: Blocks, number: int) -> str:
    """Return the zone of an IPv4 address given as an integer, or ''."""
    return blocks.zones[_find_zone_number(blocks.version4, number)]


def _find_zone_number(table: _Table, number: int) -> int:
    index = bisect_right(table.starts, number) - 1
    return table.zones[index] if index >= 0 else _NO_ZONE


def _make_table(
    blocks: Iterable[Block],
    bits: int,
    indexed: int,
    typecode: str,
    numbers: dict[str, int],
) -> _Table:
    table = _Table(array(typecode), array(_ZONE_TYPECODE))
    for start, number in _flatten(sorted(blocks), bits, numbers):
        _append(table, start >> (bits - indexed), number)
    return table


def _append(table: _Table, start: int, number: int) -> None:
    if table.starts and table.starts[-1] == start:
        table.zones[-1] = number
    elif not table.zones or table.zones[-1] != number:
        table.starts.append(start)
        table.zones.append(number)


def _flatten(
    blocks: Iterable[Block],
    bits: int,
    numbers: dict[str, int],
) -> Iterator[tuple[int, int]]:
    """Yield each address where the innermost block changes, and its zone."""
    outer: list[tuple[int, int]] = [(1 << bits, _NO_ZONE)]
    for block in blocks:
        yield from _close(outer, block.first)
        number = numbers.setdefault(block.zone, len(numbers) + 1)
        outer.append((block.first + (1 << (bits - block.length)), number))
        yield block.first, number
    yield from _close(outer, (1 << bits) - 1)


def _close(
    outer: list[tuple[int, int]],
    until: int,
) -> Iterator[tuple[int, int]]:
    while outer[-1][0] <= until:
        end, _ = outer.pop()
        yield end, outer[-1][1]


class BlockIndex:
    """The tables of the revision in force.

    They are replaced as a whole, so that readers need no lock.
    """

    def __init__(self) -> None:
        """Create an index without blocks."""
        self._prefixes: Mapping[str, str] = {}
        self._blocks = make_blocks((), ())

    def size(self, prefixes: Mapping[str, str]) -> None:
        """Rebuild the tables if the blocks of the catalogue changed."""
        if prefixes != self._prefixes:
            self._blocks = make_blocks(*parse_blocks(prefixes))
            self._prefixes = prefixes

    def find(self, address: str) -> str:
        """Return the zone nearest to a client address, or '' if unknown."""
        return find_zone(self._blocks, address)
