"""Leases of former leaders: guards against two runs of a task, and against long waits.

A successor starts a task of an unreachable worker again once the lease that a former
leader granted has expired. The former leader may be dead, or frozen and wake again, or
only be cut off from the store and go on.
"""

import math
import random
from types import SimpleNamespace

import pytest
from fixtures_dispatch import (
    LEASE_S,
    LONGEST_LEASE_S,
    UNKNOWN_LEASE_S,
    WAITING_SEEDS,
    Leader,
    Sim,
    start_late,
    steps_of,
)
from fixtures_gangs import disturb_gangs
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Not

from cornelward import dispatch, leadership, lease_marks, node_former, peer_clocks
from cornelward.messages import FormerLeaderQuery, FormerLeaderReply
from cornelward.node_leader import LeaderTerm

# ``python -m pytest`` runs this many of the seeded schedules.
SCHEDULES = 60
JOB = "a" * 16
FORMER = "10.0.0.9:1"


def running(sim, leader):
    """Return the runs on the workers that the leader reaches."""
    return [
        key
        for worker in sim.workers.values()
        for key in worker.running
        if not (worker.is_silent() or leader.token in worker.cut_from)
    ]


def lose_leader_and_workers(sim, gang=False):
    """Let a third of the workers fall silent, and a second later stop the leader."""
    sim.fail_share = 0.0
    sim.asks_former = True
    sim.start_leader()
    sim.run(1.0)
    sim.submit(JOB, steps_of(6, cpu=6_000, estimate_s=60.0, gang=gang))
    sim.run(2.0)
    assert_that(running(sim, sim.leader), HasLength(6))
    for worker in sim.rng.sample(list(sim.workers.values()), 2):
        worker.silent = True
    sim.run(1.0)
    return sim.leader


@pytest.mark.parametrize("gang", [False, True])
def test_tasks_of_workers_lost_with_the_leader_start_again_soon(gang):
    # They waited for 22.8 s, longer than a short day lasts (nvb-sentral-grown, LOST).
    sim = Sim(1, workers=9)
    former = lose_leader_and_workers(sim, gang)
    former.dead, former.restart_at = True, sim.now + 0.4
    sim.run(0.8)
    sim.start_leader()
    sim.run(LEASE_S + 2.0)
    assert_that(running(sim, sim.leader), HasLength(6))


def test_workers_lost_just_after_they_answered_the_successor_keep_no_task_for_long():
    # The bound of their first answer was kept, although the former leader's end was
    # confirmed a moment later.
    sim = Sim(1, workers=9)
    former = lose_leader_and_workers(sim)
    for worker in sim.workers.values():
        worker.silent = False
    former.dead, former.restart_at = True, sim.now + 0.4
    sim.run(0.8)
    sim.start_leader()
    sim.run(0.2)
    for key in running(sim, sim.leader)[:2]:
        (worker,) = [w for w in sim.workers.values() if key in w.running]
        worker.silent = True
    sim.run(LEASE_S + 2.0)
    assert_that(running(sim, sim.leader), HasLength(6))


def test_tasks_start_again_without_a_sign_of_the_former_leader():
    sim = Sim(1, workers=9)
    former = lose_leader_and_workers(sim)
    former.dead = True
    sim.run(0.8)
    sim.start_leader()
    sim.run(UNKNOWN_LEASE_S + 1.0)
    assert_that(running(sim, sim.leader), HasLength(6))


def test_second_change_of_leader_soon_after_the_first_takes_no_longer():
    sim = Sim(1, workers=9)
    former = lose_leader_and_workers(sim)
    for _ in range(2):
        former.dead, former.restart_at = True, sim.now + 0.4
        sim.run(0.8)
        sim.start_leader()
        former = sim.leader
        sim.run(2.0)
    sim.run(LEASE_S)
    assert_that(running(sim, sim.leader), HasLength(6))


