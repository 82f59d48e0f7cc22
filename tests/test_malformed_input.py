"""Malformed messages and unexpected errors: one must not stop a process or a feed."""

from types import SimpleNamespace

import msgspec
import pytest
from fixtures_node import cluster
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from cornelward import loop as event_loop
from cornelward import node_leader
from cornelward.loop import Loop
from cornelward.platform.ingress import Target, decode_job
from cornelward.platform.worker_commands import connect_worker_commands, decode_worker
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
