"""Tests of the planner's cost, counted in jobs and workers that a pass examines."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cornelward.dispatch_plan import MAX_UNPLACED_JOBS
from tools.bench_planner import measure_planning


@pytest.mark.parametrize("workers", [24, 176])
def test_cost_of_pass_over_full_workers_does_not_grow_with_the_queue(workers):
    # Guards against a pass that examines each of 176 workers for each of 5,000
    # waiting jobs, which took 2.1 s per pass.
    short, long = measure_planning(workers, 2_000), measure_planning(workers, 5_000)
    assert_that(long.jobs_when_full, Equals(MAX_UNPLACED_JOBS))
    assert_that(long.examined_when_full, Equals(short.examined_when_full))
    assert_that(long.examined_when_full, LessThan(workers))


def test_workers_examined_per_start_less_than_double_with_seven_times_the_workers():
    few, many = measure_planning(24, 5_000), measure_planning(176, 5_000)
    assert_that(many.starts, GreaterThan(6 * few.starts))
    examined_per_start = few.examined / few.starts
    assert_that(many.examined / many.starts, LessThan(2 * examined_per_start))
