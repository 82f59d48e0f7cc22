"""Stand-in for an executor, as the pages describe it, and what it has seen.

``Fleet`` holds what all executors have in common: the runs of gangs, the record and the
checks. What a task does is in its job's ``spec``: JSON with ``ms`` (how long it works;
``short_ms`` in the first ``short`` occurrences), ``fails`` (share of its runs that end
as failed) and ``saves`` (whether it has checkpoints).
"""

import asyncio
import json
import math
import random
import time

from .http import SILENT, Server

__all__ = ["Executor", "Fleet"]

HEARTBEAT_S = 1.5
EXPIRES_S = 3 * HEARTBEAT_S
MAX_HOLD_MS = 10_000
STOP_S = 0.2
GANG_TIMEOUT_S = 3.0
CHECKPOINT_MS = 1_000
BROKEN_S = 0.1
PAGE_ENDS = 500
# Bounds of the rules, and the attempts that the queue allows.
CANCEL_S, EARLY_MS, MAX_ATTEMPTS = 3.0, 250, 4


class Run:
    """A run of a task; ``work_ms`` is what it has done, ``since`` when it began."""

    def __init__(self, task, number, spec, saved_ms):
        self.task = task
        self.number = number
        self.spec = spec
        self.base_ms = saved_ms
        self.since = None
        self.stopping = False
        self.started_at = time.monotonic()

    @property
    def key(self):
        return self.task, self.number

    def work_ms(self):
        """Return how long the task works; first occurrences may be short."""
        is_short = int(self.task.split(".")[1]) < self.spec.get("short", 0)
        return self.spec["short_ms" if is_short else "ms"]

    def done_ms(self):
        worked = 0 if self.since is None else (time.monotonic() - self.since) * 1000
        return self.base_ms + worked

    def checkpoint(self):
        """Return the latest checkpoint: the task's name is in it, for the check."""
        steps = int(self.done_ms() // CHECKPOINT_MS)
        if not self.spec.get("saves") or not steps:
            return ""
        return f"{self.task[:8]}{steps * CHECKPOINT_MS:08x}"


class Fleet:
    """All executors, the jobs that clients have sent, and what was seen."""

    def __init__(self, store, seed=1, record=lambda text: None):
        self.store = store
        self.rng = random.Random(f"fleet {seed}")
        self.record = record
        self.executors = {}
        # Job id -> body; job id -> when its cancelling was acknowledged.
        self.jobs = {}
        self.cancelled_at = {}
        # (ID.K.STEP, run) -> members that are present.
        self.gangs = {}
        self.starts = []
        # Tasks that were on an executor when it crashed.
        self.met_crash = set()
        # Task -> [End]
        self.ends = {}
        self.broken = []

    def step_of(self, task):
        job_id, _, step, _ = task.split(".")
        return self.jobs[job_id]["steps"][int(step)]

    def running(self):
        return [
            (executor, run)
            for executor in self.executors.values()
            if executor.up
            for run in executor.runs.values()
        ]

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.record(f"BROKEN {rule}: {text}")

    def check_start(self, executor, run, body):
        """Check the rules about a start."""
        job = self.jobs.get(run.task.partition(".")[0])
        if job is None:
            self.breaks("UNASKED", f"{run.task} is of no job")
            return
        self._check_order_of(run, body, job)
        self._check_again(executor, run, job)
        self._check_turn(run, job)
        self._check_place(executor, run.task, self.step_of(run.task))

    def _check_order_of(self, run, body, job):
        """Check that a client has asked for this start."""
        task = run.task
        if body["spec"] != job["spec"]:
            self.breaks("UNASKED", f"{task} has another spec")
        saved = body.get("last_checkpoint", "")
        if saved and saved[:8] != task[:8]:
            self.breaks("UNASKED", f"{task} has the checkpoint {saved}")
        cancelled_at = self.cancelled_at.get(task.partition(".")[0], math.inf)
        late_s = time.monotonic() - cancelled_at
        if late_s > CANCEL_S:
            self.breaks("UNASKED", f"{task} starts {late_s:.1f} s after its cancelling")

    def _check_again(self, executor, run, job):
        """Check that the task runs nowhere else and may run again."""
        task = run.task
        for other in self.executors.values():
            other.check_lease()
        for other, running in self.running():
            if running.task == task and running is not run:
                self.breaks("TWICE", f"{task} runs on {other.id} and {executor.id}")
        ends = self.ends.get(task, ())
        if any(end.how == "done" and end.acked and not end.void for end in ends):
            self.breaks("TWICE", f"{task} starts again after it was done")
        failed = {end.run for end in ends if end.counts_as_failed()}
        lasts = self.step_of(task).get("runs_forever")
        if not lasts and len(failed) >= MAX_ATTEMPTS:
            self.breaks("BUDGET", f"{task} starts after {len(failed)} failed runs")

    def _check_turn(self, run, job):
        """Check that the steps before are done, and that the time has come."""
        job_id, occurrence, _, _ = run.task.split(".")
        for before in self.step_of(run.task).get("after", ()):
            for index in range(job["steps"][before]["count"]):
                name = f"{job_id}.{occurrence}.{before}.{index}"
                if not self.is_done(name):
                    self.breaks("ORDER", f"{run.task} starts before {name} is done")
        if job.get("times"):
            due = job["start_at_ms"] + int(occurrence) * job["interval_ms"]
            if time.time() * 1000 < due - EARLY_MS:
                self.breaks("ORDER", f"{run.task} starts before its time")

    def is_done(self, task):
        step = self.step_of(task)
        names = [task]
        if step.get("gang"):
            stem = task.rpartition(".")[0]
            names = [f"{stem}.{index}" for index in range(step["count"])]
        return any(e.how == "done" for name in names for e in self.ends.get(name, ()))

    def _check_place(self, executor, task, step):
        label = step.get("requires")
        if label and label not in executor.labels:
            text = f"{task} starts on {executor.id}, which has {executor.labels}"
            told = "has told" if executor.has_told else "has not told"
            text += f", and requires {label}; it {told} of this life"
            self.breaks("ROUTE", text)
        limit = step.get("anti_affinity")
        stem = task.rpartition(".")[0]
        here = sum(r.task.rpartition(".")[0] == stem for r in executor.runs.values())
        if limit and here > limit:
            self.breaks("ROUTE", f"{here} tasks of {stem} on {executor.id}")
        used = executor.used()
        if any(have < need for have, need in zip(executor.room, used, strict=True)):
            self.breaks("LIMIT", f"{executor.id} {executor.room} has {used} by {task}")


class End:
    """An end that is listed; ``void`` if the lease lapsed before it was taken."""

    def __init__(self, number, run, how, saved):
        self.number = number
        self.task, self.run = run.key
        self.how = how
        self.saved = saved
        self.acked = self.void = False

    def counts_as_failed(self):
        return self.how == "failed" and self.acked and not self.void

    def row(self):
        return [self.number, self.task, self.run, self.how, self.saved]


class Executor:
    """One executor; ``orders`` may be set to make orders late.

    ``late_share`` of the orders get no answer and are carried out 2 to 12 s later;
    ``lost_share`` of the calls are carried out and not answered;
    ``cut`` lets it neither answer nor register, while it works on.
    """

    def __init__(self, fleet, executor_id, kind, rack, room):
        self.fleet = fleet
        self.id = executor_id
        self.labels = [kind, rack]
        self.room = room
        self.up = False
        self.cut = self.failing = self.draining = False
        self.late_share = self.lost_share = 0.0
        self.unlisted = False
        self.late_orders = []
        self.remaining_ms = 2_500
        self.service = "dispatch"
        self.server = Server(self.handle)
        self.life = 0
        fleet.executors[executor_id] = self

    async def start(self):
        """Begin a life: listen and register."""
        self.life += 1
        life = self.life
        # Whether it has answered a /hold, which has ``born``.
        self.has_told = False
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - 1.0
        self.token = 0
        self.deadline_ms = 0
        self.runs, self.closed = {}, {}
        self.pending_ends, self.ended = [], 0
        self.waiting = []
        self.draining = False
        self.up = True
        self.register()
        await self.server.open()
        self.beat = asyncio.ensure_future(self._beat(life))

    def crash(self):
        """End like a process that is killed."""
        self.up = False
        self.server.kill()
        for run in list(self.runs.values()):
            self._leave_gang(run)
        if self.runs:
            names = [run.task for run in self.runs.values()]
            self.fleet.met_crash.update(names)
            self.fleet.record(f"{self.id} crashes with {len(names)} runs: {names}")
        self.runs = {}
        for end in self.pending_ends:
            end.void = True
        life = self.life
        asyncio.get_running_loop().call_later(EXPIRES_S, self._expire, life)

    def _expire(self, life):
        if not self.up and self.life == life:
            self.fleet.store.put("servers", self.id, None)

    async def _beat(self, life):
        sequence = 0
        while self.up and self.life == life:
            sequence += 1
            if not self.cut and not self.unlisted:
                self.register(sequence)
            await asyncio.sleep(HEARTBEAT_S)

    def register(self, sequence=0):
        cpu, mem_mb, gpu = self.room
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu},
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "sequence": sequence,
        }
        if self.draining:
            entry["remaining_ms"] = self.remaining_ms
        self.fleet.store.put("servers", self.id, json.dumps(entry).encode())

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    def used(self):
        used = [0, 0, 0]
        for run in self.runs.values():
            step = self.fleet.step_of(run.task)
            used[0] += 0 if step.get("fills") else step.get("cpu", 0)
            used[1] += step.get("mem_mb", 0)
            used[2] += step.get("gpu", 0)
        return used

    def check_lease(self):
        if not self.up or self.clock_ms() <= self.deadline_ms:
            return
        for end in self.pending_ends:
            end.void = True
        for run in list(self.runs.values()):
            self.end(run, "lapsed")

    # Calls

    async def handle(self, method, target, headers, body):
        if self.cut:
            return SILENT
        wanted = headers.get("expect-instance", self.id)
        if wanted != self.id:
            return 421, {}
        body = json.loads(body)
        if target != "/hold" and self.fleet.rng.random() < self.late_share:
            late = self._carry_out_late(target, body, self.life)
            self.late_orders.append(asyncio.ensure_future(late))
            return SILENT
        result = await self._carry_out(target, body)
        is_lost = self.fleet.rng.random() < self.lost_share
        return SILENT if self.cut or is_lost else result

    async def _carry_out_late(self, target, body, life):
        await asyncio.sleep(self.fleet.rng.uniform(2.0, 12.0))
        if self.up and life == self.life:
            await self._carry_out(target, body)

    async def _carry_out(self, target, body):
        self.check_lease()
        if body["fencing_token"] < self.token:
            return self._answer(409, reason="fence")
        self.token = body["fencing_token"]
        if "deadline_ms" in body and target == "/hold":
            self._extend(body["deadline_ms"])
        if target == "/run-start":
            return self._start_run(body)
        if target == "/run-stop":
            return self._stop_run(body)
        if target == "/hold":
            return await self._hold(body)
        return 404, {}

    def _extend(self, deadline_ms):
        longest = self.clock_ms() + MAX_HOLD_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _answer(self, status, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def _start_run(self, body):
        key = (body["task"], body["run"])
        if body["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        if key in self.runs:
            return self._answer(200)
        if key[1] <= self.closed.get(key[0], 0):
            return self._answer(409, reason="old")
        saved = body.get("last_checkpoint", "")
        spec = json.loads(body["spec"])
        run = Run(*key, spec, int(saved[8:], 16) if saved else 0)
        self.runs[key] = run
        self.fleet.starts.append((time.monotonic(), self.id, *key))
        self.fleet.record(f"start {key[0]} run {key[1]} on {self.id} life {self.life}")
        self.fleet.check_start(self, run, body)
        if self.fleet.step_of(run.task).get("gang"):
            self._join_gang(run)
        else:
            self._begin(run)
        return self._answer(200)

    def _stop_run(self, body):
        key = (body["task"], body["run"])
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        run = self.runs.get(key)
        if run is not None and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        return self._answer(200)

    async def _hold(self, body):
        for end in [e for e in self.pending_ends if e.number <= body["last_seen"]]:
            end.acked = True
            self.pending_ends.remove(end)
        wait_s = body.get("wait_ms", 0) / 1000
        if wait_s and not self.pending_ends:
            event = asyncio.Event()
            self.waiting.append(event)
            try:
                await asyncio.wait_for(event.wait(), wait_s)
            except TimeoutError:
                self.waiting.remove(event)
            self.check_lease()
        running = [
            [r.task, r.number, r.checkpoint(), min(100, self._percent(r)), 0]
            for r in self.runs.values()
        ]
        finished = [end.row() for end in self.pending_ends[:PAGE_ENDS]]
        self.has_told = True
        return self._answer(200, running=running, finished=finished)

    def _percent(self, run):
        if self.fleet.step_of(run.task).get("runs_forever"):
            return 100
        return int(100 * run.done_ms() / max(1, run.work_ms()))

    # Work

    def _begin(self, run):
        run.since = time.monotonic()
        if self.fleet.step_of(run.task).get("runs_forever"):
            return
        left_s = max(0.02, (run.work_ms() - run.base_ms) / 1000)
        fails = self.failing or self.fleet.rng.random() < run.spec.get("fails", 0.0)
        how = "failed" if fails else "done"
        asyncio.get_running_loop().call_later(left_s, self.end, run, how)

    def end(self, run, how):
        """End a run, if it is still there."""
        if self.runs.get(run.key) is not run or not self.up:
            return
        if how in ("done", "failed"):
            self.check_lease()
            if run.key not in self.runs:
                return
        del self.runs[run.key]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.ended += 1
        end = End(self.ended, run, how, run.checkpoint())
        self.pending_ends.append(end)
        self.fleet.ends.setdefault(run.task, []).append(end)
        self.fleet.record(f"end {run.task} run {run.number} {how} on {self.id}")
        self._leave_gang(run, how)
        waiting, self.waiting = self.waiting, []
        for event in waiting:
            event.set()

    # Gangs

    def _members(self, run):
        return self.fleet.gangs.setdefault(
            (run.task.rpartition(".")[0], run.number), {}
        )

    def _join_gang(self, run):
        members = self._members(run)
        members[run.task] = (self, run)
        loop = asyncio.get_running_loop()
        if len(members) < self.fleet.step_of(run.task)["count"]:
            loop.call_later(GANG_TIMEOUT_S, self._end_alone, run)
            return
        fails = self.fleet.rng.random() < run.spec.get("fails", 0.0)
        for _, member in members.values():
            member.since = time.monotonic()
        left_s = max(0.02, (run.spec["ms"] - run.base_ms) / 1000)
        loop.call_later(left_s, self._end_gang, run, fails)

    def _end_gang(self, run, fails):
        members = self._members(run)
        if len(members) < self.fleet.step_of(run.task)["count"]:
            return
        for executor, _ in list(members.values()):
            executor.check_lease()
        if len(members) < self.fleet.step_of(run.task)["count"]:
            return
        found = list(members.values())
        members.clear()
        for number, (executor, member) in enumerate(found):
            how = "done" if not fails else "broken" if number else "failed"
            executor.end(member, how)

    def _end_alone(self, run):
        if run.since is None:
            self.end(run, "alone")

    def _leave_gang(self, run, how=None):
        if not self.fleet.step_of(run.task).get("gang"):
            return
        members = self._members(run)
        members.pop(run.task, None)
        if how in ("done", "failed") or run.since is None:
            return
        loop = asyncio.get_running_loop()
        for executor, member in members.values():
            loop.call_later(BROKEN_S, executor.end, member, "broken")
