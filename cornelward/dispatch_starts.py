"""Core: sends the starts that are recorded, if they may still be sent."""

from . import advising, commits
from . import workers as worker_table
from .dispatch_effects import Start
from .dispatch_tasks import discard_run
from .dispatch_workspaces import has_room
from .lease_grants import extend_lease

__all__ = [
    "discard_unrecorded_starts",
    "recheck_starts",
    "retry_late_start",
    "send_start",
    "send_waiting_starts",
    "withdraw_waiting_starts",
]


def send_start(state, now, run, ticket):
    """Send a start whose record is written; ``ticket`` is empty if it needs none."""
    if run.state == worker_table.VOID:
        # Its worker's lease expired while the start was being recorded, and the task
        # may have been placed again.
        return
    worker = state.workers.get(run.worker)
    if (
        run.state == worker_table.STOPPING
        or worker is None
        or run.job.outcome is not None
    ):
        # The start request was never sent, so the run cannot exist on a worker.
        discard_run(state, now, run, "withdrawn")
        return
    if not has_room(state, worker, run):
        discard_run(state, now, run, "no room")
        return
    if ticket:
        # The policy service may have issued a newer ticket while the start was being
        # recorded.
        ticket = advising.ticket_for(run.job, run.task.key[:2], run.worker, now)
        if ticket is None:
            discard_run(state, now, run, "ticket expired")
            return
    if not _is_life_known(worker, now):
        _wait_for_answer(state, worker, run, ticket)
        return
    run.state = worker_table.SENT
    run.sent_at = now
    run.awaits_answer = True
    run.deadline_s = _grant_lease(state, now, worker)
    start = Start(run, worker.info.address, run.deadline_s, ticket, _send_by(worker))
    state.effects.append(start)


def retry_late_start(state, run, ticket):
    """Let a start that was not sent in time wait for the worker's next answer."""
    worker = state.workers.get(run.worker)
    if worker is not None and run.state == worker_table.SENT:
        _wait_for_answer(state, worker, run, ticket)


def _send_by(worker):
    return worker.answered_at + worker_table.MAX_START_AGE_S


def discard_unrecorded_starts(state, now, partitions):
    """Discard the runs whose starts wait for a record in one of ``partitions``.

    They are not started, whether or not the record applies later.
    """
    for worker in state.workers.values():
        for run in list(worker.runs.values()):
            is_unsent = run.state == worker_table.RECORDING or (
                run.state == worker_table.STOPPING and run.stop_sent_at is None
            )
            if is_unsent and commits.partition_of(run.job.spec.id) in partitions:
                discard_run(state, now, run, "not recorded")


def _is_life_known(worker, now):
    """Return whether the worker has answered so lately that it has not restarted.

    One that has restarted would count the lease on another clock and cut it to the
    longest one, which a successor of this leader could not know.
    """
    fresh_s = worker_table.FRESH_ANSWER_S
    is_fresh = worker_table.has_answered_within(worker, now, fresh_s)
    return is_fresh and not worker.lease_recorded


def _wait_for_answer(state, worker, run, ticket):
    run.state = worker_table.RECORDING
    run.awaits_answer = False
    run.deadline_s = None
    worker.waiting_starts.append((run, ticket))
    state.poll_due[worker.info.id] = True


def send_waiting_starts(state, now, worker):
    """Send the starts that waited for the worker's answer, which has arrived."""
    waiting, worker.waiting_starts = worker.waiting_starts, []
    for run, ticket in waiting:
        send_start(state, now, run, ticket)


def withdraw_waiting_starts(state, now, worker):
    """Discard the runs whose starts were not sent, as the worker does not answer."""
    waiting, worker.waiting_starts = worker.waiting_starts, []
    for run, _ in waiting:
        if run.state != worker_table.VOID:
            discard_run(state, now, run, "no answer")


def _grant_lease(state, now, worker):
    """Extend the worker's lease by a start sent now; returns its new end."""
    return extend_lease(worker, now, state.cfg["lease_s"], state.confirmed_at)


def recheck_starts(state, now, starts):
    """Return which Start effects, held back since they were emitted, may be sent.

    Runs that were stopped or discarded meanwhile need no start, and runs on workers
    that have shrunk are discarded. The others get a new lease, as it counts from the
    sending, once their workers have answered again.
    """
    valid = []
    for effect in starts:
        run = effect.run
        worker = state.workers.get(run.worker)
        if run.state != worker_table.SENT:
            continue
        if worker is None or not has_room(state, worker, run):
            discard_run(state, now, run, "no room")
        elif not _is_life_known(worker, now):
            _wait_for_answer(state, worker, run, effect.ticket)
        else:
            run.deadline_s = _grant_lease(state, now, worker)
            start = effect._replace(deadline_s=run.deadline_s, send_by=_send_by(worker))
            valid.append(start)
    return valid
