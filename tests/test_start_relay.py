"""Start orders: relayed to the accepting node, and held back after a pause."""

import math
import random
import time
from types import SimpleNamespace

import pytest
from fixtures_dispatch import LEASE_S, Report, Sim, steps_of
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from cornelward import (
    dispatch,
    dispatch_polls,
    dispatch_runs,
    node_leader,
    node_starts,
    peer_clocks,
)
from cornelward.dispatch_effects import Start
from cornelward.http_client import HttpResult
from cornelward.messages import (
    Envelope,
    StartOrder,
    StartOrders,
    StartResults,
    encode,
)
from cornelward.node_leader import LeaderTerm
from cornelward.node_requests import PeerState
from cornelward.platform.worker_commands import (
    MAX_PARALLEL_COMMANDS,
    connect_worker_commands,
)
from cornelward.start_relay import Payloads, digest_of, is_worth_relaying
from cornelward.workers import (
    CLOCK_DRIFT,
    MAX_START_AGE_S,
    STOPPING,
    VOID,
    worker_time,
)

JOB = "a" * 16
ENTRY = "10.0.0.5:1"


@pytest.fixture
def node():
    """Return a leading node that records what it sends; ``now`` is its clock."""
    node = SimpleNamespace(now=10.0, messages=[], orders=[], answers=[], timers=[])
    node.address = "10.0.0.1:1"
    node.settings = SimpleNamespace(node="n1")
    node.is_weak = False
    node.peers = SimpleNamespace(
        send=lambda address, message: node.messages.append((address, message)) or True,
        is_silent=lambda address: address in node.silent_ways,
    )
    node.silent_ways = set()
    node.loop = SimpleNamespace(
        call_later=lambda delay_s, function: node.timers.append((delay_s, function))
    )

    node.send_by = []

    def start(order, payload, token, send_by, on_done):
        node.orders.append((order, payload, token))
        node.send_by.append(send_by)
        node.answers.append(on_done)

    node.deps = SimpleNamespace(
        now=lambda: node.now,
        schedule_step=lambda node: None,
        worker_commands=SimpleNamespace(start=start),
        relayed_commands=SimpleNamespace(start=start),
    )
    node.peer_state = PeerState(random.Random(1))
    node.peer_state.peers = [ENTRY]
    node.leadership = SimpleNamespace(
        last_request_at=9.9, heartbeat_token=None, former=None
    )
    node.ticked_at = 10.0
    return node


def started_job(node, tasks=20, payload="x" * 2_400, entry=ENTRY):
    """Return (term, Start effects) of a job whose starts are recorded."""
    sim = Sim(1, workers=4, cpu=32_000)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(0.2)
    sim.leader.dead = True
    core = sim.leader.core
    sim.submit(JOB, steps_of(tasks))
    core.jobs[JOB].spec = core.jobs[JOB].spec._replace(payload=payload)
    core.jobs[JOB].entry = entry
    for _ in range(3):
        dispatch.step(core, sim.now, sim.now)
        commits = [e for e in core.effects if type(e).__name__ == "Commit"]
        starts = [e for e in core.effects if isinstance(e, Start)]
        core.effects = []
        for commit in commits:
            result = sim.store.commit(commit.part, commit.expected, commit.writes)
            dispatch.on_commit_result(core, sim.now, commit.part, result)
        starts += [e for e in core.effects if isinstance(e, Start)]
        if starts:
            break
    term = LeaderTerm(7, node.now)
    term.dispatcher = core
    return term, starts


def starts_after_answers(term, now):
    """Return the Start effects that follow when all workers answer a poll at ``now``.

    Their clocks are as expected, and they list none of the runs.
    """
    core = term.dispatcher
    core.effects = []
    dispatch.confirm_lead(core, now)
    for worker in core.workers.values():
        report = Report(worker_time(worker, now), worker.info.born, [], [])
        dispatch_runs.on_poll_result(core, now, worker.info.id, now, report)
    return [e for e in core.effects if isinstance(e, Start)]


