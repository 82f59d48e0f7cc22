"""Measures the processor, memory and network cost of the system on this machine.

``python -m tools.capacity [part ...]`` prints a Markdown table. The parts are idle,
tasks, entry, heartbeats, config and urgent. All traffic is on loopback. Memory is
resident memory; processor time covers all threads of a process.
"""

import http.client
import math
import socket
import sys
import tempfile
import time

from cornelward.messages import Heartbeat, HeartbeatAck, encode

from .capacity_cell import (
    FAILURE_DOMAIN,
    Cell,
    base_objects,
    cpu_s,
    exchange_bytes,
    growth_per_s,
    rss_kb,
)
from .launch import Launcher, call_json, wait_until

__all__ = ["main"]

# Design size of a failure domain: workers and running tasks.
WORKERS = 137
TASKS = 1_530
CALLERS = 1_000
PEERS = 3
CONFIG_CHANGES = 10
OWNER_KILLS = 6
SETTLE_S = 4.0


def _cpu(program):
    return lambda: cpu_s(program)


def _start_control_plane(cell, schedulers=1, entries=1, teams=1):
    """Start entries and schedulers and publish a configuration.

    Returns (entries, schedulers) when all are ready.
    """
    entries = [cell.start("cornelward.entry", id=f"e{i}") for i in range(entries)]
    schedulers = [
        cell.start("cornelward.scheduler", id=f"s{i}") for i in range(schedulers)
    ]
    cell.publish(entries[0], base_objects(teams))
    cell.wait_ready([*entries, *schedulers])
    return entries, schedulers


def _wait_workers(cell, scheduler, count):
    wait_until(
        lambda: cell.metric(scheduler, "cornelward_workers_accepting") == count,
        f"{count} workers accept tasks",
    )


def measure_idle(cell):
    """Cost of an idle entry, owner, standby, worker, executor and platform stand-in."""
    entries, schedulers = _start_control_plane(cell, schedulers=2)
    worker = cell.start("standins.worker", id="w")
    executor = cell.start("standins.executor", id="x", service="quotes")
    _wait_owner(schedulers)
    owner = _owner(schedulers)
    standby = next(s for s in schedulers if s is not owner)
    programs = {
        "entry": entries[0],
        "scheduler, owner of 1 worker": owner,
        "scheduler, standby": standby,
        "stand-in worker": worker,
        "stand-in executor": executor,
        "stand-in platform": cell.platform,
    }
    time.sleep(SETTLE_S)
    rates = growth_per_s({name: _cpu(p) for name, p in programs.items()})
    for name, program in programs.items():
        yield f"idle, {name}: processor", 100 * rates[name], "% of a core"
        yield f"idle, {name}: memory", rss_kb(program) / 1024, "MB"
    reads = growth_per_s({"reads": lambda: cell.counts()[0]})["reads"]
    writes = growth_per_s({"writes": lambda: cell.counts()[1]})["writes"]
    for key in ("config/head", f"owners/{FAILURE_DOMAIN}"):
        size = exchange_bytes(cell.platform.address, "GET", f"/table/{key}")
        yield f"table read of {key}", size, "bytes"
    yield "table reads, 1 entry + owner + standby", reads, "1/s"
    yield "table writes, 1 entry + owner + standby", writes, "1/s"


def _owner(schedulers):
    for program in schedulers:
        if program.popen.poll() is not None:
            continue
        state = call_json(program.address, "GET", "/state")[1]
        if state["scheduler"]["owner"]["loaded"]:
            return program
    return None


def _wait_owner(schedulers):
    return wait_until(lambda: _owner(schedulers), "a scheduler owns the failure domain")


