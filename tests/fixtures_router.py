"""Simulates entries, the view table, executors and a faulty network in virtual time."""

import heapq
import itertools
import random

from cornelward import router
from cornelward.messages import Envelope, decode, encode
from cornelward.platform_client import Conflict, Row
from cornelward.settings import ENTRY_DEFAULTS
from cornelward.verdicts import Verdict

OBJECTS = [
    {"kind": "region", "name": "r1", "failure_domains": ["fd1", "fd2"]},
    {"kind": "region", "name": "r2", "failure_domains": ["fd3"]},
    {"kind": "pool", "name": "p", "regions": ["r1", "r2"], "holds": "executors"},
    {"kind": "policy", "name": "q", "type": "request", "max_run_ms": 8_000},
    {
        "kind": "workload",
        "name": "quotes",
        "type": "request",
        "policy": "q",
        "pool": "p",
    },
]


def objects(**policy):
    """Return OBJECTS with the given fields in the request policy."""
    return [
        {**item, **policy} if item["kind"] == "policy" else item for item in OBJECTS
    ]


def instance(name, slots=4, state="live"):
    """Return the membership record of an executor in fd1."""
    return {
        "id": name,
        "kind": "executor",
        "service": "quotes",
        "failure_domain": "fd1",
        "region": "r1",
        "address": f"{name}:1",
        "state": state,
        "slots": slots,
    }


def ready_router(policy=None, executors=2, slots=4, entry="e1"):
    """Return a router that is the only entry and may use its executors from time 0."""
    identity = router.Identity(entry, 1, "fd1", "r1", f"{entry}:9", f"{entry}:8")
    state = router.new_router(dict(ENTRY_DEFAULTS), identity, random.Random(1))
    router.update_config(state, -1, 1, objects(**(policy or {})))
    names = [f"x{index}" for index in range(executors)]
    router.update_members(state, -1, [instance(name, slots) for name in names])
    router.handle_view_read(state, -1, -1, Row("views/fd1", None, 0))
    router.handle_view_written(state, 0, 0, 1)
    for name in names:
        router.handle_health_report(
            state, 0, name, 0, {"state": "live", "in_flight": 0}
        )
    return state


def submit(state, now, request_id, operation="op", deadline=10.0, **fields):
    """Submit a request to the service "quotes"; returns the effects."""
    request = router.Request(request_id, "quotes", operation, deadline, **fields)
    return router.submit(state, now, request)


def finish(state, now, request_id, verdict=Verdict.RAN, run_s=0.1, **fields):
    """Complete a request; returns (retried, effects)."""
    outcome = router.Outcome(verdict, run_s=run_s, **fields)
    return router.complete(state, now, request_id, outcome)


class Node:
    """An entry of the simulation; it is paused or isolated until the given times.

    ``offset`` is the difference of its clock from the simulated time.
    """

    def __init__(self, name, state, offset):
        self.name = name
        self.state = state
        self.offset = offset
        self.alive = True
        self.resume_at = 0.0
        self.isolated_until = 0.0
        # Length in seconds of a pause that begins after the next Dispatch.
        self.pause_before_write = None


