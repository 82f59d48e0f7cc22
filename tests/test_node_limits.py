"""Limits that the operators' configuration and the settings set for callers."""

import msgspec
import pytest
from fixtures_node import ROUTE, cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.http_call import HttpLimits
from cornelward.platform.ingress import decode_config

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


@pytest.mark.parametrize(
    "odd",
    [
        {"max_body_bytes": "262144"},
        {"max_header_bytes": None},
        {"header_timeout_ms": []},
        {"idle_timeout_ms": -1},
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
