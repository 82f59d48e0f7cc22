"""Task core: combines the owner lease, jobs, placement, quotas and worker leases.

Each event function returns the effects that the process shell carries out in order.
Times are monotonic seconds. ``sent_at`` is when the shell carried out the effect that a
reply belongs to; a reply that never arrived is None. Each effect except SignalTask gets
exactly one reply.
"""

from .job_writes import flush_jobs, readback_done, retry_reads, write_done
from .jobs import ACTIVE, job_state
from .ownership import (
    LEFT,
    OWNER,
    has_authority,
    may_renew_workers,
    owner_read,
    owner_written,
    poll_owner,
    release_owner,
    step_down,
)
from .quotas import set_quotas, usage_value
from .task_effects import (
    ListRows,
    ReadRow,
    RenewWorker,
    SignalTask,
    StartTask,
    Txn,
)
from .task_inbox import (
    inbox_listed,
    inbox_or_usage_written,
    job_read,
    jobs_listed,
    load_due,
    policy_changed,
    usage_due,
    usage_listed,
)
from .task_placement import place_jobs
from .task_reports import (
    apply_worker_report,
    check_lapses,
    lapse_worker,
    record_running,
    send_starts,
    start_answered,
)
from .task_state import SchedulerState, reset_epoch_state
from .worker_leases import lapse_at, renew_due, reset_workers, set_members

__all__ = [
    "ListRows",
    "ReadRow",
    "RenewWorker",
    "SignalTask",
    "StartTask",
    "Txn",
    "dump",
    "has_left",
    "lease_reply",
    "leave",
    "may_send",
    "new_scheduler",
    "next_wakeup",
    "notice",
    "row_read",
    "rows_listed",
    "start_reply",
    "tick",
    "txn_done",
    "update_config",
    "update_members",
]


def new_scheduler(cfg, identity, rng):
    """Return the state of a standby scheduler.

    ``cfg`` holds the settings of a scheduler, ``identity`` has ``id``, ``incarnation``,
    ``failure_domain`` and ``peer_address``, and ``rng`` is a ``random.Random``.
    """
    return SchedulerState(cfg, identity, rng)


def row_read(state, now, sent_at, key, row):
    """Process the reply to a ReadRow; ``row`` is None when the read failed."""
    if key == state.owner_lease.key:
        effects = owner_read(state.owner_lease, now, row, state.new_id)
        return effects + _advance(state, now)
    if key in state.readbacks:
        return _apply_readback(state, now, key, row) + _advance(state, now)
    if state.owner_lease.role == OWNER:
        job_read(state, now, key, row)
    return _advance(state, now)


def rows_listed(state, now, sent_at, prefix, rows):
    """Process the reply to a ListRows; ``rows`` is None when the listing failed."""
    if state.owner_lease.role != OWNER:
        return []
    effects = []
    if sent_at < state.owner_lease.owner_since:
        # The listing was requested in an earlier epoch.
        return []
    if prefix == f"jobs/{state.fd}/":
        jobs_listed(state, now, rows)
    elif prefix == f"inbox/{state.fd}/":
        effects = inbox_listed(state, now, rows)
    else:
        usage_listed(state, now, rows)
    return effects + _advance(state, now)


def txn_done(state, now, sent_at, txn_id, result):
    """Process the result of a Txn: versions, a Conflict, or None when it is unknown."""
    effects = []
    if txn_id == state.owner_lease.txn_id:
        effects = owner_written(state.owner_lease, now, sent_at, txn_id, result)
        state.left = state.owner_lease.role == LEFT
    elif txn_id in state.writes:
        job = state.writes[txn_id]
        applied, effects = write_done(state, now, job, result)
        if applied:
            effects = _apply_write(state, now, job)
    else:
        inbox_or_usage_written(state, now, txn_id, result)
    return effects + _advance(state, now)


def lease_reply(state, now, sent_at, worker, status, body):
    """Process the reply to a RenewWorker; ``status`` is None without a reply."""
    entry = state.workers.by_id.get(worker)
    if entry is None or state.owner_lease.role != OWNER:
        return []
    entry.in_flight = None
    if status is None:
        return _advance(state, now)
    if _is_superseded(state, now, status, body):
        return _advance(state, now)
    stale = sent_at < entry.report_sent_at or sent_at < state.owner_lease.owner_since
    if status != 200 or body["epoch"] != state.owner_lease.epoch or stale:
        return _advance(state, now)
    if now >= lapse_at(entry, state.owner_lease, state.cfg):
        lapse_worker(state, entry)
    effects = apply_worker_report(state, now, entry, sent_at, body)
    return effects + _advance(state, now)


def start_reply(state, now, sent_at, worker, task, attempt, status, body):
    """Process the reply to a StartTask; ``status`` is None without a reply."""
    entry = state.workers.by_id.get(worker)
    if entry is None or state.owner_lease.role != OWNER:
        return []
    if status is not None and not _is_superseded(state, now, status, body):
        start_answered(state, now, entry, (task, attempt), status)
    return _advance(state, now)


def update_members(state, now, instances):
    """Update the workers from the platform's list of instances."""
    local = [item for item in instances if item["failure_domain"] == state.fd]
    set_members(state.workers, now, state.rng, state.cfg["worker_renew_s"], local)
    _update_total_capacity(state)
    state.placement_needed = True
    return _advance(state, now)


def update_config(state, now, version, objects):
    """Apply a newer configuration: a list of objects with kind and name."""
    if version <= state.config_version:
        return []
    state.config_version = version
    by_kind = {"workload": {}, "policy": {}, "team": {}}
    for item in objects:
        by_kind.get(item["kind"], {})[item["name"]] = item
    state.workloads = by_kind["workload"]
    state.policies = by_kind["policy"]
    state.quotas = {name: t.get("quota") for name, t in by_kind["team"].items()}
    policy_changed(state)
    return _advance(state, now)


