"""Tasks and lease of the stand-in worker; times are monotonic seconds.

The functions that serve a call return ``(HTTP status, body)``. The worker's clock in
milliseconds is ``CLOCK_OFFSET_MS`` (one day) ahead of the machine's, so that a
scheduler that compares it with its own clock fails at once.
"""

import msgspec

__all__ = [
    "RESOURCES",
    "SWITCHES",
    "WorkerState",
    "expire_lease",
    "finish_due_tasks",
    "next_event_s",
    "record",
    "renew_lease",
    "signal_task",
    "start_task",
]

RESOURCES = ("cpu", "memory_mb", "accelerators")
SWITCHES = {"fail_all": False, "report_lag_s": 0.0, "dead": False, "leaving": False}
CLOCK_OFFSET_MS = 86_400_000
# With ``fail_all``, a task fails this long after its start.
FAIL_ALL_DELAY_S = 0.02
THROTTLED_CPU_SHARE = 0.5


class Task:
    """One attempt of a task; ``end_s`` is None for a service, which has no end."""

    __slots__ = ("attempt", "demand", "end_s", "id", "run", "start_s", "throttled")

    def __init__(self, task_id, attempt, demand, run, start_s, end_s):
        self.id = task_id
        self.attempt = attempt
        self.demand = demand
        self.run = run
        self.start_s = start_s
        self.end_s = end_s
        self.throttled = False


class WorkerState:
    """Lease, tasks, allocated capacity and record of one worker."""

    def __init__(self, worker_id, rack, capacity, record_file=""):
        self.id = worker_id
        self.rack = rack
        self.capacity = capacity
        self.switches = dict(SWITCHES)
        self.epoch = 0
        self.lease_until_s = 0.0
        self.running = {}
        self.finished = []
        self.allocated = dict.fromkeys(RESOURCES, 0)
        self.peak = dict.fromkeys(RESOURCES, 0)
        self.started = set()
        self.refusals = dict.fromkeys(("epoch", "lease", "attempt", "capacity"), 0)
        # Items: [event, worker, task, attempt, monotonic seconds, reason].
        self.events = []
        self.record_file = record_file


def clock_ms(now):
    """Return the time of the worker's clock at ``now``, in milliseconds."""
    return int(now * 1000) + CLOCK_OFFSET_MS


def _lease_s(lease_until_ms):
    return (lease_until_ms - CLOCK_OFFSET_MS) / 1000


def _record_event(worker, event, task, now, reason=""):
    line = [event, worker.id, task.id, task.attempt, now, reason]
    worker.events.append(line)
    if worker.record_file:
        with open(worker.record_file, "ab") as file:
            file.write(msgspec.json.encode(line) + b"\n")


def _allocate(worker, demand, sign):
    for name in RESOURCES:
        worker.allocated[name] += sign * demand.get(name, 0)
        worker.peak[name] = max(worker.peak[name], worker.allocated[name])


def _finish(worker, task, now, ok, reason):
    del worker.running[task.id]
    _allocate(worker, task.demand, -1)
    _record_event(worker, "end", task, now, reason)
    worker.finished.append(
        {
            "task": task.id,
            "attempt": task.attempt,
            "ok": ok,
            "reason": reason,
            "run_ms": int((now - task.start_s) * 1000),
        }
    )


def expire_lease(worker, now):
    """End all tasks if the lease has expired."""
    if worker.running and now >= worker.lease_until_s:
        # The tasks ended with the lease: nothing runs while the process is paused, and
        # a resumed process comes here before it acts.
        end = worker.lease_until_s
        for task in list(worker.running.values()):
            _finish(worker, task, max(task.start_s, end), False, "lease_expired")


def finish_due_tasks(worker, now):
    """Finish the tasks that are due, unless the lease expired before they were."""
    for task in list(worker.running.values()):
        if task.end_s is not None and task.end_s <= min(now, worker.lease_until_s):
            failed = bool(task.run.get("fail") or worker.switches["fail_all"])
            reason = "failed" if failed else ""
            _finish(worker, task, task.end_s, not failed, reason)
    expire_lease(worker, now)


