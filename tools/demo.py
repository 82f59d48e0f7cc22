"""Demo (``python -m tools.demo``): runs work through a small cluster on loopback.

Exits with 0 only if every accepted request and job had the expected outcome. With
``--keep``, no work is sent and the cluster runs until the command is interrupted.
"""

import argparse
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

from cornelward.formatting import format_table

from .demo_cluster import DEFAULT_KEEP_PORT, run_cli, start_cluster, wait_ready
from .launch import call_json, wait_until

__all__ = ["main"]

SEED = 7
REQUESTS = 400
REQUESTS_PER_S = 80.0
CALLER_THREADS = 48
REQUEST_LIMIT_S = 30.0
JOB_LIMIT_S = 30.0
DUMP_LINES = 24
# For each operation: share of the requests, run time in milliseconds.
OPERATION_MIX = {"quote": (0.75, 10), "report": (0.1, 400), "book": (0.15, 20)}
JOBS = ("phone-bridge", "manifests", "route-rebuild")
FINAL_JOB_STATES = ("succeeded", "failed", "cancelled", "refused", "lost")


class Tally:
    """Outcome counts of one operation or job.

    ``waits_ms`` holds the waiting times in milliseconds: a job's from its submission to
    the start of each task, a request's without its run time. ``problems`` describes
    each deviation from the expected outcome.
    """

    def __init__(self):
        self.sent = self.answered = self.started = self.finished = 0
        self.waits_ms = []
        self.problems = []


def plan_requests():
    """Yield (seconds after the start, operation, request id), the same in each run."""
    rng = random.Random(SEED)
    operations, shares = (
        list(OPERATION_MIX),
        [share for share, _ in OPERATION_MIX.values()],
    )
    due = 0.0
    for number in range(REQUESTS):
        due += rng.expovariate(REQUESTS_PER_S)
        operation = rng.choices(operations, shares)[0]
        yield due, operation, f"demo-{operation}-{number}"


def send_requests(entries):
    """Send the planned requests to the entries in turn.

    Returns a list of (operation, request id, status, answer, elapsed seconds). After a
    connection error the status is None and the answer describes the error.
    """
    start = time.monotonic()

    def send(number, due, operation, request_id):
        time.sleep(max(0.0, start + due - time.monotonic()))
        body = {"run_ms": OPERATION_MIX[operation][1], "id": request_id}
        headers = {"X-Request-Id": request_id, "Idempotency-Key": request_id}
        path = f"/v1/services/pickup/{operation}"
        sent_at = time.monotonic()
        try:
            status, answer = call_json(
                entries[number % len(entries)],
                "POST",
                path,
                body,
                REQUEST_LIMIT_S,
                headers,
            )
        except OSError as exc:
            status, answer = None, repr(exc)
        return operation, request_id, status, answer, time.monotonic() - sent_at

    with ThreadPoolExecutor(CALLER_THREADS) as pool:
        plan = enumerate(plan_requests())
        futures = [pool.submit(send, i, *request) for i, request in plan]
        return [future.result() for future in futures]


def check_requests(results, executors):
    """Compare the answers with the executors' records; returns a Tally by operation."""
    records = [call_json(address, "GET", "/record")[1] for address in executors]
    runs = {}
    for request_id, *_ in (run for record in records for run in record["ran"]):
        runs[request_id] = runs.get(request_id, 0) + 1
    tallies = {operation: Tally() for operation in OPERATION_MIX}
    for operation, request_id, status, answer, elapsed_s in results:
        tally, run_ms = tallies[operation], OPERATION_MIX[operation][1]
        tally.sent += 1
        tally.started += request_id in runs
        problem = _request_problem(request_id, status, answer, runs.get(request_id, 0))
        if problem:
            tally.problems.append(f"{request_id}: {problem}")
        if status == 200:
            tally.answered += 1
            tally.finished += 1
            tally.waits_ms.append(max(0.0, elapsed_s * 1000 - run_ms))
    for address, record in zip(executors, records, strict=True):
        if record["max_in_flight"] > 8:
            text = (
                f"executor {address} had {record['max_in_flight']} requests in flight"
            )
            tallies["quote"].problems.append(text)
    return tallies


