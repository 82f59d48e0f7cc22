"""Bounds on the clocks of other nodes."""

from fixtures_node import cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from cornelward import peer_clocks
from cornelward.peer_clocks import PeerClocks

__all__ = ["cluster"]


def test_time_that_the_reply_took_counts_as_the_peers():
    # Asked at 10.0 and answered at 10.3, the peer may have read its clock at any time
    # between the two.
    clocks = PeerClocks()
    peer_clocks.note_reply(clocks, "n1", 1, 10.0, 510.1)
    assert_that(round(peer_clocks.latest(clocks, 10.3, "n1", 1), 6), Equals(510.4))
    assert_that(peer_clocks.latest(clocks, 10.3, "n2", 1), Is(None))


def test_clock_of_a_former_process_says_nothing_of_its_successor():
    clocks = PeerClocks()
    peer_clocks.note_reply(clocks, "n1", 1, 10.0, 510.0)
    assert_that(peer_clocks.latest(clocks, 10.3, "n1", 2), Is(None))
    assert_that(peer_clocks.is_query_due(clocks, 10.3, "n1", 2), Is(True))


def test_unanswered_query_is_repeated_and_a_bound_renewed():
    clocks = PeerClocks()
    due = [
        number / 10
        for number in range(20)
        if peer_clocks.is_query_due(clocks, number / 10, "n1", 1)
    ]
    assert_that(due, Equals([0.0, 0.8, 1.6]))
    peer_clocks.note_reply(clocks, "n1", 1, 1.6, 0.0)
    renewed_at = 1.6 + peer_clocks.RENEWED_AFTER_S
    assert_that(peer_clocks.is_query_due(clocks, renewed_at - 0.1, "n1", 1), Is(False))
    assert_that(peer_clocks.is_query_due(clocks, renewed_at, "n1", 1), Is(True))


def test_bounds_of_peers_that_are_not_asked_are_dropped():
    clocks = PeerClocks()
    peer_clocks.is_query_due(clocks, 1.0, "n1", 1)
    peer_clocks.note_reply(clocks, "n1", 1, 1.0, 0.0)
    peer_clocks.forget_unused(clocks, 1.0 + peer_clocks.KEPT_S)
    assert_that(peer_clocks.latest(clocks, 61.0, "n1", 1), Equals(60.0))
    peer_clocks.forget_unused(clocks, 1.1 + peer_clocks.KEPT_S)
    assert_that((clocks.bounds, clocks.asked_at), Equals(({}, {})))


def test_nodes_learn_the_clock_of_their_leader(cluster):
    cluster.start(nodes=2)
    leader = cluster.leader()
    other = next(n for n in cluster.nodes if n is not leader)
    clocks, name = other.peer_state.clocks, leader.settings.node
    cluster.wait(lambda: name in clocks.bounds)
    shown = peer_clocks.latest(clocks, other.deps.now(), name, leader.incarnation)
    assert_that(abs(shown - leader.deps.now()), LessThan(10.0))
