"""Starts and advice calls of a leader whose connection to a node has gone silent."""

import random
from types import SimpleNamespace

import pytest
from fixtures_dispatch import Sim, steps_of
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from cornelward import advising, delivery, node_messages, node_starts
from cornelward.messages import StartOrders, StartResults
from cornelward.node_leader import LeaderTerm
from cornelward.node_requests import PeerState

OWN, ENTRY = "10.0.0.1:1", "10.0.0.5:1"
DELAY_S = 0.02
TASKS = 20
PAYLOAD = "x" * 2_400


class Ways:
    """The leader's peers: one other node. The way there or back may be ``silent``."""

    def __init__(self, sim, confirms):
        self.sim = sim
        self.confirms = confirms
        self.silent = None
        self.deliveries = delivery.Deliveries(sim.now, OWN)
        self.on_orders = self.on_silent = None
        self.lost_orders = []

    def send(self, address, message):
        if delivery.note_sent(self.deliveries, self.sim.now, address):
            self.sim.after(0.0, lambda: self.send_check(address))
        if self.silent:
            self.lost_orders.append(message)
        if self.silent != "there":
            self.sim.after(DELAY_S, lambda: self.on_orders(message))
        return True

    def send_check(self, address):
        check = delivery.take_message(self.deliveries, self.sim.now, address)
        if check is not None and self.confirms and not self.silent:
            reply = check._replace(question=0, confirmed=check.question)
            self.sim.after(2 * DELAY_S, lambda: self.confirm(reply))

    def confirm(self, reply):
        delivery.on_check(self.deliveries, self.sim.now, reply)

    def check(self):
        self.sim.after(delivery.CHECK_INTERVAL_S, self.check)
        late, due, _ = delivery.check(self.deliveries, self.sim.now)
        for address, _ in late:
            self.send_check(address)
            self.on_silent(address)
        for address in due:
            self.send_check(address)

    def is_silent(self, address):
        return delivery.is_silent(self.deliveries, address)


class RelayingLeader:
    """A leader on simulated time that hands starts of wide jobs to their entry."""

    def __init__(self, confirms=True):
        self.sim = sim = Sim(1, workers=30, cpu=32_000)
        sim.fail_share, sim.polls_wait = 0.0, True
        sim.start_leader()
        sim.run(0.5)
        self.core = sim.leader.core
        self.ways = ways = Ways(sim, confirms)
        ways.on_orders, ways.on_silent = self.carry_out, self.on_silent
        self.term = LeaderTerm(sim.leader.token, sim.now)
        self.term.dispatcher = self.core
        self.term.nodes = {"n1": (ENTRY, sim.now)}
        self.node = SimpleNamespace(
            address=OWN,
            leader=self.term,
            settings=SimpleNamespace(node="n0"),
            peers=ways,
            peer_state=PeerState(random.Random(1)),
            loop=SimpleNamespace(call_later=sim.after),
            deps=SimpleNamespace(
                now=lambda: sim.now,
                schedule_step=lambda node: None,
                worker_commands=SimpleNamespace(start=self.start_directly),
            ),
        )
        self.node.peer_state.peers = [ENTRY]
        self.effects, self.pending, self.begun_at = {}, [], {}
        self.send_start, sim.leader._start = sim.leader._start, self.collect
        ways.check()

    def collect(self, effect):
        if not self.pending:
            self.sim.after(0.0, self.execute)
        self.pending.append(effect)
        self.effects[effect.run.name, effect.run.attempt] = effect

    def execute(self):
        pending, self.pending = self.pending, []
        self.term.registry_asked_at = self.term.jobs_seen_until = self.sim.now
        node_starts.execute_starts(self.node, self.term, pending)

    def begin(self, task, attempt):
        self.begun_at.setdefault(task.split(".")[0], self.sim.now)
        self.send_start(self.effects[task, attempt])

    def start_directly(self, order, payload, token, send_by, on_done):
        if self.sim.now > send_by:
            on_done("too_late")
        else:
            self.begin(order.task, order.attempt)

    def carry_out(self, message):
        results = [(o.worker, o.task, o.attempt, "ok") for o in message.orders]
        for order in message.orders:
            self.begin(order.task, order.attempt)
        results = StartResults(self.term.token, results)
        answer = lambda: node_starts.on_start_results(  # noqa: E731
            self.node, self.term, results
        )
        if not self.ways.silent:
            self.sim.after(DELAY_S, answer)

    def on_silent(self, address):
        node_messages.on_silent_way(self.node, address)

    def submit(self, number):
        job_id = f"{number:016x}"
        self.sim.submit(job_id, steps_of(TASKS, cpu=100, estimate_s=0.3))
        job = self.core.jobs[job_id]
        job.spec = job.spec._replace(payload=PAYLOAD)
        job.entry = ENTRY
        return job_id


