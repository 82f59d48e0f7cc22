"""Nodes on the platform's stand-in: submit, show, cancel, take over, outages."""

import os
import re
import signal
import types
from pathlib import Path

import pytest
from fixtures_node import ADVICE, ROUTE, cell
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength

from cornelward import node as shell
from cornelward import node_leader, node_messages
from cornelward.errors import SettingsError
from cornelward.messages import Envelope, LeaderBeat, LeaderHello

__all__ = ["cell"]

JOB = "5c0e7a21d94b36f8"
TWO_STEPS = [
    {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 200},
    {"count": 3, "cpu": 500, "mem_mb": 256, "estimate_ms": 200, "after": [0]},
]


def completed(cell, node, job_id=JOB):
    return lambda: cell.state(node, job_id) == "completed"


def test_job_runs_its_steps_in_order_and_is_shown_everywhere(cell):
    cell.begin()
    first, second = cell.nodes
    assert_that(cell.submit(first, JOB, TWO_STEPS), Equals(200))
    cell.wait(completed(cell, second))
    assert_that(cell.state(first, JOB), Equals("completed"))
    assert_that(cell.cell.starts, HasLength(5))
    steps = [task.split(".")[2] for _, task, _ in cell.cell.starts]
    assert_that(steps, Equals(sorted(steps)))


def test_repeated_submission_stays_one_job(cell):
    cell.begin()
    for node in cell.nodes * 2:
        assert_that(cell.submit(node, JOB, TWO_STEPS), Equals(200))
    cell.wait(completed(cell, cell.nodes[0]))
    assert_that(cell.submit(cell.nodes[1], JOB, TWO_STEPS), Equals(200))
    assert_that(cell.cell.starts, HasLength(5))


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/other/5c0e7a21d94b36f8", {}, 404),
        ("/jobs/not-an-id", {}, 404),
        ("/jobs/5c0e7a21d94b36f8", {"steps": []}, 400),
        ("/jobs/5c0e7a21d94b36f8", {"steps": [{"count": "x"}]}, 400),
        ("/jobs/5c0e7a21d94b36f8", [1], 400),
        ("/jobs/5c0e7a21d94b36f8", {"steps": [{"count": 1, "after": [0]}]}, 400),
    ],
)
def test_bad_requests_are_refused(cell, path, body, status):
    cell.begin(nodes=1)
    result = cell.call(cell.nodes[0], "POST", path, body)
    assert_that(result.status, Equals(status))


def test_unknown_job_is_gone_and_unknown_queue_not_found(cell):
    cell.begin()
    for node in cell.nodes:
        assert_that(cell.call(node, "GET", f"/jobs/{JOB}").status, Equals(410))
        assert_that(cell.call(node, "DELETE", f"/jobs/{JOB}").status, Equals(410))
        assert_that(cell.call(node, "GET", f"/none/{JOB}").status, Equals(404))


def test_cancelled_job_stops(cell):
    cell.begin(run_s=30.0)
    cell.submit(cell.nodes[0], JOB, TWO_STEPS)
    cell.wait(lambda: len(cell.cell.starts) == 2)
    for node in cell.nodes:
        assert_that(cell.call(node, "DELETE", f"/jobs/{JOB}").status, Equals(200))
    cell.wait(lambda: not any(w.running for w in cell.cell.workers.values()))
    assert_that(cell.state(cell.nodes[1], JOB), Equals("cancelled"))


def test_cancel_without_a_leader_is_left_in_the_store(cell):
    cell.begin(run_s=30.0)
    leader = cell.leader()
    other = next(n for n in cell.nodes if n is not leader)
    cell.submit(other, JOB, TWO_STEPS)
    cell.wait(lambda: len(cell.cell.starts) == 2)
    kill(cell, leader)
    assert_that(cell.call(other, "DELETE", f"/jobs/{JOB}").status, Equals(200))
    cell.wait(lambda: cell.leader() is other)
    cell.wait(lambda: not any(w.running for w in cell.cell.workers.values()))
    assert_that(cell.state(other, JOB), Equals("cancelled"))


def kill(cell, node):
    """End a node without a word, as SIGKILL does."""
    if node.leader is not None:
        node.leader.closed = True
    node.leader = None
    node.leadership.leaving = True
    node.leadership.role = "killed"
    node.peers.close()
    cell.nodes.remove(node)


def test_successor_adopts_what_runs(cell):
    cell.begin(run_s=4.0)
    leader = cell.leader()
    cell.submit(leader, JOB, TWO_STEPS[:1])
    cell.wait(lambda: len(cell.cell.starts) == 2)
    kill(cell, leader)
    cell.wait(lambda: cell.leader() is not None)
    cell.wait(completed(cell, cell.nodes[0]))
    assert_that(cell.cell.starts, HasLength(2))
    assert_that(cell.cell.broken, Equals([]))


