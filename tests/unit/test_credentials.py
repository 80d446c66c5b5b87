"""Tests of API keys: how they are found, checked and removed."""

import pytest

from tests.builders import make_catalogue, make_request
from toucanhall.forwarding import credentials

KEY = 'open sesame+1'


def make_granted():
    digest = credentials.digest_key(KEY)
    return make_catalogue(keys={'k': {'team': 'hostels', 'digest': digest}})


def find_booking_route(catalogue):
    return next(
        route for route in catalogue.routes if route.path == '/bookings'
    )


def test_key_identifies_its_team():
    catalogue = make_granted()
    request = make_request(headers=(('Authorization', f'Bearer {KEY}'),))
    identified = credentials.identify(
        catalogue,
        find_booking_route(catalogue),
        request,
    )
    assert identified.unwrap().team == 'hostels'


def test_withdrawn_key_is_refused():
    catalogue = make_granted()._replace(keys={})
    request = make_request(headers=(('X-Api-Key', KEY),))
    identified = credentials.identify(
        catalogue,
        find_booking_route(catalogue),
        request,
    )
    assert identified.failure().reason == 'key-unknown'


def test_key_is_removed_from_headers_and_query():
    query = 'a=1&k%65y=open+sesame%2B1&copy=open%20sesame%2B1&b=2'
    request = make_request(
        target=f'/tours/x?{query}',
        query=query,
        headers=(
            ('Authorization', f'Bearer {KEY}'),
            ('X-Api-Key', KEY),
            ('X-Copied', f'see {KEY}'),
            ('Accept', 'text/plain'),
        ),
    )
    stripped = credentials.strip_key(request, KEY)
    assert stripped.target == '/tours/x?a=1&b=2'
    assert stripped.headers == (('Accept', 'text/plain'),)


@pytest.mark.parametrize(
    'field',
    [
        'key=other',
        'k%65y=other',
        'k%2565y=other',
        'a=open+sesame%2B1',
        'a=open%20sesame%2b1',
        'a=open%2520sesame%252B1',
        'open%20sesame%2B1=a',
    ],
)
def test_query_field_with_a_key_is_removed(field):
    request = make_request(target=f'/tours/x?{field}&b=', query=f'{field}&b=')
    assert credentials.strip_key(request, KEY).target == '/tours/x?b='


@pytest.mark.parametrize(
    'header',
    [
        ('Authorization', 'Basic b3RoZXI='),
        ('AUTHORIZATION', f'Bearer {KEY}, Bearer {KEY}'),
        ('Cookie', 'a=1; session=open%20sesame%2B1'),
        ('Referer', 'http://a/?key=open%2520sesame%252B1'),
        ('Forwarded', f'for="{KEY}"'),
    ],
)
def test_header_with_a_key_is_removed(header):
    request = make_request(headers=(header, ('Cookie', 'b=2')))
    stripped = credentials.strip_key(request, KEY)
    assert stripped.headers == (('Cookie', 'b=2'),)


@pytest.mark.parametrize('query', ['', 'a=1&&b', 'a=%2F+x&b=%zz'])
def test_query_without_key_is_unchanged(query):
    target = f'/tours/x?{query}'
    request = make_request(target=target, query=query)
    assert credentials.strip_key(request, KEY) == request


def test_repeated_key_header_is_refused():
    """The server joins repeated headers by commas."""
    catalogue = make_granted()
    identified = credentials.identify(
        catalogue,
        find_booking_route(catalogue),
        make_request(headers=(('X-Api-Key', f'{KEY}, {KEY}'),)),
    )
    assert identified.failure().reason == 'key-unknown'
