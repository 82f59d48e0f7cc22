"""Nodes on a stand-in platform: submit, show, cancel, takeover, store outages."""

import os
import re
import signal
import types
from pathlib import Path

import pytest
from fixtures_node import ADVICE, ROUTE, cluster, kill
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength

from cornelward import node as shell
from cornelward import node_heartbeats, node_leader, node_messages
from cornelward.dispatch_effects import AskAdvice
from cornelward.errors import SettingsError
from cornelward.messages import Envelope, LeaderBeat, LeaderHello
from standins.proxy import TO_CALLER, TO_TARGET

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
TWO_STEPS = [
    {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 200},
    {"count": 3, "cpu": 500, "mem_mb": 256, "estimate_ms": 200, "after": [0]},
]


def completed(cluster, node, job_id=JOB):
    return lambda: cluster.state(node, job_id) == "completed"


def test_job_runs_its_steps_in_order_and_every_node_shows_it(cluster):
    cluster.start()
    first, second = cluster.nodes
    assert_that(cluster.submit(first, JOB, TWO_STEPS), Equals(200))
    cluster.wait(completed(cluster, second))
    assert_that(cluster.state(first, JOB), Equals("completed"))
    assert_that(cluster.platform.starts, HasLength(5))
    steps = [task.split(".")[2] for _, task, _ in cluster.platform.starts]
    assert_that(steps, Equals(sorted(steps)))


def test_repeated_submission_stays_one_job(cluster):
    cluster.start()
    for node in cluster.nodes * 2:
        assert_that(cluster.submit(node, JOB, TWO_STEPS), Equals(200))
    cluster.wait(completed(cluster, cluster.nodes[0]))
    assert_that(cluster.submit(cluster.nodes[1], JOB, TWO_STEPS), Equals(200))
    assert_that(cluster.platform.starts, HasLength(5))


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
def test_bad_requests_are_refused(cluster, path, body, status):
    cluster.start(nodes=1)
    result = cluster.call(cluster.nodes[0], "POST", path, body)
    assert_that(result.status, Equals(status))


def test_unknown_job_is_410_and_unknown_queue_404(cluster):
    cluster.start()
    for node in cluster.nodes:
        assert_that(cluster.call(node, "GET", f"/jobs/{JOB}").status, Equals(410))
        assert_that(cluster.call(node, "DELETE", f"/jobs/{JOB}").status, Equals(410))
        assert_that(cluster.call(node, "GET", f"/none/{JOB}").status, Equals(404))


def test_cancelled_job_stops(cluster):
    cluster.start(run_s=30.0)
    cluster.submit(cluster.nodes[0], JOB, TWO_STEPS)
    cluster.wait(lambda: len(cluster.platform.starts) == 2)
    for node in cluster.nodes:
        assert_that(cluster.call(node, "DELETE", f"/jobs/{JOB}").status, Equals(200))
    cluster.wait(lambda: not any(w.running for w in cluster.platform.workers.values()))
    assert_that(cluster.state(cluster.nodes[1], JOB), Equals("cancelled"))


def test_cancellation_without_a_leader_is_applied_by_the_next_leader(cluster):
    cluster.start(run_s=30.0)
    leader = cluster.leader()
    other = next(n for n in cluster.nodes if n is not leader)
    cluster.submit(other, JOB, TWO_STEPS)
    cluster.wait(lambda: len(cluster.platform.starts) == 2)
    kill(cluster, leader)
    assert_that(cluster.call(other, "DELETE", f"/jobs/{JOB}").status, Equals(200))
    cluster.wait(lambda: cluster.leader() is other)
    cluster.wait(lambda: not any(w.running for w in cluster.platform.workers.values()))
    assert_that(cluster.state(other, JOB), Equals("cancelled"))


def test_successor_adopts_running_tasks(cluster):
    cluster.start(run_s=4.0)
    leader = cluster.leader()
    cluster.submit(leader, JOB, TWO_STEPS[:1])
    cluster.wait(lambda: len(cluster.platform.starts) == 2)
    kill(cluster, leader)
    cluster.wait(lambda: cluster.leader() is not None)
    cluster.wait(completed(cluster, cluster.nodes[0]))
    assert_that(cluster.platform.starts, HasLength(2))
    assert_that(cluster.platform.violations, Equals([]))


