"""The leader's heartbeats: their number and size on a large fleet."""

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan

from cornelward import heartbeats
from cornelward.heartbeats import Beats, Peer, groups_due
from cornelward.messages import LeaderBeat, encode

OWN = "10.0.0.1:7720"
SECONDS = 12


def peers_of(count, weak=()):
    return [Peer(f"10.0.{i // 200}.{i % 200}:7720", i in weak) for i in range(count)]


def traffic(count):
    """Return (messages, bytes) a second of a leader of ``count`` other nodes.

    The leader ticks ten times a second and renews its row every 0.4 s.
    """
    beats, messages, size = Beats(), 0, 0
    for tick in range(SECONDS * 10):
        now = tick / 10
        if tick % 4 == 0:
            beats.standbys_at = None
        for group in groups_due(beats, now, OWN, peers_of(count)):
            beat = LeaderBeat(OWN, 7, 0.1, {"q": 3}, group.nodes, 9, group.interval_s)
            messages += len(group.addresses)
            size += len(group.addresses) * len(encode("node-1", 1, beat))
    return messages / SECONDS, size / SECONDS


def test_traffic_grows_with_the_nodes_and_not_with_their_square():
    # With all addresses in each heartbeat, 97 nodes took 1 MB/s of the leader's link.
    few, many = traffic(30), traffic(300)
    assert_that(many[1] / few[1], LessThan(10.0))
    assert_that(traffic(96)[1], LessThan(0.2 * 1_000_000))


def test_small_site_hears_of_every_renewal():
    # Each node of a small site is a standby: it may claim at its first read of the row.
    beats = Beats()
    beats.standbys_at, beats.addresses_at = 0.0, 0.0
    assert_that(groups_due(beats, 0.2, OWN, peers_of(7)), Equals([]))
    beats.standbys_at = None
    (group,) = groups_due(beats, 0.2, OWN, peers_of(7))
    assert_that(group.addresses, HasLength(7))


def test_weak_and_leaving_nodes_are_no_standbys_where_others_are():
    peers = peers_of(40, weak=range(30))
    peers[35] = peers[35]._replace(leaving=True)
    standbys = heartbeats.choose_standbys(peers)
    strong = {p.address for p in peers[30:] if not p.leaving}
    assert_that(standbys, HasLength(heartbeats.MAX_STANDBYS))
    assert_that(set(standbys) - strong, Equals(set()))


def test_urgent_news_reaches_every_node():
    beats = Beats()
    groups_due(beats, 0.0, OWN, peers_of(40))
    groups = groups_due(beats, 0.1, OWN, peers_of(40), urgent=True)
    reached = [address for group in groups for address in group.addresses]
    assert_that(sorted(reached), Equals(sorted(p.address for p in peers_of(40))))
    assert_that(groups[0].nodes, Contains(peers_of(40)[39].address))
