"""Leader election: guards against long gaps without a leader and against flapping."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from cornelward import leadership, lease_marks
from cornelward.heartbeats import (
    FOLLOWER_INTERVAL_S,
    MAX_FOLLOWER_INTERVAL_S,
    STANDBY_INTERVAL_S,
)
from cornelward.leadership import (
    LEASE_S,
    STORE_STALE_S,
    ClaimLeadership,
    LeaderRow,
    Leadership,
    encode_row,
)
from cornelward.lease_grants import FORMER_LEASE_S
from cornelward.lease_marks import LeaseMark


@pytest.fixture
def follower():
    return Leadership("n1", 5, "10.0.0.1:1", 0.0, random.Random(1))


def row(token=3, node="n0", renewals=0):
    return encode_row(LeaderRow(node, 1, "10.0.0.9:1", token, renewals))


def test_absent_row_is_claimed_at_once(follower):
    assert_that(leadership.tick(follower, 0.0), HasLength(1))
    effects = leadership.on_row_read(follower, 0.1, (None, 0))
    assert_that(effects[0].row.token, Equals(1))


def test_chosen_successor_claims_at_once(follower):
    leadership.on_heartbeat(follower, 1.0, "10.0.0.9:1", 0.1, 3)
    leadership.on_leader_resigned(follower, 1.1, 3)
    assert_that(leadership.tick(follower, 1.1), HasLength(1))
    effects = leadership.on_row_read(follower, 1.2, (row(), 7))
    assert_that(effects[0], Equals(ClaimLeadership(effects[0].row, 7)))
    assert_that(effects[0].row.token, Equals(4))


def test_row_of_an_earlier_process_of_the_node_is_claimed_at_once(follower):
    assert_that(
        leadership.on_row_read(follower, 0.1, (row(node="n1"), 7)), HasLength(1)
    )


def test_unrenewed_row_is_claimed_after_the_lease(follower):
    assert_that(leadership.on_row_read(follower, 0.0, (row(), 7)), Equals([]))
    assert_that(leadership.on_row_read(follower, LEASE_S - 0.1, (row(), 7)), Equals([]))
    late = LEASE_S + leadership.JITTER_S
    assert_that(leadership.on_row_read(follower, late, (row(), 7)), HasLength(1))


def test_renewed_row_is_not_claimed(follower):
    now = 0.0
    for version in range(7, 20):
        found = (row(renewals=version), version)
        assert_that(leadership.on_row_read(follower, now, found), Equals([]))
        now += 1.0


def test_leader_that_cannot_renew_is_replaced_at_once(follower):
    leadership.on_heartbeat(follower, 1.0, "10.0.0.9:1", STORE_STALE_S, 3)
    assert_that(leadership.tick(follower, 1.1), HasLength(1))
    assert_that(leadership.on_row_read(follower, 1.2, (row(), 7)), HasLength(1))


def test_leader_may_renew_first_after_an_outage_that_all_nodes_saw(follower):
    # Right after a store outage another node took over from a leader that was about to
    # renew its row.
    leadership.on_heartbeat(follower, 1.0, "10.0.0.9:1", 0.2, 3)
    for now in (2.0, 2.5, 3.0):
        leadership.on_heartbeat(follower, now, "10.0.0.9:1", STORE_STALE_S, 3)
        assert_that(leadership.on_row_read(follower, now, None), Equals([]))
    assert_that(leadership.on_row_read(follower, 3.1, (row(), 7)), Equals([]))
    late = 3.0 + leadership.OUTAGE_GRACE_S
    assert_that(leadership.on_row_read(follower, late, (row(), 7)), HasLength(1))


def test_successor_of_a_leader_that_cannot_renew_is_not_replaced(follower):
    # Every node receives the heartbeats of the former leader. The second node to read
    # the row must not replace the first: leadership moved back and forth.
    leadership.on_heartbeat(follower, 1.0, "10.0.0.9:1", STORE_STALE_S, 3)
    successor = (row(token=4, node="n2"), 8)
    assert_that(leadership.on_row_read(follower, 1.1, successor), Equals([]))
    heard = leadership.on_heartbeat(follower, 1.2, "10.0.0.9:1", STORE_STALE_S, 3)
    assert_that(heard, Is(False))
    assert_that(leadership.tick(follower, 1.3), Equals([]))
    assert_that(leadership.on_row_read(follower, 1.4, successor), Equals([]))


@pytest.mark.parametrize(
    "interval_s", [STANDBY_INTERVAL_S, FOLLOWER_INTERVAL_S, MAX_FOLLOWER_INTERVAL_S]
)
def test_follower_does_not_poll_while_every_second_heartbeat_arrives(
    follower, interval_s
):
    # Every second heartbeat is lost.
    for i in range(20):
        now = i * 2 * interval_s
        leadership.on_heartbeat(follower, now, "10.0.0.9:1", 0.3, 3, 5, interval_s)
        assert_that(leadership.tick(follower, now + 2 * interval_s), Equals([]))


def test_dead_leader_is_replaced_within_two_seconds(follower):
    # A takeover should take less than 2 s; one took 2.3 s.
    leadership.on_heartbeat(follower, 0.0, "10.0.0.9:1", 0.0, 3)
    now, claimed = 0.0, None
    while claimed is None and now < 10.0:
        now += 0.1
        for _ in leadership.tick(follower, now):
            claims = leadership.on_row_read(follower, now + 0.02, (row(), 7))
            claimed = now if claims else None
    assert_that(claimed, LessThan(2.0))


def test_row_version_of_the_last_heartbeat_is_claimed_at_the_first_read(follower):
    # A follower waited another 0.7 s for changes of a dead leader's row.
    leadership.on_heartbeat(follower, 0.0, "10.0.0.9:1", 0.0, 3, version=7)
    late = leadership.HEARTBEAT_TIMEOUT_S + leadership.JITTER_S
    assert_that(leadership.tick(follower, late), HasLength(1))
    assert_that(leadership.on_row_read(follower, late, (row(), 7)), HasLength(1))


def test_row_renewed_since_the_last_heartbeat_is_not_claimed(follower):
    # Only the heartbeats are lost; the leader still reaches the store.
    leadership.on_heartbeat(follower, 0.0, "10.0.0.9:1", 0.0, 3, version=7)
    late = leadership.HEARTBEAT_TIMEOUT_S + leadership.JITTER_S
    assert_that(leadership.on_row_read(follower, late, (row(), 9)), Equals([]))
    assert_that(leadership.on_row_read(follower, late + 0.3, (row(), 9)), Equals([]))


def test_node_whose_claim_failed_is_a_follower_again(follower):
    effects = leadership.on_row_read(follower, 0.1, (None, 0))
    won = leadership.on_claim_result(follower, 0.2, effects[0].row, None)
    assert_that(won, Is(False))
    assert_that(follower.role, Equals(leadership.FOLLOWER))


def test_leader_whose_row_changed_steps_down(follower):
    effects = leadership.on_row_read(follower, 0.1, (None, 0))
    leadership.on_claim_result(follower, 0.2, effects[0].row, 9)
    renewal = leadership.tick(follower, 1.0)[0]
    still_leads = leadership.on_renewal_result(follower, 1.1, renewal, "lost", 12)
    assert_that(still_leads, Is(False))
    assert_that(follower.role, Equals(leadership.FOLLOWER))


def test_leader_that_shuts_down_does_not_renew(follower):
    # A renewal would make the successor's claim fail.
    effects = leadership.on_row_read(follower, 0.1, (None, 0))
    leadership.on_claim_result(follower, 0.2, effects[0].row, 9)
    follower.leaving = True
    assert_that(leadership.tick(follower, 5.0), Equals([]))


def test_weak_node_claims_only_after_a_delay():
    # A leader of 176 workers with half a core is late with all its work.
    weak = Leadership("n9", 5, "10.0.0.2:1", 0.0, random.Random(1), weak=True)
    assert_that(leadership.on_row_read(weak, 0.1, (None, 0)), Equals([]))
    assert_that(leadership.on_row_read(weak, 1.0, (None, 0)), Equals([]))
    later = 0.1 + leadership.WEAK_NODE_DELAY_S
    assert_that(leadership.on_row_read(weak, later, (None, 0)), HasLength(1))


def test_weak_node_claims_at_once_where_no_node_is_strong():
    # On a site of weak nodes only, each takeover took 1.5 s longer for nobody.
    weak = Leadership("n9", 5, "10.0.0.2:1", 0.0, random.Random(1), weak=True)
    leadership.on_heartbeat(weak, 0.0, "10.0.0.9:1", 0.0, 3, strong_node_known=False)
    assert_that(leadership.on_row_read(weak, 1.0, (None, 0)), HasLength(1))


def claim_after(state, now, value, mark, version=7):
    """Let the node replace a row of n1 that has this mark; return the FormerLeader."""
    (effect,) = leadership.on_row_read(state, now, (value, version), mark)
    assert leadership.on_claim_result(state, now + 5.0, effect.row, version + 1)
    return state.former


def test_time_at_which_a_node_certainly_led_is_that_of_the_sending(follower):
    # Answers may arrive long after that, as in a node that was frozen meanwhile.
    # Leases that were bounded by their arrival could outlast the successor's wait.
    claim_after(follower, 1.0, row(node="n1"), None)
    assert_that(follower.confirmed_at, Equals(1.0))
    (renewal,) = leadership.tick(follower, 7.0)
    leadership.on_renewal_result(follower, 9.0, renewal, "ok", 9)
    assert_that(follower.confirmed_at, Equals(7.0))
    (renewal,) = leadership.tick(follower, 10.0)
    leadership.on_renewal_result(follower, 11.0, renewal, "failed", None)
    assert_that(follower.confirmed_at, Equals(7.0))


def test_write_that_finds_an_earlier_renewal_shows_no_later_time(follower):
    # A successor may have seen that renewal's version long before.
    claim_after(follower, 1.0, row(node="n1"), None)
    (renewal,) = leadership.tick(follower, 7.0)
    assert leadership.on_renewal_result(follower, 7.1, renewal, "held", 9)
    assert_that((follower.confirmed_at, follower.version), Equals((1.0, 9)))


def test_leases_of_a_former_leader_count_from_when_its_row_was_seen(follower):
    # A successor counted 12.6 s from its claim, also after a store outage in which
    # the row had not been renewed for seconds (nvb-sentral-grown, LOST).
    mark = lease_marks.encode_mark(LeaseMark(3, 0.0, by_row=True))
    leadership.on_heartbeat(follower, 2.0, "10.0.0.9:1", 0.1, 3, version=7)
    leadership.on_row_read(follower, 6.0, None, None)
    (effect,) = leadership.on_row_read(follower, 9.0, (row(), 7), mark)
    former = follower.claimed_from
    assert_that(former.leases_end_at, Equals(2.0 + FORMER_LEASE_S))
    claimed = lease_marks.claim_mark(follower, effect.row)
    left_s = 2.0 + FORMER_LEASE_S - 9.0
    assert_that(claimed, Equals(LeaseMark(4, left_s, by_row=True)))


def test_claim_whose_answer_was_lost_is_no_former_leader(follower):
    # This process never led under it; the leader before it has to confirm its end.
    mark = lease_marks.encode_mark(LeaseMark(3, 0.0, by_row=True))
    leadership.on_heartbeat(follower, 2.0, "10.0.0.9:1", 0.1, 3, version=7)
    (lost,) = leadership.on_row_read(follower, 3.0, (row(), 7), mark)
    data = lease_marks.encode_mark(lease_marks.claim_mark(follower, lost.row))
    former = follower.claimed_from
    leadership.on_claim_result(follower, 4.0, lost.row, None)
    found = encode_row(lost.row)
    (effect,) = leadership.on_row_read(follower, 4.1, (found, 8), data)
    assert leadership.on_claim_result(follower, 4.2, effect.row, 9)
    assert_that((follower.former, effect.row.token), Equals((former, 5)))


def test_leases_are_bounded_by_the_row_once_those_of_an_earlier_release_ended(follower):
    for by_row in (False, True):
        mark = lease_marks.encode_mark(LeaseMark(3, 0.0, by_row=by_row))
        former = claim_after(follower, 1.0, row(node="n1"), mark)
        assert_that(former.leases_end_at is not None, Is(by_row))
        marks = [lease_marks.claim_mark(follower, follower.row)]
        follower.former_leases_end_at = 9.0
        marks += [lease_marks.renewed_mark(follower, now) for now in (8.0, 9.0)]
        found = [one.by_row for one in marks]
        assert_that(found, Equals([by_row, by_row, True]))
        leadership.step_down(follower, 9.5)


def test_leases_of_earlier_leaders_are_known_only_from_the_mark_of_the_latest(follower):
    former = claim_after(follower, 1.0, row(token=3, node="n1"), None)
    assert_that(former[1:3], Equals((False, None)))
    assert_that(
        lease_marks.claim_mark(follower, follower.row).earlier_leases_s, Is(None)
    )
    leadership.step_down(follower, 7.0)
    mark = lease_marks.encode_mark(LeaseMark(3, 0.0))
    former = claim_after(follower, 8.0, row(token=4, node="n1"), mark)
    assert_that(former[1:3], Equals((False, None)))
    leadership.step_down(follower, 14.0)
    mark = lease_marks.encode_mark(LeaseMark(5, 0.0))
    former = claim_after(follower, 15.0, row(token=5, node="n1"), mark)
    assert_that(former[1:3], Equals((True, 0.0)))


def test_leases_of_an_earlier_release_are_waited_for_after_two_takeovers(follower):
    # A leader of an earlier release is replaced, and its successor soon after, while
    # the leases of the first, which may hold for longer, have not expired.
    claim_after(follower, 1.0, row(token=3, node="n1"), None)
    for renewed_at, is_bounded in ((None, False), (20.0, False), (40.0, True)):
        claimed = follower.row
        mark = lease_marks.claim_mark(follower, claimed)
        if renewed_at is not None:
            follower.former_leases_end_at = 30.0
            (renewal,) = leadership.tick(follower, renewed_at)
            mark = renewal.mark
        now = (renewed_at or 10.0) + 1.0
        leadership.step_down(follower, now)
        data = lease_marks.encode_mark(mark)
        former = claim_after(follower, now + 2.0, encode_row(claimed), data)
        assert_that(former.is_bounded, Is(is_bounded))


def test_mark_is_written_until_a_renewal_with_it_has_applied(follower):
    claim_after(follower, 1.0, row(node="n1"), None)
    (renewal,) = leadership.tick(follower, 6.5)
    assert_that(renewal.mark, Is(None))
    leadership.on_renewal_result(follower, 6.6, renewal, "ok", 9)
    follower.former_leases_end_at = 7.5
    (renewal,) = leadership.tick(follower, 7.0)
    # Leases of an earlier release may hold until then.
    assert_that(renewal.mark, Equals(LeaseMark(0, 0.5)))
    leadership.on_renewal_result(follower, 7.1, renewal, "ok", 10)
    (renewal,) = leadership.tick(follower, 8.0)
    assert_that(renewal.mark, Equals(LeaseMark(4, 0.0, by_row=True)))
    # Another answer shows the row, but not whether the mark was written.
    leadership.on_renewal_result(follower, 8.1, renewal._replace(mark=None), "ok", 11)
    (renewal,) = leadership.tick(follower, 8.6)
    assert_that(renewal.mark, Equals(LeaseMark(4, 0.0, by_row=True)))
    leadership.on_renewal_result(follower, 8.7, renewal, "ok", 12)
    (renewal,) = leadership.tick(follower, 9.2)
    assert_that(renewal.mark, Is(None))


def test_mark_is_written_until_it_lists_no_silent_worker_any_more(follower):
    # A worker of which it says when the lease ends gets none before that.
    claim_after(follower, 1.0, row(node="n1"), None)
    follower.former_leases_end_at = 0.0
    for number, silent in enumerate(({"w1": 3.0}, {"w1": 2.6}, {})):
        follower.silent_leases = silent
        (renewal,) = leadership.tick(follower, 7.0 + number)
        assert_that(renewal.mark, Equals(LeaseMark(4, 0.0, silent, by_row=True)))
        leadership.on_renewal_result(follower, 7.1 + number, renewal, "ok", 9 + number)
    (renewal,) = leadership.tick(follower, 10.0)
    assert_that(renewal.mark, Is(None))


def test_heartbeat_of_a_former_leader_that_woke_up_is_ignored(follower):
    # A node that cannot read the row went back and forth between two leaders.
    leadership.on_heartbeat(follower, 1.0, "10.0.0.9:1", 0.1, 4)
    former = leadership.on_heartbeat(follower, 1.1, "10.0.0.8:1", 0.1, 3)
    assert_that(former, Equals(False))
    assert_that(follower.leader_address, Equals("10.0.0.9:1"))


def test_leader_that_was_named_is_not_replaced_for_its_predecessors_outage(follower):
    # The predecessor had reported that it could not renew the row.
    leadership.on_heartbeat(follower, 1.0, "10.0.0.9:1", STORE_STALE_S, 3)
    assert_that(
        leadership.on_leader_named(follower, 2.0, "10.0.0.8:1", 4), Equals(True)
    )
    assert_that(leadership.on_row_read(follower, 2.1, (row(4), 9)), Equals([]))
    assert_that(
        leadership.on_leader_named(follower, 2.2, "10.0.0.9:1", 3), Equals(False)
    )
    assert_that(follower.leader_address, Equals("10.0.0.8:1"))


def test_resignation_of_a_former_leader_makes_nothing_claimable(follower):
    leadership.on_heartbeat(follower, 1.0, "10.0.0.9:1", 0.1, 4)
    leadership.on_leader_resigned(follower, 1.1, 3)
    assert_that(leadership.known_token(follower), Equals(4))
    assert_that(leadership.on_row_read(follower, 1.2, (row(4), 9)), Equals([]))