def test_leader_that_stops_hands_over(cluster):
    cluster.start(run_s=0.5)
    leader = cluster.leader()
    cluster.submit(leader, JOB, TWO_STEPS)
    shell.begin_shutdown(leader)
    cluster.wait(lambda: cluster.leader() not in (None, leader))
    other = cluster.leader()
    cluster.wait(completed(cluster, other))
    assert_that(cluster.platform.violations, Equals([]))
    assert_that(cluster.platform.starts, HasLength(5))


def test_advice_planned_for_a_node_that_was_forgotten_is_asked_for(cluster):
    # The call was lost, and its step waited until it was given up.
    cluster.start()
    leader, asked = cluster.leader(), []
    leader.deps = leader.deps._replace(ask_advice=lambda *call: asked.append(call))
    effect = AskAdvice("n9", 1, "step", ["i-0"])
    node_leader._ask_advice(leader, leader.leader, effect)
    assert_that(asked, HasLength(1))


def test_new_leader_sends_heartbeats_to_the_nodes_of_the_former_leader(cluster):
    # For a second after a takeover only one node made advice calls, because the new
    # leader did not know the others.
    cluster.start()
    leader = cluster.leader()
    term, now = leader.leader, leader.deps.now()
    sent = []
    leader.peers = types.SimpleNamespace(
        send_all=lambda addresses, message: sent.extend(addresses),
        disconnect=lambda address: None,
        is_silent=lambda address: False,
    )
    term.started_at, term.inherited_peers = now, ("10.0.0.9:1",)
    node_heartbeats.send_heartbeats(leader, term, now, urgent=True)
    assert_that(sent, Contains("10.0.0.9:1"))
    node_leader.on_hello(leader, "n9", LeaderHello("10.0.0.9:1"))
    assert_that(term.dispatcher.advising.nodes, Contains("n9"))


def test_renewal_of_the_row_is_reported_at_once(cluster):
    # A leader died between a renewal and its next heartbeat, so that followers did not
    # know the version of the row.
    cluster.start()
    leader = cluster.leader()
    before, sent = leader.leadership.version, []
    leader.peers = types.SimpleNamespace(
        send_all=lambda addresses, message: sent.append(message),
        disconnect=lambda address: None,
        is_silent=lambda address: False,
    )
    cluster.wait(lambda: leader.leadership.version != before)
    versions = [m.row_version for m in sent if isinstance(m, LeaderBeat)]
    assert_that(versions, Contains(leader.leadership.version))


def test_node_that_gets_a_hello_before_it_leads_keeps_the_address(cluster):
    cluster.start()
    other = next(n for n in cluster.nodes if n is not cluster.leader())
    hello = LeaderHello("10.0.0.9:1")
    node_messages.on_message(other, Envelope("n9", 1, hello))
    assert_that(other.peer_state.peers, Contains("10.0.0.9:1"))


def test_store_outage_answers_retry_after_and_loses_no_job(cluster):
    cluster.start(run_s=1.0)
    cluster.submit(cluster.nodes[0], JOB, TWO_STEPS)
    cluster.wait(lambda: len(cluster.platform.starts) == 2)
    cluster.platform.store.down = True
    body = {"spec": "", "steps": TWO_STEPS}
    result = cluster.call(cluster.nodes[1], "POST", "/jobs/" + "a" * 16, body)
    assert_that(result.status, Equals(503))
    assert_that(int(result.headers["retry-after"]), GreaterThan(0))
    cluster.platform.store.down = False
    cluster.wait(completed(cluster, cluster.nodes[0]))
    assert_that(
        cluster.call(cluster.nodes[1], "GET", "/jobs/" + "a" * 16).status, Equals(410)
    )
    assert_that(cluster.platform.violations, Equals([]))


