"""Stand-in for a worker of the operators' platform; ``cell`` creates them.

Attributes inject faults: ``silent`` neither answers nor registers, ``unregistered``
answers but does not register, ``fails`` ends each run as failed. ``crash`` and
``resize`` do so, too.
"""

import itertools
import time

import msgspec

from cornelward.http_server import HttpServer

from .crash_rules import BACK_S, CRASH_DELAY_S, ENTRY_EXPIRES_S

__all__ = ["LOOPBACK_ADDRESS", "StandinWorker"]

LOOPBACK_ADDRESS = ("127.0.0.1", 0)
HEARTBEAT_S = 0.5
RUN_OUTCOME = "done"
# What a worker's clock shows when it is back after a crash.
FIRST_CLOCK_S = 100.0


class StandinWorker:
    """A worker: registers itself, runs tasks, ends them when its lease expires.

    ``life`` counts its crashes; ``down`` is true after one until the worker is back.
    """

    def __init__(self, cell, worker_id, rack, cpu):
        self.cell = cell
        self.id = worker_id
        self.labels = ["a", rack]
        self.cpu = cpu
        self.silent = self.unregistered = self.fails = self.down = False
        self.life = 0
        # (life, number) of the ends that were not acknowledged before the lease expired
        # or the worker crashed.
        self.void_ends = set()
        # When the worker's clock showed zero.
        self.clock_zero_s = 0.0
        self._reset()
        self.server = HttpServer(cell.loop, LOOPBACK_ADDRESS, self.handle)
        # The address in the registry entry; tests may set a proxy's address.
        self.address = self.server.address
        self.register()
        cell.loop.call_every(HEARTBEAT_S, self.register)

    def _reset(self):
        self.fencing_token = 0
        self.deadline_ms = 0
        self.running = {}
        self.closed_attempts = {}
        self.unacknowledged_ends = []
        self.end_numbers = itertools.count(1)
        self.started_ms = int(time.time() * 1000)
        self.waiting_polls = []
        # [(since, cpu)]
        self.capacities = [(self.cell.loop.now(), self.cpu)]

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.clock_zero_s) * 1000)

    def resize(self, cpu):
        """Change the capacity of the running worker."""
        self.cpu = cpu
        self.capacities.append((self.cell.loop.now(), cpu))
        self.register()

    def crash(self, back_s, new_id=None):
        """Lose everything, close the connections and answer nothing for ``back_s``.

        Then the worker is back at its address, under ``new_id`` if that is given.
        """
        if self.down:
            return
        self.check_lease()
        self.cell.crashes.add_crash(name for name, _ in self.running)
        for key in self.running:
            if self.cell.gangs.is_gang(key):
                self.cell.gangs.on_end(key, "crashed")
        self.void_ends.update((self.life, end[0]) for end in self.unacknowledged_ends)
        self.life += 1
        self.down = True
        self._reset()
        self._close_connections()
        life, former_id = self.life, self.id

        def expire():
            if self.id != former_id or (self.down and self.life == life):
                self.cell.store.put("servers", former_id, None)

        self.cell.loop.call_later(ENTRY_EXPIRES_S, expire)
        self.cell.loop.call_later(back_s, lambda: self._come_back(new_id))

    def next_id(self):
        """Return a new id for the worker after its next crash."""
        return f"{self.id.partition('+')[0]}+{self.life + 1}"

    def _come_back(self, new_id):
        self.down = False
        self._close_connections()
        self._reset()
        self.clock_zero_s = time.monotonic() - FIRST_CLOCK_S
        if new_id is not None:
            del self.cell.workers[self.id]
            self.id = new_id
            self.cell.workers[new_id] = self
        self.register()

    def _close_connections(self):
        for sock in list(self.server.conns.by_sock):
            self.server.server.close(sock)

    def register(self, state="ready"):
        """Write the registry entry; called every ``HEARTBEAT_S``."""
        if self.silent or self.unregistered or self.down:
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
        """Serve one call.

        The answer is 421 if the call names another instance, 409 if its fencing token
        is lower than the latest one.
        """
        if self.silent or self.down:
            return
        if call.request.headers.get("expect-instance", self.id) != self.id:
            call.answer_json(421, {})
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
        self.void_ends.update((self.life, end[0]) for end in self.unacknowledged_ends)
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
            self._schedule_end(key)
        self._answer(call, 200)

    def _schedule_end(self, key):
        """Schedule the end of a run, or the crash if its task is deadly."""
        cell, life = self.cell, self.life
        is_deadly = cell.deadly(key[0])
        if cell.gangs.is_gang(key) and not (is_deadly or self.fails):
            return

        def end():
            if self.life != life or key not in self.running:
                return
            if is_deadly:
                cell.crashes.deadly += 1
                self.crash(cell.rng.uniform(*BACK_S), self.next_id())
            else:
                self.end(key, "failed" if self.fails else RUN_OUTCOME)

        delay_s = cell.rng.uniform(*CRASH_DELAY_S) if is_deadly else cell.run_s
        cell.loop.call_later(delay_s, end)

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
        self.cell.on_run_ended(self, key, outcome, (self.life, number))
        for call in self.waiting_polls:
            self._answer_poll(call)
        self.waiting_polls = []

    def poll_runs(self, call, body):
        taken = [e for e in self.unacknowledged_ends if e[0] <= body["last_seen"]]
        self.cell.gangs.on_acknowledged(
            e for e in taken if (self.life, e[0]) not in self.void_ends
        )
        del self.unacknowledged_ends[: len(taken)]
        wait_s = body.get("wait_ms", 0) / 1000
        if self.unacknowledged_ends or not wait_s:
            self._answer_poll(call)
            return
        self.waiting_polls.append(call)
        self.cell.loop.call_later(wait_s, lambda: self._answer_poll(call))

    def _answer_poll(self, call):
        running = [[*key, "", 50] for key in self.running]
        if not (call.answered or self.silent or self.down):
            self._answer(
                call, 200, running=running, finished=list(self.unacknowledged_ends)
            )


HANDLERS = {
    "/run-start": StandinWorker.start,
    "/run-stop": StandinWorker.stop,
    "/hold": StandinWorker.poll_runs,
}