def test_payload_of_a_wide_job_does_not_cross_the_leaders_link(node):
    # On the small twin of the large site starts took 110 of the leader's 250 KB/s, so
    # that its messages waited up to 0.2 s.
    term, starts = started_job(node)
    node_starts.execute_starts(node, term, starts)
    assert_that(node.orders, Equals([]))
    ((address, message),) = node.messages
    assert_that(address, Equals(ENTRY))
    assert_that(message.orders, HasLength(20))
    assert_that(len(encode("n1", 1, message)), LessThan(20 * 2_400 / 5))


@pytest.mark.parametrize(
    "fields", [{"tasks": 2, "payload": "x" * 300}, {"entry": None}, {"entry": "gone"}]
)
def test_small_jobs_and_jobs_of_unknown_entries_are_started_directly(node, fields):
    term, starts = started_job(node, **fields)
    node_starts.execute_starts(node, term, starts)
    assert_that(node.messages, Equals([]))
    assert_that(node.orders, HasLength(len(starts)))


def test_orders_that_were_not_sent_are_sent_by_the_leader(node):
    term, starts = started_job(node)
    node_starts.execute_starts(node, term, starts)
    orders = node.messages[0][1].orders
    results = [(o.worker, o.task, o.attempt, "unsent") for o in orders]
    # They must not be handed to the same node again, time after time.
    node_starts.on_start_results(node, term, StartResults(7, results))
    assert_that(node.orders, HasLength(20))
    assert_that(node.messages, HasLength(1))
    node_starts.on_start_results(node, term, StartResults(7, results))
    assert_that(node.orders, HasLength(20))


def test_relayed_orders_without_a_result_are_stopped(node):
    # The entry may have been frozen with the orders unread and carry them out later.
    term, starts = started_job(node)
    node_starts.execute_starts(node, term, starts)
    term.dispatcher.effects = []
    for _, function in node.timers:
        function()
    stops = [type(e).__name__ for e in term.dispatcher.effects]
    assert_that(stops, Equals(["Stop"] * 20))


def receive_orders(node, token=7, send_by=math.inf, incarnation=1):
    """Let an order of the leader arrive, as a process of ``incarnation`` sent it."""
    order = StartOrder("w0", "addr", f"{JOB}.0.0.0", 1, 100.0, "t", "", send_by)
    message = StartOrders(ENTRY, token, JOB, [order], digest_of("text"))
    envelope = Envelope("leader", incarnation, message)
    node_starts.on_start_orders(node, envelope, message)


def learn_clock(node, ahead_s=0.0):
    """Let the node know that the leader's clock is ahead by up to ``ahead_s``."""
    clocks = node.peer_state.clocks
    peer_clocks.note_reply(clocks, "leader", 1, node.now, node.now + ahead_s)


def test_entry_carries_orders_out_and_reports_their_results(node):
    node.peer_state.payloads.add(JOB, "text")
    learn_clock(node)
    receive_orders(node)
    ((order, payload, token),) = node.orders
    assert_that((order.task, payload, token), Equals((f"{JOB}.0.0.0", "text", 7)))
    node.answers[0]("ok")
    node.timers[0][1]()
    ((_, message),) = node.messages
    assert_that(message.results, Equals([("w0", f"{JOB}.0.0.0", 1, "ok")]))


@pytest.mark.parametrize(
    "reason",
    [
        "no payload",
        "another payload",
        "paused",
        "former leader",
        "unknown clock",
        "clock of a former process",
    ],
)
def test_entry_refuses_orders_that_may_be_outdated(node, reason):
    if reason != "no payload":
        node.peer_state.payloads.add(JOB, "text")
    if reason == "another payload":
        # The id was submitted again with a payload that was not stored.
        node.peer_state.payloads.add(JOB, "other text")
    if reason == "paused":
        node.ticked_at = node.now - node_starts.PAUSED_AFTER_S - 0.1
    if reason == "former leader":
        node.leadership.heartbeat_token = 8
    if reason != "unknown clock":
        learn_clock(node)
    incarnation = 2 if reason == "clock of a former process" else 1
    receive_orders(node, incarnation=incarnation)
    assert_that(node.orders, Equals([]))
    assert_that(node.messages[0][1].results[0][3], Equals("unsent"))


