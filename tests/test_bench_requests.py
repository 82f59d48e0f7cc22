"""Targets of the request path, as ratios within a run and operation counts."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from tools import bench_requests
from tools.baselines import replay_fifo
from tools.traces import laurentides_morning, shahidi_month_end


def no_clock():
    """Return no time: these figures must not depend on the machine."""
    return 0.0


def compare(trace):
    """Return the figures of the router and of the baseline."""
    ours = bench_requests.replay_router(trace, no_clock)
    baseline = replay_fifo(trace, no_clock)
    return bench_requests.figures(trace, ours), bench_requests.figures(trace, baseline)


@pytest.fixture(scope="module")
def morning():
    return compare(laurentides_morning())


@pytest.fixture(scope="module")
def month_end():
    return compare(shahidi_month_end())


def test_twice_the_answers_within_deadline_at_the_crest(morning):
    """Guards against serving requests that are late already in a load peak."""
    ours, baseline = (figures["in deadline at crest"] for figures in morning)
    assert_that(ours, GreaterThan(2 * baseline))
    # At 1.5 times the capacity about two thirds can be served at all.
    assert_that(ours, GreaterThan(0.6))


def test_never_fewer_answers_within_deadline(month_end):
    """Guards against a policy that helps one trace at the cost of the other."""
    ours, baseline = (figures["in deadline at crest"] for figures in month_end)
    assert_that(ours, GreaterThan(baseline))


def test_short_work_does_not_wait_behind_long_work(month_end):
    """Guards against head-of-line blocking: a fifth of the baseline's p99 at most."""
    ours, baseline = (figures["short wait p99 ms"] for figures in month_end)
    assert_that(ours, LessThan(baseline / 5))


@pytest.mark.parametrize("trace", ["morning", "month_end"])
def test_less_traffic_between_regions(trace, request):
    """Guards against sending billed traffic although the own region has slots."""
    ours, baseline = (
        figures["between regions MB"] for figures in request.getfixturevalue(trace)
    )
    assert_that(ours, LessThan(baseline / 2))


def test_decision_cost_at_eight_times_the_executors(benchmark):
    """Guards against a decision that scans executors."""
    small = bench_requests.decision_cost(24, 500)
    large = benchmark.pedantic(bench_requests.decision_cost, (192, 500), rounds=1)
    for name in ("examined", "calls"):
        assert_that(large[name], LessThan(2 * small[name] + 1e-9))
    assert_that(large["examined"], LessThan(3))


def test_same_seed_gives_the_same_figures(morning):
    """Guards against figures that cannot be reproduced."""
    again = bench_requests.replay_router(laurentides_morning(), no_clock)
    figures = bench_requests.figures(laurentides_morning(), again)
    assert_that(figures, Equals(morning[0]))