def test_leader_that_stops_hands_over(cell):
    cell.begin(run_s=0.5)
    leader = cell.leader()
    cell.submit(leader, JOB, TWO_STEPS)
    shell.begin_shutdown(leader)
    cell.wait(lambda: cell.leader() not in (None, leader))
    other = cell.leader()
    cell.wait(completed(cell, other))
    assert_that(cell.cell.broken, Equals([]))
    assert_that(cell.cell.starts, HasLength(5))


def test_new_leader_greets_the_nodes_that_the_former_one_named(cell):
    # shahidi-ops scale-2: for a second after a takeover one node asked for advice.
    cell.begin()
    leader = cell.leader()
    part, now = leader.leader, leader.deps.now()
    told = []
    leader.peers = types.SimpleNamespace(
        send=lambda address, message: told.append(address), forget=lambda address: None
    )
    part.started_at, part.inherited_peers = now, ("10.0.0.9:1",)
    node_leader.send_heartbeats(leader, part, now)
    assert_that(told, Contains("10.0.0.9:1"))
    node_leader.on_hello(leader, "n9", LeaderHello("10.0.0.9:1"))
    assert_that(part.dispatcher.advising.nodes, Contains("n9"))


def test_renewal_of_the_row_is_told_at_once(cell):
    # shahidi-ops scale-2: the leader died between a renewal and its next beat.
    cell.begin()
    leader = cell.leader()
    before, told = leader.leadership.version, []
    leader.peers = types.SimpleNamespace(
        send=lambda address, message: told.append(message), forget=lambda address: None
    )
    cell.wait(lambda: leader.leadership.version != before)
    versions = [m.row_version for m in told if isinstance(m, LeaderBeat)]
    assert_that(versions, Contains(leader.leadership.version))


def test_node_that_is_greeted_before_it_leads_remembers_who_is_there(cell):
    cell.begin()
    other = next(n for n in cell.nodes if n is not cell.leader())
    hello = LeaderHello("10.0.0.9:1")
    node_messages.on_message(other, Envelope("n9", 1, hello))
    assert_that(other.peer_state.peers, Contains("10.0.0.9:1"))


def test_outage_of_the_store_refuses_with_a_time_and_loses_nothing(cell):
    cell.begin(run_s=1.0)
    cell.submit(cell.nodes[0], JOB, TWO_STEPS)
    cell.wait(lambda: len(cell.cell.starts) == 2)
    cell.cell.store.down = True
    body = {"spec": "", "steps": TWO_STEPS}
    result = cell.call(cell.nodes[1], "POST", "/jobs/" + "a" * 16, body)
    assert_that(result.status, Equals(503))
    assert_that(int(result.headers["retry-after"]), GreaterThan(0))
    cell.cell.store.down = False
    cell.wait(completed(cell, cell.nodes[0]))
    assert_that(
        cell.call(cell.nodes[1], "GET", "/jobs/" + "a" * 16).status, Equals(410)
    )
    assert_that(cell.cell.broken, Equals([]))


def test_lost_answers_of_the_store_make_no_second_job(cell):
    cell.begin()
    cell.cell.store.lost = 0.4
    status = cell.submit(cell.nodes[1], JOB, TWO_STEPS)
    assert_that([200, 504], Contains(status))
    cell.cell.store.lost = 0.0
    cell.wait(completed(cell, cell.nodes[0]))
    assert_that(cell.cell.starts, HasLength(5))


def test_tasks_of_a_silent_worker_run_elsewhere(cell):
    cell.begin(nodes=1, workers=2, run_s=1.0)
    steps = [{"count": 8, "cpu": 2000, "mem_mb": 100, "estimate_ms": 1000}]
    cell.submit(cell.nodes[0], JOB, steps)
    cell.wait(lambda: len(cell.cell.starts) == 8)
    cell.cell.workers["i-0"].silent = True
    cell.wait(completed(cell, cell.nodes[0]))
    repeated = [start for start in cell.cell.starts if start[2] == 2]
    assert_that({worker for worker, _, _ in repeated}, Equals({"i-1"}))


def test_job_fails_after_its_attempts(cell):
    cell.begin(nodes=1)
    for worker in cell.cell.workers.values():
        worker.fails = True
    cell.submit(cell.nodes[0], JOB, [{"count": 1, "cpu": 10, "estimate_ms": 100}])
    cell.wait(lambda: cell.state(cell.nodes[0], JOB) == "failed")
    assert_that(cell.cell.starts, HasLength(ROUTE["max_attempts"]))


