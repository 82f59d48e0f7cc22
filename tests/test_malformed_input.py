"""Malformed messages and unexpected errors: one must not stop a process or a feed."""

import math
from types import SimpleNamespace

import msgspec
import pytest
from fixtures_node import ADVICE, ROUTE, cluster
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, Not

from cornelward import dispatch_plan, node_leader
from cornelward import loop as event_loop
from cornelward.http_client import HttpClient
from cornelward.loop import Loop
from cornelward.messages import LeaderHello, decode, encode
from cornelward.platform.ingress import Target, decode_job
from cornelward.platform.registry_entries import decode_worker
from cornelward.platform.worker_commands import connect_advice, connect_worker_commands
from cornelward.staged_jobs import Queue

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}]
ENTRY = (
    b'{"service":"svc","address":"10.0.0.1:80","zone":"z1","state":"ready",'
    b'"capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1"],'
    b'"clock_ms":%s,"born":%s,"remaining_ms":%s}'
)


@pytest.mark.parametrize(
    "numbers",
    [(b"1e999", b"7", b"0"), (b"5", b"1e999", b"0"), (b"5", b"7", b"1e999")],
)
def test_registry_entry_with_an_infinite_number_gives_no_worker(numbers):
    # int() of an infinite number raises OverflowError, which ended the leader's feed of
    # the registry for good.
    assert_that(decode_worker("i-1", ENTRY % (b"5", b"7", b"0")), Not(Is(None)))
    assert_that(decode_worker("i-1", ENTRY % numbers), Is(None))


def test_registry_entry_with_negative_capacity_gives_no_worker():
    entry = (ENTRY % (b"5", b"7", b"0")).replace(b"16000", b"-16000")
    assert_that(decode_worker("i-1", entry), Is(None))


@pytest.mark.parametrize(
    "body",
    [
        b'{"steps":[{"count":1e999}]}',
        b'{"steps":[{"count":1,"estimate_ms":1e999}]}',
        b'{"steps":[{"count":1,"estimate_ms":-5}]}',
        b'{"steps":[{"count":1}],"times":1e999}',
        b'{"steps":[{"count":1}],"times":1000000000}',
        b'{"steps":[{"count":1}],"times":-1}',
        b'{"steps":[{"count":1,"after":[[]]}]}',
    ],
)
def test_job_with_impossible_numbers_is_refused(body):
    # A job of 10^9 occurrences would be opened by each leader in turn.
    spec, problem = decode_job(Target(Queue("q", "svc"), JOB), body)
    assert_that(spec, Is(None))
    assert_that(problem, Not(Is(None)))


@pytest.mark.parametrize(
    "body",
    [
        {"clock_ms": 5, "running": [["t", 1]], "finished": []},
        {"clock_ms": 5, "running": [[1, "t", "", 0]], "finished": []},
        {"clock_ms": 5, "running": [], "finished": [["1", "t", 1, "done", ""]]},
        {"clock_ms": "5", "running": [], "finished": []},
        {"clock_ms": 5, "running": None, "finished": []},
        {"clock_ms": 5, "born": "now", "running": [], "finished": []},
        [],
    ],
)
def test_malformed_report_of_a_worker_counts_as_no_answer(body):
    # A row of two entries raised ValueError in the core, after half of the report.
    result = SimpleNamespace(status=200, error=None, sent=True, json=lambda: body)
    client = SimpleNamespace(
        request_json=lambda address, method, path, finish, **rest: finish(result)
    )
    commands = connect_worker_commands(client, lambda: 0.0, lambda *args: None)
    effect = SimpleNamespace(
        worker="w", address="a", last_end=0, deadline_s=None, wait_s=0.0
    )
    reports = []
    commands.poll(effect, 1, reports.append)
    assert_that(reports, Equals([None]))


DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_MSGPACK = b"\x91" * 100_000 + b"\xc0"


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"clock_ms":5,"running":%s,"finished":[]}' % DEEP,
        b'{"clock_ms":%s,"running":[],"finished":[]}' % (b"9" * 400),
        b'{"clock_ms":%s,"running":[],"finished":[]}' % (b"9" * 5_000),
        b'{"clock_ms":1e300,"running":[],"finished":[]}',
        b'{"clock_ms":-5,"running":[],"finished":[]}',
        b'{"clock_ms":5,"born":1%s,"running":[],"finished":[]}' % (b"0" * 30),
        b'{"clock_ms":5,"running":[["t",1%s,"",0]],"finished":[]}' % (b"0" * 30),
        b'{"clock_ms":5,"running":[["t",1,"%s",0]],"finished":[]}' % (b"c" * 70_000),
        b'{"clock_ms":5,"running":[["t",1,"",1e300]],"finished":[]}',
        b'{"clock_ms":5,"running":[],"finished":[[-1,"t",1,"done",""]]}',
        b'{"clock_ms":5,"running":["abcd"],"finished":[]}',
        b'{"clock_ms":5,"running":{"a":1},"finished":[]}',
        b"\xff",
    ],
    ids=range(14),
)
def test_answer_that_cannot_be_used_leaves_the_executor_polled(cluster, body):
    # An answer that raised left the poll under way for ever, and one with a number of
    # 400 digits was recorded with a run, which the row of its job cannot hold.
    cluster.start(nodes=1, workers=2, run_s=0.3)
    worker, node = cluster.platform.workers["i-0"], cluster.nodes[0]
    answered = []

    def answer(call):
        answered.append(call)
        call.answer(200, body)

    worker._answer_poll = answer
    step = {"count": 2, "cpu": 500, "anti_affinity": 1}
    assert_that(cluster.submit(node, JOB, [step]), Equals(200))
    cluster.wait(lambda: answered)
    del worker._answer_poll
    known = node.leader.dispatcher.workers["i-0"]
    cluster.wait(lambda: not (known.poll_in_flight or known.failed_polls), 15)
    cluster.wait(lambda: cluster.state(node, JOB) == "completed", 15)
    assert_that(cluster.platform.violations, Equals([]))


@pytest.mark.parametrize("reason", [None, "no", "room", 7])
def test_poll_refused_for_another_reason_does_not_end_the_term(cluster, reason):
    cluster.start(nodes=1, workers=2, run_s=0.1)
    worker, node = cluster.platform.workers["i-0"], cluster.nodes[0]
    term, refused = node.leader, []

    def refuse(call):
        refused.append(call)
        call.answer_json(409, {"reason": reason})

    worker._answer_poll = refuse
    worker.crash(0.1)
    cluster.wait(lambda: refused)
    cluster.submit(node, JOB, STEPS)
    cluster.wait(lambda: cluster.state(node, JOB) == "completed", 30)
    assert_that(node.leader, Is(term))


@pytest.mark.parametrize(
    ("address", "worker", "deadline_s"),
    [
        ("127.0.0.1:99999", "w", 5.0),
        ("127.0.0.1:http", "w", 5.0),
        ("127.0.0.1", "w", 5.0),
        ("127.0.0.1:1", "w\r\nX: 1", 5.0),
        ("127.0.0.1:1", "w\u0660", 5.0),
        ("127.0.0.1:1", "w", float("inf")),
        ("127.0.0.1:1", "w", float("nan")),
        ("127.0.0.1:1", "w", 1e300),
    ],
)
def test_command_that_cannot_be_sent_has_failed(address, worker, deadline_s):
    # It raised in the midst of the leader's effects, and those after it were lost.
    loop = Loop()
    commands = connect_worker_commands(HttpClient(loop), loop.now, lambda *args: None)
    order = SimpleNamespace(
        address=address, worker=worker, task="t", attempt=1, deadline_s=deadline_s
    )
    order.ticket = order.checkpoint = ""
    poll = SimpleNamespace(
        address=address, worker=worker, last_end=0, deadline_s=deadline_s, wait_s=0.0
    )
    stop = SimpleNamespace(address=address, worker=worker, name="t", attempt=1)
    results = []
    for _ in range(3):
        # More than are sent to one worker at a time.
        commands.start(order, "text", 1, math.inf, results.append)
        commands.stop(stop, 1, results.append)
        commands.poll(poll, 1, results.append)
    loop.run_until(lambda: len(results) >= 9, 20)
    loop.run_until(lambda: False, 0.2)
    expected = ["unsent", False, None] * 3
    assert_that(sorted(results, key=str), Equals(sorted(expected, key=str)))


def test_unexpected_error_is_logged_and_the_loop_goes_on(monkeypatch):
    logged = []
    monkeypatch.setattr(
        event_loop, "log", lambda level, event, **fields: logged.append((event, fields))
    )
    loop, done = Loop(), []
    loop.call_soon(lambda: 1 / 0)
    loop.call_soon(lambda: done.append(True))
    assert loop.run_until(lambda: done and logged, 20)
    event, fields = logged[0]
    assert_that(event, Equals("handler_failed"))
    assert_that(fields["reason"], Contains("ZeroDivisionError"))


def test_error_in_one_effect_does_not_stop_the_others(cluster, monkeypatch):
    cluster.start(nodes=1, run_s=0.2)
    effects = dict(node_leader.EFFECTS)
    failures = []

    def fail_once(node, term, effect):
        if not failures:
            failures.append(effect)
            raise RuntimeError("unexpected")
        effects["Poll"](node, term, effect)

    monkeypatch.setitem(node_leader.EFFECTS, "Poll", fail_once)
    assert_that(cluster.submit(cluster.nodes[0], JOB, STEPS), Equals(200))
    cluster.wait(lambda: cluster.state(cluster.nodes[0], JOB) == "completed")