@pytest.mark.parametrize("silent", ["there", "back"])
@pytest.mark.parametrize("confirms", [True, False])
def test_starts_through_a_silent_node_begin_by_another_way_within_two_seconds(
    confirms, silent
):
    # The leader handed the same tasks to the same node up to 390 times, until the end.
    leader = RelayingLeader(confirms)
    sim, submitted_at = leader.sim, {}
    for number in range(30):
        if number == 10:
            leader.ways.silent, silent_since = silent, sim.now
        submitted_at[leader.submit(number)] = sim.now
        sim.run(0.2)
    sim.run(3.0)
    lost = [message.job_id for message in leader.ways.lost_orders]
    assert_that(len(lost), GreaterThan(0))
    # No job is tried twice over the way that gave no answer.
    assert_that(sorted(set(lost)), Equals(sorted(lost)))
    waits = [
        leader.begun_at[job_id] - max(at, silent_since)
        for job_id, at in submitted_at.items()
    ]
    assert_that(max(waits), LessThan(2.0))
    if confirms:
        # Once the silence is known, starts go directly at once.
        known_at = silent_since + delivery.QUESTION_INTERVAL_S + delivery.LIMIT_MIN_S
        late = [j for j, at in submitted_at.items() if at > known_at + 0.3]
        assert_that(len(late), GreaterThan(10))
        assert_that([job_id for job_id in late if job_id in lost], HasLength(0))
    sim.run(5.0)
    assert_that(sorted(leader.core.finished), Equals(sorted(submitted_at)))
    assert_that(sim.violations, Equals([]))


def test_advice_is_asked_through_other_nodes_while_a_way_is_silent():
    leader = RelayingLeader()
    calls = leader.core.advising
    advising.set_nodes(calls, ["n0", "n1"])
    job = SimpleNamespace(tickets={})
    calls.calls[1] = advising.AdviceCall(
        job, (0, 0), None, "n1", ("w0",), leader.sim.now, 9
    )
    calls.nodes["n1"].calls[1] = leader.sim.now + 9
    advising.tickets_of(job, (0, 0)).call_ids.add(1)
    leader.term.nodes["n0"] = (OWN, None)
    leader.ways.send(ENTRY, StartOrders(OWN, 1, "", [], 0))
    leader.sim.run(1.0)
    leader.ways.silent = "there"
    leader.ways.send(ENTRY, StartOrders(OWN, 1, "", [], 0))
    leader.sim.run(delivery.QUESTION_INTERVAL_S + delivery.LIMIT_MIN_S + 0.2)
    assert_that(sorted(calls.nodes), Equals(["n0"]))
    assert_that(
        (calls.calls, advising.tickets_of(job, (0, 0)).call_ids), Equals(({}, set()))
    )


def test_node_that_left_a_call_unanswered_is_asked_last():
    # A node whose call was given up had no calls left and was chosen again.
    state = advising.AdviceCalls()
    advising.set_nodes(state, ["n0", "n1"])
    policy = SimpleNamespace(decision_s=0.02, per_worker_s=0.001)
    queue = SimpleNamespace(advice=policy)
    asked = []
    for number in range(5):
        spec = SimpleNamespace(id=str(number), queue=queue)
        job = SimpleNamespace(spec=spec, tickets={})
        now = 10.0 * number
        advising.expire_calls(state, now)
        (effect,) = advising.request_advice(state, now, job, (0, 0), ["w0"])
        asked.append(effect.node)
        if effect.node == "n1":
            advising.complete_call(state, now, effect.call_id, None)
    assert_that(asked, Equals(["n0", "n1", "n1", "n1", "n1"]))
