"""Stand-in for the operators' platform: store, workers and policy service in one loop.

Used only by tests and tools; it serves the platform's protocol on loopback. Attributes
inject faults. Store: ``down`` answers every call with 503, ``slow_s`` delays each call,
``lose_answer_rate`` is the share of transactions that are applied but not answered,
``history_lost`` answers the feed with 410, as if its history were gone;
``feed_rows`` is the number of rows after which an answer of the feed ends;
``unreadable_values`` maps the (table, part, key) of rows to what is served in place of
their values. The workers are in ``cell_worker``.
"""

import base64
import random
import time
from urllib.parse import parse_qs, unquote

import msgspec

from cornelward.commits import partition_of
from cornelward.http_server import HttpServer
from cornelward.staged_jobs import decode_spec

from .cell_worker import LOOPBACK_ADDRESS, StandinWorker
from .crash_rules import CrashCounts, allowed_cpu
from .gang_runs import GangRuns

__all__ = [
    "QUOTA_OVERAGE",
    "ROUTE",
    "Cell",
    "StandinPolicyService",
    "StandinStore",
    "StandinWorker",
]

# Limits on the value of a row and on a transaction, in bytes.
ROW_BYTES, MAX_TXN_BYTES = 65_536, 1_000_000
PAGE_ROWS = 500
# Fraction by which a workspace may exceed its cap.
QUOTA_OVERAGE = 0.1
# A route for the configuration (``Cell.configure``).
ROUTE = {
    "name": "q",
    "host": "jobs.example",
    "path_prefix": "/jobs/",
    "service": "svc",
    "type": "non_idempotent",
    "timeout_ms": 3_000,
    "latency_slo_ms": 1_000,
    "priority": 1,
    "max_attempts": 3,
    "stretch": 2.0,
}


