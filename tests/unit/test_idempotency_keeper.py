"""Tests of claims in a store that loses replies, fails and delays writes."""

from freezegun import freeze_time
from returns.result import Failure, Success

from toucanhall import runtime
from toucanhall.idempotency import Keeper, Outcome, Verdict
from toucanhall.objectstore import Ambiguous, Conflict, Stored, Unavailable

CLAIM_NAME = 'claims/x'
OUTCOME = Outcome(201, (('ETag', '"x"'),), b'booked')
UNREACHABLE = Failure(Unavailable('down'))
REPLY_LOST = Failure(Ambiguous(CLAIM_NAME, 'no reply'))


class LossyStore:
    """One object; each call has the next fault of a list, then none."""

    def __init__(self, *faults):
        self.faults = list(faults)
        self.object = Stored(CLAIM_NAME, 0, b'')
        self.delayed = []
        self.calls = 0

    def read(self, _name):
        """Return the object."""
        return self._call_with_fault(lambda: Success(self.object))

    def write(self, _name, content, expected):
        """Write it if the version is the expected one."""

        def write_object():
            if self.object.version != expected:
                return Failure(Conflict(CLAIM_NAME, expected))
            self.object = Stored(CLAIM_NAME, expected + 1, content)
            return Success(expected + 1)

        return self._call_with_fault(write_object)

    def _call_with_fault(self, call):
        self.calls += 1
        fault = self.faults.pop(0) if self.faults else None
        if fault == 'delayed':
            self.delayed.append(call)
            return REPLY_LOST
        if fault == 'lost':
            call()
            return REPLY_LOST
        return fault or call()


def begin(keeper, digest='d', seconds=10):
    """Make a claim with a deadline in some seconds."""
    return keeper.begin(CLAIM_NAME, digest, runtime.read_clock() + seconds)


def test_key_is_claimed_once_and_its_outcome_returned():
    keeper = Keeper(platform=LossyStore())
    begun = begin(keeper)
    assert begun.verdict is Verdict.MINE
    assert begin(keeper).verdict is Verdict.OPEN
    keeper.finish(begun, OUTCOME)
    again = begin(keeper)
    assert (again.verdict, again.claim.outcome) == (Verdict.DONE, OUTCOME)
    assert begin(keeper, 'other').verdict is Verdict.MISMATCH


def test_own_claim_is_recognised_after_lost_reply():
    assert begin(Keeper(platform=LossyStore('lost'))).verdict is Verdict.MINE


def test_claim_refused_by_unreachable_store_is_not_retried():
    store = LossyStore(UNREACHABLE)
    keeper = Keeper(platform=store)
    assert begin(keeper).verdict is Verdict.UNCLAIMED
    keeper.settle()
    assert store.calls == 1


def test_delayed_claim_conflicts_after_release():
    store = LossyStore('delayed', UNREACHABLE)
    keeper = Keeper(platform=store)
    assert begin(keeper).verdict is Verdict.UNCLAIMED
    keeper.settle()
    assert isinstance(store.delayed[0](), Failure)
    assert begin(keeper).verdict is Verdict.MINE


def test_claim_written_with_delay_is_released():
    store = LossyStore('delayed', UNREACHABLE)
    keeper = Keeper(platform=store)
    assert begin(keeper).verdict is Verdict.UNCLAIMED
    store.delayed[0]()
    keeper.settle()
    assert begin(keeper).verdict is Verdict.MINE


def test_outcome_is_stored_once_store_is_reachable():
    store = LossyStore()
    keeper = Keeper(platform=store)
    begun = begin(keeper)
    store.faults = [UNREACHABLE, UNREACHABLE]
    keeper.finish(begun, OUTCOME)
    keeper.settle()
    assert begin(keeper).verdict is Verdict.OPEN
    keeper.settle()
    assert begin(keeper).claim.outcome == OUTCOME


def test_claim_made_after_deadline_is_released():
    store = LossyStore()
    keeper = Keeper(platform=store)
    with freeze_time() as clock:
        write = store.write

        def pause(*arguments):
            clock.tick(11)
            return write(*arguments)

        store.write = pause
        assert begin(keeper).verdict is Verdict.LATE
        store.write = write
        keeper.settle()
        assert begin(keeper).verdict is Verdict.MINE


def test_released_key_is_claimed_once():
    keeper = Keeper(platform=LossyStore())
    keeper.release(begin(keeper))
    assert begin(keeper).verdict is Verdict.MINE
    assert begin(keeper).verdict is Verdict.OPEN


def test_body_of_large_outcome_is_not_stored():
    keeper = Keeper(platform=LossyStore())
    keeper.finish(begin(keeper), OUTCOME._replace(body=bytes(300_000)))
    outcome = begin(keeper).claim.outcome
    assert (outcome.is_kept, outcome.body) == (False, b'')


def test_outcome_received_after_deadline_is_stored():
    """Releasing the claim instead would let a retry run a second time."""
    keeper = Keeper(platform=LossyStore())
    with freeze_time() as clock:
        begun = begin(keeper)
        clock.tick(11)
        keeper.finish(begun, OUTCOME)
        keeper.settle()
        assert begin(keeper).verdict is Verdict.DONE
