"""Core: when the leader looks at workers, and extends their leases by it."""

from .dispatch_effects import Poll
from .dispatch_runs import discard_run
from .log import get_logger
from .workers import extend_lease

__all__ = ["drop_lost_workers", "send_polls"]

log = get_logger("dispatch_looks")

# How long a worker may hold back the answer to a look, in seconds.
POLL_WAIT_S = 1.0
# Pause between looks that failed, and between those whose ends wait for the store.
POLL_RETRY_S = 0.3
POLL_INTERVAL_S = 0.8


def drop_lost_workers(state, now):
    """Free what ran on workers whose lease is certainly over; forget those gone."""
    for worker in list(state.workers.values()):
        silent = worker.failed_polls or not worker.info.address
        if worker.runs and silent and now >= worker.lease_ends_at:
            log(
                "warning", "lease_ran_out", worker=worker.info.id, runs=len(worker.runs)
            )
            for run in list(worker.runs.values()):
                discard_run(state, now, run, "lapsed")
        if not worker.registered and not worker.runs and not worker.poll_in_flight:
            del state.workers[worker.info.id]


def send_polls(state, now, workers):
    """Look at those that run something, or whose ends can be acknowledged."""
    for worker in workers:
        if worker.poll_in_flight or not worker.info.address:
            continue
        never = worker.answered_at is None and worker.registered
        acks = worker.last_end_recorded > worker.last_end_acked
        if not (worker.runs or worker.unknown_runs or never or acks):
            continue
        pause = 0.0
        if worker.failed_polls:
            pause = POLL_RETRY_S
        elif worker.unrecorded_ends and not acks:
            pause = POLL_INTERVAL_S
        if now - worker.last_poll_at < pause:
            continue
        _send_poll(state, now, worker)


def _send_poll(state, now, worker):
    worker.poll_in_flight = True
    worker.last_poll_at = now
    worker.last_end_acked = worker.last_end_recorded
    deadline = None
    # Without answers the lease has to run out some time: a look that got none may have
    # extended it. Before its first answer only the registry told the worker's clock.
    if worker.answered_at is not None and worker.runs and not worker.failed_polls:
        deadline = extend_lease(worker, now, state.cfg["lease_s"])
    waits = (
        worker.runs and not worker.unrecorded_ends and worker.answered_at is not None
    )
    wait_s = POLL_WAIT_S if waits and not worker.failed_polls else 0.0
    info = worker.info
    state.effects.append(
        Poll(info.id, info.address, deadline, worker.last_end_recorded, wait_s)
    )
