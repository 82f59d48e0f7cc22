"""Tests of placement policies, reservations and backfill."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from cornelward.capacity import Resources, add_allocation
from cornelward.jobs import JobTable, job_from_record
from cornelward.placement import best_fit, place_gang, spread_fit
from cornelward.reservations import make_reservation, may_backfill, reserve_worker
from cornelward.run_times import RunTimes, expected_end, observe_run
from tests.fixtures_tasks import make_job
from tests.test_capacity import make_table

FOUR_CPUS = Resources(4.0, 100.0, 0.0)


def any_worker(worker):
    return True


def test_gang_that_does_not_fit_leaves_no_allocations():
    """Guards against allocations that remain when only a part of a gang fits."""
    table = make_table([Resources(8.0, 1_000.0, 0.0)] * 2)
    assert_that(place_gang(table, FOUR_CPUS, list("abcde"), any_worker), Is(None))
    assert_that([w.free.cpu for w in table.by_id.values()], Equals([8.0, 8.0]))
    workers = place_gang(table, FOUR_CPUS, list("abcd"), any_worker)
    assert_that(sorted(w.id for w in workers), Equals(["w0", "w0", "w1", "w1"]))


def test_spread_prefers_racks_without_a_task_of_the_job():
    """Guards against a service whose tasks all go to one rack by best fit."""
    table = make_table([Resources(8.0, 1_000.0, 0.0)] * 3)
    for number, worker in enumerate(table.by_id.values()):
        worker.rack = f"r{number}"
    counts = {"r0": 2, "r2": 1}
    worker = spread_fit(table, FOUR_CPUS, any_worker, counts)
    assert_that(worker.id, Equals("w1"))


def test_reserved_worker_is_used_only_by_its_owner():
    """Guards against other jobs on a worker that is reserved for a waiting gang."""
    table = make_table([Resources(8.0, 1_000.0, 0.0)])
    reserve_worker(table, table.by_id["w0"], "gang")
    assert_that(best_fit(table, FOUR_CPUS, any_worker), Is(None))
    found = best_fit(table, FOUR_CPUS, any_worker, lambda w: w.reserved == "gang")
    assert_that(found.id, Equals("w0"))


def test_reservation_follows_observed_run_times_and_bounds_backfill():
    """Guards against wrong reservations, and backfill that delays the reserved start.

    The start must follow from observed run times, because declared ones are wrong, and
    a repeated reservation must not move it to a later time.
    """
    table = make_table([Resources(8.0, 1_000.0, 0.0)] * 2)
    jobs, times, assigned = JobTable(), RunTimes(), {}
    for _ in range(3):
        observe_run(times, "w", 20.0)
    running = job_from_record(jobs, make_job("run", tasks=2, cpu=8), 1)
    for task, worker, started in zip(
        running.tasks, ("w0", "w1"), (0.0, 5.0), strict=True
    ):
        task.started_at = started
        assigned[worker] = {task.name: task}
        add_allocation(table, table.by_id[worker], task.key, running.demand)
    gang = job_from_record(jobs, make_job("gang", tasks=2, cpu=8, type="gang"), 1)
    reservation = make_reservation(table, assigned, times, 6.0, gang)
    assert_that(
        (reservation.start_at, reservation.workers), Equals((25.0, {"w0", "w1"}))
    )
    assert_that(may_backfill(times, reservation, 5.0, running), Equals(True))
    assert_that(may_backfill(times, reservation, 5.1, running), Equals(False))
    later = make_reservation(table, assigned, times, 24.0, gang, reservation)
    assert_that(later.start_at, Equals(25.0))


def test_straggler_is_expected_to_run_as_long_again():
    """Guards against reservations that expect an overdue task to end at any moment."""
    times = RunTimes()
    for _ in range(3):
        observe_run(times, "w", 20.0)
    assert_that(expected_end(times, "w", 0.0, 100.0), Equals(200.0))
