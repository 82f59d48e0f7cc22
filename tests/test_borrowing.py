"""Guards against credits that are used twice, too late, or never come back."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Not

from cornelward import borrowing, router
from cornelward.messages import Credit, Envelope, Heartbeat, SlotGrant, SlotReturn
from tests.fixtures_router import SimulatedCluster, ready_router, submit


def two_entries():
    """Return a world of two entries, the first of which owns nothing."""
    cluster = SimulatedCluster(5, executors=1, policy={"reserved_short_slots": 0})
    cluster.start("e1")
    cluster.start("e2")
    cluster.run(6)
    owner = next(n for n in cluster.nodes if cluster.nodes[n].state.slots.owned)
    return cluster, ({"e1", "e2"} - {owner}).pop(), owner


def granted(state, now, sent_at=0.0):
    grant = SlotGrant("quotes", "short", [Credit(7, "x0", "x0:1")], 1.0, sent_at)
    return router.receive(state, now, Envelope("e2", 1, grant))


def dispatches(effects):
    return [e.credit_id for e in effects if isinstance(e, router.Dispatch)]


@pytest.mark.proof
@pytest.mark.parametrize("now, expected", [(0.9, [[7], []]), (1.0, [[], []])])
def test_credit_is_used_once_and_in_time(now, expected):
    state = ready_router()
    for index in range(12):
        submit(state, 0, str(index))
    used = [dispatches(granted(state, now)) for _ in range(2)]
    assert_that(used, Equals(expected))


@pytest.mark.proof
def test_late_duplicate_of_a_grant_does_not_return_a_slot_in_use():
    """The return once freed the slot of a request that was running on the credit."""
    state = ready_router()
    state.view.members["e2"] = ("e2:9", 1)
    for index in range(9):
        submit(state, 0, str(index))
    assert_that(dispatches(granted(state, 0.5)), Equals([7]))
    router.tick(state, 1.2)
    sent = [e.message for e in granted(state, 1.3) if isinstance(e, router.SendMessage)]
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


def test_slot_of_a_lost_return_is_found_again():
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
    """It once asked only for idle slots, of which a busy owner has none."""
    cluster, borrower, owner = two_entries()
    for _ in range(200):
        cluster.submit(owner, deadline_s=60)
    request_id = cluster.submit(borrower, deadline_s=60)
    cluster.run(3)
    assert_that(cluster.queued(), GreaterThan(0))
    assert_that(cluster.ended, Contains(request_id))