def test_advised_step_runs_only_where_it_may(cell):
    cell.begin(route=ROUTE | {"advice": ADVICE}, approves=lambda w: w == "i-1")
    for i in range(4):
        cell.submit(cell.nodes[i % 2], f"{i:016x}", TWO_STEPS)
    for i in range(4):
        cell.wait(completed(cell, cell.nodes[0], f"{i:016x}"))
    assert_that({worker for worker, _, _ in cell.cell.starts}, Equals({"i-1"}))


def test_forgotten_history_is_read_again(cell):
    cell.begin()
    cell.cell.store.forgotten = True
    cell.cell.configure(2, [ROUTE | {"path_prefix": "/moved/"}])
    cell.wait(lambda: all(n.config.version == 2 for n in cell.nodes))
    body = {"spec": "", "steps": TWO_STEPS}
    result = cell.call(cell.nodes[0], "POST", f"/moved/{JOB}", body)
    assert_that(result.status, Equals(200))


def test_unreadable_entries_of_the_registry_are_left_out(cell):
    cell.begin(nodes=1)
    for key, value in (("x1", b"\xff\x00"), ("x2", b'{"service": 3}'), ("x3", b"[]")):
        cell.cell.store.put("servers", key, value)
    cell.cell.store.put("op", "config", b'{"version": 9}')
    cell.submit(cell.nodes[0], JOB, TWO_STEPS)
    cell.wait(completed(cell, cell.nodes[0]))
    assert_that(cell.nodes[0].config.version, Equals(1))


def test_pending_counts_jobs_that_have_not_begun(cell):
    cell.begin()
    big = [{"count": 1, "cpu": 99_000, "mem_mb": 1, "estimate_ms": 100}]
    for i in range(3):
        cell.submit(cell.nodes[i % 2], f"{i:016x}", big)
    for node in cell.nodes:
        cell.wait(
            lambda node=node: cell.call(node, "GET", "/jobs/").json() == {"pending": 3}
        )


def test_hang_up_neither_ends_nor_disturbs_a_node(cell):
    # rsl-cornelward-grown trouble-1: SIGHUP ended 19 processes.
    before = signal.getsignal(signal.SIGHUP)
    try:
        cell.begin(run_s=0.5)
        cell.submit(cell.nodes[0], JOB, TWO_STEPS)
        os.kill(os.getpid(), signal.SIGHUP)
        cell.wait(completed(cell, cell.nodes[1]))
    finally:
        signal.signal(signal.SIGHUP, before)


def test_settings_that_became_bad_are_logged_and_not_used(cell):
    cell.begin(nodes=1)
    node = cell.nodes[0]

    def load():
        raise SettingsError("settings.toml: missing field")

    node.deps = node.deps._replace(load_settings=load)
    shell.reload_settings(node)
    assert_that(cell.submit(node, JOB, TWO_STEPS), Equals(200))


def test_metrics_and_state_tell_what_the_leader_does(cell):
    cell.begin(run_s=30.0)
    cell.submit(cell.nodes[0], JOB, TWO_STEPS)
    cell.wait(lambda: len(cell.cell.starts) == 2)
    leader = cell.leader()
    text = status_of(cell, leader, "/metrics").body.decode()
    assert_that(text, Contains("cornelward_node_jobs 1.0"))
    assert_that(text, Contains('cornelward_node_calls_total{operation="commit"'))
    state = status_of(cell, leader, "/state").json()
    assert_that([job["id"] for job in state["jobs"]], Equals([JOB]))
    assert_that(sum(len(w["runs"]) for w in state["workers"]), Equals(2))
    other = next(n for n in cell.nodes if n is not leader)
    assert_that(status_of(cell, other, "/state").json()["role"], Equals("follower"))
    assert_that(status_of(cell, other, "/x").status, Equals(404))


def status_of(cell, node, path):
    """Return the HttpResult of an operator's request."""
    results = []
    address = node.settings.status_address
    cell.client.request(address, "GET", path, results.append, timeout_s=20.0)
    cell.wait(lambda: results)
    return results[0]


def test_runbook_lists_every_metric_of_a_node(cell):
    cell.begin(nodes=1)
    text = status_of(cell, cell.nodes[0], "/metrics").body.decode()
    names = set(re.findall(r"^# HELP (\w+)", text, re.M))
    names = {n for n in names if not n.endswith("_created")}
    page = Path(__file__).parent.parent / "docs" / "platform.md"
    listed = set(re.findall(r"^\| `(cornelward_node_\w+)`", page.read_text(), re.M))
    assert_that(names, Equals(listed))
