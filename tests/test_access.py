"""Keys and workspaces: what a call may do, on real nodes and in the core."""

import eliot
import pytest
from fixtures_node import ROUTE, cluster
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from cornelward import access, node_status
from cornelward.commits import Applied, Rows, partition_of
from cornelward.inserts import ACCEPTED, TAKEN, Insert, Inserts, add, flush
from cornelward.inserts import handle_result as handle_insert_result
from cornelward.job_records import decode_outcome, encode_outcome

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}]
KEYS = {"acme": ["k-acme-1", "k-acme-2"], "bolt": ["k-bolt"]}
TABLE = access.key_table((k, name) for name, keys in KEYS.items() for k in keys)
PUBLIC = ROUTE | {"public": True}


@pytest.mark.parametrize(
    ("is_public", "header", "decision"),
    [
        (False, "Bearer k-bolt", (None, "bolt", "bolt")),
        (False, "bearer  k-acme-2 ", (None, "acme", "acme")),
        (False, "", (access.KEY_MISSING, "", None)),
        (False, "Basic k-bolt", (access.KEY_MISSING, "", None)),
        (False, "Bearer k-bol", (access.KEY_UNKNOWN, "", None)),
        (True, "", (None, "", "")),
        (True, "Bearer nobody", (None, "", "")),
        (True, "Bearer k-bolt", (None, "", "bolt")),
    ],
)
def test_decision_about_a_call(is_public, header, decision):
    assert_that(access.decide(TABLE, is_public, header), Equals(decision))
    assert_that(access.decide(None, is_public, header), Equals((None, "", None)))


def test_withdrawn_keys_are_named_by_a_fingerprint_only():
    after = access.key_table([("k-acme-1", "acme"), ("k-bolt", "bolt")])
    gone = access.withdrawn(TABLE, after)
    assert_that([name for name, _ in gone], Equals(["acme"]))
    assert_that(str(gone), Not(Contains("k-acme-2")))
    assert_that(access.withdrawn(after, TABLE), Equals([]))
    assert_that(access.withdrawn(None, TABLE), Equals([]))


@pytest.mark.parametrize("workspace", ["", "acme", "two words"])
def test_outcome_of_an_ended_job_keeps_its_workspace(workspace):
    value = encode_outcome("completed", workspace)
    assert_that(decode_outcome(value), Equals(("completed", workspace)))


@pytest.mark.parametrize(("owner", "outcome"), [("bolt", TAKEN), ("acme", ACCEPTED)])
def test_insert_with_the_id_of_an_ended_job(owner, outcome):
    outcomes, state = [], Inserts()
    add(state, Insert(JOB, b"v", 9.0, lambda *o: outcomes.append(o), "acme"))
    flush(state)
    rows = Rows({("done", JOB): (encode_outcome("completed", owner), 4)})
    handle_insert_result(state, 0.0, partition_of(JOB), rows)
    assert_that(outcomes, Equals([(outcome, None)]))


def test_one_id_of_two_workspaces_is_not_one_job():
    # In one batch the later insert's row replaced the earlier one's, and both were
    # reported as accepted.
    outcomes, state = [], Inserts()
    for name in ("acme", "bolt"):
        value = name.encode()
        add(state, Insert(JOB, value, 9.0, lambda *o: outcomes.append(o), name))
    ((_, _, writes),) = flush(state)
    assert_that([w.value for w in writes], Equals([b"acme"]))
    handle_insert_result(state, 0.0, partition_of(JOB), Applied(4))
    assert_that(outcomes, Equals([(ACCEPTED, 4)]))
    assert_that(flush(state), HasLength(1))


def status(cluster, node, method, path=f"/jobs/{JOB}", key=None):
    body = {"spec": "text", "steps": STEPS} if method == "POST" else None
    return cluster.call(node, method, path, body, key=key).status


def test_calls_without_a_known_key_run_nothing(cluster):
    cluster.start(keys=KEYS)
    for node in cluster.nodes:
        for key in (None, "k-none"):
            for method in ("POST", "GET", "DELETE"):
                assert_that(status(cluster, node, method, key=key), Equals(401))
            assert_that(status(cluster, node, "GET", "/jobs/", key), Equals(401))
        assert_that(status(cluster, node, "POST", f"/no/{JOB}", "x"), Equals(404))
    assert_that(cluster.submit(cluster.nodes[0], JOB, STEPS, "k-bolt"), Equals(200))
    names = {task.split(".")[0] for _, task, _ in cluster.platform.starts}
    assert_that(names - {JOB}, Equals(set()))


@pytest.mark.parametrize("ended", [False, True])
def test_jobs_of_another_workspace_are_as_unknown(cluster, ended):
    cluster.start(keys=KEYS, run_s=0.2 if ended else 30.0)
    assert_that(cluster.submit(cluster.nodes[0], JOB, STEPS, "k-acme-1"), Equals(200))
    wanted = "completed" if ended else "running"

    def shown(node):
        answer = cluster.call(node, "GET", f"/jobs/{JOB}", key="k-acme-2")
        return (answer.json() or {}).get("state")

    for node in cluster.nodes:
        cluster.wait(lambda node=node: shown(node) == wanted)
        for method, answer in (("GET", 410), ("DELETE", 410), ("POST", 409)):
            found = status(cluster, node, method, key="k-bolt")
            assert_that((method, found), Equals((method, answer)))
        assert_that(shown(node), Equals(wanted))


def test_without_a_leader_the_rows_tell_the_owner(cluster):
    cluster.start(keys=KEYS, run_s=30.0)
    leader = cluster.leader()
    other = next(n for n in cluster.nodes if n is not leader)
    assert_that(cluster.submit(other, JOB, STEPS, "k-acme-1"), Equals(200))
    other.leadership.leader_address = None
    assert_that(status(cluster, other, "GET", key="k-bolt"), Equals(410))
    other.leadership.leader_address = None
    assert_that(status(cluster, other, "DELETE", key="k-bolt"), Equals(410))
    other.leadership.leader_address = None
    assert_that(status(cluster, other, "GET", key="k-acme-1"), Equals(200))


def test_public_queue_needs_no_key(cluster):
    cluster.start(keys=KEYS, route=PUBLIC)
    assert_that(cluster.submit(cluster.nodes[0], JOB, STEPS), Equals(200))
    assert_that(status(cluster, cluster.nodes[1], "GET"), Equals(200))


@pytest.fixture
def logged():
    lines = []
    eliot.add_destinations(lines.append)
    yield lines
    eliot.remove_destination(lines.append)


def test_withdrawn_key_is_refused_on_an_open_connection(cluster, logged):
    cluster.start(keys=KEYS)
    node = cluster.nodes[0]
    for _ in range(2):
        assert_that(status(cluster, node, "GET", key="k-bolt"), Equals(410))
    cluster.platform.configure(2, [ROUTE], {"acme": KEYS["acme"]})
    cluster.wait(lambda: all(n.config.version == 2 for n in cluster.nodes))
    opened = set(node.deps.callers.conns.by_sock)
    assert_that(status(cluster, node, "GET", key="k-bolt"), Equals(401))
    assert_that(
        (opened, set(node.deps.callers.conns.by_sock)), Equals((opened, opened))
    )
    # Neither log nor metrics nor the state dump hold a key.
    assert_that(str(logged), Contains("key_withdrawn"))
    pages = [logged, node_status.dump(node)]
    assert_that(str(pages), Not(Contains("k-bolt")))
