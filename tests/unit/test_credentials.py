"""Tests of keys: finding them, judging them, and removing them."""

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


def test_key_names_its_team():
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


def test_key_is_removed_wherever_it_stood():
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
