"""Tests of the worker protocol: epochs, leases, capacity and repeated commands."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import ContainsDict, Equals, HasLength, Is

from cornelward.http_client import HttpClient
from cornelward.http_server import HttpServer
from cornelward.loop import Loop
from cornelward.worker_client import connect_workers
from standins import worker, worker_tasks

CAPACITY = {"cpu": 4, "memory_mb": 1_000, "accelerators": 0}
OWNER = {"epoch": 2, "owner": "s1", "lease_until_ms": 0, "ack": []}
TEST_TIMEOUT_S = 20
FAR_FUTURE_MS = worker_tasks.CLOCK_OFFSET_MS * 1_000


def start_body(task, attempt=1, epoch=2, cpu=1, lease_until_ms=FAR_FUTURE_MS, **run):
    return {
        "epoch": epoch,
        "task": task,
        "attempt": attempt,
        "demand": {"cpu": cpu, "memory_mb": 10, "accelerators": 0},
        "lease_until_ms": lease_until_ms,
        "run": run,
    }


@pytest.fixture
def machine():
    return worker_tasks.WorkerState("w1", "r1", CAPACITY)


@pytest.fixture
def call_worker(machine):
    """Return a function that calls the served machine through the client.

    ``call_worker(operation, body)`` returns the status and the body of the response.
    """
    loop = Loop()
    server = HttpServer(loop, ("127.0.0.1", 0), worker.make_handler(loop, machine))
    workers = connect_workers(HttpClient(loop), 0.5)

    def call_worker(operation, body, address=server.address):
        answers = []
        call = getattr(workers, operation)
        call(address, body, lambda status, body: answers.append((status, body)))
        assert loop.run_until(lambda: answers, TEST_TIMEOUT_S)
        return answers[0]

    call_worker.loop = loop
    yield call_worker
    server.server.close()


def test_task_runs_and_is_reported_until_acknowledged(call_worker, machine):
    assert_that(call_worker("start", start_body("t1", ms=5)), Equals((200, {})))
    assert call_worker.loop.run_until(lambda: not machine.running, TEST_TIMEOUT_S)
    finished = call_worker("renew", OWNER)[1]["finished"]
    assert_that(finished[0], ContainsDict({"task": Equals("t1"), "ok": Is(True)}))
    assert_that(call_worker("renew", OWNER)[1]["finished"], HasLength(1))
    acked = {**OWNER, "ack": [["t1", 1]]}
    assert_that(call_worker("renew", acked)[1]["finished"], HasLength(0))


def test_unresponsive_or_unreachable_worker_gives_no_status(call_worker, machine):
    machine.switches["dead"] = True
    assert_that(call_worker("renew", OWNER), Equals((None, None)))
    assert_that(call_worker("renew", OWNER, "127.0.0.1:1"), Equals((None, None)))


@pytest.mark.proof
def test_command_of_an_old_owner_is_refused(call_worker):
    call_worker("renew", {**OWNER, "epoch": 3})
    for operation, body in (
        ("renew", OWNER),
        ("start", start_body("t1")),
        ("signal", {"epoch": 2, "task": "t1", "attempt": 1, "action": "stop"}),
    ):
        status, answer = call_worker(operation, body)
        assert_that((status, answer["epoch"]), Equals((409, 3)))


@pytest.mark.proof
def test_repeated_start_runs_once_and_oversize_is_refused(call_worker, machine):
    call_worker("start", start_body("t1", service=True))
    assert_that(call_worker("start", start_body("t1", service=True))[0], Equals(200))
    assert_that(call_worker("start", start_body("t1", attempt=2))[0], Equals(409))
    assert_that(call_worker("start", start_body("t2", cpu=4))[0], Equals(507))
    starts = [e for e in machine.events if e[0] == "start"]
    assert_that(starts, HasLength(1))
    assert_that(machine.peak["cpu"], Equals(1))


@pytest.mark.proof
def test_late_start_and_expired_lease_leave_nothing_running(machine):
    late = start_body("t1", lease_until_ms=worker_tasks.clock_ms(10))
    assert_that(worker_tasks.start_task(machine, 10.5, late)[0], Equals(409))
    body = start_body("t2", lease_until_ms=worker_tasks.clock_ms(20), service=True)
    assert_that(worker_tasks.start_task(machine, 11, body)[0], Equals(200))
    longer = start_body("t3", lease_until_ms=worker_tasks.clock_ms(20), ms=10_000)
    worker_tasks.start_task(machine, 11, longer)
    worker_tasks.finish_due_tasks(machine, 30)
    assert_that(machine.running, Equals({}))
    reasons = {f["reason"] for f in machine.finished}
    assert_that(reasons, Equals({"lease_expired"}))


def test_delayed_renewal_does_not_shorten_the_lease(machine):
    for until in (20, 15):
        body = {**OWNER, "lease_until_ms": worker_tasks.clock_ms(until)}
        worker_tasks.renew_lease(machine, 10, body)
    assert_that(machine.lease_until_s, Equals(20))


def test_signals_take_effect_and_usage_is_reported_with_delay(machine):
    body = start_body("t1", cpu=2, lease_until_ms=worker_tasks.clock_ms(99), ms=4_000)
    body["run"]["used_cpu"] = 3
    machine.switches["report_lag_s"] = 1
    worker_tasks.start_task(machine, 10, body)
    used = [
        worker_tasks.renew_lease(machine, now, OWNER)[1]["running"][0]["used_cpu"]
        for now in (10.5, 11)
    ]
    assert_that(used, Equals([0, 3]))
    signal = {"epoch": 2, "task": "t1", "attempt": 1, "action": "throttle"}
    worker_tasks.signal_task(machine, 12, signal)
    assert_that(machine.running["t1"].end_s, Equals(16))
    worker_tasks.signal_task(machine, 13, {**signal, "action": "checkpoint"})
    assert_that(machine.finished[0]["reason"], Equals("checkpointed"))
    assert_that(machine.allocated["cpu"], Equals(0))
