"""Replies between nodes: each reaches the request that it answers, or none.

Guards against jobs at work that are shown as completed: a node was killed while it
waited for answers, and its next process took them for those to its own questions.
"""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward import node_messages, node_requests
from cornelward.leadership import Leadership
from cornelward.messages import (
    CancelReply,
    CancelRequest,
    InsertReply,
    InsertRequest,
    StateReply,
    StateRequest,
    WorkspaceCancelRequest,
    WorkspaceStateRequest,
    decode,
    encode,
)
from cornelward.store_health import StoreHealth

ASKER, LEADER = "10.0.0.1:1", "10.0.0.9:1"
LIMIT_S = 1.0
JOB = "5c0e7a21d94b36f8"
# Kind of request -> (its fields after number and address, its reply and a value).
KINDS = {
    CancelRequest: ((JOB,), CancelReply, True),
    InsertRequest: ((b"spec", LIMIT_S), InsertReply, "accepted"),
    StateRequest: ((JOB,), StateReply, "completed"),
    WorkspaceCancelRequest: ((JOB, "acme"), CancelReply, False),
    WorkspaceStateRequest: ((JOB, "acme"), StateReply, "running"),
}


class Asker:
    """The processes of one node, one after the other, and the requests that they sent.

    ``called`` lists the requests whose callers got a reply since the last delivery.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 10.0
        self.sent = []
        self.waiting = set()
        self.called = []
        self.restart()

    def restart(self):
        """Replace the process; what it waited for is lost with it."""
        self.waiting.clear()
        self.leadership = Leadership("n1", 1, ASKER, self.now, self.rng)
        self.leadership.leader_address = LEADER
        self.leadership.leader_seen_at = self.now
        self.health = StoreHealth()
        self.leader = None
        self.peer_state = node_requests.PeerState(self.rng)
        self.peers = SimpleNamespace(send=lambda address, message: True)
        self.deps = SimpleNamespace(now=lambda: self.now)

    def ask(self, kind):
        index = len(self.sent)

        def make(number):
            self.sent.append(kind(number, ASKER, *KINDS[kind][0]))
            return self.sent[-1]

        def replied(value):
            self.waiting.discard(index)
            if value is not None:
                self.called.append(index)

        self.waiting.add(index)
        node_requests.send_request(self, LEADER, make, LIMIT_S, replied)

    def deliver(self, reply):
        """Pass a reply on as it comes from the wire; returns the requests it ended."""
        self.called = []
        node_messages.on_message(self, decode(encode("n9", 1, reply)))
        return self.called

    def answer(self, index):
        """Answer a request of this or an earlier process, perhaps again."""
        request = self.sent[index]
        _, reply, value = KINDS[type(request)]
        return self.deliver(reply(request.request_number, value))

    def wait(self, seconds):
        self.now += seconds
        self.leadership.leader_seen_at = self.now
        node_requests.tick(self)


STEPS = st.one_of(
    st.sampled_from(list(KINDS)),
    st.integers(0, 1_000),
    st.sampled_from(["restart", "wait"]),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, 1_000), st.lists(STEPS, max_size=40))
def test_reply_reaches_only_the_request_that_it_answers(seed, steps):
    asker = Asker(seed)
    for step in steps:
        if step == "restart":
            asker.restart()
        elif step == "wait":
            asker.wait(LIMIT_S / 2)
        elif not isinstance(step, int):
            asker.ask(step)
        elif asker.sent:
            index = step % len(asker.sent)
            expected = [index] if index in asker.waiting else []
            assert_that(asker.answer(index), Equals(expected))


@pytest.mark.parametrize("kind", KINDS)
def test_reply_of_another_kind_or_value_ends_no_request(kind):
    # Any text ended a cancel, and any text counted as "cancelled".
    asker = Asker(1)
    asker.ask(kind)
    number, expected = asker.sent[0].request_number, KINDS[kind][1]
    others = {CancelReply: True, InsertReply: "refused", StateReply: "queued"}
    del others[expected]
    for reply, value in others.items():
        assert_that(asker.deliver(reply(number, value)), Equals([]))
    if expected is not CancelReply:
        assert_that(asker.deliver(expected(number, "other")), Equals([]))
    assert_that(asker.answer(0), Equals([0]))


@pytest.mark.parametrize(
    ("kind", "other"), [(CancelRequest, StateReply), (StateRequest, CancelReply)]
)
def test_reply_of_another_kind_ends_no_request_with_a_value_of_both(kind, other):
    # None means "not known here" in both kinds; only the kind tells them apart.
    asker = Asker(1)
    asker.ask(kind)
    number = asker.sent[0].request_number
    asker.deliver(other(number, None))
    assert_that(asker.waiting, Equals({0}))
    assert_that(asker.answer(0), Equals([0]))