def next_event_s(worker):
    """Return the time of the next task end or lease expiry, None if nothing runs."""
    if not worker.running:
        return None
    ends = (t.end_s for t in worker.running.values() if t.end_s is not None)
    return min(worker.lease_until_s, *ends, worker.lease_until_s)


def _refuse(worker, cause, status=409):
    worker.refusals[cause] += 1
    return status, {"epoch": worker.epoch, "cause": cause}


def renew_lease(worker, now, body):
    """Serve ``POST /lease``: extend the lease (never shorten it) and report tasks."""
    if body["epoch"] < worker.epoch:
        return _refuse(worker, "epoch")
    worker.epoch = body["epoch"]
    until_s = _lease_s(body["lease_until_ms"])
    worker.lease_until_s = max(worker.lease_until_s, until_s)
    acked = {(task, attempt) for task, attempt in body.get("ack", ())}
    worker.finished = [
        f for f in worker.finished if (f["task"], f["attempt"]) not in acked
    ]
    return 200, {
        "clock_ms": clock_ms(now),
        "epoch": worker.epoch,
        "capacity": worker.capacity,
        "state": "leaving" if worker.switches["leaving"] else "live",
        "running": [_report(worker, t, now) for t in worker.running.values()],
        "finished": worker.finished,
    }


def _report(worker, task, now):
    demand = {name: task.demand.get(name, 0) for name in RESOURCES}
    known = now - task.start_s >= worker.switches["report_lag_s"]
    share = THROTTLED_CPU_SHARE if task.throttled else 1
    cpu = task.run.get("used_cpu", demand["cpu"]) * share
    memory = task.run.get("used_memory_mb", demand["memory_mb"])
    return {
        "task": task.id,
        "attempt": task.attempt,
        **demand,
        "used_cpu": cpu if known else 0,
        "used_memory_mb": memory if known else 0,
    }


def _fits(worker, demand):
    return all(
        worker.allocated[name] + demand.get(name, 0) <= worker.capacity[name]
        for name in RESOURCES
    )


def start_task(worker, now, body):
    """Serve ``POST /tasks``: start one attempt; a repeated command starts nothing."""
    if body["epoch"] < worker.epoch:
        return _refuse(worker, "epoch")
    worker.epoch = body["epoch"]
    key = (body["task"], body["attempt"])
    if key in worker.started:
        return 200, {}
    until_s = _lease_s(body["lease_until_ms"])
    if until_s <= now:
        return _refuse(worker, "lease")
    if body["task"] in worker.running:
        return _refuse(worker, "attempt")
    if not _fits(worker, body["demand"]):
        return _refuse(worker, "capacity", 507)
    worker.lease_until_s = max(worker.lease_until_s, until_s)
    worker.started.add(key)
    run = body.get("run") or {}
    end_s = None if run.get("service") else now + run.get("ms", 0) / 1000
    if worker.switches["fail_all"]:
        end_s = now + FAIL_ALL_DELAY_S
    task = Task(*key, body["demand"], run, now, end_s)
    worker.running[task.id] = task
    _allocate(worker, task.demand, 1)
    _record_event(worker, "start", task, now)
    return 200, {}


def signal_task(worker, now, body):
    """Serve ``POST /tasks/signal``: stop, checkpoint or throttle one attempt."""
    if body["epoch"] < worker.epoch:
        return _refuse(worker, "epoch")
    worker.epoch = body["epoch"]
    task = worker.running.get(body["task"])
    if task is None or task.attempt != body["attempt"]:
        return 404, {"epoch": worker.epoch}
    if body["action"] == "throttle":
        if not task.throttled and task.end_s is not None:
            task.end_s += (task.end_s - now) / THROTTLED_CPU_SHARE - (task.end_s - now)
        task.throttled = True
    else:
        reason = {"stop": "stopped", "checkpoint": "checkpointed"}[body["action"]]
        _finish(worker, task, now, False, reason)
    return 200, {}


def record(worker, now):
    """Return the worker's record: events, running tasks and peak allocated capacity."""
    return {
        "worker": worker.id,
        "now": now,
        "epoch": worker.epoch,
        "capacity": worker.capacity,
        "charged": worker.allocated,
        "greatest": worker.peak,
        "refusals": worker.refusals,
        "running": [[t.id, t.attempt] for t in worker.running.values()],
        "events": worker.events,
    }