def test_entry_sends_no_start_after_its_time_on_the_leaders_clock(node):
    # TWICE: orders that were under way for 1 s reached workers that had restarted.
    node.peer_state.payloads.add(JOB, "text")
    learn_clock(node, ahead_s=1_000.0)
    receive_orders(node, send_by=node.now + 1_000.4)
    assert_that(round(node.send_by[0] - node.now, 6), Equals(0.4))
    receive_orders(node, send_by=node.now + 999.4)
    assert_that(round(node.send_by[1] - node.now, 6), Equals(-0.6))


def test_relayed_start_that_was_too_late_waits_for_the_workers_next_answer(node):
    term, starts = started_job(node)
    node_starts.execute_starts(node, term, starts)
    orders = node.messages[0][1].orders
    assert_that([o.send_by for o in orders], Equals([s.send_by for s in starts]))
    results = [(o.worker, o.task, o.attempt, "too_late") for o in orders]
    node_starts.on_start_results(node, term, StartResults(7, results))
    assert_that(node.orders, Equals([]))
    again = starts_after_answers(term, node.now)
    assert_that({s.run for s in again}, Equals({s.run for s in starts}))


def test_leader_that_was_paused_starts_nothing_before_it_renewed_its_row(node):
    # A leader frozen from 20 s to 26 s sent starts at 26.00 s, three leaders later.
    # Only the fence of each worker kept them from running.
    term, starts = started_job(node)
    node_starts.note_step(node, term)
    node.now += 6.0
    node_starts.note_step(node, term)
    node_starts.execute_starts(node, term, starts)
    # The answer to a renewal that was sent before the pause confirms nothing.
    node_starts.confirm_term(node, term)
    assert_that((node.orders, node.messages), Equals(([], [])))
    assert_that(node.leadership.last_request_at, Equals(None))
    node.leadership.last_request_at = node.now + 0.01
    node_starts.confirm_term(node, term)
    # The capacities that it knows are from before the pause.
    assert_that((node.orders, node.messages), Equals(([], [])))
    term.registry_asked_at = term.jobs_seen_until = node.now
    node_starts.release_held_starts(node, term)
    # The workers may have restarted during the pause.
    assert_that((node.orders, node.messages), Equals(([], [])))
    node_starts.execute_starts(node, term, starts_after_answers(term, node.now))
    assert_that(node.messages, HasLength(1))


@pytest.mark.parametrize("state", [STOPPING, VOID])
def test_starts_that_were_stopped_during_the_pause_are_dropped(node, state):
    term, starts = started_job(node)
    term.unconfirmed_since = node.now
    node_starts.execute_starts(node, term, starts)
    for effect in starts:
        effect.run.state = state
    node.leadership.last_request_at = node.now + 0.01
    node_starts.confirm_term(node, term)
    assert_that((node.orders, node.messages), Equals(([], [])))


def test_start_held_back_is_not_sent_after_the_lease_of_its_worker_expired(node):
    # The task may have been placed again: it would run twice.
    term, starts = started_job(node)
    core = term.dispatcher
    term.unconfirmed_since = node.now
    node_starts.execute_starts(node, term, starts)
    for worker in core.workers.values():
        worker.failed_polls = 1
    now = 1 + max(worker.lease_ends_at for worker in core.workers.values())
    dispatch_polls.drop_lost_workers(core, now)
    node.leadership.last_request_at = node.now + 0.01
    node_starts.confirm_term(node, term)
    assert_that((node.orders, node.messages), Equals(([], [])))


