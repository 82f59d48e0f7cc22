"""Nodes that the store turns away and whose leader is gone: they find the next one."""

from types import SimpleNamespace

from fixtures_node import ROUTE, cluster, kill
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward import leadership, node_leader
from cornelward import node as shell
from cornelward.messages import LeaderBeat, LeaderHello, NodeConfigVersion

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}]


def turn_away(cluster, node):
    proxy = cluster.proxies[node.settings.node]
    proxy.refuse_connections = True
    proxy.reset()


def lose_leader(cluster, nodes=4):
    """Turn a node away and kill the leader; its successor does not know the node.

    Returns (the node, the successor). On a large site a candidate that was no standby
    knows the addresses of the standbys only.
    """
    cluster.start(nodes=nodes, keys={"acme": ["k-1"]}, proxied=True)
    first = cluster.leader()
    lost, *others = [n for n in cluster.nodes if n is not first]
    cluster.wait(lambda: len(lost.peer_state.peers) == nodes - 1)
    turn_away(cluster, lost)
    kill(cluster, first)
    wait_for_successor(cluster, lost, others, lost.peer_state.peers)
    return lost, cluster.leader()


def wait_for_successor(cluster, lost, others, peers_of_lost):
    """Wait until one of ``others`` leads, which do not know the lost node.

    A heartbeat that the first leader had sent may arrive after its end and name all
    nodes again, so they are set until then.
    """

    def has_successor():
        lost.peer_state.peers = list(peers_of_lost)
        for node in others:
            node.peer_state.peers = [n.address for n in others if n is not node]
        return cluster.leader() is not None

    cluster.wait(has_successor)


def test_versions_reach_a_node_that_the_next_leader_does_not_know(cluster):
    # CONFIG: eight of 35 nodes served by a configuration 18 s old, until the store
    # answered them again.
    lost, _ = lose_leader(cluster)
    for version in (2, 3):
        cluster.platform.configure(version, [ROUTE], {"acme": [f"k-{version}"]})
        cluster.wait(lambda v=version: lost.config.version == v)


def test_node_that_the_next_leader_does_not_know_finds_it(cluster):
    # Its callers got errors for as long as the store turned it away.
    lost, successor = lose_leader(cluster)
    cluster.wait(lambda: lost.leadership.leader_address == successor.address)
    cluster.wait(lambda: lost.settings.node in successor.leader.nodes)
    assert_that(cluster.submit(lost, JOB, STEPS, "k-1"), Equals(200))


def test_node_is_told_who_leads_by_one_that_does_not(cluster):
    # Without it, a node that knows no candidate of the next term finds the leader only
    # by chance.
    cluster.start(nodes=4, proxied=True)
    first = cluster.leader()
    lost, *others = [n for n in cluster.nodes if n is not first]
    turn_away(cluster, lost)
    kill(cluster, first)
    wait_for_successor(cluster, lost, others, [])
    successor = cluster.leader()
    third = next(n for n in others if n is not successor)
    cluster.wait(lambda: third.leadership.leader_address == successor.address)
    cluster.wait(lambda: leadership.is_leader_silent(lost.leadership, shell.clock()))
    lost.peer_state.peers = [third.address]
    cluster.wait(lambda: lost.leadership.leader_address == successor.address)
    cluster.wait(lambda: lost.settings.node in successor.leader.nodes)


def test_leader_answers_the_hello_of_a_node_new_to_it_with_a_heartbeat(cluster):
    # The node refuses its callers until then.
    leader, sent = cluster.start().leader(), []
    leader.peers = SimpleNamespace(
        send=lambda address, message: sent.append((address, type(message))),
        is_silent=lambda address: False,
    )
    for _ in range(2):
        node_leader.on_hello(leader, "n9", LeaderHello("10.0.0.9:1"))
    expected = [("10.0.0.9:1", LeaderBeat), ("10.0.0.9:1", NodeConfigVersion)]
    assert_that(sent, Equals(expected))
