"""Guards against short requests queued with long ones, and the reverse."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.request_classes import (
    LONG,
    SHORT,
    ClassTable,
    class_of,
    record_run_time,
)


def table_after(*runs, table=None):
    table = table or ClassTable()
    for run_s in runs:
        record_run_time(table, "quotes", "op", run_s, 0.5)
    return table


def test_class_follows_observed_run_times():
    assert_that(class_of(ClassTable(), "quotes", "op"), Equals(SHORT))
    assert_that(class_of(table_after(2.0), "quotes", "op"), Equals(LONG))
    table = table_after(*[0.1] * 5, *[2.0] * 20)
    assert_that(class_of(table, "quotes", "op"), Equals(LONG))


def test_rare_slow_runs_do_not_change_the_class():
    table = table_after(*([0.1] * 19 + [5.0]) * 10)
    assert_that(class_of(table, "quotes", "op"), Equals(SHORT))


def test_class_does_not_alternate_around_the_threshold():
    table = table_after(2.0)
    classes = set()
    for _ in range(200):
        table_after(0.45, 0.45, 0.45, 0.55, table=table)
        classes.add(class_of(table, "quotes", "op"))
    assert_that(classes, Equals({LONG}))
    table_after(*[0.01] * 400, table=table)
    assert_that(class_of(table, "quotes", "op"), Equals(SHORT))
