"""Tasks and lease of the stand-in worker; times are monotonic seconds.

Actions return (HTTP status, body). The worker's clock in milliseconds is
``CLOCK_OFFSET_MS`` ahead of the machine's, so that a scheduler that compares it with
its own clock fails at once.
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
# A task that a broken worker starts fails after this time.
FAIL_ALL_S = 0.02
THROTTLED_SHARE = 0.5


class Task:
    """One attempt; ``end_s`` is None for a service."""

    __slots__ = ("attempt", "demand", "end_s", "run", "start_s", "task", "throttled")

    def __init__(self, task, attempt, demand, run, start_s, end_s):
        self.task = task
        self.attempt = attempt
        self.demand = demand
        self.run = run
        self.start_s = start_s
        self.end_s = end_s
        self.throttled = False


class WorkerState:
    """State of one worker."""

    def __init__(self, worker, rack, capacity, record_file=""):
        self.id = worker
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
        # [event, worker, task, attempt, monotonic seconds, reason]
        self.events = []
        self.record_file = record_file


def clock_ms(now):
    """Return the worker's own clock at ``now``."""
    return int(now * 1000) + CLOCK_OFFSET_MS


def _lease_s(lease_until_ms):
    return (lease_until_ms - CLOCK_OFFSET_MS) / 1000


def _note(machine, event, task, now, reason=""):
    line = [event, machine.id, task.task, task.attempt, now, reason]
    machine.events.append(line)
    if machine.record_file:
        with open(machine.record_file, "ab") as file:
            file.write(msgspec.json.encode(line) + b"\n")


def _charge(machine, demand, sign):
    for name in RESOURCES:
        machine.allocated[name] += sign * demand.get(name, 0)
        machine.peak[name] = max(machine.peak[name], machine.allocated[name])


def _finish(machine, task, now, ok, reason):
    del machine.running[task.task]
    _charge(machine, task.demand, -1)
    _note(machine, "end", task, now, reason)
    machine.finished.append(
        {
            "task": task.task,
            "attempt": task.attempt,
            "ok": ok,
            "reason": reason,
            "run_ms": int((now - task.start_s) * 1000),
        }
    )


def expire_lease(machine, now):
    """Stop all tasks if the lease has run out."""
    if machine.running and now >= machine.lease_until_s:
        # Nothing ran after the lease: a paused process wakes up in here first.
        end = machine.lease_until_s
        for task in list(machine.running.values()):
            _finish(machine, task, max(task.start_s, end), False, "lease_expired")


def finish_due_tasks(machine, now):
    """Finish the tasks whose time is over, unless the lease ended before them."""
    for task in list(machine.running.values()):
        if task.end_s is not None and task.end_s <= min(now, machine.lease_until_s):
            failed = bool(task.run.get("fail") or machine.switches["fail_all"])
            reason = "failed" if failed else ""
            _finish(machine, task, task.end_s, not failed, reason)
    expire_lease(machine, now)


def next_event_s(machine):
    """Return when ``step_tasks`` has something to do, or None."""
    if not machine.running:
        return None
    ends = (t.end_s for t in machine.running.values() if t.end_s is not None)
    return min(machine.lease_until_s, *ends, machine.lease_until_s)


def _refuse(machine, cause, status=409):
    machine.refusals[cause] += 1
    return status, {"epoch": machine.epoch, "cause": cause}


def renew_lease(machine, now, body):
    """``POST /lease``: extend the lease (never shorten it) and report."""
    if body["epoch"] < machine.epoch:
        return _refuse(machine, "epoch")
    machine.epoch = body["epoch"]
    until_s = _lease_s(body["lease_until_ms"])
    machine.lease_until_s = max(machine.lease_until_s, until_s)
    acked = {(task, attempt) for task, attempt in body.get("ack", ())}
    machine.finished = [
        f for f in machine.finished if (f["task"], f["attempt"]) not in acked
    ]
    return 200, {
        "clock_ms": clock_ms(now),
        "epoch": machine.epoch,
        "capacity": machine.capacity,
        "state": "leaving" if machine.switches["leaving"] else "live",
        "running": [_report(machine, t, now) for t in machine.running.values()],
        "finished": machine.finished,
    }


def _report(machine, task, now):
    demand = {name: task.demand.get(name, 0) for name in RESOURCES}
    known = now - task.start_s >= machine.switches["report_lag_s"]
    share = THROTTLED_SHARE if task.throttled else 1
    cpu = task.run.get("used_cpu", demand["cpu"]) * share
    memory = task.run.get("used_memory_mb", demand["memory_mb"])
    return {
        "task": task.task,
        "attempt": task.attempt,
        **demand,
        "used_cpu": cpu if known else 0,
        "used_memory_mb": memory if known else 0,
    }


def _fits(machine, demand):
    return all(
        machine.allocated[name] + demand.get(name, 0) <= machine.capacity[name]
        for name in RESOURCES
    )


def start_task(machine, now, body):
    """``POST /tasks``: start one attempt; a repeated command starts nothing."""
    if body["epoch"] < machine.epoch:
        return _refuse(machine, "epoch")
    machine.epoch = body["epoch"]
    key = (body["task"], body["attempt"])
    if key in machine.started:
        return 200, {}
    until_s = _lease_s(body["lease_until_ms"])
    if until_s <= now:
        return _refuse(machine, "lease")
    if body["task"] in machine.running:
        return _refuse(machine, "attempt")
    if not _fits(machine, body["demand"]):
        return _refuse(machine, "capacity", 507)
    machine.lease_until_s = max(machine.lease_until_s, until_s)
    machine.started.add(key)
    run = body.get("run") or {}
    end_s = None if run.get("service") else now + run.get("ms", 0) / 1000
    if machine.switches["fail_all"]:
        end_s = now + FAIL_ALL_S
    task = Task(*key, body["demand"], run, now, end_s)
    machine.running[task.task] = task
    _charge(machine, task.demand, 1)
    _note(machine, "start", task, now)
    return 200, {}


def signal_task(machine, now, body):
    """``POST /tasks/signal``: stop, checkpoint or throttle one attempt."""
    if body["epoch"] < machine.epoch:
        return _refuse(machine, "epoch")
    machine.epoch = body["epoch"]
    task = machine.running.get(body["task"])
    if task is None or task.attempt != body["attempt"]:
        return 404, {"epoch": machine.epoch}
    if body["action"] == "throttle":
        if not task.throttled and task.end_s is not None:
            task.end_s += (task.end_s - now) / THROTTLED_SHARE - (task.end_s - now)
        task.throttled = True
    else:
        reason = {"stop": "stopped", "checkpoint": "checkpointed"}[body["action"]]
        _finish(machine, task, now, False, reason)
    return 200, {}


def record(machine, now):
    """Return what ran here and the greatest capacity in use."""
    return {
        "worker": machine.id,
        "now": now,
        "epoch": machine.epoch,
        "capacity": machine.capacity,
        "charged": machine.allocated,
        "greatest": machine.peak,
        "refusals": machine.refusals,
        "running": [[t.task, t.attempt] for t in machine.running.values()],
        "events": machine.events,
    }