def measure_tasks(cell):
    """Cost to an owner of its workers, running tasks and task starts."""
    (entry,), (scheduler,) = _start_control_plane(cell)
    one_worker = _sample_owner(cell, scheduler, workers=1)
    all_workers = _sample_owner(cell, scheduler, workers=WORKERS - 1, total=WORKERS)
    renewals = all_workers["renewals"] - one_worker["renewals"]
    renew_us = 1e6 * (all_workers["cpu"] - one_worker["cpu"]) / renewals
    yield "lease renewal: owner's processor", renew_us, "µs"
    worker_kb = (all_workers["rss"] - one_worker["rss"]) / (WORKERS - 1)
    yield "worker: owner's memory", worker_kb, "KB"
    yield (
        f"owner of {WORKERS} workers: processor",
        100 * all_workers["cpu"],
        "% of a core",
    )
    for size in (510, 510, 510):
        cell.submit(entry, "service", size, {"service": True})
    _wait_running(scheduler, TASKS)
    time.sleep(SETTLE_S)
    with_tasks = _sample(cell, scheduler)
    yield (
        "running task: owner's memory",
        (with_tasks["rss"] - all_workers["rss"]) / TASKS,
        "KB",
    )
    text = f"owner of {WORKERS} workers and {TASKS} tasks"
    yield f"{text}: processor", 100 * with_tasks["cpu"], "% of a core"
    yield f"{text}: memory", with_tasks["rss"] / 1024, "MB"
    reported = TASKS * with_tasks["renewals"] / WORKERS
    task_us = 1e6 * (with_tasks["cpu"] - all_workers["cpu"]) / reported
    yield "running task in a renewal: owner's processor", task_us, "µs"
    yield f"{text}: table reads", with_tasks["reads"], "1/s"
    yield f"{text}: table writes", with_tasks["writes"], "1/s"
    yield from _renewal_bytes(cell)
    for jobs, size in ((100, 1), (20, 20)):
        yield from _measure_starts(cell, entry, scheduler, with_tasks, jobs, size)


def _sample_owner(cell, scheduler, workers, total=1):
    cell.start("standins.worker", id=f"w{total}", count=workers)
    _wait_workers(cell, scheduler, total)
    time.sleep(SETTLE_S)
    return _sample(cell, scheduler)


def _sample(cell, scheduler):
    name = 'cornelward_worker_calls_total{operation="renew"'
    # Separate measurement windows: reading the metrics costs the scheduler CPU time.
    cpu = growth_per_s({"cpu": _cpu(scheduler)})
    rest = growth_per_s(
        {
            "renewals": lambda: cell.metric(scheduler, name),
            "reads": lambda: cell.counts()[0],
            "writes": lambda: cell.counts()[1],
        }
    )
    return {**cpu, **rest, "rss": rss_kb(scheduler)}


def _running_tasks(scheduler):
    state = call_json(scheduler.address, "GET", "/state")[1]["scheduler"]
    return sum(worker["tasks"] for worker in state["workers"])


def _wait_running(scheduler, count):
    wait_until(lambda: _running_tasks(scheduler) == count, f"{count} tasks run", 120)


def _renewal_bytes(cell):
    members = call_json(cell.platform.address, "GET", "/members")[1]["instances"]
    addresses = [item["address"] for item in members if item["kind"] == "worker"]
    body = {"epoch": 1, "owner": "s0", "lease_until_ms": 0, "ack": []}
    sizes = {}
    for address in addresses[:40]:
        status, report = call_json(address, "POST", "/lease", body)
        if status == 200:
            size = exchange_bytes(address, "POST", "/lease", body)
            sizes[len(report["running"])] = size
    low, high = min(sizes), max(sizes)
    slope = (sizes[high] - sizes[low]) / max(1, high - low)
    yield "lease renewal without tasks", sizes[low] - slope * low, "bytes"
    yield "running task in a renewal", slope, "bytes"
    start = {"task": "a1.0123456789abcdef01234567.100", "attempt": 1, "epoch": 0}
    start |= {"demand": {"cpu": 1, "memory_mb": 100, "accelerators": 0}}
    start |= {"lease_until_ms": 90_000_000_000, "run": {"ms": 100}}
    size = exchange_bytes(addresses[0], "POST", "/tasks", start)
    yield "start command", size, "bytes"
    size = exchange_bytes(cell.platform.address, "GET", "/members")
    yield f"membership list of {len(members)} instances, when it changed", size, "bytes"
    tag = _etag(cell.platform.address)
    size = exchange_bytes(cell.platform.address, "GET", "/members", headers=[tag])
    yield "membership list, unchanged", size, "bytes"


def _etag(address):
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    conn.request("GET", "/members")
    return "If-None-Match", conn.getresponse().headers["ETag"]


