"""Tests of which workers are quarantined, and for how long."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.quarantine import (
    Quarantine,
    is_quarantined,
    record_failure,
    record_success,
)


def fail_jobs(quarantine, now, worker, jobs):
    return [record_failure(quarantine, now, worker, job, 20) for job in jobs]


def test_quarantine_doubles_while_jobs_fail_that_succeed_elsewhere():
    """Guards against quarantines of constant length for a worker that stays faulty."""
    quarantine = Quarantine()
    for job in "abc":
        record_success(quarantine, 0.0, "good", job, 20)
    assert_that(fail_jobs(quarantine, 0.0, "bad", "abc")[-1], Equals(False))
    assert_that(is_quarantined(quarantine, "bad", 59.0), Equals(True))
    assert_that(is_quarantined(quarantine, "bad", 61.0), Equals(False))
    fail_jobs(quarantine, 61.0, "bad", "abc")
    assert_that(is_quarantined(quarantine, "bad", 61.0 + 119.0), Equals(True))


def test_jobs_that_fail_on_every_worker_cause_no_long_quarantine():
    """Guards against faulty jobs that put every worker into quarantine.

    Only the short quarantine of a suspected worker is allowed, which has ended after
    6 s.
    """
    quarantine = Quarantine()
    for worker in ("w1", "w2", "w3"):
        fail_jobs(quarantine, 0.0, worker, "abc")
    quarantined = [is_quarantined(quarantine, w, 6.0) for w in ("w1", "w2", "w3")]
    assert_that(quarantined, Equals([False, False, False]))


def test_at_most_a_quarter_of_the_workers_is_quarantined():
    """Guards against a platform fault that puts every worker into quarantine.

    Every worker fails jobs of its own; only a quarter of the 20 may be quarantined.
    """
    quarantine = Quarantine()
    for number in range(20):
        fail_jobs(quarantine, 0.0, f"w{number}", [f"{number}{job}" for job in "abc"])
    quarantined = sum(is_quarantined(quarantine, f"w{n}", 1.0) for n in range(20))
    assert_that(quarantined, Equals(5))
