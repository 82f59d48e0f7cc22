"""Configuration of every node in touch: the core, and nodes behind proxies."""

import itertools
import math
import random
from types import SimpleNamespace

import pytest
from fixtures_node import ROUTE, cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from cornelward import (
    config_sync,
    node_config,
    node_heartbeats,
    node_messages,
    store_calls,
)
from cornelward.config_sync import ConfigSync
from cornelward.messages import Envelope, NodeConfigReply, NodeConfigVersion
from standins.proxy import TO_CALLER

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}]
APPLY_S = 4.0


@pytest.fixture
def rng():
    return random.Random(26)


def test_answer_that_arrives_late_confirms_nothing_of_the_time_since(rng):
    # A node that wakes, or that a choked link served late, would refuse a key that came
    # meanwhile. The store holds an empty answer back for 1 s.
    as_of = store_calls.true_as_of
    assert_that(as_of(1.02, 0.0, 1.0, True), Equals(1.0))
    assert_that(as_of(9.0, 0.0, 1.0, True), Equals(1.0))
    assert_that(as_of(9.0, 8.9, 1.0, True), Equals(9.0))
    # Changes may have been sent at any time since the question.
    assert_that(as_of(9.0, 8.0, 1.0, False), Equals(8.0))
    state = ConfigSync(0.0)
    config_sync.note_adopted(state, 3)
    config_sync.note_confirmed(state, 3, as_of(9.0, 0.0, 1.0, True))
    assert_that(config_sync.is_confirmed(state, 9.0, 2.0), Equals(False))
    config_sync.note_confirmed(state, 3, as_of(9.1, 9.05, 0.0, True))
    assert_that(config_sync.is_confirmed(state, 9.1, 2.0), Equals(True))


def test_message_of_the_same_version_confirms_nothing(rng):
    # It may have waited in a connection that was cut, or for a process that was paused.
    node = plain_node(rng, 5.0)
    config_sync.note_adopted(node.config_state.sync, 3)
    message = NodeConfigVersion("10.0.0.9:1", 3, 0.0)
    node_config.on_version(node, Envelope("n9", 1, message), message)
    assert_that(node_config.is_confirmed(node), Equals(False))


def test_node_that_nobody_confirms_asks_others_without_having_heard_of_a_version(rng):
    # Its leader was gone, and it learned nothing until the store answered it again.
    state = ConfigSync(0.0)
    config_sync.note_adopted(state, 3)
    config_sync.note_confirmed(state, 3, 1.0)
    due = 1.0 + config_sync.UNSURE_AFTER_S
    assert_that(config_sync.ask_due(state, due - 0.1, ["a"], rng), Is(None))
    assert_that(config_sync.ask_due(state, due + 0.1, ["a"], rng), Equals("a"))
    assert_that(config_sync.ask_due(state, due + 0.2, ["a"], rng), Is(None))
    again = due + 0.1 + config_sync.ASK_INTERVAL_S
    assert_that(config_sync.ask_due(state, again, ["a"], rng), Equals("a"))
    config_sync.note_confirmed(state, 3, again)
    assert_that(config_sync.ask_due(state, again + 1.0, ["a"], rng), Is(None))


def test_restarted_node_asks_for_the_version_that_it_hears_of(rng):
    state = ConfigSync(0.0)
    config_sync.note_heard(state, 0.0, "leader", 7, rng)
    assert_that(config_sync.ask_due(state, 0.0, ["a"], rng), Is(None))
    due = config_sync.PULL_SPREAD_S
    assert_that(config_sync.ask_due(state, due, ["a"], rng), Equals("leader"))
    # Without an answer it asks another one.
    assert_that(config_sync.ask_due(state, due, ["a"], rng), Is(None))
    due += config_sync.PULL_RETRY_S
    assert_that(config_sync.ask_due(state, due, ["a"], rng), Equals("a"))
    config_sync.note_adopted(state, 7)
    config_sync.note_confirmed(state, 7, due)
    assert_that(config_sync.ask_due(state, due + 1, ["a"], rng), Is(None))


def test_node_is_behind_since_it_heard_of_the_oldest_version_that_it_lacks(rng):
    state = ConfigSync(0.0)
    config_sync.note_adopted(state, 3)
    assert_that(config_sync.behind_s(state, 5.0), Equals(0.0))
    for now, version in ((5.0, 4), (5.5, 4), (6.0, 5)):
        config_sync.note_heard(state, now, "leader", version, rng)
    assert_that(config_sync.behind_s(state, 7.0), Equals(2.0))
    config_sync.note_adopted(state, 4)
    assert_that(config_sync.behind_s(state, 7.0), Equals(1.0))
    config_sync.note_adopted(state, 5)
    assert_that(config_sync.behind_s(state, 7.0), Equals(0.0))


