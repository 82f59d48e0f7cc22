"""Guards against configurations that revert or do not arrive."""

import pytest
from fixtures_entry import OBJECTS, Cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.messages import ConfigAnnounce


@pytest.fixture
def cell():
    """Two entries with the real router in one view, and a configuration."""
    made = Cluster()
    made.add_executor()
    first, second = made.add_entry(), made.add_entry()
    made.configure(first)
    made.until(lambda: all(len(e.directory.peers) == 2 for e in made.entries))
    yield made, first, second
    made.close()


def version_of(entry):
    return entry.follower.document["version"]


@pytest.mark.proof
def test_new_version_reaches_all_and_is_never_reverted(cell):
    """Guarantee 8: an old announcement and an old head change nothing."""
    cluster, first, second = cell
    old = first.follower.document
    cluster.configure(second)
    cluster.until(lambda: version_of(first) == version_of(second) == 2)
    first.send(second.identity.peer_address, make_announce(old))
    cluster.loop.run_until(lambda: False, 0.5)
    assert_that((version_of(first), version_of(second)), Equals((2, 2)))


def make_announce(document):
    return ConfigAnnounce(document["version"], document)


@pytest.mark.proof
def test_peer_that_cannot_reach_the_platform_gets_the_version(cell):
    cluster, first, second = cell
    second.follower.platform = second.platform._replace(get=lambda key, on_done: None)
    cluster.configure(first)
    cluster.until(lambda: version_of(second) == 2)


@pytest.mark.proof
def test_new_instance_during_an_outage_asks_the_seeds(cell):
    cluster, first, _ = cell
    cluster.switch(cluster.platform, down=True)
    third = cluster.add_entry(seeds=[first.identity.peer_address])
    cluster.until(lambda: version_of(third) == 1)
    assert_that(third.follower.document["objects"], Equals(OBJECTS))


def test_one_of_two_operators_wins_and_the_other_gets_a_conflict(cell):
    cluster, first, second = cell
    body = {"parent": 1, "objects": OBJECTS}
    calls = [
        cluster.start_call(entry.identity.http_address, "PUT", "/v1/config", body)
        for entry in (first, second)
    ]
    cluster.until(lambda: all(calls))
    statuses = sorted(call[0].status for call in calls)
    assert_that(statuses, Equals([200, 409]))
    loser = next(call[0] for call in calls if call[0].status == 409)
    assert_that(loser.json()["error"]["current"], Equals(2))


def test_lost_answer_of_a_publication_is_found_out(cell):
    cluster, first, _ = cell
    cluster.switch(cluster.platform, lose_answers=1)
    assert_that(cluster.configure(first), Equals(2))


def test_platform_down_refuses_a_publication_as_not_run(cell):
    cluster, first, _ = cell
    cluster.switch(cluster.platform, down=True)
    body = {"parent": 1, "objects": OBJECTS}
    result = cluster.call(first.identity.http_address, "PUT", "/v1/config", body)
    assert_that(result.status, Equals(503))
    assert_that(result.json()["error"]["verdict"], Equals("NOT_RUN"))
