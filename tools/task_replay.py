"""Virtual-time model of table and workers that drives task scheduler cores.

It knows neither processes nor sockets: effects become calls with a delay, and answers
become events of the core. Faults (lost and delayed answers, pauses, outages, dead
workers) are switched on by the caller.
"""

import heapq
import itertools
import math
import random

from cornelward import task_scheduler as core
from cornelward.identity import Identity
from cornelward.settings import SCHEDULER_DEFAULTS
from tools.task_model import Faults, ModelTable

TICK_S = 0.25

__all__ = ["Replay"]


class Replay:
    """Drives scheduler cores against one table and a set of workers.

    ``run_task(worker, task, attempt, body)`` returns ``(run_s, ok, used)`` of an
    execution. ``on_start(now, worker, task, attempt, body)`` and
    ``on_end(now, worker, task, attempt, ok)`` observe executions.
    """

    def __init__(self, workers, run_task, seed=0, fd="fd", faults=None, cfg=None):
        self.now = 0.0
        self.fd = fd
        self.rng = random.Random(seed)
        self.cfg = {**SCHEDULER_DEFAULTS, **(cfg or {})}
        self.table = ModelTable()
        self.workers = {worker.id: worker for worker in workers}
        self.run_task = run_task
        self.faults = faults or Faults()
        self.cores = {}
        self.clocks = {}
        self.paused = {}
        self.wakes = {}
        self.events = []
        self.seq = itertools.count()
        self.on_start = lambda *args: None
        self.on_end = lambda *args: None
        self.objects = []
        self.version = 0
        self.calls = 0
        self.timed = None

    def at(self, when, action):
        """Run ``action()`` at virtual time ``when``."""
        heapq.heappush(self.events, (when, next(self.seq), action))

    def run(self, until):
        """Advance virtual time to ``until``."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def add_scheduler(self, name, incarnation=1):
        """Add a scheduler with its own clock."""
        identity = Identity(name, incarnation, self.fd, "r", f"{name}:1", f"{name}:2")
        self.clocks[name] = self.rng.random() * 1e4
        rng = random.Random(self.rng.random())
        state = core.new_scheduler(self.cfg, identity, rng)
        self.cores[name] = state
        self._tick(name, state)
        self._poll(name, state)
        return state

    def remove_scheduler(self, name):
        """The process dies: nothing reaches it any more."""
        del self.cores[name]

    def pause(self, name, until):
        """Hold every event of a scheduler back until ``until``."""
        self.paused[name] = until

    def submit(self, record):
        """Insert a job row and its inbox row, as an entry does."""
        job_id = record["id"]
        self.table.operations += 1
        inbox = f"inbox/{self.fd}/{job_id}/submit"
        puts = [[f"jobs/{self.fd}/{job_id}", record], [inbox, {"op": "submit"}]]
        self.table.txn([], puts, [])
        for name in self.cores:
            self._event(name, core.notice, job_id)

    def cancel(self, job_id):
        """Insert a cancellation, as an entry does."""
        self.table.operations += 1
        key = f"inbox/{self.fd}/{job_id}/cancel"
        self.table.txn([], [[key, {"op": "cancel"}]], [])

    def _event(self, name, function, *args, sent_at=None):
        state = self.cores.get(name)
        if state is None:
            return
        if self.paused.get(name, -1) > self.now:
            until = self.paused[name]
            self.at(until, lambda: self._event(name, function, *args, sent_at=sent_at))
            return
        clock = self.now + self.clocks[name]
        if sent_at is not None:
            args = (sent_at, *args)
        call = self.timed or (lambda fn, *rest: fn(*rest))
        for effect in call(function, state, clock, *args):
            self._carry_out(name, clock, effect)
        self._wake(name, state, clock)

    def _wake(self, name, state, clock):
        """Schedule a tick for what is due before the next coarse one."""
        due = core.next_wakeup(state)
        if due is None or not clock < due < clock + TICK_S:
            return
        # At least a millisecond, so that rounding cannot hold virtual time still.
        at = self.now + max(due - clock, 0.001)
        if not self.now < self.wakes.get(name, 0.0) <= at:
            self.wakes[name] = at
            self.at(at, lambda: self._event(name, core.tick))

    def _tick(self, name, state):
        if self.cores.get(name) is state:
            self._event(name, core.tick)
            self.at(self.now + TICK_S, lambda: self._tick(name, state))

    def _poll(self, name, state):
        if self.cores.get(name) is not state:
            return
        if not self.table.down:
            members = [
                worker.member(self.fd)
                for worker in self.workers.values()
                if not (worker.dead and worker.state == "gone")
            ]
            self._event(name, core.update_members, members)
            self._event(name, core.update_config, self.version, self.objects)
        self.at(self.now + 1.0, lambda: self._poll(name, state))

    def _carry_out(self, name, sent_at, effect):
        self.calls += 1
        if isinstance(effect, core.ReadRow):
            self._table_call(
                name,
                lambda: self.table.get(effect.key),
                lambda row: (core.row_read, effect.key, row),
                sent_at,
            )
        elif isinstance(effect, core.ListRows):
            self._table_call(
                name,
                lambda: self.table.list_rows(effect.prefix),
                lambda rows: (core.rows_listed, effect.prefix, rows),
                sent_at,
            )
        elif isinstance(effect, core.Txn):
            self._table_call(
                name,
                lambda: self.table.txn(effect.checks, effect.puts, effect.deletes),
                lambda result: (core.txn_done, effect.txn_id, result),
                sent_at,
            )
        else:
            self._worker_call(name, sent_at, effect)

    def _table_call(self, name, action, answer, sent_at):
        def serve():
            if self.table.down:
                return None
            self.table.operations += 1
            return action()

        self._call(name, serve, answer, sent_at, 0.004)

    def _worker_call(self, name, sent_at, effect):
        worker = self.workers[effect.worker]
        body = effect.body
        if isinstance(effect, core.RenewWorker):
            serve = self._lease
            answer = lambda r: (core.lease_reply, worker.id, *r)  # noqa: E731
        elif isinstance(effect, core.StartTask):
            serve = self._start
            answer = lambda r: (  # noqa: E731
                core.start_reply,
                worker.id,
                body["task"],
                body["attempt"],
                *r,
            )
        else:
            serve, answer = self._signal, None

        def call():
            return None if worker.dead else serve(worker, body)

        self._call(name, call, answer, sent_at, 0.001, none=(None, None))

    def _call(self, name, serve, answer, sent_at, delay_s, none=None):
        """Carry a request there and its answer back, with faults on both ways."""
        faults, rng = self.faults, self.rng
        timeout_s = self.cfg["platform_timeout_s"]
        there = delay_s * (0.5 + rng.random())
        if rng.random() < faults.late:
            there += rng.random() * faults.late_s
        back = delay_s * (0.5 + rng.random())
        if rng.random() < faults.late:
            back += rng.random() * faults.late_s
        lost = rng.random() < faults.lose_request
        lost_back = rng.random() < faults.lose_answer
        late = there + back >= timeout_s

        def arrive():
            result = serve()
            if answer and not (lost_back or late or result is None):
                self.at(self.now + back, lambda: give(result))

            elif answer and not late:
                fails_at = max(self.now, sent + timeout_s)
                self.at(fails_at, lambda: give(none))

        def give(result):
            function, *args = answer(result)
            self._event(name, function, *args, sent_at=sent_at)

        sent = self.now
        if not lost:
            self.at(self.now + there, arrive)
        if answer and (lost or late):
            self.at(self.now + timeout_s, lambda: give(none))

    def _lease(self, worker, body):
        if body["epoch"] < worker.epoch:
            return 409, {"epoch": worker.epoch}
        worker.epoch = body["epoch"]
        clock = worker.clock_ms(self.now)
        if body["lease_until_ms"] > clock:
            worker.lease_until_ms = max(worker.lease_until_ms, body["lease_until_ms"])
            self._watch_lease(worker)
        for task, attempt in body["ack"]:
            worker.finished.pop((task, attempt), None)
        return 200, {
            "clock_ms": clock,
            "epoch": worker.epoch,
            "capacity": worker.capacity,
            "state": worker.state,
            "running": [self._running(*item) for item in worker.running.items()],
            "finished": [dict(item) for item in worker.finished.values()],
        }

    def _running(self, key, run):
        lagging = self.now - run["since"] < run["usage_lag_s"]
        used = {} if lagging else run["used"]
        return {
            "task": key[0],
            "attempt": key[1],
            **run["demand"],
            "used_cpu": used.get("cpu", 0),
            "used_memory_mb": used.get("memory_mb", 0),
        }

    def _start(self, worker, body):
        clock = worker.clock_ms(self.now)
        # A worker that restarted has no lease and refuses commands until it gets one.
        never_leased = worker.epoch == 0
        stale = never_leased or body["epoch"] < worker.epoch
        if stale or body["lease_until_ms"] <= clock:
            return 409, {"epoch": worker.epoch}
        worker.epoch = body["epoch"]
        worker.lease_until_ms = max(worker.lease_until_ms, body["lease_until_ms"])
        self._watch_lease(worker)
        key = (body["task"], body["attempt"])
        if key in worker.running or key in worker.finished:
            return 200, {}
        run_s, ok, used = self.run_task(worker, *key, body)
        if worker.fail_all:
            run_s, ok = 0.2, False
        run = {
            "demand": body["demand"],
            "used": used,
            "since": self.now,
            "usage_lag_s": worker.usage_lag_s,
        }
        worker.running[key] = run
        self.on_start(self.now, worker, *key, body)
        if run_s < math.inf:
            self.at(
                self.now + run_s, lambda: self._finish(worker, key, run, ok, "exit")
            )
        return 200, {}

    def _finish(self, worker, key, run, ok, reason):
        if worker.running.get(key) is not run:
            return
        del worker.running[key]
        worker.finished[key] = {
            "task": key[0],
            "attempt": key[1],
            "ok": ok,
            "reason": reason,
            "run_ms": int((self.now - run["since"]) * 1000),
        }
        self.on_end(self.now, worker, *key, ok)

    def _signal(self, worker, body):
        key = (body["task"], body["attempt"])
        run = worker.running.get(key)
        if run is not None and body["epoch"] >= worker.epoch:
            self._finish(worker, key, run, False, body["action"])
        return 200, {}

    def _watch_lease(self, worker):
        until = worker.lease_until_ms / 1000 - worker.clock_s

        def check():
            if worker.lease_until_ms <= worker.clock_ms(self.now + 1e-6):
                self.drop_tasks(worker)

        self.at(until, check)

    def drop_tasks(self, worker):
        """Stop everything on a worker and forget the results."""
        for key in list(worker.running):
            del worker.running[key]
            self.on_end(self.now, worker, *key, False)
        worker.finished.clear()

    def kill(self, worker_id):
        """The worker dies with its tasks."""
        worker = self.workers[worker_id]
        worker.dead = True
        self.drop_tasks(worker)

    def revive(self, worker_id):
        """The worker is back without any memory of its tasks."""
        worker = self.workers[worker_id]
        worker.dead = False
        worker.state = "live"
        worker.epoch = 0
        worker.lease_until_ms = 0