def test_start_held_back_is_not_sent_to_a_worker_that_has_shrunk(node):
    term, starts = started_job(node, tasks=2, entry=None)
    term.registry_asked_at = node.now - node_starts.MAX_REGISTRY_AGE_S - 0.1
    node_starts.execute_starts(node, term, starts)
    assert_that(node.orders, Equals([]))
    for worker in term.dispatcher.workers.values():
        worker.info = worker.info._replace(cpu=1_000)
    term.registry_asked_at = term.jobs_seen_until = node.now
    node_starts.release_held_starts(node, term)
    started = {order.worker for order, _, _ in node.orders}
    assert_that(len(node.orders), Equals(len(started)))


def test_start_held_back_gets_a_lease_from_the_time_of_its_sending(node):
    # A worker refuses a start whose lease is over, and is then avoided. One that has
    # restarted would grant the longest lease from then on, which a successor could not
    # know: no start is sent before it has answered.
    term, starts = started_job(node, tasks=2, entry=None)
    core = term.dispatcher
    term.registry_asked_at = node.now - node_starts.MAX_REGISTRY_AGE_S - 0.1
    node_starts.execute_starts(node, term, starts)
    node.now += 30.0
    term.registry_asked_at = term.jobs_seen_until = node.now
    node_starts.release_held_starts(node, term)
    assert_that(node.orders, Equals([]))
    node_starts.execute_starts(node, term, starts_after_answers(term, node.now))
    assert_that(node.orders, HasLength(2))
    for order, _, _ in node.orders:
        worker = core.workers[order.worker]
        lease_s = order.deadline_s - worker_time(worker, node.now)
        assert_that(lease_s, GreaterThan(LEASE_S * (1 - CLOCK_DRIFT) - 0.01))
        assert_that(worker.lease_ends_at - node.now, GreaterThan(LEASE_S))


def test_leader_that_is_only_slow_goes_on(node):
    term, starts = started_job(node)
    for _ in range(5):
        node.now += 0.7
        term.registry_asked_at = term.jobs_seen_until = node.now
        node_starts.note_step(node, term)
    node_starts.execute_starts(node, term, starts)
    assert_that(len(node.messages), GreaterThan(0))


def test_starts_wait_until_the_leader_has_seen_all_cancels(node):
    # UNASKED: callers were told that a cancel had been stored, and the leader, 25 s
    # behind in the changes of the jobs, started the tasks.
    term, starts = started_job(node, tasks=2, entry=None)
    term.jobs_seen_until = node.now - node_starts.MAX_JOBS_AGE_S - 0.1
    node_starts.execute_starts(node, term, starts)
    assert_that(node.orders, Equals([]))
    starts[0].run.state = STOPPING
    term.jobs_seen_until = node.now
    node_starts.release_held_starts(node, term)
    node_starts.execute_starts(node, term, starts_after_answers(term, node.now))
    assert_that(node.orders, HasLength(1))


@pytest.mark.parametrize(("pause_s", "is_held"), [(0.1, False), (1.2, True)])
def test_takeover_is_no_pause_however_long_it_takes(node, pause_s, is_held):
    # Leaders that took over in 1.2 s held their first starts back until a renewal,
    # which the store lost (lost-writes-hard).
    term = node.leader = LeaderTerm(7, node.now)
    for step_s in [0.1] * 15 + [pause_s]:
        node.now += step_s
        node_leader.tick(node)
    assert_that(node_starts.note_step(node, term), Equals(is_held))


def test_kept_payloads_are_bounded():
    payloads = Payloads(max_bytes=1_000)
    for i in range(10):
        payloads.add(str(i), "x" * 300)
    assert_that(payloads.get("0"), Equals(None))
    assert_that(payloads.get("9"), Equals("x" * 300))
    assert_that(is_worth_relaying(1, 100_000), Equals(False))


