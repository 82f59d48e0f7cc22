"""Tests of what counts as a failed run of a gang beside other events of its run.

They guard against a job shown as failed although it had attempts left, and against runs
after the last attempt: with members that end as done, workers that crash or are cut
off, new leaders, and records of other releases.
"""

import msgspec
import pytest
from fixtures_crashes import live_workers
from fixtures_dispatch import WAITING_SEEDS, Sim, make_worker, steps_of
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cornelward import commits, dispatch, dispatch_runs
from cornelward.job_records import decode_record
from cornelward.staged_jobs import Queue

JOB = "a" * 16
STEP = f"{JOB}.0.0"
SEEDS = [0, 1, WAITING_SEEDS[0]]
# Longer than a crash after a start counts as quick.
SPAN_S = 1.4


def queue_of(max_attempts):
    return Queue("q", "svc", 1, max_attempts, 2.0, 1.0)


def all_fail(attempt):
    return ["failed"] * 4


def start_cell(
    seed, members, max_attempts, hows, *, spare=0, rack_size=1, gang=True, **fields
):
    """Submit a gang with one member a worker; each run ends as ``hows(attempt)`` says.

    A run of which no member is to fail ends as done.
    """
    sim = Sim(seed, workers=0)
    sim.fail_share = 0.0
    for i in range(members + spare):
        sim.add_worker(make_worker(f"w{i}", rack=f"r{i // rack_size}"))
    sim.failing_jobs = {JOB}
    sim.draw_gang_ends = lambda name, attempt, count: list(hows(attempt))
    sim.gang_end_delays = lambda name, attempt, count: [0.0, 0.02, 0.1, 0.0][:count]
    sim.start_leader()
    sim.run(1.0)
    shape = {"estimate_s": SPAN_S, "max_per_worker": 1} | fields
    sim.submit(JOB, steps_of(members, gang=gang, **shape), queue_of(max_attempts))
    return sim


def replace_leader(sim):
    sim.leader.dead = True
    sim.run(sim.rng.uniform(0.05, 0.3))
    sim.start_leader()


def run_until(sim, is_true, seconds=30.0):
    """Advance the cell in steps of 10 ms until ``is_true()``."""
    for _ in range(int(seconds * 100)):
        if is_true():
            return
        sim.run(0.01)
    raise AssertionError(f"not true by {sim.now:.2f}")


def failed_runs(sim):
    return sim.attempts.failed.get(STEP, set())


def noted_runs(sim):
    return sim.attempts.noted.get(STEP, set())


def begun_runs(sim):
    return {attempt for name, attempt in sim.begun_gangs if name == STEP}


def highest_run(sim):
    """Return the highest number of a run that three members or more are in."""
    numbers = [n for worker in sim.workers.values() for _, n in worker.running]
    return max((n for n in numbers if numbers.count(n) >= 3), default=0)


def is_ended(sim):
    return JOB not in sim.leader.core.jobs


def highest_begun(sim):
    return max(begun_runs(sim))


def assert_failed_by_its_attempts(sim, max_attempts):
    """Check that the job failed, by as many runs as the rules ask for.

    Ends that were void or lost with their worker need not be counted.
    """
    assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("failed"))
    assert_that(len(failed_runs(sim)), GreaterThan(max_attempts - 1))
    assert_that(len(noted_runs(sim)), LessThan(max_attempts + 1))
    assert_that(sim.violations, Equals([]))


def worker_of_member(sim, index, attempt=1):
    """Return the worker that has a member of one of the gang's runs, or had it."""
    key = f"{STEP}.{index}", attempt
    (found,) = [
        worker
        for worker in sim.workers.values()
        if key in worker.running or worker.closed_attempts.get(key[0]) == attempt
    ]
    return found


# Paths of a member that ended as done


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
@pytest.mark.parametrize("members", [2, 4])
@pytest.mark.parametrize("last", [False, True], ids=["first", "last"])
@pytest.mark.parametrize("max_attempts", [2, 3])
def test_members_that_fail_beside_one_that_is_done_fail_no_job(
    seed, changes, members, last, max_attempts
):
    # One done end stands for all, in whatever order the ends are read.
    hows = ["failed"] * (members - 1)
    hows = [*hows, "done"] if last else ["done", *hows]
    sim = start_cell(seed, members, max_attempts, lambda attempt: hows)
    run_until(sim, lambda: failed_runs(sim))
    sim.run(sim.rng.uniform(0.0, 0.15))
    if changes:
        replace_leader(sim)
    sim.run(20.0)
    assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("completed"))
    assert_that(begun_runs(sim), Equals({1}))
    assert_that(sim.violations, Equals([]))


# Paths of workers that crash