def test_calls_lost_in_a_silence_of_the_store_do_not_outlast_it(cluster):
    # Renewal, records and inserts waited out limits of 3 s, and another node took over.
    cluster.start(proxied=True, run_s=0.2)
    leader, proxies = cluster.leader(), cluster.proxies.values()
    follower = next(n for n in cluster.nodes if n is not leader)
    for proxy in proxies:
        proxy.dropped_directions = frozenset({TO_TARGET, TO_CALLER})
    body = {"spec": "", "steps": TWO_STEPS}
    lost = cluster.call(leader, "POST", f"/jobs/{JOB}", body)
    assert_that([503, 504], Contains(lost.status))
    cluster.wait(
        lambda: all(n.health.is_unavailable(n.deps.now()) for n in cluster.nodes)
    )
    cluster.wait(lambda: timed_out_commits(cluster, leader) >= 3)
    assert_that([shell.is_ready(n) for n in cluster.nodes], Equals([True, True]))
    refused = cluster.call(follower, "POST", "/jobs/" + "b" * 16, body)
    assert_that(refused.status, Equals(503))
    token = leader.leader.token
    # The connections of the lost calls stay open, as clear_faults would not leave them.
    for proxy in proxies:
        proxy.dropped_directions = frozenset()
    cluster.wait(lambda: not leader.health.is_failing)
    timed_out = timed_out_commits(cluster, leader)
    cluster.wait(lambda: cluster.submit(follower, "c" * 16, TWO_STEPS) == 200)
    cluster.wait(completed(cluster, follower, "c" * 16))
    assert_that(timed_out_commits(cluster, leader), Equals(timed_out))
    assert_that(cluster.leader().leader.token, Equals(token))


def test_former_leader_that_was_cut_off_from_the_store_is_asked_for_its_end(cluster):
    # Tasks of workers that the successor does not reach waited for as long as the
    # former leader could have gone on, although it was there.
    cluster.start(nodes=2, proxied=True)
    former = cluster.leader()
    proxy = cluster.proxies[former.settings.node]
    proxy.dropped_directions = frozenset({TO_TARGET, TO_CALLER})
    cluster.wait(lambda: cluster.leader() not in (former, None))
    successor = cluster.leader()
    cluster.wait(lambda: successor.leader.former_ended_at is not None)
    assert_that(former.leader, Equals(None))
    ends_at = successor.leader.dispatcher.former_leases_end_at
    longest_s = ends_at - successor.leader.former_ended_at
    assert_that(round(longest_s, 3), Equals(cluster.longest_lease_s + 0.6))
    # The next successor may rely on it that leases of earlier ones have expired.
    successor.leader.dispatcher.former_leases_end_at = 0.0
    cluster.wait(lambda: successor.leadership.expiry_recorded)


def timed_out_commits(cluster, node):
    """Return how many commits of a node ended without an answer at their limit."""
    text = status_of(cluster, node, "/metrics").body.decode()
    name = 'cornelward_node_calls_total{operation="commit",outcome="unknown"}'
    found = re.search(rf"^{re.escape(name)} ([0-9.]+)$", text, re.MULTILINE)
    return float(found.group(1)) if found else 0.0


def test_lost_store_answers_do_not_duplicate_a_job(cluster):
    cluster.start()
    cluster.platform.store.lose_answer_rate = 0.4
    status = cluster.submit(cluster.nodes[1], JOB, TWO_STEPS)
    assert_that([200, 504], Contains(status))
    cluster.platform.store.lose_answer_rate = 0.0
    cluster.wait(completed(cluster, cluster.nodes[0]))
    assert_that(cluster.platform.starts, HasLength(5))


def test_tasks_of_a_silent_worker_run_elsewhere(cluster):
    cluster.start(nodes=1, workers=2, run_s=1.0)
    steps = [{"count": 8, "cpu": 2000, "mem_mb": 100, "estimate_ms": 1000}]
    cluster.submit(cluster.nodes[0], JOB, steps)
    cluster.wait(lambda: len(cluster.platform.starts) == 8)
    cluster.platform.workers["i-0"].silent = True
    cluster.wait(completed(cluster, cluster.nodes[0]))
    repeated = [start for start in cluster.platform.starts if start[2] == 2]
    assert_that({worker for worker, _, _ in repeated}, Equals({"i-1"}))


def test_job_fails_after_its_last_attempt(cluster):
    cluster.start(nodes=1)
    for worker in cluster.platform.workers.values():
        worker.fails = True
    cluster.submit(cluster.nodes[0], JOB, [{"count": 1, "cpu": 10, "estimate_ms": 100}])
    cluster.wait(lambda: cluster.state(cluster.nodes[0], JOB) == "failed")
    assert_that(cluster.platform.starts, HasLength(ROUTE["max_attempts"]))


def test_step_with_advice_runs_only_on_approved_workers(cluster):
    cluster.start(route=ROUTE | {"advice": ADVICE}, approves=lambda w: w == "i-1")
    for i in range(4):
        cluster.submit(cluster.nodes[i % 2], f"{i:016x}", TWO_STEPS)
    for i in range(4):
        cluster.wait(completed(cluster, cluster.nodes[0], f"{i:016x}"))
    assert_that({worker for worker, _, _ in cluster.platform.starts}, Equals({"i-1"}))