def leave(state, now):
    """Start a graceful shutdown: finish the writes, then release the owner row."""
    state.leaving = True
    return _advance(state, now)


def has_left(state):
    """Return whether the process may exit after ``leave``."""
    return state.left or (state.leaving and state.owner_lease.role != OWNER)


def notice(state, now, job_id):
    """Read the inbox now, because a peer reports a new row for this job there."""
    state.inbox_at = now
    return _advance(state, now)


def tick(state, now):
    """Handle expired worker leases and do the work that is due."""
    if state.owner_lease.role == OWNER:
        check_lapses(state, now)
        if state.teams.gangs or state.holds or state.teams.urgent:
            state.placement_needed = True
    return _advance(state, now)


def may_send(state, now):
    """Return whether a StartTask may still be sent at ``now``.

    The shell asks when it sends, because the authority may have ended since the effect
    was returned.
    """
    return has_authority(state.owner_lease, now)


def next_wakeup(state):
    """Return when ``tick`` is due next, or None."""
    times = [] if state.owner_lease.busy else [state.owner_lease.next_poll_at]
    if state.owner_lease.role == OWNER:
        workers = state.workers.by_id.values()
        times += [w.renew_at for w in workers if w.in_flight is None]
        times += list(state.read_retries.values())
        if state.placement_needed:
            times.append(state.next_placement_at)
        times.append(state.inbox_at if not state.inbox_busy else state.usage_at)
    return min(times, default=None)


def dump(state, now):
    """Return the state as JSON-serializable values."""
    owner_lease = state.owner_lease
    return {
        "owner": {
            "role": owner_lease.role,
            "epoch": owner_lease.epoch,
            "authority": has_authority(owner_lease, now),
            "loaded": state.loaded,
        },
        "config_version": state.config_version,
        "stats": dict(state.stats),
        "writes": len(state.writes),
        "workers": [
            {
                "id": worker.id,
                "epoch": worker.epoch,
                "accepts": worker.accepts,
                "free": worker.free._asdict(),
                "tasks": len(worker.allocations),
            }
            for worker in state.workers.by_id.values()
        ],
        "jobs": [
            {
                "id": job.id,
                "state": job_state(job),
                "waiting": len(job.waiting),
                "active": sum(task.state in ACTIVE for task in job.tasks),
            }
            for job in state.jobs.by_id.values()
        ],
        "usage": usage_value(state.teams)["teams"],
    }


def _advance(state, now):
    """Return the effects that became due or possible; every event ends with this."""
    owner_lease = state.owner_lease
    _reset_on_role_change(state, now)
    effects = poll_owner(owner_lease, now, state.new_id)
    if owner_lease.role != OWNER:
        return effects
    if may_renew_workers(owner_lease, now):
        effects += renew_due(state.workers, now, owner_lease, state.cfg)
    if has_authority(owner_lease, now):
        unsent_starts, state.unsent_starts = state.unsent_starts, []
        for job, starts in unsent_starts:
            effects += send_starts(state, now, job, starts)
        effects += load_due(state, now)
        effects += usage_due(state, now)
        record_running(state, now)
        effects += place_jobs(state, now)
        effects += flush_jobs(state, now)
    effects += retry_reads(state, now)
    done = not (owner_lease.busy or state.writes or state.readbacks)
    if state.leaving and done:
        effects += release_owner(owner_lease, state.new_id)
    return effects


def _reset_on_role_change(state, now):
    """Reset the state of the epoch after a takeover or the loss of the owner lease."""
    epoch = state.owner_lease.epoch if state.owner_lease.role == OWNER else 0
    if epoch == state.epoch_seen:
        return
    reset_epoch_state(state)
    reset_workers(state.workers, now)
    set_quotas(state.teams, state.quotas)
    _update_total_capacity(state)
    state.epoch_seen = epoch


def _update_total_capacity(state):
    workers = state.workers.by_id.values()
    sums = [sum(worker.capacity[i] for worker in workers) for i in range(3)]
    state.teams.total = type(state.workers.largest)(*sums)


def _is_superseded(state, now, status, body):
    """Step down if a worker replied with a higher epoch; return whether it did."""
    if status == 409 and body and body.get("epoch", 0) > state.owner_lease.epoch:
        step_down(state.owner_lease, now)
        return True
    return False


def _apply_write(state, now, job):
    pending_write, job.pending_write = job.pending_write, None
    for worker_id, key in pending_write.acks:
        worker = state.workers.by_id.get(worker_id)
        if worker is not None:
            worker.acks.add(key)
    if pending_write.final:
        _remove_job(state, job)
        return []
    if not has_authority(state.owner_lease, now):
        # The row is written, but another scheduler may be the owner by now: send the
        # starts once the authority is renewed.
        state.unsent_starts.append((job, pending_write.starts))
        return []
    return send_starts(state, now, job, pending_write.starts)


def _remove_job(state, job):
    for task in job.tasks:
        state.jobs.tasks.pop(task.name, None)
    state.jobs.by_id.pop(job.id, None)
    state.recently_done[job.id] = None
    while len(state.recently_done) > 10_000:
        state.recently_done.popitem(last=False)


def _apply_readback(state, now, key, row):
    job, applied, effects = readback_done(state, now, key, row)
    if applied:
        return effects + _apply_write(state, now, job)
    if applied is None:
        # Another owner wrote the job or fence row: step down and read the owner row.
        step_down(state.owner_lease, now)
    return effects
