"""Tests of the lookup of client addresses."""

import ipaddress

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import make_catalogue, make_document
from toucanhall.catalogue import read
from toucanhall.steering.blocks import (
    BlockIndex,
    find_zone,
    make_blocks,
    parse_blocks,
)

PREFIXES = st.dictionaries(
    st.builds(
        lambda number, length: str(
            ipaddress.ip_network((number, length), strict=False),
        ),
        st.integers(0, 2**32 - 1),
        st.integers(0, 32),
    ),
    st.sampled_from(('a', 'b', 'c')),
    max_size=12,
)


def build(prefixes):
    """Return the tables for a map from prefix to zone."""
    return make_blocks(*parse_blocks(prefixes))


def search(prefixes, address):
    """Return the zone of the longest prefix by a linear search."""
    parsed = ipaddress.ip_address(address)
    holding = [
        (ipaddress.ip_network(prefix).prefixlen, zone)
        for prefix, zone in prefixes.items()
        if parsed in ipaddress.ip_network(prefix)
    ]
    return max(holding, default=(0, ''))[1]


@given(PREFIXES, st.integers(0, 2**32 - 1))
def test_longest_block_wins(prefixes, number):
    blocks = build(prefixes)
    edges = [int(ipaddress.ip_network(one)[0]) for one in prefixes]
    edges += [int(ipaddress.ip_network(one)[-1]) for one in prefixes]
    for edge in (number, *edges):
        address = str(ipaddress.IPv4Address(edge))
        assert find_zone(blocks, address) == search(prefixes, address)


def test_index_follows_the_catalogue():
    index = BlockIndex()
    assert index.find('10.0.0.1') == ''
    blocks = {'10.0.0.0/8': 'north-a', '10.0.0.0/24': 'south-a'}
    index.size(make_catalogue(blocks=blocks).blocks)
    assert index.find('10.0.0.1') == 'south-a'
    assert index.find('10.9.0.1') == 'north-a'


def test_catalogue_error_names_the_invalid_block():
    document = make_document(blocks={'10.0.0.0/99': 'north-a'})
    assert read(document).failure()[0].path == '$.blocks.10.0.0.0/99'


def test_ipv4_and_ipv6_blocks_are_kept_apart():
    blocks = build({'10.0.0.0/8': 'a', '2001:db8::/32': 'b', 'a00::/8': 'c'})
    assert find_zone(blocks, '10.1.2.3') == 'a'
    assert find_zone(blocks, '::ffff:10.1.2.3') == 'a'
    assert find_zone(blocks, '2001:db8::1') == 'b'
    assert find_zone(blocks, '2001:db9::1') == ''
    assert find_zone(blocks, '11.0.0.1') == ''
