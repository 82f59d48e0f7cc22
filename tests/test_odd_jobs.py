"""Jobs that cannot be served: refused, and those of other callers run."""

import msgspec
import pytest
from fixtures_node import cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from cornelward.commits import partition_of
from cornelward.platform.ingress import Target, decode_job
from cornelward.staged_jobs import Queue, decode_spec, encode_spec

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}]
DEEP = b"[" * 100_000 + b"]" * 100_000
DIGITS = (b"9" * 400, b"9" * 5_000, b"1" + b"0" * 30, b"1e300", b"1e400", b"NaN")


def _bodies():
    yield DEEP
    yield b'{"steps":%s}' % DEEP
    yield b'{"steps":[{"count":1}],"spec":%s}' % DEEP
    yield b'{"steps":[{"count":1}],"other":%s}' % (b'{"a":' * 50_000)
    for name in (b"count", b"cpu", b"mem_mb", b"gpu", b"anti_affinity", b"estimate_ms"):
        for value in DIGITS:
            yield b'{"steps":[{"count":1,"%s":%s}]}' % (name, value)
    for name in (b"start_at_ms", b"interval_ms", b"times"):
        for value in DIGITS:
            yield b'{"steps":[{"count":1}],"times":2,"%s":%s}' % (name, value)
    yield b'{"steps":[{"count":"%s"}]}' % (b"x" * 50_000)


TOO_LARGE = [
    b'{"steps":[{"count":1}],"other":%s}' % (b'{"a":' * 100_000),
    b'{"spec":"%s","steps":[{"count":1}]}' % (b"x" * 70_000),
    b'{"steps":[{"count":1,"requires":"%s"}]}' % (b"x" * 70_000),
]
BODIES = [(body, 400) for body in _bodies()] + [(body, 413) for body in TOO_LARGE]


def post(cluster, node, job_id, body, headers=()):
    """Submit a body as it is; return the list to which the HttpResult is appended."""
    results = []
    cluster.client.request(
        node.settings.caller_address,
        "POST",
        f"/jobs/{job_id}",
        results.append,
        headers=(("Host", "jobs.example"), *headers),
        body=body,
        timeout_s=20.0,
    )
    return results


def test_job_that_cannot_be_served_is_refused_and_others_run(cluster):
    # A number of 31 digits ended in a 500, as the row could not be encoded.
    cluster.start(nodes=2, run_s=0.05)
    found = {}
    for number, (body, status) in enumerate(BODIES):
        results = post(cluster, cluster.nodes[number % 2], f"{number:016x}", body)
        cluster.wait(lambda: results)  # noqa: B023
        if results[0].status != status or len(results[0].body) > 1_000:
            found[body[:60]] = results[0].status
    assert_that(found, Equals({}))
    assert_that(cluster.submit(cluster.nodes[0], JOB, STEPS), Equals(200))
    cluster.wait(lambda: cluster.state(cluster.nodes[1], JOB) == "completed")


def test_job_too_large_for_a_row_does_not_fail_those_stored_with_it(cluster):
    # The store refused the transaction of all, which was sent again until their end.
    cluster.start(nodes=2, run_s=0.05)
    part = partition_of(JOB)
    ids = [i for i in (f"{n:016x}" for n in range(40)) if partition_of(i) == part][:4]
    large = b'{"spec":"%s","steps":[{"count":1}]}' % (b"x" * 100_000)
    small = msgspec.json.encode({"spec": "x", "steps": STEPS})
    refused = [post(cluster, n, i, large) for n in cluster.nodes for i in ids[:2]]
    accepted = [post(cluster, n, i, small) for n in cluster.nodes for i in ids[2:]]
    cluster.wait(lambda: all((*refused, *accepted)))
    assert_that({r[0].status for r in refused}, Equals({413}))
    assert_that({r[0].status for r in accepted}, Equals({200}))


@pytest.mark.parametrize("value", ["²", "9" * 5_000, "-5", "5e9", "", "x", "9" * 400])
def test_odd_deadline_counts_as_none(cluster, value):
    cluster.start(nodes=1)
    body = msgspec.json.encode({"spec": "x", "steps": STEPS})
    results = post(cluster, cluster.nodes[0], JOB, body, [("Deadline-Ms", value)])
    cluster.wait(lambda: results)
    assert_that(results[0].status, Equals(200))


def test_tiny_interval_does_not_end_the_steps_of_the_leader(cluster):
    cluster.start(nodes=1, run_s=0.05)
    node = cluster.nodes[0]
    times = {"times": 2, "start_at_ms": 1_000, "interval_ms": 1e-300}
    assert_that(cluster.submit(node, "a" * 16, STEPS, **times), Equals(200))
    assert_that(cluster.submit(node, JOB, STEPS), Equals(200))
    cluster.wait(lambda: cluster.state(node, JOB) == "completed", 20)
    cluster.wait(lambda: cluster.state(node, "a" * 16) == "completed", 20)


def test_row_of_a_job_that_cannot_be_served_is_invalid():
    body = msgspec.json.encode({"spec": "x", "steps": STEPS})
    spec, _ = decode_job(Target(Queue("q", "svc"), JOB), body)
    assert_that(decode_spec(encode_spec(spec)), Equals(spec))
    step = spec.steps[0]
    for odd in (
        spec._replace(steps=()),
        spec._replace(accepted_at=float("nan")),
        spec._replace(interval_s=float("inf")),
        spec._replace(steps=(step._replace(after=(7,)),)),
        spec._replace(steps=(step._replace(estimate_s=float("nan")),)),
    ):
        assert_that(decode_spec(encode_spec(odd)), Is(None))
    assert_that(decode_spec(b"\x91" * 100_000), Is(None))
    assert_that(decode_spec(encode_spec(spec)), Not(Is(None)))