def test_node_is_outdated_while_others_name_a_version_that_it_lacks(rng):
    state = ConfigSync(0.0)
    config_sync.note_adopted(state, 3)
    config_sync.note_heard(state, 5.0, "leader", 3, rng)
    assert_that(config_sync.is_outdated(state, 9.0, 2.0), Equals(False))
    config_sync.note_heard(state, 10.0, "leader", 4, rng)
    assert_that(config_sync.is_outdated(state, 11.9, 2.0), Equals(False))
    assert_that(config_sync.is_outdated(state, 12.0, 2.0), Equals(True))
    config_sync.note_heard(state, 13.0, "leader", 4, rng)
    assert_that(config_sync.is_outdated(state, 16.9, 2.0), Equals(True))
    # All that had it may be gone: then every node would refuse until the store is back.
    assert_that(config_sync.is_outdated(state, 17.1, 2.0), Equals(False))
    config_sync.note_heard(state, 18.0, "leader", 4, rng)
    config_sync.note_adopted(state, 4)
    assert_that(config_sync.is_outdated(state, 18.1, 2.0), Equals(False))


def test_version_is_not_confirmed_while_a_newer_one_is_known(rng):
    # The store may let a node read old rows.
    state = ConfigSync(0.0)
    config_sync.note_adopted(state, 3)
    config_sync.note_heard(state, 0.0, "leader", 4, rng)
    config_sync.note_confirmed(state, 3, 0.0)
    assert_that(config_sync.is_confirmed(state, 0.0, 2.0), Equals(False))


class Spread:
    """38 nodes in virtual time that exchange their versions.

    Those from n13 on are fed by the store. n0 leads, or has ended if ``leads`` is
    false: nobody leads then, and each node knows nine addresses. One message in ten is
    lost.
    """

    def __init__(self, seed, leads=True):
        self.rng = random.Random(seed)
        self.leads = leads
        names = [f"n{number}" for number in range(38)]
        self.states = {name: ConfigSync(0.0) for name in names}
        self.known = names if leads else [names[0], *self.rng.sample(names[1:], 8)]
        self.fed = names[13:]
        for state in self.states.values():
            config_sync.note_adopted(state, 1)
        self.now, self.mail, self.reached_at = 0.0, [], {}

    def send(self, *message, delay_s=0.1):
        if self.rng.random() >= 0.1:
            self.mail.append((self.now + delay_s, *message))

    def adopt(self, name):
        if name in self.reached_at:
            return
        self.reached_at[name] = self.now
        config_sync.note_adopted(self.states[name], 2)
        targets = [n for n in self.states if n != name] if name == "n0" else ["n0"]
        for delay_s in (0, *node_config.REPEATED_AFTER_S):
            for target in targets:
                self.send(target, name, "version", 2, delay_s=0.1 + delay_s)

    def receive(self, name, sender, kind, version):
        state = self.states[name]
        if kind == "document":
            self.adopt(name)
        elif kind == "ask":
            answer = "document" if version < state.version else "version"
            self.send(sender, name, answer, state.version)
        elif version < state.version:
            self.send(sender, name, "version", state.version)
        else:
            config_sync.note_heard(state, self.now, sender, version, self.rng)

    def step(self, number):
        self.now = number / 10
        due = [m for m in self.mail if m[0] <= self.now]
        self.mail = [m for m in self.mail if m[0] > self.now]
        for _, *message in due:
            if self.leads or message[0] != "n0":
                self.receive(*message)
        for name, state in self.states.items():
            if name == "n0" and not self.leads:
                continue
            if name in self.fed:
                config_sync.note_confirmed(state, state.version, self.now)
            if name != "n0" and number % 15 == 0 and self.leads:
                self.send(name, "n0", "version", self.states["n0"].version)
            others = [n for n in self.known if n != name]
            address = config_sync.ask_due(state, self.now, others, self.rng)
            if address:
                self.send(address, name, "ask", state.version)

    def run(self):
        """Let the fed nodes adopt a version, and return when the last node does."""
        for name in self.fed:
            self.adopt(name)
        for number in range(100):
            self.step(number)
        running = set(self.states) - (set() if self.leads else {"n0"})
        assert_that(running - set(self.reached_at), Equals(set()))
        return max(self.reached_at.values())


