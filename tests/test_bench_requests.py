"""Tests the router against its targets, by ratios to the baseline and by counts."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from tools import bench_requests
from tools.baselines import replay_fifo
from tools.traces import laurentides_morning, shahidi_month_end


def zero_clock():
    """Stand in for the clock, so that results do not depend on the machine."""
    return 0.0


def compare(trace):
    """Return the figures of the router and of the baseline for the same trace."""
    ours = bench_requests.replay_router(trace, zero_clock)
    baseline = replay_fifo(trace, zero_clock)
    return bench_requests.figures(trace, ours), bench_requests.figures(trace, baseline)


@pytest.fixture(scope="module")
def morning():
    return compare(laurentides_morning())


@pytest.fixture(scope="module")
def month_end():
    return compare(shahidi_month_end())


def test_router_meets_over_twice_as_many_deadlines_as_baseline_at_load_peak(morning):
    """Guards against serving requests that are already late during a load peak."""
    ours, baseline = (figures["in deadline at load peak"] for figures in morning)
    assert_that(ours, GreaterThan(2 * baseline))
    # The load peak is 1.5 times the capacity, so at best about two thirds of its
    # requests can be served.
    assert_that(ours, GreaterThan(0.6))


def test_router_meets_more_deadlines_than_baseline_at_month_end(month_end):
    """Guards against a policy that helps one trace at the expense of the other."""
    ours, baseline = (figures["in deadline at load peak"] for figures in month_end)
    assert_that(ours, GreaterThan(baseline))


def test_short_requests_do_not_wait_behind_long_ones(month_end):
    """Guards against head-of-line blocking: p99 is under a fifth of the baseline's."""
    ours, baseline = (figures["short wait p99 ms"] for figures in month_end)
    assert_that(ours, LessThan(baseline / 5))


@pytest.mark.parametrize("trace", ["morning", "month_end"])
def test_router_sends_under_half_the_traffic_between_regions(trace, request):
    """Guards against forwarding to another region while slots are free locally.

    Traffic between regions is billed.
    """
    ours, baseline = (
        figures["inter-region traffic MB"] for figures in request.getfixturevalue(trace)
    )
    assert_that(ours, LessThan(baseline / 2))


def test_decision_cost_less_than_doubles_with_eight_times_the_executors(benchmark):
    """Guards against routing decisions that scan all executors."""
    small = bench_requests.decision_cost(24, 500)
    large = benchmark.pedantic(bench_requests.decision_cost, (192, 500), rounds=1)
    for name in ("examined", "calls"):
        assert_that(large[name], LessThan(2 * small[name] + 1e-9))
    assert_that(large["examined"], LessThan(3))


def test_replay_of_same_seed_gives_same_figures(morning):
    """Guards against replays that cannot be reproduced."""
    again = bench_requests.replay_router(laurentides_morning(), zero_clock)
    figures = bench_requests.figures(laurentides_morning(), again)
    assert_that(figures, Equals(morning[0]))
