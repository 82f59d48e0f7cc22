"""Simulates entries, executors and a platform in virtual time on a faulty network.

The stand-ins and all code above HttpClient run unchanged. The simulated network decides
by a seeded random source which requests connect, arrive and are answered, and when.
"""

import heapq
import itertools
import math
import random
import types

from fixtures_entry import OBJECTS

from cornelward import api, config, entry_shell, router, settings
from cornelward.compose import CommonComponents
from cornelward.errors import CornelwardError
from cornelward.http_client import HttpResult
from cornelward.http_framing import HttpRequest
from cornelward.http_server import Call
from cornelward.messages import Envelope
from cornelward.metrics import new_metrics
from cornelward.pending_request import ATTEMPT_SEPARATOR
from cornelward.platform_client import connect_platform
from cornelward.upstream_client import connect_upstream
from standins import executor, platform
from standins.table import apply_txn

# Probabilities per request: the connection is refused; it closes before the request
# arrives; the answer is lost; the previous answer of the address is sent in its place.
NO_FAULTS = {"refused": 0.0, "cut": 0.0, "lost": 0.0, "mixed": 0.0}


class Clock:
    """Virtual time in seconds; events run by due time, then by order of creation."""

    def __init__(self):
        self.time = 100.0
        self._events = []
        self._order = itertools.count()

    def at(self, due, function):
        event = [due, next(self._order), function]
        heapq.heappush(self._events, event)
        return event

    def advance(self, duration_s):
        """Run all events due within ``duration_s`` and advance the time by as much."""
        end = self.time + duration_s
        while self._events and self._events[0][0] <= end:
            due, _, function = heapq.heappop(self._events)
            self.time = max(self.time, due)
            if function is not None:
                function()
        self.time = end


class ProcessLoop:
    """The event loop of one simulated process.

    Nothing runs once ``dead`` is set. Callbacks are held back until ``paused_until``.
    """

    def __init__(self, clock):
        self.clock = clock
        self.dead = False
        self.paused_until = 0.0

    def now(self):
        return self.clock.time

    def _run(self, function):
        if self.dead:
            return
        if self.clock.time < self.paused_until:
            self.clock.at(self.paused_until, lambda: self._run(function))
        else:
            function()

    def call_later(self, delay_s, function):
        due = self.clock.time + delay_s
        return self.clock.at(due, lambda: self._run(function))

    def cancel(self, timer):
        timer[2] = None

    def call_soon(self, function):
        self.call_later(0.0, function)

    def call_every(self, interval_s, function):
        def run():
            function()
            self.call_later(interval_s, run)

        self.call_later(interval_s, run)

    def on_signal(self, function):
        self.signal = function

    def stop(self):
        self.dead = True


class Network:
    """Delivers requests to the handlers, which are kept by address.

    ``faults`` maps an address to probabilities that replace those of ``NO_FAULTS``.
    """

    def __init__(self, clock, rng):
        self.clock = clock
        self.rng = rng
        self.handlers = {}
        self.faults = {}
        self.previous_answers = {}

    def delay(self):
        return self.rng.choice((0.001, 0.002, 0.01, 0.3))

    def request(
        self, loop, addr, method, path, on_done, headers, body, timeout_s, send_by
    ):
        """Send one request as HttpClient does; call ``on_done(HttpResult)`` once."""
        finished = []

        def finish(status, answer_headers, answer, error, sent):
            if not finished:
                finished.append(True)
                result = HttpResult(status, answer_headers, answer, error, sent)
                loop.call_soon(lambda: on_done(result))

        faults = {**NO_FAULTS, **self.faults.get(addr, {})}
        rng = self.rng
        if addr not in self.handlers or rng.random() < faults["refused"]:
            finish(None, {}, b"", "connect_failed", False)
            return
        connect_s = self.delay()
        end = self.clock.time + timeout_s
        if connect_s >= timeout_s:
            self.clock.at(end, lambda: finish(None, {}, b"", "timeout", False))
            return
        if self.clock.time + connect_s >= send_by:
            late = self.clock.time + connect_s
            self.clock.at(late, lambda: finish(None, {}, b"", "too_late", False))
            return
        self.clock.at(end, lambda: finish(None, {}, b"", "timeout", True))
        arrival = self.clock.time + connect_s
        if rng.random() < faults["cut"]:
            self.clock.at(arrival, lambda: finish(None, {}, b"", "closed", True))
            return
        names = {name.lower(): value for name, value in headers}
        target, _, query = path.partition("?")
        req = HttpRequest(method, target, query, names, body, True)

        def answered(status, answer, content_type, answer_headers):
            found = {name.lower(): value for name, value in answer_headers}
            found["content-type"] = content_type
            back = self.clock.time + self.delay()
            if rng.random() < faults["lost"]:
                self.clock.at(back, lambda: finish(None, {}, b"", "closed", True))
                return
            whole = status, found, answer, None, True
            mixed = rng.random() < faults["mixed"]
            sent = self.previous_answers.get(addr, whole) if mixed else whole
            self.previous_answers[addr] = whole
            self.clock.at(back, lambda: finish(*sent))

        self.clock.at(arrival, lambda: self.handlers[addr](Call(req, answered)))


def handle_call(entry, call):
    """Pass a call to an entry as its HTTP server does."""

    def handle():
        try:
            entry.handle(call)
        except CornelwardError as exc:
            call.refuse(exc)

    entry.loop.call_soon(handle)