def test_lease_that_ran_out_before_the_leader_ended_is_not_waited_for():
    # A task that ended unseen on a worker that was cut off, and left, was run again so
    # late that its job stood still at the end of the day (nvb-sentral-grown, LOST).
    sim = Sim(1, workers=9)
    former = lose_leader_and_workers(sim)
    sim.run(3.0)
    former.dead = True
    sim.run(0.8)
    sim.start_leader()
    sim.run(3.0)
    assert_that(running(sim, sim.leader), HasLength(6))


def test_worker_that_is_back_gets_no_lease_beyond_the_one_that_was_recorded():
    # The leader that it is back for cannot change the record, and its successor starts
    # the task again at the time that it has read there.
    sim = Sim(1, workers=9)
    first = lose_leader_and_workers(sim)
    sim.run(2.5)
    first.cut = first.isolated = True
    for worker in sim.workers.values():
        worker.cut_from.update((2,) if worker.silent else (1,))
        worker.silent = False
    sim.run(0.8)
    sim.start_leader()
    sim.run(6.0)
    assert_that(running(sim, sim.leader), HasLength(6))
    assert_that(sim.violations, Equals([]))


def test_worker_that_is_back_in_time_keeps_its_task():
    sim = Sim(1, workers=9)
    lose_leader_and_workers(sim)
    sim.run(2.5)
    for worker in sim.workers.values():
        worker.silent = False
    sim.run(20.0)
    attempts = [attempt for _, attempt in running(sim, sim.leader)]
    assert_that(attempts, Equals([1] * 6))


def test_leader_grants_no_lease_by_writes_that_do_not_renew_its_row():
    # Its successor counts from when it saw the row's last version.
    sim = Sim(1, workers=9)
    former = lose_leader_and_workers(sim)
    lost = [worker for worker in sim.workers.values() if worker.silent]
    for worker in lost:
        worker.silent = False
    sim.run(1.0)
    former.cannot_renew = True
    for number in range(8):
        sim.submit(f"{number:016x}", steps_of(1, estimate_s=0.3))
        sim.run(1.0)
    former.cut = former.isolated = True
    for worker in sim.workers.values():
        worker.cut_from.add(2 if worker in lost else 1)
    sim.start_leader()
    sim.run(8.0)
    assert_that(running(sim, sim.leader), HasLength(6))
    assert_that(sim.violations, Equals([]))


def test_first_of_two_former_leaders_may_go_on():
    # It is cut off from the store and from the nodes, and reaches workers that its
    # successors do not; only the second former leader has certainly ended.
    sim = Sim(1, workers=9)
    first = lose_leader_and_workers(sim)
    first.cut = first.isolated = True
    for worker in sim.workers.values():
        worker.cut_from.update((2, 3) if worker.silent else (1,))
        worker.silent = False
    sim.run(0.8)
    sim.start_leader()
    sim.run(0.6)
    sim.leader.dead, sim.leader.restart_at = True, sim.now
    sim.run(0.8)
    sim.start_leader()
    sim.run(UNKNOWN_LEASE_S + 1.0)
    assert_that(running(sim, sim.leader), HasLength(6))
    assert_that(sim.violations, Equals([]))


def test_start_on_a_worker_that_restarted_unseen_outlives_no_lease():
    # The new life would cut the lease to the longest one, counted from the start's
    # arrival. The successor reads in the record that it was meant for another life.
    sim = Sim(1, workers=2)
    sim.fail_share = 0.0
    sim.asks_former = True
    sim.start_leader()
    sim.run(20.0)
    for worker in sim.workers.values():
        worker.restart(2)
    sim.submit(JOB, steps_of(1, estimate_s=30.0))
    sim.run(0.2)
    (worker,) = [worker for worker in sim.workers.values() if worker.running]
    worker.cut_from.add(sim.token + 1)
    sim.leader.dead, sim.leader.restart_at = True, sim.now
    sim.run(0.8)
    sim.start_leader()
    sim.run(LONGEST_LEASE_S + 3.0)
    assert_that(running(sim, sim.leader), HasLength(1))
    assert_that(sim.violations, Equals([]))


