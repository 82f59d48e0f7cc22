"""The task core as a whole, in virtual time."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.fixtures_tasks import cell, done_state, make_job

__all__ = ["cell"]


def test_job_runs_and_ends_with_one_final_record(cell):
    """Guards against jobs that never start, or whose rows stay behind."""
    cell.run(2)
    cell.submit(make_job("a", tasks=3))
    cell.run(15)
    assert_that(done_state(cell, "a"), Equals("succeeded"))
    left = [k for k in cell.table.rows if k.startswith(("jobs/", "inbox/"))]
    assert_that(left, Equals([]))