def _measure_starts(cell, entry, scheduler, background, jobs, size):
    """Cost of starting and ending ``jobs`` jobs of ``size`` tasks.

    The rates in ``background``, measured before, are subtracted.
    """
    start = time.monotonic()
    cpu, entry_cpu, (reads, writes) = cpu_s(scheduler), cpu_s(entry), cell.counts()
    ids = [cell.submit(entry, "batch", size, {"ms": 100}) for _ in range(jobs)]
    submitted_s = time.monotonic() - start
    # Polls the scheduler, not the table or the entry: their counts and processor time
    # are part of the result.
    wait_until(lambda: not _unfinished(scheduler, ids), "all jobs end", 120)
    elapsed_s = time.monotonic() - start
    counts = cell.counts()
    tasks = jobs * size
    cpu_us = 1e6 * (cpu_s(scheduler) - cpu - background["cpu"] * elapsed_s) / tasks
    text = f"task start and end, jobs of {size}"
    yield f"{text}: owner's processor", cpu_us, "µs"
    for name, total, rate in (
        ("reads", counts[0] - reads, background["reads"]),
        ("writes", counts[1] - writes, background["writes"]),
    ):
        yield f"{text}: table {name}", (total - rate * elapsed_s) / tasks, ""
    entry_us = 1e6 * (cpu_s(entry) - entry_cpu) / jobs
    yield f"job submission: entry's processor (jobs of {size})", entry_us, "µs"
    yield f"{text}: rate in this run", tasks / elapsed_s, "1/s"
    yield f"{text}: submissions", jobs / submitted_s, "1/s"


def _unfinished(scheduler, ids):
    state = call_json(scheduler.address, "GET", "/state")[1]["scheduler"]
    return {job["id"] for job in state["jobs"]} & set(ids)


def measure_entry(cell):
    """Cost to an entry of open caller connections and queued requests."""
    (entry,), _ = _start_control_plane(cell)
    cell.start("standins.executor", id="x", service="quotes", run_ms=600_000)
    wait_until(lambda: _instances(cell) == 1, "the executor is in the membership list")
    time.sleep(SETTLE_S)
    before = rss_kb(entry)
    host, _, port = entry.address.rpartition(":")
    request = (
        f"POST /v1/services/quotes/price HTTP/1.1\r\nHost: {entry.address}\r\n"
        "X-Timeout-Ms: 600000\r\nContent-Length: 200\r\n\r\n" + "x" * 200
    ).encode("ascii")
    socks = [socket.create_connection((host, int(port))) for _ in range(CALLERS)]
    time.sleep(SETTLE_S)
    opened = rss_kb(entry)
    yield "open caller connection: entry's memory", (opened - before) / CALLERS, "KB"
    for sock in socks:
        sock.sendall(request)
    wait_until(
        lambda: cell.metric(entry, "cornelward_open_requests") == CALLERS,
        "all requests are open",
    )
    time.sleep(SETTLE_S)
    queued = rss_kb(entry)
    yield "queued request: entry's memory", (queued - opened) / CALLERS, "KB"
    text = f"entry with {CALLERS} callers and queued requests"
    yield f"{text}: memory", queued / 1024, "MB"
    rate = growth_per_s({"cpu": _cpu(entry)})["cpu"]
    yield f"{text}, at rest: processor", 100 * rate, "% of a core"
    for sock in socks:
        sock.close()


def _instances(cell):
    return len(call_json(cell.platform.address, "GET", "/members")[1]["instances"])


def measure_heartbeats(cell):
    """Cost of heartbeats: an entry with peers compared with one that has none."""
    (entry,), _ = _start_control_plane(cell)
    time.sleep(SETTLE_S)
    cpu_without_peers = growth_per_s({"cpu": _cpu(entry)})["cpu"]
    peers = [cell.start("cornelward.entry", id=f"p{i}") for i in range(PEERS)]
    cell.wait_ready(peers)
    time.sleep(2 * SETTLE_S)
    cpu_with_peers = growth_per_s({"cpu": _cpu(entry)})["cpu"]
    # The interval is 0.5 s: two heartbeats a second in each direction for each peer,
    # each with its reply.
    heartbeats_per_s = 4 * PEERS
    heartbeat_us = 1e6 * (cpu_with_peers - cpu_without_peers) / heartbeats_per_s
    yield "heartbeat with its reply: entry's processor", heartbeat_us, "µs"
    beat = Heartbeat(7, 100_000, 1e6, 300, {"quotes": 100}, {"quotes": 8}, [])
    size = len(encode("e0", 1, beat)) + len(encode("e0", 1, HeartbeatAck(7, 1, 1e6)))
    yield "heartbeat with its reply", size, "bytes"