def test_successor_hears_of_a_restart_after_it_has_read_the_registry(monkeypatch):
    # A start that another node carries out late reaches the next life of a worker, from
    # which the successor is cut off; the registry still lists the former life at first.
    sim = Sim(1, workers=6)
    sim.fail_share, sim.polls_wait, sim.asks_former = 0.0, True, True
    sim.start_leader()
    sim.run(8.0)
    sim.submit("b" * 16, steps_of(6, cpu=5_000, estimate_s=60.0))
    sim.run(2.4)
    restarted = list(sim.workers.values())[:3]
    for worker in restarted:
        worker.crash(1.1)
    sim.run(0.4)
    monkeypatch.setattr(Leader, "_start", start_late)
    sim.submit(JOB, steps_of(6, cpu=1_500, estimate_s=60.0))
    sim.run(0.3)
    sim.leader.dead, sim.leader.restart_at = True, sim.now + 0.4
    for worker in restarted:
        worker.cut_from.add(sim.token + 1)
    sim.run(0.9)
    assert_that([w for w in restarted if w.running], Not(HasLength(0)))
    present = [worker.info for worker in restarted]
    for worker in restarted:
        worker.info = worker.info._replace(born=1)
    sim.start_leader()
    for worker, info in zip(restarted, present, strict=True):
        worker.info = info
        sim.set_listed(info.id, True)
    sim.run(LONGEST_LEASE_S + 5.0)
    assert_that(sim.violations, Equals([]))


def start_in_turn(leader, effect):
    """Carry out a Start by the leader, whose earlier commands take 1 s."""
    leader.sim.after(1.0, lambda: leader.send_start(effect))


def start_by_relay(leader, effect):
    """Carry out a Start 1 s late, by a node whose clock differs from the leader's."""
    sim, clocks, ahead_s = leader.sim, peer_clocks.PeerClocks(), 500.0
    peer_clocks.note_reply(clocks, "leader", 1, sim.now + ahead_s - 0.02, sim.now)

    def carry_out():
        clock = peer_clocks.latest(clocks, sim.now + ahead_s, "leader", 1)
        if clock <= effect.send_by:
            leader.send_start(effect._replace(send_by=math.inf))
        else:
            dispatch.retry_late_start(leader.core, effect.run, effect.ticket)

    sim.after(1.0, carry_out)


@pytest.mark.parametrize("start", [start_in_turn, start_by_relay])
def test_successor_that_never_hears_of_a_restart_starts_no_second_run(
    monkeypatch, start
):
    # As above, but the registry lists the former life until the end of the wait. A
    # start that waits for its turn is not sent to a worker that may have restarted.
    sim = Sim(1, workers=6)
    sim.fail_share, sim.polls_wait, sim.asks_former = 0.0, True, True
    sim.start_leader()
    sim.run(8.0)
    sim.submit("b" * 16, steps_of(6, cpu=5_000, estimate_s=60.0))
    sim.run(2.4)
    restarted = list(sim.workers.values())[:3]
    for worker in restarted:
        worker.crash(1.1)
    sim.run(0.4)
    monkeypatch.setattr(Leader, "_start", start)
    sim.submit(JOB, steps_of(6, cpu=1_500, estimate_s=60.0))
    sim.run(0.3)
    sim.leader.dead, sim.leader.restart_at = True, sim.now + 0.4
    for worker in restarted:
        worker.cut_from.add(sim.token + 1)
    sim.run(0.9)
    reached = [w for w in restarted if w.running]
    assert_that(reached, Equals([]))
    for worker in restarted:
        worker.info = worker.info._replace(born=1)
    monkeypatch.undo()
    sim.start_leader()
    for worker in restarted:
        worker.info = worker.info._replace(born=2)
    sim.run(LONGEST_LEASE_S + 5.0)
    assert_that(sim.violations, Equals([]))