def crash_under_the_gang(sim, count):
    """Crash ``count`` of the workers with members at once, those of one rack."""
    victims = [w for w in sim.workers.values() if w.running]
    for worker in victims[:count]:
        worker.crash(sim.rng.uniform(3.0, 3.5), sim.next_worker_id())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
@pytest.mark.parametrize("crashed", [1, 3], ids=["worker", "rack"])
@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_crashes_beside_failed_members_are_no_failed_runs(
    seed, changes, crashed, max_attempts
):
    # They come up to 0.1 s before or after the ends of the run.
    sim = start_cell(seed, 4, max_attempts, all_fail, spare=4, rack_size=4)
    for number in range(3):
        run_until(sim, lambda n=number: len(begun_runs(sim)) > n or is_ended(sim))
        if is_ended(sim):
            break
        sim.run(SPAN_S + sim.rng.uniform(-0.1, 0.12))
        crash_under_the_gang(sim, crashed)
        if changes:
            replace_leader(sim)
    sim.run(40.0)
    assert_failed_by_its_attempts(sim, max_attempts)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
@pytest.mark.parametrize(
    ("gang", "losses", "after_s"),
    [(g, n, s) for g in (True, False) for n, s in ((1, 0.1), (1, 1.2), (2, 1.2))]
    + [(True, 3, 1.2)],
)
def test_rack_lost_under_three_members_uses_up_no_attempt(
    seed, changes, gang, losses, after_s
):
    # Three crashes at once are one crash of each member, as of tasks by themselves.
    shape = {"spare": 4, "rack_size": 4, "gang": gang, "estimate_s": 2.8}
    sim = start_cell(seed, 4, 1, all_fail, **shape)
    sim.failing_jobs = set()
    for number in range(losses):
        run_until(sim, lambda n=number: highest_run(sim) > n)
        sim.run(after_s)
        crash_under_the_gang(sim, 3)
        if changes:
            replace_leader(sim)
    sim.run(40.0)
    assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("completed"))
    by_task = sim.crashes.by_task
    assert_that(max(by_task.values()), LessThan(losses + 1))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
@pytest.mark.parametrize("how", ["failed", "broken"])
def test_run_that_has_failed_is_no_crash_of_its_members_too(seed, changes, how):
    # A worker restarts before it can list its member's end; run 2 has a real crash.
    sim = start_cell(
        seed,
        4,
        3,
        lambda attempt: ["failed"] * 3 + [how] if attempt == 1 else ["done"] * 4,
        spare=4,
        rack_size=4,
        estimate_s=0.8,
    )
    run_until(sim, lambda: begun_runs(sim))
    lost = worker_of_member(sim, 3)
    sim.run(0.5)
    lost.silent = True
    run_until(sim, lambda: is_counted(sim))
    sim.run(0.3)
    lost.restart(2)
    lost.silent = False
    if changes:
        replace_leader(sim)
    run_until(sim, lambda: len(begun_runs(sim)) > 1)
    sim.run(0.1)
    again = worker_of_member(sim, 3, highest_begun(sim))
    again.crash(3.0, sim.next_worker_id())
    sim.run(40.0)
    assert_that(sim.crashes.by_task[f"{STEP}.3"], Equals(1))
    assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("completed"))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
def test_crash_that_is_seen_before_the_failed_ends_of_its_run_is_not_counted_too(
    seed, changes
):
    # A worker restarts before it can list its member's end; other ends come later.
    hows = {1: ["failed"] * 4}
    sim = start_cell(
        seed,
        4,
        3,
        lambda attempt: hows.get(attempt, ["done"] * 4),
        spare=4,
        rack_size=4,
        estimate_s=0.8,
    )
    run_until(sim, lambda: begun_runs(sim))
    lost, *others = [worker_of_member(sim, index) for index in (3, 0, 1, 2)]
    sim.run(0.5)
    for worker in (lost, *others):
        worker.silent = True
    sim.run(0.7)
    lost.restart(2)
    lost.silent = False
    run_until(sim, lambda: sim.leader.core.jobs[JOB].tasks[0, 0][3].crashes)
    for worker in others:
        worker.silent = False
    run_until(sim, lambda: is_counted(sim))
    if changes:
        replace_leader(sim)
    run_until(sim, lambda: len(begun_runs(sim)) > 1)
    sim.run(0.1)
    again = worker_of_member(sim, 3, highest_begun(sim))
    again.crash(3.0, sim.next_worker_id())
    sim.run(40.0)
    assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("completed"))
    assert_that(sim.violations, Equals([]))


# Paths of a worker that is cut off