class Simulation:
    """A seeded cluster: a platform, executors, entries and the network between them."""

    def __init__(self, seed, entries=1, executors=2, objects=OBJECTS):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.network = Network(self.clock, self.rng)
        self.objects = objects
        self.entries = []
        self.executors = {}
        self.answers = {}
        self._start_platform()
        for number in range(executors):
            self._start_executor(f"x{number}")
        for number in range(entries):
            self.start_entry(f"e{number}")
        self.clock.advance(8.0)

    def _start_platform(self):
        loop = ProcessLoop(self.clock)
        handle, _ = platform.build(loop, {})
        self.network.handlers["platform"] = handle
        self.platform = types.SimpleNamespace(handle=handle)
        document = {"version": 1, "parent": 0, "objects": self.objects}
        rows = [[config.HEAD_KEY, {"version": 1}], [config.doc_key(1), document]]
        self.txn(rows)

    def txn(self, rows):
        """Write ``[key, value]`` rows to the platform's table, without faults."""
        cells = dict(
            zip(
                self.platform.handle.__code__.co_freevars,
                self.platform.handle.__closure__,
                strict=True,
            )
        )
        apply_txn(cells["state"].cell_contents.table, [], rows, [])

    def send_control(self, address, path, value):
        """Post ``value`` to a control path of a stand-in, without faults."""
        body = api.msgspec.json.encode(value)
        req = HttpRequest("POST", path, "", {}, body, True)
        self.network.handlers[address](Call(req, lambda *answer: None))

    def _start_executor(self, name):
        loop = ProcessLoop(self.clock)
        state = executor.ExecutorState({**executor.DEFAULTS, "id": name})
        self.executors[name] = state
        self.network.handlers[name] = lambda call: executor.serve(loop, state, call)
        instance = {"id": name, "kind": "executor", "service": "quotes", "slots": 8}
        instance |= {"failure_domain": "l1", "region": "laurentides", "address": name}
        instance |= {"connections": 64, "state": "live", "rack": ""}
        self.send_control("platform", "/members", instance)

    def start_entry(self, name, domain="l1"):
        """Start an entry; it replaces an entry of the same name, which must be dead."""
        loop = ProcessLoop(self.clock)
        cfg = {**settings.ENTRY_DEFAULTS, "id": name, "failure_domain": domain}
        cfg |= {"region": "laurentides", "platform_address": "platform"}

        def request(
            addr,
            method,
            path,
            on_done,
            *,
            headers=(),
            body=b"",
            timeout_s,
            send_by=math.inf,
            stall_s=None,
        ):
            # Responses arrive whole.
            if not loop.dead:
                self.network.request(
                    loop, addr, method, path, on_done, headers, body, timeout_s, send_by
                )

        client = types.SimpleNamespace(request=request)
        metrics = new_metrics()
        remote = connect_platform(client, "platform", domain, cfg["platform_timeout_s"])
        incarnation = int(self.clock.time * 1000)

        def send(address, message):
            delay_s = self.network.delay()
            envelope = Envelope(name, incarnation, message)
            self.clock.at(
                self.clock.time + delay_s, lambda: self._deliver(address, envelope)
            )

        peers = types.SimpleNamespace(send=send, address=f"peer-{name}")
        server = types.SimpleNamespace(
            address=f"http-{name}",
            start_draining=lambda: None,
            stop_accepting=lambda: None,
            open_calls=lambda: 0,
            is_drained=lambda: True,
        )
        common = CommonComponents(
            cfg, loop, metrics, client, remote, peers, server, incarnation
        )
        identity = router.Identity(
            name, incarnation, domain, "laurentides", peers.address, server.address
        )
        made = entry_shell.Entry(
            common, router, identity, self.rng, connect_upstream(client)
        )
        made.handle = api.make_http_handler(made)
        self.network.handlers[server.address] = lambda call: handle_call(made, call)
        entry_shell.start(made)
        self.entries = [e for e in self.entries if e.identity.id != name] + [made]
        return made

    def _deliver(self, address, envelope):
        for entry in self.entries:
            if entry.identity.peer_address == address:
                entry.loop.call_soon(lambda entry=entry: entry.on_message(envelope))

    def send_request(
        self, entry, request_id, operation, key=None, timeout_ms=2_000, headers=()
    ):
        """Send a caller's request to an entry.

        Answers are appended to ``answers[request_id]`` as (status, body, verdict).
        """
        headers = {
            "x-request-id": request_id,
            "x-timeout-ms": str(timeout_ms),
            **dict(headers),
        }
        if key is not None:
            headers["idempotency-key"] = key
        path = f"/v1/services/quotes/{operation}"
        body = (key or request_id).encode()
        got = self.answers.setdefault(request_id, [])
        call = Call(
            HttpRequest("POST", path, "", headers, body, True),
            lambda status, body, kind, headers: got.append(
                (status, body, dict(headers).get("X-Verdict"))
            ),
        )

        handle_call(entry, call)
        return call

    def run_counts(self):
        """Return ``{request id: number of runs on all executors}``."""
        counts = {}
        for state in self.executors.values():
            for attempt_id, _, _ in state.record:
                request_id = attempt_id.split(ATTEMPT_SEPARATOR)[0]
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts
