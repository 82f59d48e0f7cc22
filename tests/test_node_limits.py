"""Limits that the operators' configuration and the settings set for callers."""

from types import SimpleNamespace

import msgspec
import pytest
from fixtures_node import ROUTE, cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward import node_job_states, node_jobs
from cornelward.compose import build_common_components
from cornelward.http_call import HttpLimits
from cornelward.http_memory import Held
from cornelward.loop import Loop
from cornelward.node_jobs import STEP_BYTES
from cornelward.platform.ingress import decode_config
from cornelward.settings import ENTRY_DEFAULTS

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}]
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


def put_config(cluster, version, **limits):
    """Put a configuration with other limits in force on all nodes."""
    raw = {
        "version": version,
        "routes": [ROUTE],
        "services": [{"name": cluster.platform.service}],
        "limits": LIMITS | limits,
    }
    cluster.platform.store.put("op", "config", msgspec.json.encode(raw))
    cluster.wait(lambda: all(n.config.version == version for n in cluster.nodes))


def submit_padded(cluster, size):
    """Submit a job with a body of at least ``size`` bytes; return the status."""
    body = {"spec": "text", "steps": STEPS, "padding": "x" * size}
    return cluster.call(cluster.nodes[0], "POST", f"/jobs/{JOB}", body).status


def test_limit_of_the_configuration_holds_from_its_version_on(cluster):
    # Guards against limits that are read and not used.
    cluster.start(nodes=1, workers=1)
    assert_that(submit_padded(cluster, 100_000), Equals(200))
    put_config(cluster, 2, max_body_bytes=50_000)
    assert_that(submit_padded(cluster, 100_000), Equals(413))
    put_config(cluster, 3)
    assert_that(submit_padded(cluster, 100_000), Equals(200))
    assert_that(submit_padded(cluster, 262_144), Equals(413))


def test_settings_bound_memory_and_connections(cluster):
    cluster.start(nodes=1, workers=1)
    conns = cluster.nodes[0].deps.callers.conns
    assert_that(conns.budget.max_bytes, Equals(300 * 1_048_576 // 8))
    assert_that(conns.limits.max_connections, Equals(2_000))
    assert_that(conns.limits.header_timeout_s, Equals(3.0))
    assert_that(conns.limits.idle_timeout_s, Equals(15.0))


def test_readiness_is_answered_while_callers_take_all_memory(cluster):
    # Guards against a node that leaves the rotation for the load of callers.
    cluster.start(nodes=1, workers=1)
    node, results = cluster.nodes[0], []
    budget = node.deps.callers.conns.budget
    budget.set_held("all", Held(0, budget.max_bytes + 1))
    assert_that(submit_padded(cluster, 10), Equals(503))
    cluster.client.request(
        node.settings.ready_address, "GET", "/readyz", results.append, timeout_s=20.0
    )
    cluster.wait(lambda: results)
    assert_that(results[0].status, Equals(200))


def test_job_that_waits_for_the_store_counts_with_its_steps(cluster):
    # Guards against small bodies whose decoded steps take far more memory.
    cluster.start(nodes=1, workers=1)
    node = cluster.nodes[0]
    cluster.platform.store.slow_s = 5.0
    body = {"spec": "", "steps": STEPS * 200}
    cluster.client.request(
        node.settings.caller_address,
        "POST",
        f"/jobs/{JOB}",
        lambda result: None,
        headers=(("Host", "jobs.example"),),
        body=msgspec.json.encode(body),
        timeout_s=20.0,
    )
    budget = node.deps.callers.conns.budget
    cluster.wait(lambda: budget.used_bytes > 200 * STEP_BYTES)


@pytest.mark.parametrize(("text", "expected"), [("1000", 1.0), ("9" * 12, 60.0)])
def test_deadline_of_a_call_is_bounded(text, expected):
    # Guards against memory that a call holds for ever.
    call = SimpleNamespace(request=SimpleNamespace(headers={"deadline-ms": text}))
    assert_that(node_jobs.timeout_s(call), Equals(expected))


def test_largest_body_of_the_configuration_is_served_on_a_small_budget(cluster):
    cluster.start(nodes=1, workers=1)
    cluster.nodes[0].deps.callers.conns.budget.max_bytes = 1_000
    put_config(cluster, 2, max_body_bytes=1_000_000)
    assert_that(submit_padded(cluster, 900_000), Equals(200))


def test_largest_body_of_the_settings_is_served_with_the_default_budget():
    # Guards against settings by which a single request can never be served.
    loop, results = Loop(), []
    cfg = ENTRY_DEFAULTS | {
        "id": "p0",
        "failure_domain": "l1",
        "region": "l",
        "platform_address": "127.0.0.1:9",
        "max_body_bytes": 67_108_864,
    }
    common = build_common_components(
        cfg, lambda call: call.answer(200, b""), lambda envelope: None, loop
    )
    common.client.request(
        common.server.address,
        "POST",
        "/",
        results.append,
        body=b"a" * 60_000_000,
        timeout_s=60.0,
    )
    assert loop.run_until(lambda: results, 60)
    assert_that(results[0].status, Equals(200))
    common.peers.close()
    common.server.server.close()


@pytest.mark.parametrize(
    "odd",
    [
        {"max_body_bytes": "262144"},
        {"max_header_bytes": None},
        {"header_timeout_ms": []},
        {"idle_timeout_ms": -1},
        {"max_header_bytes": 0.5},
    ],
    ids=str,
)
def test_odd_limit_has_its_default_and_the_others_hold(odd):
    # Guards against a limit that fails each request when it is compared.
    raw = {"version": 2, "routes": [ROUTE], "services": [], "limits": LIMITS | odd}
    limits = decode_config(msgspec.json.encode(raw)).limits
    field = next(iter(odd)).replace("_ms", "_s")
    expected = HttpLimits(
        max_body_bytes=262_144, header_timeout_s=3.0, idle_timeout_s=15.0
    )
    default = {field: getattr(HttpLimits(), field)}
    assert_that(limits, Equals(msgspec.structs.replace(expected, **default)))


def test_states_of_ended_jobs_that_a_node_keeps_are_bounded(cluster, monkeypatch):
    # Guards against memory that grows with each ended job that is asked for.
    monkeypatch.setattr(node_job_states, "MAX_FINAL_STATES", 2)
    cluster.start(nodes=1, workers=1, run_s=0.05)
    node, jobs = cluster.nodes[0], [f"{n:016x}" for n in range(4)]
    for job_id in jobs:
        cluster.submit(node, job_id, STEPS)
        cluster.wait(lambda j=job_id: cluster.state(node, j) == "completed")
    kept = [job_id for job_id, _ in node.peer_state.final_states]
    assert_that(kept, Equals(jobs[2:]))
    assert_that(cluster.state(node, jobs[0]), Equals("completed"))
