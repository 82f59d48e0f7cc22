"""Outage detection.

Guards against an outage reported after a single lost response, and against lost
responses that are taken for refusals by the store.
"""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from cornelward.store_health import StoreHealth


def test_single_failure_does_not_count_as_failing():
    health = StoreHealth()
    health.record_outcome(1.0, "unknown")
    assert_that(health.is_failing, Is(False))
    assert_that(health.failing_s(5.0), Equals(0.0))


def test_failing_time_counts_from_the_first_failure_to_the_next_answered_call():
    health = StoreHealth()
    health.record_outcome(1.0, "unknown")
    health.record_outcome(2.0, "refused")
    assert_that(health.failing_s(5.0), Equals(4.0))
    health.record_outcome(6.0, "rows")
    assert_that(health.is_failing, Is(False))


def test_lost_responses_do_not_count_as_refusals():
    health = StoreHealth()
    for i in range(9):
        health.record_outcome(float(i), "unknown")
    assert_that(health.is_refused(9.0), Is(False))
    for i in range(9, 12):
        health.record_outcome(float(i), "refused")
    assert_that(health.is_refused(12.0), Is(True))


def test_store_is_unavailable_after_half_a_second_of_failures():
    health = StoreHealth()
    health.record_outcome(1.0, "unknown")
    health.record_outcome(1.2, "unknown")
    assert_that(health.is_unavailable(1.3), Is(False))
    assert_that(health.is_unavailable(1.6), Is(True))
    health.record_outcome(1.7, "applied")
    assert_that(health.is_unavailable(9.0), Is(False))