@pytest.mark.parametrize("seed", range(20))
def test_version_spreads_past_a_leader_that_the_store_refuses(seed):
    # A third of 38 nodes and the leader are without the store, and heartbeats are rare.
    assert_that(Spread(seed).run(), LessThan(APPLY_S))


@pytest.mark.parametrize("seed", range(20))
def test_version_spreads_while_nobody_leads(seed):
    # CONFIG: nodes that the store turned away were 18 s late when their leader had been
    # killed.
    assert_that(Spread(seed, leads=False).run(), LessThan(APPLY_S))


def plain_node(rng, now):
    """Return a node that leads nothing and collects what it sends in ``sent``."""
    sent = []
    return SimpleNamespace(
        address="10.0.0.1:1",
        sent=sent,
        config=None,
        config_state=node_config.ConfigState(now),
        deps=SimpleNamespace(now=lambda: now),
        leadership=SimpleNamespace(leader_address="10.0.0.9:1"),
        peer_state=SimpleNamespace(peers=[]),
        peers=SimpleNamespace(send=lambda address, message: sent.append(message)),
        rng=rng,
        settings=SimpleNamespace(config_apply_s=APPLY_S),
    )


def test_reply_to_a_former_process_confirms_nothing(rng):
    # On a machine that was started again the clock begins anew: the question's time
    # lies ahead, and the version would count as the newest until then.
    node = plain_node(rng, 5.0)
    answered = []
    node_config.confirm(node, lambda: answered.append(True))
    for sent_at, expected in ((900.0, []), (node.sent[0].sent_at, [True])):
        reply = NodeConfigReply("10.0.0.9:1", 0, 0.0, sent_at, b"")
        node_config.on_reply(node, Envelope("n9", 1, reply), reply)
        assert_that(answered, Equals(expected))


def cut(cluster, node, fault):
    proxy = cluster.proxies[node.settings.node]
    if fault == "refused":
        proxy.refuse_connections = True
        proxy.reset()
    else:
        proxy.dropped_directions = frozenset({TO_CALLER})


@pytest.mark.parametrize("way", ["feed", "messages", "questions"])
def test_version_comes_by_each_of_three_ways_alone(cluster, monkeypatch, way):
    # Each way hid that another was missing.
    cluster.start(nodes=3, proxied=True)
    node = next(n for n in cluster.nodes if n is not cluster.leader())
    cluster.wait(lambda: len(node.peer_state.peers) == 2)
    if way != "feed":
        cut(cluster, node, "refused")
    if way != "messages":
        handle = node_messages.HANDLERS[NodeConfigVersion]
        monkeypatch.setitem(
            node_messages.HANDLERS,
            NodeConfigVersion,
            lambda other, *args: None if other is node else handle(other, *args),
        )
    if way != "questions":
        monkeypatch.setattr(config_sync, "UNSURE_AFTER_S", math.inf)
    for version in (2, 3):
        cluster.platform.configure(version, [ROUTE])
        cluster.wait(lambda v=version: node.config.version == v)


@pytest.mark.parametrize("fault", ["refused", "unanswered"])
def test_withdrawals_reach_nodes_that_the_store_turns_away(cluster, fault):
    # CONFIG: in an outage of the store for a third of the nodes these ran requests with
    # keys that had been taken away seconds before, and refused new ones.
    cluster.start(nodes=6, keys={"acme": ["k-0"]}, proxied=True)
    first = cluster.leader()
    others = [n for n in cluster.nodes if n is not first]
    cutoff = [first, others[0]]
    for node in cutoff:
        cut(cluster, node, fault)
    for number in (1, 2, 3):
        version = 1 + 2 * number
        cluster.platform.configure(version, [ROUTE], {"acme": [f"k-{number}"]})
        cluster.wait(
            lambda v=version: all(n.config.version == v for n in cluster.nodes)
        )
        for node in cluster.nodes:
            old, new = f"k-{number - 1}", f"k-{number}"
            path = f"/jobs/{JOB}"
            assert_that(cluster.call(node, "GET", path, key=old).status, Equals(401))
            found = cluster.call(node, "POST", path, None, key=new).status
            assert_that(found, Equals(400))