def stop_leader(sim):
    """Let the leader die, freeze for a while or be cut off from the store."""
    former = sim.leader
    how = sim.rng.choice(("dead", "frozen", "cut"))
    if how == "dead":
        former.dead = True
        former.restart_at = sim.now + sim.rng.choice((0.3, 3.0, 1_000.0))
    elif how == "frozen":
        former.frozen = True
        sim.after(sim.rng.uniform(0.5, 14.0), former.resume)
    else:
        former.cut = True
        former.isolated = sim.rng.random() < 0.5
        # Workers that its successors reach, too, would tell it of them.
        if sim.rng.random() < 0.7:
            for worker in sim.workers.values():
                if sim.token + 1 not in worker.cut_from:
                    worker.cut_from.add(sim.token)


def disturb_workers(sim):
    """Let some workers fall silent, all or for later leaders only, or restart."""
    for worker in sim.rng.sample(list(sim.workers.values()), sim.rng.randint(1, 3)):
        how = sim.rng.choice(("silent", "cut", "cut", "restart"))
        if how == "silent":
            worker.silent = True
        elif how == "cut":
            worker.cut_from.update(range(sim.token + 1, sim.token + 9))
        else:
            worker.crash(sim.rng.uniform(1.1, 3.5))
            if sim.rng.random() < 0.5:
                worker.cut_from.update(range(sim.token + 1, sim.token + 9))


def play_takeovers(seed):
    """Play up to three changes of leader among late requests and slow clocks."""
    sim = Sim(seed)
    sim.fail_share = 0.02
    disturb_gangs(sim)
    sim.asks_former = True
    sim.start_leader()
    for i in range(8):
        steps = steps_of(3, gang=i % 3 == 0, estimate_s=sim.rng.choice((0.8, 8, 35)))
        delay_s, job_id = sim.rng.uniform(0, 8), f"{i:016x}"
        sim.after(delay_s, lambda j=job_id, s=steps: sim.submit(j, s))
    for worker in sim.workers.values():
        worker.late_share = sim.rng.choice((0.0, 0.1, 0.3))
    for _ in range(sim.rng.randint(1, 3)):
        sim.run(sim.rng.uniform(0.5, 6.0))
        disturb_workers(sim)
        sim.run(sim.rng.uniform(0.0, 1.5))
        stop_leader(sim)
        sim.run(sim.rng.uniform(0.8, 2.0))
        sim.start_leader()
    sim.run(sim.rng.uniform(1.0, 30.0))
    for worker in sim.workers.values():
        worker.late_share = 0.0
        worker.silent = False
        worker.cut_from.clear()
    sim.run(180.0)
    return sim


@pytest.mark.parametrize("seed", [*range(SCHEDULES), *WAITING_SEEDS[:12]])
def test_no_second_run_whatever_became_of_the_former_leader(seed):
    sim = play_takeovers(seed)
    assert_that(sim.violations, Equals([]))
    states = {dispatch.state_of(sim.leader.core, job_id) for job_id in sim.specs}
    assert_that(states - {"completed", "failed"}, Equals(set()))


@pytest.fixture
def node():
    """Return a node that has taken over from n0; ``sent`` are its messages."""
    row = leadership.LeaderRow("n0", 5, FORMER, 6)
    node = SimpleNamespace(address="10.0.0.1:1", sent=[], lost=[], now=100.0)
    node.settings = SimpleNamespace(node="n1", longest_lease_s=LONGEST_LEASE_S)
    node.incarnation, node.began_at = 8, 98.0
    node.peers = SimpleNamespace(
        send=lambda address, message: node.sent.append((address, message)),
        disconnect=lambda address: None,
    )
    node.deps = SimpleNamespace(
        now=lambda: node.now,
        lose_leadership=lambda node, reason: node.lost.append(reason),
    )
    node.leadership = SimpleNamespace(
        former=lease_marks.FormerLeader(row, True, 0.0),
        claim_sent_at=99.5,
        former_leases_end_at=None,
    )
    node.leader = LeaderTerm(7, node.now)
    unknown_s = node_former.unknown_lease_s(node, node.leader, node.now)
    cfg = {"unknown_lease_s": unknown_s}
    node.leader.dispatcher = dispatch.Dispatcher(7, {}, cfg, node.now)
    return node