def watch_ends(monkeypatch):
    """Return lists of the runs that count as failed, and of the ends with no run."""
    counted, unknown = [], []
    count, ignore = dispatch_runs._task_failed, dispatch_runs._handle_end_of_unknown_run

    def task_failed(state, now, run):
        counted.append(run.attempt)
        count(state, now, run)

    def end_of_unknown_run(state, worker, number, key):
        unknown.append(key)
        ignore(state, worker, number, key)

    monkeypatch.setattr(dispatch_runs, "_task_failed", task_failed)
    monkeypatch.setattr(dispatch_runs, "_handle_end_of_unknown_run", end_of_unknown_run)
    return counted, unknown


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
@pytest.mark.parametrize("members", [2, 4])
@pytest.mark.parametrize("others_fail", [False, True], ids=["alone", "all"])
@pytest.mark.parametrize("back", ["begun", "failed"])
@pytest.mark.parametrize("max_attempts", [2, 3])
def test_end_listed_a_run_late_is_not_counted(
    monkeypatch, seed, changes, members, others_fail, back, max_attempts
):
    # The worker of a member that fails is back once run 2 has begun, or has failed.
    other = "failed" if others_fail else "broken"
    sim = start_cell(
        seed,
        members,
        max_attempts,
        lambda attempt: [other] * (members - 1) + ["failed"],
        spare=1,
    )
    counted, unknown = watch_ends(monkeypatch)
    run_until(sim, lambda: begun_runs(sim))
    cut = worker_of_member(sim, members - 1)
    # Its lease must not end before the run does.
    sim.run(SPAN_S - 0.3)
    cut.silent = True
    run_until(sim, lambda: 2 in begun_runs(sim))
    if back == "failed":
        run_until(sim, lambda: 2 in counted or is_ended(sim))
    if changes:
        sim.leader.dead = True
    cut.silent = False
    if changes:
        sim.run(0.1)
        sim.start_leader()
    sim.run(60.0)
    assert_that(1 in failed_runs(sim), Equals(True))
    late = (f"{STEP}.{members - 1}", 1)
    assert_that(late in unknown, Equals(True))
    # No end is counted after that of a later run.
    assert_that(counted, Equals(sorted(counted)))
    assert_failed_by_its_attempts(sim, max_attempts)


# Paths of a successor


def is_recorded(sim):
    """Return whether the store has the failed run in the job's record."""
    value, _ = sim.store.rows.get((commits.partition_of(JOB), "runs", JOB), (None, 0))
    record = decode_record(value)
    return record is not None and any(row.failures for row in record.tasks)


def is_counted(sim):
    job = sim.leader.core.jobs.get(JOB)
    return job is None or bool(job.failed_gang_runs)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("members", [2, 4])
@pytest.mark.parametrize("recorded", [False, True], ids=["counted", "recorded"])
@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_successor_reads_a_list_that_was_counted(seed, members, recorded, max_attempts):
    # No end is acknowledged before the leader ends.
    sim = start_cell(seed, members, max_attempts, lambda attempt: ["failed"] * members)
    sim.store.delay_s = 0.05
    for number in range(max_attempts):
        run_until(sim, lambda n=number: len(begun_runs(sim)) > n)
        run_until(sim, lambda: is_counted(sim))
        if recorded:
            run_until(sim, lambda: is_recorded(sim) or is_ended(sim))
        sim.leader.dead = True
        sim.run(0.1)
        sim.start_leader()
    sim.run(40.0)
    assert_failed_by_its_attempts(sim, max_attempts)
    assert_that(len(failed_runs(sim)), Equals(max_attempts))


# Paths of gangs that are as wide as the cell, of several gangs, and of cancelled ones


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
@pytest.mark.parametrize("members", [2, 4])
@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_gang_one_wider_than_the_workers_left_uses_up_its_attempts(
    seed, changes, members, max_attempts
):
    # A worker is lost as each run ends, and the gang waits until another has come.
    sim = start_cell(seed, members, max_attempts, lambda attempt: ["failed"] * members)
    for number in range(max_attempts):
        run_until(sim, lambda n=number: len(begun_runs(sim)) > n)
        run_until(sim, lambda n=number: len(failed_runs(sim)) > n)
        lost = sim.rng.choice(live_workers(sim))
        lost.crash(sim.rng.uniform(4.0, 8.0), sim.next_worker_id())
        if changes:
            replace_leader(sim)
        sim.run(3.0)
        assert_that(len(begun_runs(sim)), Equals(number + 1))
    sim.run(40.0)
    assert_failed_by_its_attempts(sim, max_attempts)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