def measure_config(cell):
    """Cost of a configuration change with 220 teams, and time until it is adopted."""
    entries, schedulers = _start_control_plane(
        cell, schedulers=2, entries=PEERS, teams=220
    )
    programs = [*entries, *schedulers]
    time.sleep(SETTLE_S)
    idle = growth_per_s({p.folder.name: _cpu(p) for p in programs})
    before = {p.folder.name: cpu_s(p) for p in programs}
    start = time.monotonic()
    slowest_s = 0.0
    for number in range(CONFIG_CHANGES):
        changed = base_objects(220)
        changed[-1]["demand"] = {"cpu": 1, "memory_mb": 100 + number}
        begin = time.time()
        version = cell.publish(entries[0], changed)
        # Adoption is read from the log files, because requests would cost the measured
        # programs processor time.
        adopted = [_wait_adopted(program, version) for program in programs]
        slowest_s = max(slowest_s, max(adopted) - begin)
    elapsed_s = time.monotonic() - start
    cost = {
        p.folder.name: cpu_s(p)
        - before[p.folder.name]
        - idle[p.folder.name] * elapsed_s
        for p in programs
    }
    yield f"configuration change, slowest of {CONFIG_CHANGES} in force", slowest_s, "s"
    roles = {
        "publishing entry": entries[0],
        "other entry": entries[1],
        "scheduler": schedulers[0],
    }
    for role, program in roles.items():
        each_ms = 1000 * cost[program.folder.name] / CONFIG_CHANGES
        text = f"configuration change (220 teams): {role}'s processor"
        yield text, each_ms, "ms"
    path = f"/table/config/doc/{cell.version}"
    size = exchange_bytes(cell.platform.address, "GET", path)
    yield "configuration document (220 teams), one transfer", size, "bytes"


def _wait_adopted(program, version):
    """Return when a program adopted a version or a later one, in Unix time."""

    def adopted():
        events = program.log_events("config_follow.adopted")
        return next((e["timestamp"] for e in events if e["version"] >= version), None)

    return wait_until(adopted, f"configuration version {version} is adopted")


def measure_urgent(cell):
    """Time from submission to start of an urgent task while all workers are full.

    Measured in normal operation and right after a kill of the scheduler that owns them.
    """
    (entry,), schedulers = _start_control_plane(cell, schedulers=2)
    record = cell.launcher.folder / "record"
    workers = {"cpu": 4.0, "record_file": str(record), "count": 3}
    cell.start("standins.worker", id="w", **workers)
    owner = _wait_owner(schedulers)
    _wait_workers(cell, owner, 3)
    cell.submit(entry, "batch", 12, {"ms": 600_000})
    _wait_running(owner, 12)

    def urgent():
        begin = time.monotonic()
        job_id = cell.submit(entry, "urgent", 1, {"ms": 600_000})
        try:
            wait_until(
                lambda: job_id in record.read_text(), "the urgent task starts", 30
            )
        except AssertionError:
            # The table row shows "inf" for a task that did not start within 30 s.
            return math.inf
        return time.monotonic() - begin

    yield "urgent task on full workers: start", max(urgent() for _ in range(3)), "s"
    waits_s = []
    for number in range(OWNER_KILLS):
        owner = _wait_owner(schedulers)
        owner.kill()
        waits_s.append(urgent())
        schedulers.append(cell.start("cornelward.scheduler", id=f"r{number}"))
        cell.wait_ready(schedulers[-1:])
        # Gives the standby time to see the owner's row in the table change.
        time.sleep(SETTLE_S)
    text = f"urgent task, owner killed just before, {OWNER_KILLS} times"
    yield f"{text}: fastest start", min(waits_s), "s"
    yield f"{text}: slowest start", max(waits_s), "s"


MEASUREMENTS = {
    "idle": measure_idle,
    "tasks": measure_tasks,
    "entry": measure_entry,
    "heartbeats": measure_heartbeats,
    "config": measure_config,
    "urgent": measure_urgent,
}


def main(argv=None):
    """Run the named measurements, or all; returns 0, or 2 for an unknown name."""
    names = (sys.argv[1:] if argv is None else argv) or list(MEASUREMENTS)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        print(
            f"unknown part {unknown[0]}; parts: {', '.join(MEASUREMENTS)}",
            file=sys.stderr,
        )
        return 2
    print("| part | measured | value | unit |\n|---|---|---:|---|")
    for name in names:
        with tempfile.TemporaryDirectory() as folder:
            launcher = Launcher(folder)
            try:
                for text, value, unit in MEASUREMENTS[name](Cell(launcher)):
                    print(f"| {name} | {text} | {value:,.4g} | {unit} |", flush=True)
            finally:
                launcher.close()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