class StandinStore:
    """The store: versioned rows with transactions, paged listings and a change feed."""

    def __init__(self, loop, seed):
        self.loop = loop
        self.rng = random.Random(seed)
        self.rows = {}
        self.version = 0
        self.changes = []
        self.waiting_feeds = []
        self.calls = 0
        self.down = self.history_lost = False
        self.slow_s = self.lose_answer_rate = 0.0
        self.unreadable_values = {}
        self.feed_rows = PAGE_ROWS
        self.server = HttpServer(loop, LOOPBACK_ADDRESS, self.handle)
        self.address = self.server.address

    def put(self, table, key, value, part=""):
        """Write one row as an operator or a worker does; a value of None deletes it."""
        self._apply([(table, part, key, value)])

    def handle(self, call):
        """Serve one call, subject to ``down`` and ``slow_s``."""
        self.calls += 1
        if self.down:
            call.answer_json(503, {})
            return
        if self.slow_s:
            self.loop.call_later(self.slow_s, lambda: self._serve(call))
        else:
            self._serve(call)

    def _serve(self, call):
        req = call.request
        query = {k: v[0] for k, v in parse_qs(req.query).items()}
        if req.path == "/rows-tx":
            self._transact(call, msgspec.json.decode(req.body))
        elif req.path == "/rows-get":
            self._list_rows(call, query)
        elif req.path == "/rows-feed":
            self._feed(call, query)
        else:
            call.answer_json(404, {})

    def _row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        text = base64.b64encode(value).decode()
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": self.unreadable_values.get(name, text),
            "row_version": version,
        }

    def _transact(self, call, body):
        names = [
            ((e["table"], e["part"], e["key"]), e["row_version"])
            for e in body["expected_revision"]
        ]
        entries = [*body["expected_revision"], *body["writes"], *body["remove"]]
        if len(entries) > 100 or len({e["part"] for e in entries}) > 1:
            call.answer_json(400, {"reason": "too many entries or parts"})
            return
        sizes = [len(base64.b64decode(w["value"])) for w in body["writes"]]
        if len(call.request.body) > MAX_TXN_BYTES or max(sizes, default=0) > ROW_BYTES:
            call.answer_json(400, {"reason": "a row or the transaction is too large"})
            return
        if any(self.rows.get(name, (None, 0))[1] != v for name, v in names):
            rows = [self._row(name) for name, _ in names if name in self.rows]
            call.answer_json(412, {"rows": rows, **self._revision()})
            return
        writes = [
            (w["table"], w["part"], w["key"], base64.b64decode(w["value"]))
            for w in body["writes"]
        ]
        writes += [(w["table"], w["part"], w["key"], None) for w in body["remove"]]
        self._apply(writes)
        if self.rng.random() >= self.lose_answer_rate:
            call.answer_json(200, self._revision())

    def _apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self.changes.append((self.version, table, part, key))
        waiting_feeds, self.waiting_feeds = self.waiting_feeds, []
        for call, table, after, _ in waiting_feeds:
            self._answer_feed(call, table, after, False)
        self.waiting_feeds += [w for w in waiting_feeds if not w[0].answered]

    def _revision(self):
        now_ms = int(time.monotonic() * 1000)
        return {"row_version": self.version, "now_ms": now_ms}

    def _list_rows(self, call, query):
        table, part = query["table"], query.get("part", "")
        first, end = unquote(query.get("from", "")), unquote(query.get("to", ""))
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (table, part)
            and name[2] >= first
            and (not end or name[2] < end)
        )
        rows = [self._row(name) for name in names[:PAGE_ROWS]]
        more = len(names) > PAGE_ROWS
        call.answer_json(200, {"rows": rows, "has_more": more, **self._revision()})

    def _feed(self, call, query):
        after, table = int(query["after"]), query["table"]
        if self.history_lost:
            call.answer_json(410, {})
            return
        self._answer_feed(call, table, after, False)
        if not call.answered:
            self.waiting_feeds.append((call, table, after, None))
            wait_s = int(query["wait_ms"]) / 1000
            end = lambda: self._answer_feed(call, table, after, True)  # noqa: E731
            self.loop.call_later(wait_s, end)

    def _answer_feed(self, call, table, after, is_last):
        if call.answered:
            return
        names, version = {}, self.version
        for changed_at, *name in self.changes:
            if changed_at <= after or name[0] != table:
                continue
            if len(names) >= self.feed_rows and changed_at > version:
                break
            names[tuple(name)], version = None, changed_at
        else:
            version = self.version
        if not names and not is_last:
            return
        rows = [
            self._row(name)
            if name in self.rows
            else {"key": name[2], "deleted": True, "row_version": self.version}
            for name in names
        ]
        call.answer_json(
            200, {"rows": rows, **self._revision(), "row_version": version}
        )


class StandinPolicyService:
    """The policy service: approves the workers for which ``cell.approves`` is true."""

    def __init__(self, cell):
        self.cell = cell
        self.calls = 0
        self.server = HttpServer(cell.loop, LOOPBACK_ADDRESS, self.handle)

    def handle(self, call):
        self.calls += 1
        body = msgspec.json.decode(call.request.body)
        approved = [[w, f"t-{w}"] for w in body["workers"] if self.cell.approves(w)]
        answer = {"approved": approved, "valid_ms": 2_500}
        self.cell.loop.call_later(0.02, lambda: call.answer_json(200, answer))