def _request_problem(request_id, status, answer, runs):
    if status == 200:
        if answer.get("id") != request_id:
            return f"answer has another request id: {answer}"
        return None if runs == 1 else f"answered with status 200, ran {runs} times"
    error = (answer or {}).get("error", {}) if isinstance(answer, dict) else {}
    if error.get("verdict") == "NOT_RUN" and runs == 0:
        # The entry refused the request, and no executor ran it.
        return None
    return f"status {status}, answer {answer}, ran {runs} times"


def submit_jobs(entries):
    """Submit the jobs with the command-line tool.

    Returns a list of (workload, job id, monotonic time of the submission).
    """
    jobs = []
    for number, workload in enumerate(JOBS):
        submitted = time.monotonic()
        entry = entries[number % len(entries)]
        out = run_cli(
            "submit", workload, "--key", f"demo-{workload}", "--json", entry=entry
        )
        jobs.append((workload, json.loads(out)["id"], submitted))
    return jobs


def read_job(entry, job_id):
    """Return the record of a job, or one without tasks if the entry did not send it."""
    try:
        status, record = call_json(entry, "GET", f"/v1/jobs/{job_id}")
    except OSError:
        return {"state": "unknown", "tasks": []}
    return record if status == 200 else {"state": f"status {status}", "tasks": []}


def wait_for_jobs(entries, jobs):
    """Cancel the service job once all its tasks run; wait until every job has ended.

    Returns the state that each workload's job reached, before the cancellation for the
    service job; "cancelled service" is the service job's state afterwards.
    """
    entry, states = entries[0], {}
    for workload, job_id, _ in jobs:
        wanted = ("running",) if workload == "phone-bridge" else ()

        def reached(job_id=job_id, wanted=wanted):
            record = read_job(entry, job_id)
            running = all(task["state"] == "running" for task in record["tasks"])
            ended = record["state"] in FINAL_JOB_STATES
            return ended or (record["state"] in wanted and running)

        _wait_or_warn(reached, f"expected state of job {job_id}")
        states[workload] = read_job(entry, job_id)["state"]
        if states[workload] == "running":
            run_cli("cancel", job_id, entry=entry)
    job_id = jobs[0][1]
    _wait_or_warn(
        lambda: read_job(entry, job_id)["state"] in FINAL_JOB_STATES,
        f"end of job {job_id}",
    )
    states["cancelled service"] = read_job(entry, job_id)["state"]
    return states


def _wait_or_warn(condition, what):
    try:
        wait_until(condition, what, JOB_LIMIT_S)
    except AssertionError as exc:
        print(f"demo: {exc}", file=sys.stderr)


def running_tasks(workers):
    """Return the tasks that are running on the workers."""
    records = [call_json(address, "GET", "/record")[1] for address in workers]
    return [task for record in records for task in record["running"]]


def check_jobs(jobs, states, workers):
    """Compare the jobs with the workers' records; returns a Tally by workload."""
    records = [call_json(address, "GET", "/record")[1] for address in workers]
    events = [event for record in records for event in record["events"]]
    tallies = {}
    for workload, job_id, submitted in jobs:
        tally = tallies[workload] = Tally()
        own = [e for e in events if e[2] == job_id or e[2].startswith(f"{job_id}.")]
        starts = [e for e in own if e[0] == "start"]
        tally.sent = tally.answered = 1
        tally.started = len({e[2] for e in starts})
        tally.finished = len({e[2] for e in own if e[0] == "end"})
        tally.waits_ms = [(e[4] - submitted) * 1000 for e in starts]
        if len(starts) != tally.started:
            tally.problems.append(f"{len(starts)} starts of {tally.started} tasks")
        if tally.started != tally.finished or not starts:
            tally.problems.append(
                f"{tally.started} tasks started, {tally.finished} ended"
            )
        expected = "running" if workload == "phone-bridge" else "succeeded"
        if states[workload] != expected:
            tally.problems.append(f"job state {states[workload]}, expected {expected}")
    if states["cancelled service"] != "cancelled":
        text = f"job state {states['cancelled service']} after the cancellation"
        tallies["phone-bridge"].problems.append(text)
    for record in records:
        if any(
            record["greatest"][r] > record["capacity"][r] for r in record["greatest"]
        ):
            text = f"worker {record['worker']} was allocated more than its capacity"
            tallies["manifests"].problems.append(text)
    return tallies


