"""Core: when the leader looks at workers, and extends their leases by it."""

from .dispatch_effects import Look
from .dispatch_runs import void
from .log import get_logger
from .workers import extend_lease

__all__ = ["drop_lost_workers", "send_looks"]

log = get_logger("dispatch_looks")

# How long a worker may hold back the answer to a look, in seconds.
LOOK_WAIT_S = 1.0
# Pause between looks that failed, and between those whose ends wait for the store.
LOOK_RETRY_S = 0.3
LOOK_PACE_S = 0.8


def drop_lost_workers(state, now):
    """Free what ran on workers whose lease is certainly over; forget those gone."""
    for worker in list(state.workers.values()):
        silent = worker.look_failed or not worker.info.address
        if worker.runs and silent and now >= worker.lease_ends_at:
            log(
                "warning", "lease_ran_out", worker=worker.info.id, runs=len(worker.runs)
            )
            for run in list(worker.runs.values()):
                void(state, now, run, "lapsed")
        if not worker.listed and not worker.runs and not worker.looking:
            del state.workers[worker.info.id]


def send_looks(state, now, workers):
    """Look at those that run something, or whose ends can be acknowledged."""
    for worker in workers:
        if worker.looking or not worker.info.address:
            continue
        never = worker.answered_at is None and worker.listed
        acks = worker.durable_end > worker.sent_end
        if not (worker.runs or worker.strangers or never or acks):
            continue
        pause = 0.0
        if worker.look_failed:
            pause = LOOK_RETRY_S
        elif worker.open_ends and not acks:
            pause = LOOK_PACE_S
        if now - worker.last_look_at < pause:
            continue
        _send_look(state, now, worker)


def _send_look(state, now, worker):
    worker.looking = True
    worker.last_look_at = now
    worker.sent_end = worker.durable_end
    deadline = None
    # Without answers the lease has to run out some time: a look that got none may have
    # extended it. Before its first answer only the registry told the worker's clock.
    if worker.answered_at is not None and worker.runs and not worker.look_failed:
        deadline = extend_lease(worker, now, state.cfg["lease_s"])
    waits = worker.runs and not worker.open_ends and worker.answered_at is not None
    wait_s = LOOK_WAIT_S if waits and not worker.look_failed else 0.0
    info = worker.info
    state.effects.append(
        Look(info.id, info.address, deadline, worker.durable_end, wait_s)
    )