class SimulatedCluster:
    """A simulated failure domain; ``violations`` lists broken guarantees.

    These are overloaded executors, and requests that are dispatched twice or refused
    after they were dispatched.
    """

    def __init__(self, seed, executors=4, slots=4, policy=None):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.nodes = {}
        self.incarnations = itertools.count(1)
        self.instances = [instance(f"x{i}", slots) for i in range(executors)]
        self.slots = {item["id"]: slots for item in self.instances}
        self.running = {name: set() for name in self.slots}
        self.max_delay = 0.02
        self.loss = 0.0
        self.table = Row("views/fd1", None, 0)
        self.table_up = True
        self.lose_answers = 0.0
        self.cut_answers = 0.0
        self.policy = policy or {}
        self.run_s = lambda: self.rng.uniform(0.01, 0.3)
        self.violations = []
        self.dispatched = set()
        self.refused = []
        self.ended = set()
        self.messages = 0
        # Number of requests that were not sent because ``send_by`` had passed.
        self.expired_dispatches = 0
        self.requests = itertools.count()

    def schedule(self, delay, function, *args):
        heapq.heappush(
            self.events, (self.now + delay, next(self.order), function, args)
        )

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = end

    def start(self, name):
        identity = router.Identity(
            name, next(self.incarnations), "fd1", "r1", f"{name}:9", f"{name}:8"
        )
        state = router.new_router(dict(ENTRY_DEFAULTS), identity, random.Random(name))
        node = Node(name, state, self.rng.uniform(0, 1_000))
        self.nodes[name] = node
        self.call(node, router.update_config, 1, objects(**self.policy))
        self.call(node, router.update_members, self.instances)
        self.tick(node)

    def kill(self, name, seconds=None):
        self.nodes[name].alive = False

    def pause(self, name, seconds):
        self.nodes[name].resume_at = self.now + seconds

    def pause_before_write(self, name, seconds):
        """Pause an entry between its next Dispatch and the write of the request."""
        self.nodes[name].pause_before_write = seconds

    def isolate(self, name, seconds):
        """Disconnect an entry from its peers and the table, but not from executors."""
        self.nodes[name].isolated_until = self.now + seconds

    def tick(self, node):
        if node.alive:
            self.call(node, router.tick)
            due = router.next_wakeup(node.state) - self.now - node.offset
            self.schedule(min(0.25, max(0.01, due)), self.tick, node)

    def call(self, node, event, *args):
        """Run an event function on an entry now, or when its pause ends."""
        if not node.alive:
            return
        if node.resume_at > self.now:
            self.schedule(node.resume_at - self.now, self.call, node, event, *args)
            return
        result = event(node.state, self.now + node.offset, *args)
        if event is router.complete:
            retried, result = result
            if not retried:
                self.ended.add(args[0])
        for effect in result:
            self.apply_effect(node, effect)

    def apply_effect(self, node, effect):
        match effect:
            case router.Dispatch():
                if effect.request_id in self.dispatched:
                    self.violations.append(f"dispatched twice: {effect}")
                self.dispatched.add(effect.request_id)
                self.write_request(node, effect)
            case router.Refuse():
                self.refused.append(effect)
                if effect.request_id in self.dispatched:
                    self.violations.append(f"refused after dispatch: {effect}")
            case router.SendMessage():
                self.send(node, effect)
            case router.ReadView():
                self.schedule(self.delay(), self.read, node, self.now + node.offset)
            case router.WriteView():
                self.schedule(
                    self.delay(), self.write, node, effect, self.now + node.offset
                )
            case router.Probe():
                self.schedule(
                    self.delay(), self.probe, node, effect, self.now + node.offset
                )

    def delay(self):
        return self.rng.uniform(0, self.max_delay)

    def send(self, node, effect):
        self.messages += 1
        identity = node.state.identity
        data = encode(node.name, identity.incarnation, effect.message)
        name = effect.address.removesuffix(":9")
        copies = 0 if self.rng.random() < self.loss else 1
        copies += self.rng.random() < self.loss
        for _ in range(copies):
            self.schedule(self.delay(), self.deliver, name, decode(data))

    def is_isolated(self, node):
        return self.now < node.isolated_until

    def deliver(self, name, envelope):
        assert isinstance(envelope, Envelope)
        node, sender = self.nodes.get(name), self.nodes[envelope.sender]
        if node and not self.is_isolated(node) and not self.is_isolated(sender):
            self.call(node, router.receive, envelope)

    def is_table_up(self, node):
        return self.table_up and not self.is_isolated(node)

    def read(self, node, sent_at):
        row = self.table
        if not self.is_table_up(node) or self.rng.random() < self.cut_answers:
            row = None
        self.schedule(
            self.delay(), self.call, node, router.handle_view_read, sent_at, row
        )

    def write(self, node, effect, sent_at):
        result = None
        if self.is_table_up(node):
            if effect.expected_version == self.table.version:
                result = self.table.version + 1
                self.table = Row("views/fd1", effect.value, result)
            else:
                result = Conflict({"views/fd1": self.table.version})
            if self.rng.random() < self.lose_answers:
                result = None
        self.schedule(
            self.delay(), self.call, node, router.handle_view_written, sent_at, result
        )

    def probe(self, node, effect, sent_at):
        in_flight = len(self.running[effect.executor])
        report = {"state": "live", "slots": 4, "in_flight": in_flight}
        args = effect.executor, sent_at, report
        self.schedule(self.delay(), self.call, node, router.handle_health_report, *args)

    def submit(self, name, deadline_s=5.0, operation="op"):
        node = self.nodes[name]
        request_id = f"{name}-{next(self.requests)}"
        deadline = self.now + node.offset + deadline_s
        request = router.Request(request_id, "quotes", operation, deadline)
        self.call(node, router.submit, request)
        return request_id

    def write_request(self, node, effect):
        """Send a request as the HTTP client does: before ``send_by`` or not at all."""
        if node.pause_before_write is not None:
            node.resume_at = self.now + node.pause_before_write
            node.pause_before_write = None
        if node.resume_at > self.now:
            self.schedule(node.resume_at - self.now, self.write_request, node, effect)
        elif self.now + node.offset >= effect.send_by:
            self.dispatched.discard(effect.request_id)
            self.expired_dispatches += 1
            outcome = router.Outcome(Verdict.NOT_RUN)
            self.call(node, router.complete, effect.request_id, outcome)
        else:
            self.schedule(self.rng.uniform(0, 0.1), self.start_run, node, effect)

    def start_run(self, node, effect):
        if self.rng.random() < self.loss / 10:
            self.dispatched.discard(effect.request_id)
            outcome = router.Outcome(Verdict.NOT_RUN, leaving=True)
            self.call(node, router.complete, effect.request_id, outcome)
            return
        running = self.running[effect.executor]
        running.add((node, effect.request_id))
        if len(running) > self.slots[effect.executor]:
            self.violations.append(
                f"{len(running)} requests on {effect.executor} at {self.now:.2f}"
            )
        run_s = self.run_s()
        self.schedule(run_s, self.finish_run, node, effect, run_s)
        # The connection may break while the request goes on running.
        if self.rng.random() < self.loss / 10:
            outcome = router.Outcome(Verdict.MAY_HAVE_RUN)
            self.schedule(
                run_s / 2, self.call, node, router.complete, *(effect[0], outcome)
            )

    def finish_run(self, node, effect, run_s):
        self.running[effect.executor].discard((node, effect.request_id))
        outcome = router.Outcome(Verdict.RAN, run_s=run_s)
        args = effect.request_id, outcome
        # The core relies on answers arriving within orphans.MAX_ANSWER_DELAY_S.
        self.schedule(self.delay() / 3, self.call, node, router.complete, *args)

    def in_flight(self):
        return sum(len(running) for running in self.running.values())

    def queued(self):
        return sum(
            queue.count
            for node in self.nodes.values()
            if node.alive
            for service in node.state.services.values()
            for queue in service.queues.values()
        )
