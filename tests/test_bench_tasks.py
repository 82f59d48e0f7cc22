"""Design targets of the task core, by measures independent of the machine's speed."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from tools.bench_tasks import (
    decision_cost,
    measure_baseline,
    measure_core,
    measure_packing,
)
from tools.task_traces import misdeclared, month_end, route_rebuild


def p99_s(figures, cls):
    return figures.waits[cls].get_value_at_percentile(99) / 1000


def test_short_work_does_not_wait_behind_long_work():
    """Guards against short and urgent tasks that queue behind long ones.

    The 99th percentile of the wait must stay below a fifth of the baseline's for short
    tasks, and below 6.9 s for urgent ones.
    """
    trace = month_end()
    figures, baseline = measure_core(trace), measure_baseline(trace)
    assert_that(p99_s(figures, "short"), LessThan(p99_s(baseline, "short") / 5))
    assert_that(p99_s(figures, "urgent"), LessThan(6.9))
    assert_that(figures.unstarted, Equals({}))


def test_gangs_never_starve_among_services_and_batch_work():
    """Guards against a route rebuild that waits until all batch jobs have ended."""
    figures = measure_core(route_rebuild())
    assert_that(figures.waits["gang"].get_total_count(), Equals(64))
    assert_that(figures.unstarted, Equals({}))
    # Both gangs start long before the jobs that were queued with them have ended.
    assert_that(p99_s(figures, "gang"), LessThan(120.0))


def test_burst_is_packed_within_five_percent_of_the_lower_bound():
    """Guards against placement that spreads a burst of jobs over too many workers."""
    for seed in (4, 5, 6):
        used, bound = measure_packing(seed)
        assert_that(used, LessThan(bound * 1.05))


def test_decision_cost_at_most_doubles_at_eight_times_the_workers(benchmark):
    """Guards against a search that examines a fixed share of all workers."""
    _, most, mean = decision_cost(820, 9_200, decisions=1_000)
    _, most_large, mean_large = benchmark.pedantic(
        decision_cost, (6_560, 73_600), {"decisions": 1_000}, rounds=1
    )
    assert_that(mean_large, LessThan(2 * mean))
    assert_that(most_large, LessThan(2 * most + 1))
    assert_that(mean, LessThan(10.0))


def test_workers_are_not_overloaded_by_sizes_declared_too_small():
    """Guards against placement by declared sizes that ignores the reported usage."""
    trace = misdeclared()
    figures, baseline = measure_core(trace), measure_baseline(trace)
    assert_that(baseline.over_capacity, GreaterThan(0.0))
    assert_that(figures.over_capacity, LessThan(baseline.over_capacity / 2))
