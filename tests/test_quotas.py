"""Tests of the usage, quotas and order of teams."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.capacity import Resources
from cornelward.jobs import JobTable, job_from_record
from cornelward.platform_client import Row
from cornelward.quotas import (
    TeamTable,
    add_team_usage,
    enqueue_job,
    quota_headroom,
    set_quotas,
    set_used_elsewhere,
)
from tests.fixtures_tasks import make_job

ONE_CPU = Resources(1.0, 100.0, 0.0)


def test_quota_headroom_counts_own_and_published_usage():
    """Guards against teams that exceed their quota by using several failure domains.

    Usage that other owners published counts, except this owner's own row.
    """
    teams = TeamTable()
    set_quotas(teams, {"t": {"cpu": 10}})
    add_team_usage(teams, "t", ONE_CPU, 3)
    row = Row("usage/b", {"teams": {"t": {"cpu": 4}}}, 1)
    set_used_elsewhere(
        teams, [row, Row("usage/a", {"teams": {"t": {"cpu": 9}}}, 1)], "usage/a"
    )
    assert_that(quota_headroom(teams, "t", ONE_CPU, 50), Equals(3))
    add_team_usage(teams, "t", ONE_CPU, -3)
    assert_that(quota_headroom(teams, "t", ONE_CPU, 50), Equals(6))


def test_teams_are_ordered_by_dominant_share():
    """Guards against a burst of jobs of one of 220 teams that delays the others."""
    teams = TeamTable()
    teams.total = Resources(100.0, 100_000.0, 0.0)
    jobs = JobTable()
    for number in range(220):
        name = f"t{number}"
        enqueue_job(teams, job_from_record(jobs, make_job(f"j{number}", team=name), 1))
        add_team_usage(teams, name, ONE_CPU, 220 - number)
    assert_that([name for _, name in teams.waiting][:2], Equals(["t219", "t218"]))
