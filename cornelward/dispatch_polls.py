"""Core: polls workers for the state of their runs and extends their leases."""

from .dispatch_effects import Poll
from .dispatch_tasks import discard_run
from .lease_grants import (
    extend_lease,
    lease_end,
    may_grant,
    record_leases,
    release_leases,
)
from .log import get_logger
from .workers import FRESH_ANSWER_S, QUICK_CRASH_S, TRIAL_S, has_answered_within

__all__ = [
    "drop_lost_workers",
    "on_leases_recorded",
    "record_silent_leases",
    "send_polls",
    "take_recorded_leases",
]

log = get_logger("dispatch_looks")

# How long a worker may delay its response to a poll until a run ends (long polling).
POLL_WAIT_S = 1.0
# A report that shows that a run outlasted a quick crash is asked for this much later.
QUICK_CRASH_MARGIN_S = 0.005
# Minimum interval after a failed poll of a worker with runs.
POLL_RETRY_S = 0.3
# Minimum interval after a failed poll of another worker, and between polls while ended
# runs are being recorded in the store.
POLL_INTERVAL_S = 0.8
# An acknowledgement is sent only if the worker's latest answer is no older than this:
# it may have restarted since.
MIN_RESTART_S = 0.3
# Leases of silent workers are recorded while the leader has led this lately.
RECORD_WITHIN_S = 1.0


def drop_lost_workers(state, now):
    """Discard the runs of unreachable workers whose leases have certainly expired.

    Workers that are not registered and have no runs are removed.
    """
    for worker in list(state.workers.values()):
        unreachable = worker.failed_polls or not worker.info.address
        if (
            worker.runs
            and unreachable
            and now >= lease_end(worker, state.former_leases_end_at)
        ):
            log(
                "warning", "lease_ran_out", worker=worker.info.id, runs=len(worker.runs)
            )
            for run in list(worker.runs.values()):
                discard_run(state, now, run, "lapsed")
        if worker.registered or worker.runs or worker.poll_in_flight:
            continue
        if not (worker.unrecorded_ends or worker.lease_recorded):
            del state.workers[worker.info.id]


def record_silent_leases(state, now):
    """Return what to record for a successor: see ``lease_grants.record_leases``.

    Nothing is added while the store may be out of reach: a worker that answers again
    would have to wait for its return.
    """
    if now - state.confirmed_at > RECORD_WITHIN_S:
        return {}
    workers = state.workers.values()
    return record_leases(workers, now, state.former_leases_end_at)


def on_leases_recorded(state, recorded):
    """Note that the record with exactly the leases in ``recorded`` was written."""
    if release_leases(state.workers.values(), recorded):
        state.needs_plan = True


def take_recorded_leases(state, read_at, recorded):
    """Take over what a former leader had recorded in a row read at ``read_at``."""
    for worker_id, left_s in recorded.items():
        worker = state.workers.get(worker_id)
        if worker is not None:
            ends_at = min(worker.former_lease_ends_at, read_at + left_s)
            worker.former_lease_ends_at = ends_at


def send_polls(state, now, workers):
    """Poll the workers that need it.

    A worker is polled if it has runs, lists unknown runs, has not answered yet or not
    the last time, or has ended runs that can be acknowledged.
    """
    for worker in workers:
        if not worker.info.address:
            continue
        if worker.poll_in_flight:
            if _needs_extra_poll(worker, now):
                _ask_for_state(state, worker)
                worker.extra_polls += 1
            continue
        has_unacked_ends = worker.last_end_recorded > worker.last_end_acked
        is_silent = worker.answered_at is None or worker.failed_polls > 0
        if not (
            worker.runs
            or worker.unknown_runs
            or has_unacked_ends
            or (is_silent and worker.registered)
        ):
            continue
        pause = 0.0
        if worker.failed_polls:
            pause = POLL_RETRY_S if worker.runs else POLL_INTERVAL_S
        elif worker.unrecorded_ends and not has_unacked_ends:
            pause = POLL_INTERVAL_S
        if now - worker.last_poll_at < pause:
            continue
        _send_poll(state, now, worker)


def _wait_s(worker, now):
    """Return for how long a poll sent now may wait for an end.

    It is answered when a run has outlasted a quick crash, or its trial, at the latest:
    how long a run lasted is known only from the latest report before the crash.
    """
    recent = [
        run
        for run in worker.runs.values()
        if run.acked_at is not None and now - run.acked_at <= TRIAL_S
    ]
    times = [at for run in recent for at in _report_times(worker, run) if at >= now]
    return min([POLL_WAIT_S, *(at + QUICK_CRASH_MARGIN_S - now for at in times)])


def _report_times(worker, run):
    """Return when a run has outlasted a quick crash and, if it is on one, its trial."""
    limits = (QUICK_CRASH_S, TRIAL_S) if run in worker.trial_runs else (QUICK_CRASH_S,)
    return [run.acked_at + limit_s for limit_s in limits]


def _needs_extra_poll(worker, now):
    """Return whether a report is wanted while the poll in flight may wait for an end.

    Only a poll that is sent after the stop was acknowledged shows what became of it.
    """
    return (
        worker.report_wanted_at is not None
        and worker.report_wanted_at < now
        and not worker.extra_polls
        and not worker.failed_polls
    )


def _ask_for_state(state, worker):
    """Send a poll that acknowledges nothing, extends no lease and does not wait."""
    worker.report_wanted_at = None
    info = worker.info
    state.effects.append(Poll(info.id, info.address, None, 0, 0.0))


def _send_poll(state, now, worker):
    """Poll a worker.

    After a failed poll, and if the latest answer is old, the worker may have restarted,
    and its numbers of ends have started anew. Such a poll only asks for the state: an
    acknowledgement would cover ends that no report has listed, and the lease would be
    counted on the clock of the former life. A lease is not extended after a failed poll
    also so that it expires eventually: each unanswered poll might extend it again.
    """
    worker.poll_in_flight = True
    worker.last_poll_at = now
    info = worker.info
    if not has_answered_within(worker, now, FRESH_ANSWER_S):
        _ask_for_state(state, worker)
        return
    last_end, can_wait = 0, worker.runs and not worker.unrecorded_ends
    if worker.report_wanted_at is not None:
        can_wait = False
        if worker.report_wanted_at < now:
            worker.report_wanted_at = None
    if worker.last_end_recorded > worker.last_end_acked:
        if has_answered_within(worker, now, MIN_RESTART_S):
            last_end = worker.last_end_recorded
        else:
            can_wait = False
    deadline = None
    may_extend = may_grant(now, state.confirmed_at)
    if worker.runs and may_extend and not worker.lease_recorded:
        lease_s = state.cfg["lease_s"]
        deadline = extend_lease(worker, now, lease_s, state.confirmed_at)
    elif worker.runs and not may_extend:
        log("warning", "lease_not_extended", worker=info.id)
    wait_s = _wait_s(worker, now) if can_wait else 0.0
    state.effects.append(Poll(info.id, info.address, deadline, last_end, wait_s))
