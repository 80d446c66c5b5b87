"""Tests of the membership actor when the platform raises an error."""

from types import SimpleNamespace

import pytest
from returns.result import Success

from tests.builders import make_heartbeat
from toucanhall.membership.actor import Beat, Heard, Membership, ReadList

SETTINGS = SimpleNamespace(vm='a', zone='north-a', address='127.2.0.1')


class Platform:
    """Raises an unexpected error on the first read, then lists no VM."""

    def __init__(self):
        self.reads = 0

    def list_vms(self, zone):
        self.reads += 1
        if self.reads == 1:
            raise AttributeError(f'no list of {zone}')
        return Success(())


@pytest.mark.parametrize('failing', (ReadList(), None))
def test_unexpected_error_does_not_stop_the_actor(failing):
    sent = []
    views = []
    actor = Membership.start(
        settings=SETTINGS,
        platform=Platform(),
        send=lambda address, _heartbeat: sent.append(address),
        redial=sent.remove,
        read_revision=int,
        publish=views.append,
    )
    try:
        actor.tell(failing)
        actor.tell(Heard('b', 's', make_heartbeat(address='127.2.0.2')))
        actor.tell(Beat())
        actor.tell(ReadList())
        actor.proxy().actor_urn.get(timeout=5)
    finally:
        actor.stop()
    assert sent == ['127.2.0.2']
    assert 'b' in views[-1].members
