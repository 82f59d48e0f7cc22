"""Workers that are held back, and for how long."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.quarantine import (
    Quarantine,
    is_quarantined,
    record_failure,
    record_success,
)


def fail(quarantine, now, worker, jobs):
    return [record_failure(quarantine, now, worker, job, 20) for job in jobs]


def test_time_doubles_while_the_worker_fails_what_succeeds_elsewhere():
    """Guards against a bad worker that gets work again at a constant rate."""
    quarantine = Quarantine()
    for job in "abc":
        record_success(quarantine, 0.0, "good", job, 20)
    assert_that(fail(quarantine, 0.0, "bad", "abc")[-1], Equals(False))
    assert_that(is_quarantined(quarantine, "bad", 59.0), Equals(True))
    assert_that(is_quarantined(quarantine, "bad", 61.0), Equals(False))
    fail(quarantine, 61.0, "bad", "abc")
    assert_that(is_quarantined(quarantine, "bad", 61.0 + 119.0), Equals(True))


def test_jobs_that_fail_everywhere_are_not_the_workers_fault():
    """Guards against broken jobs that close the cell."""
    quarantine = Quarantine()
    for worker in ("w1", "w2", "w3"):
        fail(quarantine, 0.0, worker, "abc")
    held = [is_quarantined(quarantine, w, 6.0) for w in ("w1", "w2", "w3")]
    assert_that(held, Equals([False, False, False]))


def test_no_more_than_a_quarter_of_the_workers_is_held_back():
    """Guards against a fault of the platform that closes every worker."""
    quarantine = Quarantine()
    for number in range(20):
        fail(quarantine, 0.0, f"w{number}", [f"{number}{job}" for job in "abc"])
    held = sum(is_quarantined(quarantine, f"w{n}", 1.0) for n in range(20))
    assert_that(held, Equals(5))
