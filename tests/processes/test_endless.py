"""A VM as a real process whose targets send bytes without end."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site.deployment import Deployment
from toucanhall.observe import events

NET = 65
PEAK_BYTES = 64_000_000  # for a VM that may use 152 MB
ANSWERS = 100
QUICK_SECONDS = 1.0  # of a request of 10 ms beside them, on a busy machine


def drop_unaccepted(site, outcomes):
    """Return the outcomes without those whose target took no connection.

    A target that is busy with sending may accept too late on a busy machine;
    nothing was sent to it then, which is what its caller must be told.
    """
    unaccepted = {
        line['request']
        for line in site.find_events('vm-1', events.ATTEMPT_FAILED.number)
        if line['detail'].endswith('did not accept in time')
        and not line['may_have_run']
    }
    return [
        found
        for found in outcomes
        if found.body != 'not-run' or found.request_id not in unaccepted
    ]


@pytest.mark.parametrize(
    'kind',
    ('one header', 'header lines', 'body without a length', 'trailers'),
)
def test_memory_stays_bounded_with_a_hundred_answers_without_end(kind):
    with Deployment(net=NET) as site:
        site.add_endless_target('t1', kind)
        site.start_vm('vm-1')
        site.wait_ready()
        with ThreadPoolExecutor(ANSWERS) as pool:
            outcomes = list(
                pool.map(
                    lambda item: site.request('vm-1', item=str(item)),
                    range(ANSWERS),
                ),
            )
        outcomes = drop_unaccepted(site, outcomes)
        assert {found.status for found in outcomes} <= {502, 503}
        assert {found.body for found in outcomes} <= {
            'answer-lost',
            'targets-full',
        }
        assert 502 in {found.status for found in outcomes}
        assert site.read_peak_memory_bytes('vm-1') < PEAK_BYTES
        lines = site.find_events('vm-1', events.ATTEMPT_FAILED.number)
        assert any(' over ' in line['detail'] for line in lines)


@pytest.mark.parametrize('kind', ('one header', 'body with a length'))
def test_requests_to_other_targets_go_on(kind):
    with Deployment(net=NET) as site:
        site.add_endless_target('t1', kind)
        site.add_target('t2')
        site.add_target('t3')
        site.add_target('t4')
        site.start_vm('vm-1')
        site.wait_ready()
        # Repeats are limited: a VM that has just started has one.
        first = [site.request('vm-1', item=str(item)) for item in range(20)]
        first = drop_unaccepted(site, first)
        refused = {
            (found.status, found.body) for found in first if found.status != 200
        }
        assert refused <= {(502, 'answer-lost')}
        time.sleep(1.0)
        outcomes = [site.request('vm-1', item=str(item)) for item in range(60)]
        assert {found.status for found in outcomes} == {200}
        booked = [
            site.request('vm-1', '/book/1', method='POST', item=str(item))
            for item in range(40)
        ]
        assert {found.status for found in booked} <= {200, 502, 503}
        began = time.monotonic()
        assert site.request('vm-1', item='0').status == 200
        assert time.monotonic() - began < QUICK_SECONDS
