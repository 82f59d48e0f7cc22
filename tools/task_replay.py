"""Virtual-time simulation of table and workers that drives task scheduler cores.

It uses neither processes nor sockets: effects of a core become calls with a delay, and
answers become events of the core. The code that runs a replay switches on the faults:
lost and delayed requests and answers, pauses, outages of the table and dead workers.
"""

import heapq
import itertools
import math
import random

from cornelward import task_scheduler as core
from cornelward.identity import Identity
from cornelward.settings import SCHEDULER_DEFAULTS
from tools.task_model import Faults, ModelTable

TICK_INTERVAL_S = 0.25

__all__ = ["Replay"]


class Replay:
    """Drives scheduler cores against one table and a set of workers.

    ``run_task(worker, task, attempt, body)`` returns ``(run_s, ok, used)`` for an
    execution: its run time, its outcome and its actual usage. ``on_start(now, worker,
    task, attempt, body)`` and ``on_end(now, worker, task, attempt, ok)`` are called
    when an execution starts and ends. ``timed(function, *args)``, if set, is called in
    place of each event function of a core, and returns the function's effects.
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
        """Start a scheduler with a random clock offset; returns the core's state."""
        identity = Identity(name, incarnation, self.fd, "r", f"{name}:1", f"{name}:2")
        self.clocks[name] = self.rng.random() * 1e4
        rng = random.Random(self.rng.random())
        state = core.new_scheduler(self.cfg, identity, rng)
        self.cores[name] = state
        self._tick(name, state)
        self._poll(name, state)
        return state

    def remove_scheduler(self, name):
        """Simulate the death of a scheduler: it gets no further events."""
        del self.cores[name]

    def pause(self, name, until):
        """Delay all events of a scheduler until ``until``."""
        self.paused[name] = until

    def submit(self, record):
        """Insert a job row and its inbox row as an entry does, and notify the cores."""
        job_id = record["id"]
        self.table.operations += 1
        inbox = f"inbox/{self.fd}/{job_id}/submit"
        puts = [[f"jobs/{self.fd}/{job_id}", record], [inbox, {"op": "submit"}]]
        self.table.txn([], puts, [])
        for name in self.cores:
            self._event(name, core.notice, job_id)

    def cancel(self, job_id):
        """Insert the inbox row of a cancellation, as an entry does."""
        self.table.operations += 1
        key = f"inbox/{self.fd}/{job_id}/cancel"
        self.table.txn([], [[key, {"op": "cancel"}]], [])

    def _event(self, name, function, *args, sent_at=None):
        """Pass an event to a core and execute the effects that it returns.

        ``sent_at`` is the core's clock at the time of the call that is answered.
        """
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
            self._execute_effect(name, clock, effect)
        self._wake(name, state, clock)

    def _wake(self, name, state, clock):
        """Schedule an extra tick for work of the core due before the regular one."""
        due = core.next_wakeup(state)
        if due is None or not clock < due < clock + TICK_INTERVAL_S:
            return
        # At least 1 ms; otherwise rounding could stop virtual time from advancing.
        at = self.now + max(due - clock, 0.001)
        if not self.now < self.wakes.get(name, 0.0) <= at:
            self.wakes[name] = at
            self.at(at, lambda: self._event(name, core.tick))

    def _tick(self, name, state):
        if self.cores.get(name) is state:
            self._event(name, core.tick)
            self.at(self.now + TICK_INTERVAL_S, lambda: self._tick(name, state))

    def _poll(self, name, state):
        """Read members and configuration from the platform once a second."""
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

    def _execute_effect(self, name, sent_at, effect):
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

    def _table_call(self, name, action, make_event, sent_at):
        def serve():
            if self.table.down:
                return None
            self.table.operations += 1
            return action()

        self._call(name, serve, make_event, sent_at, 0.004)

    def _worker_call(self, name, sent_at, effect):
        worker = self.workers[effect.worker]
        body = effect.body
        if isinstance(effect, core.RenewWorker):
            serve = self._lease
            make_event = lambda r: (core.lease_reply, worker.id, *r)  # noqa: E731
        elif isinstance(effect, core.StartTask):
            serve = self._start
            make_event = lambda r: (  # noqa: E731
                core.start_reply,
                worker.id,
                body["task"],
                body["attempt"],
                *r,
            )
        else:
            serve, make_event = self._signal, None

        def call():
            return None if worker.dead else serve(worker, body)

        self._call(name, call, make_event, sent_at, 0.001, timeout_result=(None, None))

    def _call(self, name, serve, make_event, sent_at, delay_s, timeout_result=None):
        """Deliver a request and its answer, with delays and faults in each direction.

        ``serve()`` runs when the request arrives; a result of None sends no answer.
        ``make_event(result)`` returns the event function of the core and its arguments.
        A call without an answer within ``platform_timeout_s`` gets ``timeout_result``
        instead, but only if ``make_event`` is given.
        """
        faults, rng = self.faults, self.rng
        timeout_s = self.cfg["platform_timeout_s"]
        request_delay_s = delay_s * (0.5 + rng.random())
        if rng.random() < faults.late:
            request_delay_s += rng.random() * faults.late_s
        reply_delay_s = delay_s * (0.5 + rng.random())
        if rng.random() < faults.late:
            reply_delay_s += rng.random() * faults.late_s
        request_lost = rng.random() < faults.lose_request
        reply_lost = rng.random() < faults.lose_answer
        timed_out = request_delay_s + reply_delay_s >= timeout_s

        def deliver_request():
            result = serve()
            if make_event and not (reply_lost or timed_out or result is None):
                self.at(self.now + reply_delay_s, lambda: deliver_reply(result))

            elif make_event and not timed_out:
                timeout_at = max(self.now, requested_at + timeout_s)
                self.at(timeout_at, lambda: deliver_reply(timeout_result))

        def deliver_reply(result):
            function, *args = make_event(result)
            self._event(name, function, *args, sent_at=sent_at)

        requested_at = self.now
        if not request_lost:
            self.at(self.now + request_delay_s, deliver_request)
        if make_event and (request_lost or timed_out):
            self.at(self.now + timeout_s, lambda: deliver_reply(timeout_result))

    def _lease(self, worker, body):
        """Serve ``POST /lease``; returns (status, body)."""
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
        """Return the report on a running task; its usage is 0 during the lag."""
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
        """Serve ``POST /tasks``; returns (status, body)."""
        clock = worker.clock_ms(self.now)
        # After a restart a worker has no lease and refuses commands until it gets one.
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
        """Serve ``POST /tasks/signal``; every action ends the task."""
        key = (body["task"], body["attempt"])
        run = worker.running.get(key)
        if run is not None and body["epoch"] >= worker.epoch:
            self._finish(worker, key, run, False, body["action"])
        return 200, {}

    def _watch_lease(self, worker):
        """Stop the tasks of a worker when its lease runs out without a renewal."""
        until = worker.lease_until_ms / 1000 - worker.clock_s

        def check():
            if worker.lease_until_ms <= worker.clock_ms(self.now + 1e-6):
                self.drop_tasks(worker)

        self.at(until, check)

    def drop_tasks(self, worker):
        """Stop all tasks of a worker and discard the results that it still holds."""
        for key in list(worker.running):
            del worker.running[key]
            self.on_end(self.now, worker, *key, False)
        worker.finished.clear()

    def kill(self, worker_id):
        """Simulate the death of a worker and its tasks."""
        worker = self.workers[worker_id]
        worker.dead = True
        self.drop_tasks(worker)

    def revive(self, worker_id):
        """Restart a dead worker, without its former tasks, epoch and lease."""
        worker = self.workers[worker_id]
        worker.dead = False
        worker.state = "live"
        worker.epoch = 0
        worker.lease_until_ms = 0
