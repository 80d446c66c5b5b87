"""Tests of claims against a store that loses, refuses and delays."""

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
    """One object; each call meets the next fault, or none when they end."""

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
    """Begin a claim that is given up after some seconds."""
    return keeper.begin(CLAIM_NAME, digest, runtime.read_clock() + seconds)


def test_claim_is_made_once_and_its_outcome_replayed():
    keeper = Keeper(platform=LossyStore())
    begun = begin(keeper)
    assert begun.verdict is Verdict.MINE
    assert begin(keeper).verdict is Verdict.OPEN
    keeper.finish(begun, OUTCOME)
    again = begin(keeper)
    assert (again.verdict, again.claim.outcome) == (Verdict.DONE, OUTCOME)
    assert begin(keeper, 'other').verdict is Verdict.MISMATCH


def test_lost_reply_is_settled_by_the_claim_id():
    assert begin(Keeper(platform=LossyStore('lost'))).verdict is Verdict.MINE


def test_store_down_owes_nothing():
    store = LossyStore(UNREACHABLE)
    keeper = Keeper(platform=store)
    assert begin(keeper).verdict is Verdict.UNCLAIMED
    keeper.settle()
    assert store.calls == 1


def test_late_write_of_a_refused_request_is_fenced():
    store = LossyStore('delayed', UNREACHABLE)
    keeper = Keeper(platform=store)
    assert begin(keeper).verdict is Verdict.UNCLAIMED
    keeper.settle()
    assert isinstance(store.delayed[0](), Failure)
    assert begin(keeper).verdict is Verdict.MINE


def test_late_write_that_landed_is_released():
    store = LossyStore('delayed', UNREACHABLE)
    keeper = Keeper(platform=store)
    assert begin(keeper).verdict is Verdict.UNCLAIMED
    store.delayed[0]()
    keeper.settle()
    assert begin(keeper).verdict is Verdict.MINE


def test_outcome_that_was_not_stored_is_stored_later():
    store = LossyStore()
    keeper = Keeper(platform=store)
    begun = begin(keeper)
    store.faults = [UNREACHABLE, UNREACHABLE]
    keeper.finish(begun, OUTCOME)
    keeper.settle()
    assert begin(keeper).verdict is Verdict.OPEN
    keeper.settle()
    assert begin(keeper).claim.outcome == OUTCOME


def test_claim_made_after_the_deadline_is_given_back():
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


def test_released_claim_is_taken_by_one():
    keeper = Keeper(platform=LossyStore())
    keeper.release(begin(keeper))
    assert begin(keeper).verdict is Verdict.MINE
    assert begin(keeper).verdict is Verdict.OPEN


def test_large_outcome_is_not_kept():
    keeper = Keeper(platform=LossyStore())
    keeper.finish(begin(keeper), OUTCOME._replace(body=bytes(300_000)))
    outcome = begin(keeper).claim.outcome
    assert (outcome.is_kept, outcome.body) == (False, b'')


def test_answer_that_came_at_the_deadline_is_stored():
    """A release here would let a repeat run a second time."""
    keeper = Keeper(platform=LossyStore())
    with freeze_time() as clock:
        begun = begin(keeper)
        clock.tick(11)
        keeper.finish(begun, OUTCOME)
        keeper.settle()
        assert begin(keeper).verdict is Verdict.DONE
