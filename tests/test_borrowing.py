"""Guards against credits that are used twice, used after expiry, or never returned."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Not

from cornelward import borrowing, router
from cornelward.messages import Credit, Envelope, Heartbeat, SlotGrant, SlotReturn
from tests.fixtures_router import SimulatedCluster, ready_router, submit


def two_entries():
    """Return (cluster, entry without executors, owner of the only executor)."""
    cluster = SimulatedCluster(5, executors=1, policy={"reserved_short_slots": 0})
    cluster.start("e1")
    cluster.start("e2")
    cluster.run(6)
    owner = next(n for n in cluster.nodes if cluster.nodes[n].state.slots.owned)
    return cluster, ({"e1", "e2"} - {owner}).pop(), owner


def receive_grant(state, now, sent_at=0.0):
    grant = SlotGrant("quotes", "short", [Credit(7, "x0", "x0:1")], 1.0, sent_at)
    return router.receive(state, now, Envelope("e2", 1, grant))


def dispatched_credit_ids(effects):
    return [e.credit_id for e in effects if isinstance(e, router.Dispatch)]


@pytest.mark.proof
@pytest.mark.parametrize("now, expected", [(0.9, [[7], []]), (1.0, [[], []])])
def test_credit_is_used_once_and_only_before_it_expires(now, expected):
    state = ready_router()
    for index in range(12):
        submit(state, 0, str(index))
    used = [dispatched_credit_ids(receive_grant(state, now)) for _ in range(2)]
    assert_that(used, Equals(expected))


@pytest.mark.proof
def test_late_duplicate_of_a_grant_does_not_return_a_slot_in_use():
    """Guards against freeing the slot of a request that is running on the credit.

    A borrower that returned an expired duplicate of a grant would free that slot.
    """
    state = ready_router()
    state.view.members["e2"] = ("e2:9", 1)
    for index in range(9):
        submit(state, 0, str(index))
    assert_that(dispatched_credit_ids(receive_grant(state, 0.5)), Equals([7]))
    router.tick(state, 1.2)
    sent = [
        e.message
        for e in receive_grant(state, 1.3)
        if isinstance(e, router.SendMessage)
    ]
    assert_that([type(message) for message in sent], Not(Contains(SlotReturn)))


def test_entry_without_executors_borrows_all_slots():
    cluster, borrower, _ = two_entries()
    cluster.run_s = lambda: 1.0
    for _ in range(8):
        cluster.submit(borrower)
    cluster.run(0.5)
    assert_that(cluster.in_flight(), Equals(4))
    cluster.run(2.0)
    assert_that(cluster.queued(), Equals(0))
    assert_that(cluster.violations, Equals([]))


def test_slot_is_free_again_after_a_lost_return():
    cluster, borrower, owner = two_entries()
    for _ in range(4):
        cluster.submit(borrower)
    cluster.run(0.05)
    cluster.loss = 1.0
    cluster.run(1.0)
    cluster.loss = 0.0
    cluster.run(6)
    state = cluster.nodes[owner].state
    now = cluster.now + cluster.nodes[owner].offset
    assert_that(borrowing.available_slots(state, now, "quotes"), Equals(4))


def test_credit_reported_in_use_stays_reserved():
    cluster, borrower, owner = two_entries()
    cluster.run_s = lambda: 20.0
    for _ in range(4):
        cluster.submit(borrower, deadline_s=60)
    cluster.run(10)
    state = cluster.nodes[owner].state
    assert_that(len(state.slots.credits), Equals(4))
    stale = Envelope("other", 1, Heartbeat(2, 1, 0.0, 1, {}, {}, []))
    cluster.call(cluster.nodes[owner], router.receive, stale)
    assert_that(len(state.slots.credits), GreaterThan(3))


def test_single_request_of_an_entry_without_slots_is_served_under_load():
    """Guards against a borrower that asks only for idle slots.

    An owner with queued requests has none, so the request would wait forever.
    """
    cluster, borrower, owner = two_entries()
    for _ in range(200):
        cluster.submit(owner, deadline_s=60)
    request_id = cluster.submit(borrower, deadline_s=60)
    cluster.run(3)
    assert_that(cluster.queued(), GreaterThan(0))
    assert_that(cluster.ended, Contains(request_id))
