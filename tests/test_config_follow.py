"""Guards against configurations that revert or do not reach every entry."""

import pytest
from fixtures_entry import OBJECTS, Cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.messages import ConfigAnnounce


@pytest.fixture
def cluster_and_entries():
    """Return (cluster, first entry, second entry).

    Both entries run the real router, are in one view and have version 1.
    """
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
def test_new_version_reaches_all_entries_and_is_never_reverted(cluster_and_entries):
    """Guarantee 8: an announcement of an older version changes nothing."""
    cluster, first, second = cluster_and_entries
    old = first.follower.document
    cluster.configure(second)
    cluster.until(lambda: version_of(first) == version_of(second) == 2)
    first.send(second.identity.peer_address, make_announce(old))
    cluster.loop.run_until(lambda: False, 0.5)
    assert_that((version_of(first), version_of(second)), Equals((2, 2)))


def make_announce(document):
    return ConfigAnnounce(document["version"], document)


@pytest.mark.proof
def test_entry_without_the_platform_gets_the_version_from_a_peer(cluster_and_entries):
    cluster, first, second = cluster_and_entries
    second.follower.platform = second.platform._replace(get=lambda key, on_done: None)
    cluster.configure(first)
    cluster.until(lambda: version_of(second) == 2)


@pytest.mark.proof
def test_entry_started_during_an_outage_gets_the_version_from_a_seed(
    cluster_and_entries,
):
    cluster, first, _ = cluster_and_entries
    cluster.switch(cluster.platform, down=True)
    third = cluster.add_entry(seeds=[first.identity.peer_address])
    cluster.until(lambda: version_of(third) == 1)
    assert_that(third.follower.document["objects"], Equals(OBJECTS))


def test_second_of_two_concurrent_publications_gets_a_conflict(cluster_and_entries):
    cluster, first, second = cluster_and_entries
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


def test_publication_succeeds_although_its_response_is_lost(cluster_and_entries):
    cluster, first, _ = cluster_and_entries
    cluster.switch(cluster.platform, lose_answers=1)
    assert_that(cluster.configure(first), Equals(2))


def test_platform_down_refuses_a_publication_as_not_run(cluster_and_entries):
    cluster, first, _ = cluster_and_entries
    cluster.switch(cluster.platform, down=True)
    body = {"parent": 1, "objects": OBJECTS}
    result = cluster.call(first.identity.http_address, "PUT", "/v1/config", body)
    assert_that(result.status, Equals(503))
    assert_that(result.json()["error"]["verdict"], Equals("NOT_RUN"))