def test_error_at_one_registry_entry_does_not_end_the_feed(cluster):
    cluster.start(nodes=1, workers=1, run_s=0.2)
    node = cluster.leader()
    decode = node.deps.decode_worker

    def fail_at_x(key, value):
        if key == "x":
            raise RuntimeError("unexpected")
        return decode(key, value)

    node.deps = node.deps._replace(decode_worker=fail_at_x)
    cluster.platform.store.put("servers", "x", b"{}")
    entry = msgspec.json.decode(ENTRY % (b"5", b"7", b"0"))
    cluster.platform.store.put("servers", "y", msgspec.json.encode(entry))
    cluster.wait(lambda: "y" in node.leader.dispatcher.workers)


def test_advice_that_appears_on_a_queue_serves_the_jobs_accepted_before(cluster):
    # Asking for advice by the policy that a job was accepted with, None, ended each
    # planning pass.
    cluster.start(nodes=1, run_s=0.3, approves=lambda worker: True)
    node = cluster.nodes[0]
    steps = [*STEPS, {**STEPS[0], "after": [0]}]
    assert_that(cluster.submit(node, "a" * 16, steps), Equals(200))
    cluster.platform.configure(2, [{**ROUTE, "advice": ADVICE}])
    cluster.wait(lambda: node.config.version == 2)
    assert_that(cluster.submit(node, JOB, STEPS), Equals(200))
    cluster.wait(lambda: cluster.state(node, JOB) == "completed", 20)
    cluster.wait(lambda: cluster.state(node, "a" * 16) == "completed", 20)


def test_error_at_one_job_does_not_end_the_planning_of_the_others(cluster, monkeypatch):
    cluster.start(nodes=1, run_s=0.05)
    node, try_step = cluster.nodes[0], dispatch_plan._try_step

    def fail_at_a(state, this_pass, job, *args):
        if job.spec.id == "a" * 16:
            raise RuntimeError("unexpected")
        return try_step(state, this_pass, job, *args)

    monkeypatch.setattr(dispatch_plan, "_try_step", fail_at_a)
    assert_that(cluster.submit(node, "a" * 16, STEPS), Equals(200))
    assert_that(cluster.submit(node, JOB, STEPS), Equals(200))
    cluster.wait(lambda: cluster.state(node, JOB) == "completed", 20)


@pytest.mark.parametrize(
    "body",
    [
        [["w"]],
        [["w", 7]],
        [[["w"], "t"]],
        [["w", "t" * 70_000]],
        [["w", "t", "u"]],
        ["wt"],
        {"w": "t"},
        7,
        None,
    ],
)
def test_odd_advice_counts_as_no_answer(body):
    result = SimpleNamespace(status=200, error=None, json=lambda: {"approved": body})
    client = SimpleNamespace(
        request_json=lambda a, m, p, finish, **rest: finish(result)
    )
    answers = []
    connect_advice(client, "a")("s", ["w"], answers.append)
    assert_that(answers, Equals([None]))


def test_error_of_who_asked_for_advice_is_not_a_second_answer():
    body = {"approved": [["w", "t"]]}
    result = SimpleNamespace(status=200, error=None, json=lambda: body)
    client = SimpleNamespace(
        request_json=lambda a, m, p, finish, **rest: finish(result)
    )
    answers = []

    def fail(approved):
        answers.append(approved)
        raise ValueError("unexpected")

    with pytest.raises(ValueError, match="unexpected"):
        connect_advice(client, "a")("s", ["w"], fail)
    assert_that(answers, HasLength(1))


def test_message_nested_deeply_is_unknown():
    envelope = (b"\x94", b"\xacStartResults\xa1n\x01", DEEP_MSGPACK)
    assert_that(decode(b"".join(envelope)), Is(None))
    assert_that(decode(DEEP_MSGPACK), Is(None))
    hello = LeaderHello("10.0.0.9:1")
    assert_that(decode(encode("n", 1, hello)).message, Equals(hello))


@pytest.mark.parametrize("address", ["", "x", "127.0.0.1:99999", "127.0.0.1:x", "a b"])
def test_unusable_address_does_not_keep_a_message_from_the_others(cluster, address):
    # The leader's heartbeats ended at it.
    cluster.start()
    first, second = cluster.nodes
    received = []
    second.peers._on_message = received.append
    first.peers.send_all([address, second.address], LeaderHello("10.0.0.9:1"))
    cluster.wait(lambda: LeaderHello("10.0.0.9:1") in [e.message for e in received], 10)