def print_tallies(tallies):
    """Print a table of the tallies and up to 20 problems.

    Returns whether there are no problems.
    """
    rows = []
    for kind, tally in tallies.items():
        waits = sorted(tally.waits_ms) or [0.0]
        p50, p99 = waits[len(waits) // 2], waits[int(len(waits) * 0.99)]
        counts = (tally.sent, tally.answered, tally.started, tally.finished)
        rows.append((kind, *counts, f"{p50:.0f}", f"{p99:.0f}", len(tally.problems)))
    headers = ("KIND", "SENT", "ACCEPTED", "STARTED", "FINISHED")
    headers += ("WAIT P50 MS", "WAIT P99 MS", "WRONG")
    print(format_table(headers, rows, sys.stdout.isatty()))
    print("For jobs, STARTED and FINISHED count tasks; the service job is cancelled.")
    problems = [text for tally in tallies.values() for text in tally.problems]
    for text in problems[:20]:
        print(f"wrong: {text}")
    return not problems


def run_work(cluster):
    """Send the work, check its outcome and stop the daemons.

    Returns whether every outcome was as expected and every daemon exited with code 0.
    """
    entries = cluster.addresses("cornelward.entry")
    jobs = submit_jobs(entries)
    results = send_requests(entries)
    states = wait_for_jobs(entries, jobs)
    tallies = check_requests(results, cluster.addresses("standins.executor"))
    workers = cluster.addresses("standins.worker")
    # A cancelled job reaches its final state before its workers are told to stop it.
    _wait_or_warn(lambda: not running_tasks(workers), "no task runs on any worker")
    tallies |= check_jobs(jobs, states, workers)
    right = print_tallies(tallies)
    dump = run_cli("dump", entry=entries[0]).splitlines()
    print(f"\nstate of entry {entries[0]}, first lines of {len(dump)}:")
    print("\n".join(dump[:DUMP_LINES]))
    failed = cluster.stop_daemons()
    for name, code in failed.items():
        print(f"wrong: {name} ended with exit code {code}")
    return right and not failed


def show_addresses(cluster):
    """Print the id, listening address and process id of each program."""
    rows = [
        (program.settings["id"], program.address, program.pid)
        for program in cluster.launcher.programs
    ]
    print(format_table(("PROGRAM", "ADDRESS", "PID"), rows, sys.stdout.isatty()))
    print(f"\nexport CORNELWARD_ENTRY={cluster.addresses('cornelward.entry')[0]}")


def _interrupt(signo, frame):
    raise KeyboardInterrupt


def run_demo(folder, keep, port):
    """Run the demo with settings and logs in ``folder``; returns the exit code."""
    cluster = start_cluster(folder, port)
    try:
        entry = cluster.addresses("cornelward.entry")[0]
        print(run_cli("apply", "examples/demo", entry=entry).strip())
        wait_ready(cluster, 1)
        if not keep:
            return 0 if run_work(cluster) else 1
        show_addresses(cluster)
        print(f"logs are in {folder}; Ctrl-C stops everything", flush=True)
        signal.pause()
    except KeyboardInterrupt:
        print("interrupted: stopping", file=sys.stderr)
        return 0 if keep else 130
    finally:
        cluster.launcher.close()


def main(argv=None):
    """Run the demo; returns the exit code."""
    parser = argparse.ArgumentParser(prog="tools.demo", description=__doc__)
    parser.add_argument("--keep", action="store_true", help="run until interrupted")
    parser.add_argument(
        "--port",
        type=int,
        help="first port; 0 uses free ports "
        f"(default: {DEFAULT_KEEP_PORT} with --keep)",
    )
    args = parser.parse_args(argv)
    # A shell without job control starts background commands with SIGINT ignored.
    # Explicit handlers let both signals end the demo there too.
    signal.signal(signal.SIGINT, _interrupt)
    signal.signal(signal.SIGTERM, _interrupt)
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="cornelward-demo-") as folder:
        try:
            port = (
                DEFAULT_KEEP_PORT if args.keep and args.port is None else args.port or 0
            )
            code = run_demo(folder, args.keep, port)
        except KeyboardInterrupt:
            return 130
        except subprocess.CalledProcessError as exc:
            print(f"demo: {exc.stderr.strip()}", file=sys.stderr)
            return 1
        except AssertionError as exc:
            print(f"demo: {exc}", file=sys.stderr)
            return 1
    print(
        f"{'right' if code == 0 else 'failed'} after {time.monotonic() - started:.0f} s"
    )
    return code


if __name__ == "__main__":
    raise SystemExit(main())