@pytest.mark.parametrize("failing", [1, 2], ids=["completes", "fails"])
@pytest.mark.parametrize("checkpoints", [False, True], ids=["", "checkpoints"])
def test_gangs_of_a_recurring_job_count_their_runs_apart(
    seed, changes, failing, checkpoints
):
    # Each of two gangs in each of three occurrences fails as often as ``failing``.
    sim = Sim(seed, workers=8)
    sim.fail_share = 0.0
    sim.failing_jobs = {JOB}
    sim.draw_gang_ends = lambda name, attempt, count: (
        ["failed" if attempt <= failing else "done"] * count
    )
    sim.gang_end_delays = lambda name, attempt, count: [0.0] * count
    sim.start_leader()
    steps = steps_of(4, 2, gang=True, checkpoints=checkpoints)
    times = {"occurrences": 3, "first_due_at": 1.0, "interval_s": 0.5}
    sim.submit(JOB, steps, queue_of(2), **times)
    for _ in range(8 if changes else 0):
        sim.run(sim.rng.uniform(0.3, 1.5))
        replace_leader(sim)
    sim.run(60.0)
    counts = [len(runs) for runs in sim.attempts.failed.values()]
    if failing == 1:
        assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("completed"))
        # Run 1 never begins where its leader ended first.
        assert_that(counts, Equals([1] * (len(counts) if changes else 6)))
    else:
        assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("failed"))
        assert_that(max(counts), Equals(2))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", [*range(4), WAITING_SEEDS[0]])
@pytest.mark.parametrize("changes", [False, True], ids=["", "leaders"])
@pytest.mark.parametrize("max_attempts", [1, 2])
def test_gang_cancelled_between_its_ends_is_shown_as_cancelled(
    seed, changes, max_attempts
):
    # Or as failed, if its last attempt was counted before; it never starts again.
    sim = start_cell(seed, 4, max_attempts, all_fail)
    run_until(sim, lambda: failed_runs(sim))
    sim.run(sim.rng.uniform(0.0, 0.1))
    was_ended = is_ended(sim) or sim.leader.core.jobs[JOB].outcome is not None
    sim.cancel(JOB)
    sim.run(0.3)
    if changes:
        replace_leader(sim)
    sim.run(30.0)
    state = "failed" if was_ended else "cancelled"
    assert_that(dispatch.state_of(sim.leader.core, JOB), Equals(state))
    assert_that(begun_runs(sim), Equals({1}))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", SEEDS)
def test_gang_that_is_done_is_one_sample_of_its_run_time(seed):
    # Each member lists its end; estimates must not count a gang by its width.
    sim = start_cell(seed, 4, 1, all_fail)
    sim.failing_jobs = set()
    sim.run(10.0)
    assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("completed"))
    _, samples = sim.leader.core.run_times.by_queue["q"]
    assert_that(samples, Equals(1))


# Paths of records


def write_as_before(sim):
    """Rewrite the job's record as releases before the failed runs' numbers did."""
    key = commits.partition_of(JOB), "runs", JOB
    value, _ = sim.store.rows.get(key, (None, 0))
    if value is None:
        return
    record = decode_record(value)
    lives = {k: v for k, v in record.lives.items() if not k.startswith("failed-run ")}
    sim.store.put(*key, msgspec.msgpack.encode(record._replace(lives=lives)))


@pytest.mark.parametrize("seed", [*range(4), WAITING_SEEDS[0]])
@pytest.mark.parametrize("members", [2, 4])
@pytest.mark.parametrize("max_attempts", [2, 3])
def test_run_that_an_earlier_release_counted_in_part_counts_once(
    seed, members, max_attempts
):
    # Its record does not say which run it has counted for another member.
    sim = start_cell(seed, members, max_attempts, lambda attempt: ["failed"] * members)
    for number in range(max_attempts):
        run_until(sim, lambda n=number: len(begun_runs(sim)) > n or is_ended(sim))
        if is_ended(sim):
            break
        late = worker_of_member(sim, members - 1, highest_begun(sim))
        sim.run(SPAN_S - 0.3)
        late.silent = True
        run_until(sim, lambda: is_recorded(sim) or is_ended(sim))
        sim.run(0.3)
        sim.leader.dead = True
        write_as_before(sim)
        late.silent = False
        sim.run(0.1)
        sim.start_leader()
    sim.run(40.0)
    assert_failed_by_its_attempts(sim, max_attempts)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("members", [2, 4])
def test_counts_of_an_earlier_release_exceed_no_number_of_runs(seed, members):
    # It counted each member that failed; a gang fails no more often than it starts.
    sim = start_cell(seed, members, 8, lambda attempt: ["failed"] * members)
    run_until(sim, lambda: is_recorded(sim))
    sim.run(0.3)
    sim.leader.dead = True
    key = commits.partition_of(JOB), "runs", JOB
    record = decode_record(sim.store.rows[key][0])
    rows = [row._replace(failures=1) for row in record.tasks]
    value = msgspec.msgpack.encode(record._replace(tasks=rows, lives={}))
    sim.store.put(*key, value)
    sim.start_leader()
    sim.run(60.0)
    assert_failed_by_its_attempts(sim, 8)