def test_heartbeats_name_the_version(cluster):
    # A node whose feed and announcements are lost hears of it with the next one.
    cluster.start()
    leader, sent = cluster.leader(), []
    leader.peers = SimpleNamespace(
        send_all=lambda addresses, message: sent.append(message),
        disconnect=lambda address: None,
        is_silent=lambda address: False,
    )
    now = leader.deps.now()
    node_heartbeats.send_heartbeats(leader, leader.leader, now, urgent=True)
    versions = [m.version for m in sent if isinstance(m, NodeConfigVersion)]
    assert_that(versions, Equals([1]))


def test_refusal_of_a_late_node_waits_for_what_others_know(cluster):
    # A key that a configuration of the last moments brought must not get 401.
    cluster.start(nodes=3, keys={"acme": ["k-0"]}, proxied=True)
    late = next(n for n in cluster.nodes if n is not cluster.leader())
    cut(cluster, late, "refused")
    cluster.platform.configure(2, [ROUTE], {"acme": ["k-1"]})
    others = [n for n in cluster.nodes if n is not late]
    cluster.wait(lambda: all(n.config.version == 2 for n in others))
    late.config_state.sync.confirmed_at = None
    assert_that(cluster.submit(late, JOB, STEPS, "k-1"), Equals(200))
    assert_that(late.config.version, Equals(2))


def test_node_that_nobody_answers_does_not_say_401(cluster):
    cluster.start(nodes=1, keys={"acme": ["k-0"]}, proxied=True)
    node = cluster.nodes[0]
    cut(cluster, node, "refused")
    node.config_state.sync.confirmed_at = None
    assert_that(
        cluster.call(node, "GET", f"/jobs/{JOB}", key="k-1").status, Equals(503)
    )


def test_node_never_goes_back_to_a_lower_version(cluster):
    cluster.start(nodes=2)
    first, second = cluster.nodes
    cluster.platform.configure(5, [ROUTE])
    cluster.wait(lambda: all(n.config.version == 5 for n in cluster.nodes))
    cluster.platform.configure(4, [ROUTE | {"path_prefix": "/old/"}])
    old = NodeConfigVersion(second.address, 4, 0.0)
    node_config.on_version(first, Envelope("n1", 1, old), old)
    cluster.loop.run_until(lambda: False, 0.6)
    assert_that({n.config.version for n in cluster.nodes}, Equals({5}))


def test_unanswered_questions_of_a_node_that_is_behind_get_rarer(rng):
    # Answers may only be slow, and repeated ones delay all others on the link.
    state = ConfigSync(0.0)
    config_sync.note_heard(state, 0.0, "leader", 7, rng)
    asked_at = []
    for number in range(60):
        if config_sync.ask_due(state, number / 10, ["a"], rng):
            asked_at.append(number / 10)
    pauses = [round(b - a, 1) for a, b in itertools.pairwise(asked_at)]
    assert_that(pauses[:4], Equals([0.4, 0.4, 0.4, 0.8]))


def test_node_that_sent_a_part_is_asked_again_before_others(rng):
    state = ConfigSync(0.0)
    config_sync.note_heard(state, 0.0, "leader", 7, rng)
    config_sync.note_progress(state, 6.0, "b")
    assert_that(config_sync.ask_due(state, 6.3, ["a"], rng), Is(None))
    assert_that(config_sync.ask_due(state, 6.5, ["a"], rng), Equals("b"))
    assert_that(config_sync.ask_due(state, 7.0, ["a"], rng), Equals("a"))


def test_another_node_is_asked_at_once_after_one_that_lacks_the_version_too(rng):
    state = ConfigSync(0.0)
    config_sync.note_heard(state, 0.0, "leader", 7, rng)
    config_sync.ask_due(state, 0.3, ["a"], rng)
    config_sync.note_lacking(state, 0.35)
    assert_that(config_sync.ask_due(state, 0.4, ["a"], rng), Equals("a"))
    config_sync.note_adopted(state, 7)
    config_sync.note_lacking(state, 0.45)
    assert_that(config_sync.ask_due(state, 0.5, ["a"], rng), Is(None))


def test_documents_of_any_size_pass_between_nodes(cluster):
    cluster.start(nodes=3, proxied=True)
    late = next(n for n in cluster.nodes if n is not cluster.leader())
    cut(cluster, late, "refused")
    routes = [ROUTE] + [
        ROUTE | {"name": f"q{number}", "path_prefix": f"/{number}/"}
        for number in range(3_000)
    ]
    cluster.platform.configure(2, routes)
    cluster.wait(lambda: late.config.version == 2)
    assert_that(len(late.config.routes), Equals(3_001))