def test_kept_jobs_without_a_payload_are_bounded():
    # Guards against memory that grows with each job that is submitted.
    payloads = Payloads(max_bytes=1_000)
    for i in range(100):
        payloads.add(str(i), "")
    assert_that(payloads.get("90"), Equals(None))
    assert_that(payloads.get("99"), Equals(""))


def test_starts_on_one_worker_share_few_connections():
    # Each node opened a connection for each task; a worker takes 64, and those of nodes
    # that lost power stay open, so that it closed all new ones (further, LOST).
    calls = []
    client = SimpleNamespace(
        request_json=lambda address, method, path, finish, **rest: calls.append(finish)
    )
    commands = connect_worker_commands(client, lambda: 0.0, lambda *args: None)
    answers = []
    for i in range(6):
        order = StartOrder("w0", "addr", f"{JOB}.0.0.{i}", 1, 100.0, "", "")
        commands.start(order, "text", 7, math.inf, answers.append)
    other = StartOrder("w1", "other", f"{JOB}.0.0.9", 1, 100.0, "", "")
    commands.start(other, "text", 7, math.inf, answers.append)
    assert_that(calls, HasLength(MAX_PARALLEL_COMMANDS + 1))
    result = SimpleNamespace(status=200, error=None, sent=True)
    while calls:
        calls.pop(0)(result)
        assert_that(len(calls), LessThan(MAX_PARALLEL_COMMANDS + 2))
    assert_that(answers, Equals(["ok"] * 7))


def test_command_that_waited_too_long_is_not_sent():
    # The process may have been paused, or may lead no more.
    calls, clock = [], [0.0]
    client = SimpleNamespace(
        request_json=lambda address, method, path, finish, **rest: calls.append(finish)
    )
    commands = connect_worker_commands(client, lambda: clock[0], lambda *args: None)
    answers = []
    for i in range(MAX_PARALLEL_COMMANDS + 1):
        order = StartOrder("w0", "addr", f"{JOB}.0.0.{i}", 1, 100.0, "", "")
        commands.start(order, "text", 7, math.inf, answers.append)
    clock[0] = 5.0
    calls.pop(0)(SimpleNamespace(status=200, error=None, sent=True))
    assert_that(calls, HasLength(MAX_PARALLEL_COMMANDS - 1))
    assert_that(sorted(answers), Equals(["ok", "unsent"]))


def test_start_that_waits_beyond_its_time_is_not_sent():
    # A worker that had restarted meanwhile kept the run for its longest lease, which a
    # successor did not know of (TWICE).
    calls, clock = [], [0.0]
    client = SimpleNamespace(
        request_json=lambda address, method, path, finish, **rest: calls.append(
            (finish, rest["send_by"] - time.monotonic())
        )
    )
    commands = connect_worker_commands(client, lambda: clock[0], lambda *args: None)
    answers = []
    for i in range(MAX_PARALLEL_COMMANDS + 1):
        order = StartOrder("w0", "addr", f"{JOB}.0.0.{i}", 1, 100.0, "", "")
        commands.start(order, "text", 7, 0.5, answers.append)
    clock[0] = 0.6
    calls[0][0](SimpleNamespace(status=200, error=None, sent=True))
    # The client does not send it: its time is over.
    assert_that(calls[-1][1], LessThan(0.0))
    calls[-1][0](HttpResult(None, {}, b"", "too_late", False))
    assert_that(answers, Equals(["ok", "too_late"]))


def test_start_that_was_not_sent_in_time_waits_for_the_workers_next_answer(node):
    term, effects = started_job(node, tasks=1)
    node_starts.execute_starts(node, term, effects)
    (start,) = effects
    worker = term.dispatcher.workers[start.run.worker]
    assert_that(start.send_by, Equals(worker.answered_at + MAX_START_AGE_S))
    node.answers.pop()("too_late")
    assert_that(worker.avoid_until, Equals(0.0))
    now = worker.answered_at + 3.0
    (again,) = starts_after_answers(term, now)
    assert_that((again.run, again.send_by), Equals((start.run, now + MAX_START_AGE_S)))
