"""Stand-in for the operators' platform: store, workers and policy service in one loop.

Used only by tests and tools; it serves the platform's protocol on loopback. Attributes
inject faults. Store: ``down`` answers every call with 503, ``slow_s`` delays each call,
``lose_answer_rate`` is the share of transactions that are applied but not answered,
``history_lost`` answers the feed with 410, as if its history were gone. Worker:
``silent`` neither answers nor registers, ``fails`` ends each run as failed.
"""

import base64
import itertools
import random
import time
from urllib.parse import parse_qs, unquote

import msgspec

from cornelward.http_server import HttpServer

__all__ = ["ROUTE", "Cell", "StandinPolicyService", "StandinStore", "StandinWorker"]

LOOPBACK_ADDRESS = ("127.0.0.1", 0)
HEARTBEAT_S = 0.5
PAGE_ROWS = 500
RUN_OUTCOME = "done"
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
            "value": text,
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
        names = dict.fromkeys(
            (t, p, k) for v, t, p, k in self.changes if v > after and t == table
        )
        if not names and not is_last:
            return
        rows = [
            self._row(name)
            if name in self.rows
            else {"key": name[2], "deleted": True, "row_version": self.version}
            for name in names
        ]
        call.answer_json(200, {"rows": rows, **self._revision()})


class StandinWorker:
    """A worker: registers itself, runs tasks, ends them when its lease expires."""

    def __init__(self, cell, worker_id, rack, cpu):
        self.cell = cell
        self.id = worker_id
        self.labels = ["a", rack]
        self.cpu = cpu
        self.silent = self.fails = False
        self.fencing_token = 0
        self.deadline_ms = 0
        # Numbers of the ends that were not acknowledged before the lease expired.
        self.void_ends = set()
        self.running = {}
        self.closed_attempts = {}
        self.unacknowledged_ends = []
        self.end_numbers = itertools.count(1)
        self.started_ms = int(time.time() * 1000)
        self.waiting_polls = []
        self.server = HttpServer(cell.loop, LOOPBACK_ADDRESS, self.handle)
        # The address in the registry entry; tests may set a proxy's address.
        self.address = self.server.address
        self.register()
        cell.loop.call_every(HEARTBEAT_S, self.register)

    @property
    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def register(self, state="ready"):
        """Write the registry entry; called every ``HEARTBEAT_S``."""
        if self.silent:
            return
        entry = {
            "service": self.cell.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": state,
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
            "labels": self.labels,
            "clock_ms": self.clock_ms,
            "born": self.started_ms,
            "sequence": 1,
        }
        self.cell.store.put("servers", self.id, msgspec.json.encode(entry))

    def handle(self, call):
        """Serve one call; 409 if its fencing token is lower than the latest one."""
        if self.silent:
            return
        body = msgspec.json.decode(call.request.body)
        if body["fencing_token"] < self.fencing_token:
            self._answer(call, 409, reason="fence")
            return
        self.fencing_token = body["fencing_token"]
        self.check_lease()
        self.deadline_ms = max(self.deadline_ms, body.get("deadline_ms", 0))
        HANDLERS[call.request.path](self, call, body)

    def check_lease(self):
        """End all runs if the lease has expired."""
        if self.clock_ms <= self.deadline_ms:
            return
        self.void_ends.update(end[0] for end in self.unacknowledged_ends)
        for key in list(self.running):
            self.end(key, "lapsed")

    def _answer(self, call, status, **fields):
        fields |= {"clock_ms": self.clock_ms, "born": self.started_ms}
        call.answer_json(status, fields)

    def start(self, call, body):
        key = (body["task"], body["run"])
        if key not in self.running and key[1] <= self.closed_attempts.get(key[0], 0):
            self._answer(call, 409, reason="old")
            return
        if self.cell.approves is not None and not body.get("ticket"):
            self._answer(call, 409, reason="ticket")
            return
        if key not in self.running:
            self.running[key] = body
            self.cell.on_run_started(self, key)
            ends = "failed" if self.fails else RUN_OUTCOME
            self.cell.loop.call_later(self.cell.run_s, lambda: self.end(key, ends))
        self._answer(call, 200)

    def stop(self, call, body):
        name, attempt = body["task"], body["run"]
        self.closed_attempts[name] = max(self.closed_attempts.get(name, 0), attempt)
        self.end((name, attempt), "stopped")
        self._answer(call, 200)

    def end(self, key, outcome):
        """End a run, if it is running, and answer the polls that wait for an end."""
        if self.running.pop(key, None) is None:
            return
        self.closed_attempts[key[0]] = max(self.closed_attempts.get(key[0], 0), key[1])
        number = next(self.end_numbers)
        self.unacknowledged_ends.append([number, *key, outcome, ""])
        self.cell.on_run_ended(self, key, outcome, number)
        for call in self.waiting_polls:
            self._answer_poll(call)
        self.waiting_polls = []

    def poll_runs(self, call, body):
        self.unacknowledged_ends = [
            e for e in self.unacknowledged_ends if e[0] > body["last_seen"]
        ]
        wait_s = body.get("wait_ms", 0) / 1000
        if self.unacknowledged_ends or not wait_s:
            self._answer_poll(call)
            return
        self.waiting_polls.append(call)
        self.cell.loop.call_later(wait_s, lambda: self._answer_poll(call))

    def _answer_poll(self, call):
        running = [[*key, "", 50] for key in self.running]
        if not call.answered and not self.silent:
            self._answer(
                call, 200, running=running, finished=list(self.unacknowledged_ends)
            )


HANDLERS = {
    "/run-start": StandinWorker.start,
    "/run-stop": StandinWorker.stop,
    "/hold": StandinWorker.poll_runs,
}


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
    tasks without a ticket. ``starts`` lists (worker id, task, attempt).
    """

    def __init__(self, loop, workers=3, cpu=8_000, run_s=0.2, approves=None, seed=1):
        self.loop = loop
        self.service = "svc"
        self.run_s = run_s
        self.approves = approves
        self.starts = []
        self.violations = []
        # Task whose run ended as done -> (worker, number of that end).
        self.finished = {}
        self.store = StandinStore(loop, seed)
        self.advice = StandinPolicyService(self)
        self.workers = {
            f"i-{n}": StandinWorker(self, f"i-{n}", f"r1-{n % 2}", cpu)
            for n in range(workers)
        }

    def on_run_started(self, worker, key):
        self.starts.append((worker.id, *key))
        for other in self.workers.values():
            if any(k[0] == key[0] and k != key for k in other.running):
                self.violations.append(f"{key[0]} runs twice at once")
        if key[0] in self.finished and not self._is_void(*self.finished[key[0]]):
            self.violations.append(f"{key[0]} started after it was done")

    def on_run_ended(self, worker, key, outcome, number):
        if outcome == "done":
            self.finished[key[0]] = (worker, number)

    def _is_void(self, worker, number):
        """Return whether the end of a run is void, so that the task may run again.

        By the platform's rules an end is void if the worker's lease expired before the
        end was acknowledged, because nobody could learn of it.
        """
        worker.check_lease()
        return number in worker.void_ends

    def configure(self, version, routes):
        """Write the operators' configuration."""
        config = {
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
