"""Core: the leader's table of workers, as the registry lists them."""

from . import workers as worker_table
from .dispatch_runs import reset_restarted_worker
from .dispatch_tasks import request_stop
from .log import get_logger

__all__ = [
    "deregister_worker",
    "stop_runs_on_leaving_workers",
    "unregistered_worker",
    "update_workers",
]

log = get_logger("dispatch")

# Runs on a draining worker are stopped ``stop_s`` plus this margin before it leaves:
# the stop request has to reach the worker, and the leader has to learn of the end.
DRAIN_STOP_MARGIN_S = 0.4


def update_workers(state, now, infos, complete):
    """Update the workers from registry entries.

    If ``complete`` is true, workers that are not in ``infos`` are no longer registered.
    """
    for info in infos:
        worker = state.workers.get(info.id)
        if worker is None:
            worker = worker_table.new_worker(info, now)
            state.workers[info.id] = worker
            state.needs_plan = True
            _update_draining(worker, now, info)
            log("info", "worker_seen", worker=info.id, address=info.address)
            continue
        _update_draining(worker, now, info)
        if not worker.info.address:
            worker_table.update_clock(worker, now, info.clock_s)
        elif worker.info.born != info.born:
            reset_restarted_worker(state, now, worker, info.born)
        worker.changed = worker.changed or _affects_placement(worker, info)
        worker.info, worker.registered = info, True
        state.needs_plan = state.needs_plan or worker.changed
    if complete:
        present = {info.id for info in infos}
        for worker_id in set(state.workers) - present:
            deregister_worker(state, worker_id)


def _affects_placement(worker, info):
    """Return whether a registry entry differs in more than the worker's clock."""
    ignored = {"clock_s": 0.0, "leaves_in_s": 0.0}
    known = worker.info._replace(**ignored)
    return not worker.registered or known != info._replace(**ignored)


def _update_draining(worker, now, info):
    if info.draining and worker.leaves_at is None:
        log("info", "worker_draining", worker=info.id, leaves_in_s=info.leaves_in_s)
        worker.leaves_at = now + info.leaves_in_s
    elif not info.draining:
        worker.leaves_at = None


def stop_runs_on_leaving_workers(state, now):
    """Stop the runs on workers that are about to leave, which saves their progress."""
    ahead_s = state.cfg["stop_s"] + DRAIN_STOP_MARGIN_S
    for worker in state.workers.values():
        if worker.leaves_at is None or now < worker.leaves_at - ahead_s:
            continue
        for run in worker.runs.values():
            if run.state in (worker_table.ACTIVE, worker_table.SENT):
                request_stop(state, now, run)


def deregister_worker(state, worker_id):
    """Mark a worker as no longer registered."""
    worker = state.workers.get(worker_id)
    if worker is not None and worker.registered:
        worker.registered = False
        worker.changed = True
        log("info", "worker_unlisted", worker=worker_id, runs=len(worker.runs))


def unregistered_worker(worker_id, service, address="", born=0):
    """Return the WorkerInfo of a worker that the registry does not list."""
    return worker_table.WorkerInfo(
        worker_id, service, address, "", "", (), 0, 0, 0, True, 0.0, born, 0.0
    )
