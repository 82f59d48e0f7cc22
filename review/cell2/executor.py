"""Stand-in for an executor, as PROTOCOL.md describes it: orders by call, no gangs."""

import asyncio
import json
import time

from .web import LOST, RESET, Server

__all__ = ["Executor"]

HEARTBEAT_S = 1.5
# The entry of a silent executor is removed after three heartbeat intervals.
ENTRY_EXPIRES_S = 4.5
MAX_HOLD_MS = 6_000
STOP_S = 0.1


class Executor:
    """An executor at one address; ``crash`` and ``boot`` begin its next life.

    ``run_s(task)`` says for how long a task works, None for one that lasts;
    ``on_event(kind, executor, task, run, how)`` is told of starts and ends.
    """

    def __init__(self, store, executor_id, labels, cpu, run_s, on_event):
        self.store = store
        self.id = executor_id
        self.labels = labels
        self.cpu = cpu
        self.run_s = run_s
        self.on_event = on_event
        self.server = Server(self.handle)
        self.is_up = self.is_lost = False
        self.life = 0
        self.running = {}

    async def start(self):
        await self.server.start()
        self.boot()
        self.beats = asyncio.ensure_future(self._beat())

    def boot(self):
        """Start with nothing of an earlier life, and register at once."""
        self.life += 1
        self.is_up = True
        self.zero = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.deadline_ms = 0.0
        self.lapses = 0
        self.running = {}
        self.closed = {}
        self.ends = []
        self.end_number = 0
        self.ended = asyncio.Event()
        self._register()

    def crash(self):
        """Lose everything and close all connections; ``boot`` ends the silence."""
        self._lose_all()
        self.server.reset_all()

    def lose(self):
        """Lose everything for good, and answer nothing: connections hang."""
        self.is_lost = True
        self._lose_all()

    def _lose_all(self):
        self.is_up = False
        for task, run in self.running:
            self.on_event("lost", self, task, run, "crash")
        self.running = {}
        life = self.life

        def expire():
            if not self.is_up and self.life == life:
                self.store.put("servers", self.id, None)

        asyncio.get_running_loop().call_later(ENTRY_EXPIRES_S, expire)

    def clock_ms(self):
        return (time.monotonic() - self.zero) * 1000

    def _register(self):
        entry = {
            "service": "svc",
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": int(self.clock_ms()),
            "capacity": {"cpu": self.cpu, "mem_mb": 32_768, "gpu": 0},
            "labels": self.labels,
            "clock_ms": int(self.clock_ms()),
            "born": self.born,
        }
        self.store.put("servers", self.id, json.dumps(entry).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                self._register()

    async def handle(self, request):
        if not self.is_up:
            return LOST if self.is_lost else RESET
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        body, life = request.json(), self.life
        self._check_lease()
        if body.get("fencing_token", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = body.get("fencing_token", 0)
        self._extend_lease(body.get("deadline_ms", 0))
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        answer = await self._hold(body)
        return answer if self.life == life and self.is_up else LOST

    def _answer(self, status, **fields):
        fields |= {"clock_ms": int(self.clock_ms()), "born": self.born}
        return status, fields

    def _extend_lease(self, deadline_ms):
        longest_ms = self.clock_ms() + MAX_HOLD_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def _check_lease(self):
        if self.running and self.clock_ms() > self.deadline_ms:
            for task, run in list(self.running):
                self._end(task, run, "lapsed")

    def _start(self, body):
        task, run = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        if (task, run) in self.running:
            return self._answer(200)
        if run <= self.closed.get(task, 0):
            return self._answer(409, reason="old")
        self.running[task, run] = body.get("last_checkpoint", "")
        self.on_event("start", self, task, run, "")
        self._end_later(task, run, self.run_s(task), "done")
        return self._answer(200)

    def _end_later(self, task, run, delay_s, how):
        life = self.life

        def end():
            if self.life == life and self.is_up:
                self._end(task, run, how)

        if delay_s is not None:
            asyncio.get_running_loop().call_later(delay_s, end)

    def _stop(self, body):
        task, run = body["task"], body["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        self._end_later(task, run, STOP_S, "stopped")
        return self._answer(200)

    def _end(self, task, run, how):
        saved = self.running.pop((task, run), None)
        if saved is None:
            return
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.end_number += 1
        self.ends.append([self.end_number, task, run, how, saved])
        self.on_event("end", self, task, run, how)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    async def _hold(self, body):
        self.ends = [end for end in self.ends if end[0] > body.get("last_seen", 0)]
        until, life = time.monotonic() + body.get("wait_ms", 0) / 1000, self.life
        while not self.ends and self.life == life:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.ended.wait(), min(left_s, 0.1))
            except TimeoutError:
                self._check_lease()
        running = [[*key, saved, 100, 0] for key, saved in self.running.items()]
        return self._answer(200, running=running, finished=self.ends[:500])
