"""A leader with little processor time or bandwidth, beside stronger nodes."""

from fixtures_node import cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward import node_leader
from cornelward.messages import LeaderResigned

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}]


def test_weak_leader_hands_over_to_a_strong_node(cluster):
    # After an outage for most nodes a node with half a core led 176 workers for the
    # rest of the day: 0.88 of the requests of a burst failed.
    cluster.start(nodes=3, run_s=0.5)
    leader = cluster.leader()
    weak, strong = [n for n in cluster.nodes if n is not leader]
    leader.is_weak = weak.is_weak = True
    leader.leader.yield_at = 0.0
    cluster.wait(lambda: cluster.leader() is strong)
    assert_that(cluster.submit(leader, JOB, STEPS), Equals(200))
    cluster.wait(lambda: cluster.state(weak, JOB) == "completed")
    assert_that(cluster.platform.violations, Equals([]))


def test_weak_leader_stays_where_all_nodes_are_weak(cluster, monkeypatch):
    sent = []
    cluster.start(nodes=2)
    leader = cluster.leader()
    for node in cluster.nodes:
        node.is_weak = True
    cluster.wait(lambda: leader.leader.weak)
    monkeypatch.setattr(leader.peers, "send", lambda *message: sent.append(message))
    leader.leader.yield_at = 0.0
    node_leader.tick(leader)
    assert_that([m for _, m in sent if isinstance(m, LeaderResigned)], Equals([]))