def test_configuration_is_read_again_after_the_feed_history_is_lost(cluster):
    cluster.start()
    cluster.platform.store.history_lost = True
    cluster.platform.configure(2, [ROUTE | {"path_prefix": "/moved/"}])
    cluster.wait(lambda: all(n.config.version == 2 for n in cluster.nodes))
    body = {"spec": "", "steps": TWO_STEPS}
    result = cluster.call(cluster.nodes[0], "POST", f"/moved/{JOB}", body)
    assert_that(result.status, Equals(200))


def test_unreadable_registry_entries_and_configuration_are_ignored(cluster):
    cluster.start(nodes=1)
    for key, value in (("x1", b"\xff\x00"), ("x2", b'{"service": 3}'), ("x3", b"[]")):
        cluster.platform.store.put("servers", key, value)
    cluster.platform.store.put("op", "config", b'{"version": 9}')
    cluster.submit(cluster.nodes[0], JOB, TWO_STEPS)
    cluster.wait(completed(cluster, cluster.nodes[0]))
    assert_that(cluster.nodes[0].config.version, Equals(1))


def test_pending_counts_jobs_that_have_not_started(cluster):
    cluster.start()
    big = [{"count": 1, "cpu": 99_000, "mem_mb": 1, "estimate_ms": 100}]
    for i in range(3):
        cluster.submit(cluster.nodes[i % 2], f"{i:016x}", big)
    for node in cluster.nodes:
        cluster.wait(
            lambda node=node: (
                cluster.call(node, "GET", "/jobs/").json() == {"pending": 3}
            )
        )


def test_sighup_neither_ends_nor_disturbs_a_node(cluster):
    # SIGHUP once ended 19 processes.
    before = signal.getsignal(signal.SIGHUP)
    try:
        cluster.start(run_s=0.5)
        cluster.submit(cluster.nodes[0], JOB, TWO_STEPS)
        os.kill(os.getpid(), signal.SIGHUP)
        cluster.wait(completed(cluster, cluster.nodes[1]))
    finally:
        signal.signal(signal.SIGHUP, before)


def test_invalid_settings_on_reload_do_not_stop_the_node(cluster):
    cluster.start(nodes=1)
    node = cluster.nodes[0]

    def load():
        raise SettingsError("settings.toml: missing field")

    node.deps = node.deps._replace(load_settings=load)
    shell.reload_settings(node)
    assert_that(cluster.submit(node, JOB, TWO_STEPS), Equals(200))


def test_metrics_and_state_show_the_jobs_and_runs_of_the_leader(cluster):
    cluster.start(run_s=30.0)
    cluster.submit(cluster.nodes[0], JOB, TWO_STEPS)
    cluster.wait(lambda: len(cluster.platform.starts) == 2)
    leader = cluster.leader()
    text = status_of(cluster, leader, "/metrics").body.decode()
    assert_that(text, Contains("cornelward_node_jobs 1.0"))
    assert_that(text, Contains('cornelward_node_calls_total{operation="commit"'))
    state = status_of(cluster, leader, "/state").json()
    assert_that([job["id"] for job in state["jobs"]], Equals([JOB]))
    assert_that(sum(len(w["runs"]) for w in state["workers"]), Equals(2))
    other = next(n for n in cluster.nodes if n is not leader)
    assert_that(status_of(cluster, other, "/state").json()["role"], Equals("follower"))
    assert_that(status_of(cluster, other, "/x").status, Equals(404))


def status_of(cluster, node, path):
    """Send one operator request to a node and return its HttpResult."""
    results = []
    address = node.settings.status_address
    cluster.client.request(address, "GET", path, results.append, timeout_s=20.0)
    cluster.wait(lambda: results)
    return results[0]


def test_runbook_lists_every_metric_of_a_node(cluster):
    cluster.start(nodes=1)
    text = status_of(cluster, cluster.nodes[0], "/metrics").body.decode()
    names = set(re.findall(r"^# HELP (\w+)", text, re.M))
    names = {n for n in names if not n.endswith("_created")}
    page = Path(__file__).parent.parent / "docs" / "platform.md"
    listed = set(re.findall(r"^\| `(cornelward_node_\w+)`", page.read_text(), re.M))
    assert_that(names, Equals(listed))