class Cell:
    """A platform with workers; records all starts and violations of the guarantees.

    ``approves(worker_id)`` decides for the policy service; with None, workers start
    tasks without a ticket. ``starts`` lists (worker id, task, attempt). Each worker
    that starts a task for which ``deadly(task name)`` is true crashes soon afterwards.
    """

    def __init__(self, loop, workers=3, cpu=8_000, run_s=0.2, approves=None, seed=1):
        self.loop = loop
        self.service = "svc"
        self.run_s = run_s
        self.approves = approves
        self.starts = []
        self.violations = []
        self.deadly = lambda name: False
        self.crashes = CrashCounts()
        # Task whose run ended as done -> (worker, life and number of that end).
        self.finished = {}
        # Job id -> JobSpec of the jobs of which tasks have started.
        self.specs = {}
        # Workspace -> processors that it may use, and the most that capped ones used.
        self.caps = {}
        self.peak_use = 0
        self.rng = random.Random(seed)
        self.max_attempts = ROUTE["max_attempts"]
        self.gangs = GangRuns(self, seed)
        self.store = StandinStore(loop, seed)
        self.advice = StandinPolicyService(self)
        self.workers = {
            f"i-{n}": StandinWorker(self, f"i-{n}", f"r1-{n % 2}", cpu)
            for n in range(workers)
        }

    def on_run_started(self, worker, key):
        self.starts.append((worker.id, *key))
        for other in self.workers.values():
            # One that is cut off ends its runs by itself.
            other.check_lease()
            if any(k[0] == key[0] and k != key for k in other.running):
                self.violations.append(f"{key[0]} runs twice at once")
        if key[0] in self.finished and not self._is_void(*self.finished[key[0]]):
            self.violations.append(f"{key[0]} started after it was done")
        used = sum(self.cpu_of(name) for name, _ in worker.running)
        if used > allowed_cpu(worker.capacities, self.loop.now()):
            self.violations.append(f"LIMIT: {worker.id} is overcommitted with {used}")
        self._check_cap(key[0])
        if self.deadly(key[0]) and self.crashes.count_start(key[0]):
            self.violations.append(f"BUDGET: {key[0]} on {worker.id}")
        if self.gangs.is_gang(key) and self.gangs.on_start(key):
            self.violations.append(f"BUDGET: gang of {key[0]}, run {key[1]}")

    def _check_cap(self, name):
        """Check that a start keeps its workspace within the cap and one task more.

        Runs on a worker whose lease has expired do not count: it ends them by itself.
        """
        workspace = self.workspace_of(name)
        cap = self.caps.get(workspace)
        if cap is None:
            return
        used = sum(
            self.cpu_of(other)
            for worker in self.workers.values()
            if worker.clock_ms <= worker.deadline_ms
            for other, _ in worker.running
            if self.workspace_of(other) == workspace
        )
        self.peak_use = max(self.peak_use, used)
        if used > cap * (1 + QUOTA_OVERAGE) + self.cpu_of(name):
            self.violations.append(f"QUOTA: {workspace} uses {used} with {name}")

    def spec_of(self, name):
        """Return the JobSpec of a task's job, or None if it is unknown."""
        job_id = name.split(".")[0]
        if job_id not in self.specs:
            row = self.store.rows.get(("jobs", partition_of(job_id), job_id))
            if row is None:
                return None
            self.specs[job_id] = decode_spec(row[0])
        return self.specs[job_id]

    def workspace_of(self, name):
        """Return the workspace of a task's job, or None if the job is unknown."""
        spec = self.spec_of(name)
        return None if spec is None else spec.workspace

    def cpu_of(self, name):
        """Return the processors that count for a run, 0 if its job is unknown."""
        spec = self.spec_of(name)
        if spec is None:
            return 0
        step = spec.steps[int(name.split(".")[2])]
        return 0 if step.backfill else step.cpu

    def on_run_ended(self, worker, key, outcome, end):
        """Note the end of a run; ``end`` is the worker's life and the end's number."""
        if outcome == "done":
            self.finished[key[0]] = (worker, end)
        if self.gangs.is_gang(key):
            self.gangs.on_end(key, outcome)

    def _is_void(self, worker, end):
        """Return whether the end of a run is void, so that the task may run again.

        By the platform's rules an end is void if the worker's lease expired before the
        end was acknowledged, because nobody could learn of it. So is one that was not
        acknowledged when the worker crashed.
        """
        worker.check_lease()
        return end in worker.void_ends

    def configure(self, version, routes, keys=None, caps=None):
        """Write the operators' configuration.

        ``keys`` maps workspaces to their keys, ``caps`` to the processors that they may
        use at once, in thousandths of a core.
        """
        self.caps = caps or {}
        tenants = [
            {"name": n, "api_keys": list(k), "cap": {"cpu": self.caps.get(n, 0)}}
            for n, k in (keys or {}).items()
        ]
        config = {
            **({"tenants": tenants} if tenants else {}),
            "version": version,
            "routes": routes,
            "services": [{"name": self.service}],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
        }
        self.store.put("op", "config", msgspec.json.encode(config))