def waits_for_s(node):
    return round(node.leader.dispatcher.former_leases_end_at - node.now, 3)


def test_former_leader_that_has_ended_is_waited_for_no_longer_than_a_lease(node):
    assert_that(waits_for_s(node), Equals(UNKNOWN_LEASE_S))
    node_former.tick(node, node.leader, node.now)
    assert_that(node.sent, Equals([(FORMER, FormerLeaderQuery(node.address, 7))]))
    for sender, address, token in [
        ("n0", FORMER, 6),
        ("n2", FORMER, 7),
        ("n0", "10.0.0.8:1", 7),
    ]:
        envelope = SimpleNamespace(sender=sender)
        node_former.on_reply(node, envelope, FormerLeaderReply(address, token))
    assert_that(waits_for_s(node), Equals(UNKNOWN_LEASE_S))
    envelope = SimpleNamespace(sender="n0")
    node_former.on_reply(node, envelope, FormerLeaderReply(FORMER, 7))
    assert_that(waits_for_s(node), Equals(LEASE_S + 0.6))


@pytest.mark.parametrize(("incarnation", "ended_at"), [(7, 98.0), (8, 100.0)])
def test_earlier_process_of_the_node_ended_before_this_one_began(
    node, incarnation, ended_at
):
    row = leadership.LeaderRow("n1", incarnation, node.address, 6)
    state = node.leadership
    state.former = state.former._replace(row=row)
    node_former.tick(node, node.leader, node.now)
    wait_s = ended_at + LEASE_S + 0.6 - node.now
    assert_that(waits_for_s(node), Equals(round(wait_s, 3)))


@pytest.mark.parametrize(
    ("former", "wait_s"),
    [
        (None, 0.0),
        # Leases of those before the former leader may hold for longer.
        ({"earlier_leases_s": None}, UNKNOWN_LEASE_S),
        ({"earlier_leases_s": 9.0}, 8.5),
        ({"earlier_leases_s": 3.0}, LEASE_S + 0.6),
        # Bounded by the row, which had its last version 7.5 s ago.
        ({"earlier_leases_s": 9.0, "leases_end_at": 105.1}, 5.1),
        ({"earlier_leases_s": 0.0, "leases_end_at": 112.1}, LEASE_S + 0.6),
        ({"earlier_leases_s": 0.0, "leases_end_at": 99.0}, 0.0),
        # An earlier release, which bounds its leases in another way.
        (
            {"is_bounded": False, "earlier_leases_s": None},
            12.6 + LONGEST_LEASE_S * 1.02,
        ),
    ],
)
def test_confirmation_shortens_the_wait_only_where_it_covers_all(node, former, wait_s):
    state, term = node.leadership, node.leader
    state.former = former and state.former._replace(**former)
    term.former_ended_at = node.now
    assert_that(
        round(node_former.unknown_lease_s(node, term, node.now), 3),
        Equals(round(wait_s, 3)),
    )


def test_process_that_answers_a_successor_leads_no_more():
    # A claim whose answer is late must not make it a leader after it has said so.
    state = leadership.Leadership("n0", 5, FORMER, 0.0, random.Random(1))
    node = SimpleNamespace(address=FORMER, leadership=state, sent=[], lost=[])
    node.leader = LeaderTerm(6, 0.0)
    node.peers = SimpleNamespace(send=lambda *sent: node.sent.append(sent))
    node.deps = SimpleNamespace(
        lose_leadership=lambda node, reason: node.lost.append(reason)
    )
    node_former.on_query(node, None, FormerLeaderQuery("10.0.0.1:1", 7))
    assert_that(node.lost, HasLength(1))
    assert_that(node.sent, Equals([("10.0.0.1:1", FormerLeaderReply(FORMER, 7))]))
    (claim,) = leadership.on_row_read(state, 0.1, (None, 0))
    late = claim.row._replace(token=6)
    assert_that(leadership.on_claim_result(state, 0.2, late, 8), Equals(False))
    assert_that(state.role, Equals(leadership.FOLLOWER))
