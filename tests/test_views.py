"""Guards against entries that act after their lease and executors without an owner."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is

from cornelward import router, views
from cornelward.messages import Envelope, HeartbeatAck
from cornelward.platform_client import Conflict, Row
from tests.fixtures_router import SimulatedCluster, ready_router, submit


def cluster_of(count, executors=6):
    cluster = SimulatedCluster(3, executors=executors)
    for index in range(count):
        cluster.start(f"e{index + 1}")
    cluster.run(8)
    return cluster


def has_authority(cluster, name):
    node = cluster.nodes[name]
    return views.has_authority(node.state.view, cluster.now + node.offset)


@pytest.mark.proof
def test_nothing_starts_after_a_pause_until_the_view_was_read():
    state = ready_router()
    effects = submit(state, 4.0, "late")
    assert_that(effects, Equals([]))
    row = state.view.row
    value = {"epoch": 1, "members": {"e1": {"address": "e1:9", "incarnation": 1}}}
    effects = router.handle_view_read(
        state, 4.2, 4.1, Row("views/fd1", value, row.version)
    )
    assert_that(type(effects[-1]), Is(router.Dispatch))


def test_acknowledgements_keep_authority_while_the_table_is_down():
    cluster = cluster_of(3)
    cluster.table_up = False
    cluster.run(20)
    for name in cluster.nodes:
        assert_that(has_authority(cluster, name), Is(True))


def test_isolated_entry_loses_authority():
    cluster = cluster_of(3)
    cluster.isolate("e1", 100)
    cluster.run(3.1)
    assert_that(has_authority(cluster, "e1"), Is(False))


def test_single_entry_keeps_authority_while_the_table_is_down():
    cluster = cluster_of(1)
    cluster.table_up = False
    cluster.run(60)
    assert_that(has_authority(cluster, "e1"), Is(True))


def test_silent_member_suspends_authority_only_for_a_limited_time_in_an_outage():
    cluster = cluster_of(3)
    cluster.table_up = False
    cluster.kill("e3")
    cluster.run(10)
    assert_that(has_authority(cluster, "e1"), Is(False))
    cluster.run(25)
    assert_that(has_authority(cluster, "e1"), Is(True))
    assert_that(cluster.nodes["e1"].state.view.members, Contains("e3"))


def test_dead_entry_is_replaced_as_owner():
    cluster = cluster_of(3)
    cluster.kill("e3")
    cluster.run(12)
    owned = [
        executor.id
        for name in ("e1", "e2")
        for executor in cluster.nodes[name].state.slots.owned.values()
        if executor.ready
    ]
    assert_that(sorted(owned), Equals(sorted(cluster.slots)))


def test_restarted_entry_with_the_same_id_owns_executors_again():
    cluster = cluster_of(2)
    cluster.kill("e1")
    cluster.start("e1")
    cluster.run(6)
    owned = cluster.nodes["e1"].state.slots.owned.values()
    assert_that(len(owned), GreaterThan(0))
    assert_that(all(executor.ready for executor in owned), Is(True))


def test_ack_of_another_epoch_or_incarnation_is_ignored():
    cluster = cluster_of(2)
    node = cluster.nodes["e1"]
    view, now = node.state.view, cluster.now + node.offset
    before = dict(view.acks)
    for incarnation, epoch in ((99, view.epoch), (2, view.epoch + 1)):
        ack = Envelope("e2", incarnation, HeartbeatAck(epoch, 1, now + 100))
        views.on_ack(view, now, ack)
    assert_that(view.acks, Equals(before))


def test_row_is_read_after_a_write_conflict_or_unknown_result():
    for result in (Conflict({"views/fd1": 3}), None):
        state = ready_router()
        state.pending_write = {"epoch": 2, "members": {}}
        effects = router.handle_view_written(state, 0.1, 0.1, result)
        assert_that(effects, Equals([router.ReadView()]))
