"""Guards against slots that are counted as free too early, or never freed."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from cornelward import slots
from cornelward.request_classes import LONG, SHORT

REPORT = {"state": "live", "in_flight": 0}


def make_table(executors=1, count=4, reserved=1):
    table = slots.SlotTable(1)
    for index in range(executors):
        executor = slots.add_executor(table, f"x{index}", "s", "a", count, reserved)
        slots.set_ownership(table, executor, True, 0.0)
        slots.apply_health(table, executor, 0.0, 0.0, REPORT, 60.0)
    return table


@pytest.mark.proof
def test_new_owner_uses_no_slot_before_a_health_report_sent_after_claim_at():
    table = make_table()
    executor = table.executors["x0"]
    slots.set_ownership(table, executor, True, 5.0)
    slots.apply_health(table, executor, 4.9, 4.9, REPORT, 60.0)
    assert_that(slots.best_executor(table, "s", SHORT), Is(None))
    slots.apply_health(
        table, executor, 5.0, 5.0, {"state": "live", "in_flight": 3}, 60.0
    )
    assert_that(slots.free_slots(executor, SHORT), Equals(0))
    slots.review_orphans(table, executor, 7.0)
    assert_that(slots.free_slots(executor, SHORT), Equals(1))


@pytest.mark.proof
def test_orphan_is_freed_only_by_a_later_health_answer():
    """Guards against a report that is older than the orphan freeing its slot."""
    table = make_table()
    executor = table.executors["x0"]
    executor.next_hold_at = 100.0
    slots.start_run(table, executor, "r", SHORT, 1.0)
    slots.end_run(table, executor, "r", (3.0, 63.0))
    slots.apply_health(table, executor, 3.2, 3.2, REPORT, 60.0)
    assert_that(slots.free_slots(executor, SHORT), Equals(3))
    slots.apply_health(
        table, executor, 4.0, 4.0, {"state": "live", "in_flight": 1}, 60.0
    )
    assert_that(slots.free_slots(executor, SHORT), Equals(3))
    slots.apply_health(table, executor, 4.0, 4.0, REPORT, 60.0)
    assert_that(slots.free_slots(executor, SHORT), Equals(4))


@pytest.mark.proof
def test_run_whose_answer_is_pending_does_not_free_an_orphan():
    """Guards against subtracting a run that has ended on the executor.

    Its answer is still on the way, so the owner counts it although the report does not.
    """
    table = make_table(count=8)
    executor = table.executors["x0"]
    for name in "ab":
        slots.start_run(table, executor, name, SHORT, 1.0)
    slots.start_run(table, executor, "r", SHORT, 1.0)
    slots.end_run(table, executor, "r", (1.0, 63.0))
    slots.apply_health(table, executor, 4, 4, {"state": "live", "in_flight": 2}, 60.0)
    assert_that(slots.free_slots(executor, SHORT), Equals(5))
    slots.end_run(table, executor, "a")
    slots.review_orphans(table, executor, 6.0)
    assert_that(slots.free_slots(executor, SHORT), Equals(6))
    slots.apply_health(table, executor, 6, 6, {"state": "live", "in_flight": 1}, 60.0)
    slots.review_orphans(table, executor, 8.0)
    assert_that(slots.free_slots(executor, SHORT), Equals(7))


def test_orphan_ends_with_the_longest_run_time():
    table = make_table()
    executor = table.executors["x0"]
    slots.start_run(table, executor, "r", SHORT, 1.0)
    slots.end_run(table, executor, "r", (3.0, 63.0))
    executor.next_hold_at = 100.0
    slots.review_orphans(table, executor, 62.9)
    assert_that(slots.free_slots(executor, SHORT), Equals(3))
    slots.review_orphans(table, executor, 63.0)
    assert_that(slots.free_slots(executor, SHORT), Equals(4))


def test_long_work_leaves_the_reserved_slots():
    table = make_table(reserved=1)
    executor = table.executors["x0"]
    for name in "abc":
        slots.start_run(table, executor, name, LONG, 0.0)
    assert_that(slots.best_executor(table, "s", LONG), Is(None))
    assert_that(slots.best_executor(table, "s", SHORT), Is(executor))


def test_older_observed_state_does_not_replace_a_newer_one():
    """Guards against requests to a leaving executor after a late /health report."""
    table = make_table()
    executor = table.executors["x0"]
    slots.record_observed_state(table, executor, "leaving", 5.0)
    slots.apply_health(table, executor, 4.0, 4.0, REPORT, 60.0)
    assert_that(slots.best_executor(table, "s", SHORT), Is(None))


STEPS = st.lists(
    st.tuples(st.sampled_from(("start", "grant", "end", "return")), st.booleans()),
    max_size=80,
)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_index_agrees_with_a_scan(steps):
    table = make_table(3, 3, 1)
    runs, credits = [], []
    for number, (step, is_long) in enumerate(steps):
        cls = LONG if is_long else SHORT
        if step == "start":
            executor = slots.best_executor(table, "s", cls)
            if executor is not None:
                slots.start_run(table, executor, str(number), cls, 0.0)
                runs.append((executor, str(number)))
        elif step == "grant":
            credits += slots.grant(table, "s", cls, 2, ("e2", 1), 1.0)
        elif step == "end" and runs:
            slots.end_run(table, *runs.pop(0))
        elif step == "return" and credits:
            slots.return_credit(table, credits.pop(0).credit_id)
        for kind in (SHORT, LONG):
            free = [slots.free_slots(x, kind) for x in table.executors.values()]
            best = slots.best_executor(table, "s", kind)
            found = slots.free_slots(best, kind) if best else 0
            assert_that(
                (found, table.free.get(("s", kind), 0)), Equals((max(free), sum(free)))
            )
