"""Each part of following the configuration alone, on a node with a scripted store.

With running nodes, another way to the version hides that one of these is missing.
"""

import random
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from cornelward import config_sync, document_transfer, node_config
from cornelward.commits import Refused, Unknown
from cornelward.messages import Envelope, NodeConfigReply, NodeConfigVersion
from cornelward.platform.store import Changes, HistoryLost, Listing, StoreRow

OWN, LEADER, PEER = "10.0.0.1:1", "10.0.0.9:1", "10.0.0.5:1"
APPLY_S = 4.0


def row(version):
    return StoreRow("config", str(version).encode(), version)


class ScriptedNode:
    """A node whose calls to the store the test answers, and whose timers it runs.

    ``calls`` has the (operation, version or None, wait, callback) of the calls without
    an answer, ``sent`` the (address, message) pairs.
    """

    def __init__(self):
        self.now, self.calls, self.timers, self.sent, self.told = 10.0, [], [], [], []
        self.address, self.rng, self.stopped = OWN, random.Random(1), False
        self.config = self.leader = None
        self.config_state = node_config.ConfigState(self.now)
        self.leadership = SimpleNamespace(leader_address=LEADER, leader_seen_at=10.0)
        self.peer_state = SimpleNamespace(peers=[LEADER, PEER])
        self.settings = SimpleNamespace(config_apply_s=APPLY_S)
        self.loop = SimpleNamespace(
            call_later=lambda delay_s, run: self.timers.append((delay_s, run))
        )
        self.deps = SimpleNamespace(
            now=lambda: self.now,
            decode_config=lambda value: SimpleNamespace(
                version=int(value), keys=None, limits=None
            ),
            callers=SimpleNamespace(set_limits=lambda limits: None),
            set_leader_config=lambda node: self.told.append(node.config.version),
        )
        self.peers = SimpleNamespace(
            send=lambda address, message: self.sent.append((address, message)),
            send_all=lambda addresses, message: self.sent.extend(
                (address, message) for address in addresses
            ),
        )
        self.store = SimpleNamespace(
            config_table="op",
            config_key="config",
            read=lambda table, part, done: self.calls.append(("read", None, 0.0, done)),
            follow=lambda table, version, wait_s, done: self.calls.append(
                ("follow", version, wait_s, done)
            ),
        )

    def answer(self, result, after_s=0.0):
        """Answer the only open call, ``after_s`` later."""
        (call,) = self.calls
        self.calls.clear()
        self.now += after_s
        call[3](result)

    def run_timers(self):
        timers, self.timers = self.timers, []
        for _, run in timers:
            run()

    def open_call(self):
        (call,) = self.calls
        return call[:3]


@pytest.fixture
def node():
    """Return a node that has version 3 and follows the feed."""
    node = ScriptedNode()
    node_config.start(node)
    node.answer(Listing([row(3)], 30, 0.0))
    node.answer(Changes([], 30))
    node.timers, node.sent = [], []
    return node


@pytest.mark.parametrize("result", [Refused("busy"), Unknown("timeout")])
def test_failed_call_of_the_feed_is_made_again_and_then_followed_by_a_read(
    node, result
):
    # Each read costs the whole document, of 1 MB on a link of 10 Mbit/s (issue 44).
    for expected in (("follow", 30, 0.0), ("read", None, 0.0)):
        node.answer(result)
        node.run_timers()
        assert_that(node.open_call(), Equals(expected))
    node.answer(Listing([row(3)], 30, 0.0))
    node.answer(Changes([], 30))
    node.answer(result)
    node.run_timers()
    assert_that(node.open_call(), Equals(("follow", 30, 0.0)))


@pytest.mark.parametrize("result", [Refused("busy"), Unknown("timeout")])
def test_failed_read_is_followed_by_another(node, result):
    for _ in range(2):
        node.answer(Unknown("timeout"))
        node.run_timers()
    assert_that(node.open_call()[0], Equals("read"))
    node.answer(result)
    node.run_timers()
    assert_that(node.open_call()[0], Equals("read"))


def test_lost_history_is_followed_by_a_read(node):
    # To follow from the same version would find it lost again, for ever.
    node.answer(HistoryLost())
    assert_that(node.calls, Equals([]))
    node.run_timers()
    assert_that(node.open_call()[0], Equals("read"))


def test_reads_after_lost_histories_get_rarer(node):
    # While the store serves old rows, each finds their history lost (issue 44).
    pauses = []
    for _ in range(5):
        node.answer(HistoryLost())
        pauses.append(node.timers[-1][0])
        node.run_timers()
        node.answer(Listing([row(3)], 30, 0.0))
    assert_that(pauses, Equals([0.2, 0.4, 0.8, 1.6, 1.6]))
    node.answer(Changes([], 30))
    node.answer(HistoryLost())
    assert_that(node.timers[-1][0], Equals(0.2))


def test_listing_confirms_nothing_and_the_feed_is_asked_at_once(node):
    # The store may serve old rows.
    node.answer(HistoryLost())
    node.run_timers()
    node.now += 30.0
    node.answer(Listing([row(3)], 30, 0.0))
    assert_that(node_config.is_confirmed(node), Equals(False))
    assert_that(node.open_call(), Equals(("follow", 30, 0.0)))
    node.answer(Changes([], 30))
    assert_that(node_config.is_confirmed(node), Equals(True))


def test_new_version_is_announced_to_the_leader_and_again(node):
    node.answer(Changes([row(4)], 40))
    first = NodeConfigVersion(OWN, 4, None)
    assert_that(node.sent, Equals([(LEADER, first)]))
    assert_that([delay_s for delay_s, _ in node.timers], HasLength(2))
    node.run_timers()
    assert_that([address for address, _ in node.sent], Equals([LEADER] * 3))


def test_leader_announces_a_new_version_to_all_and_uses_it(node):
    node.leader = object()
    node.answer(Changes([row(4)], 40))
    assert_that([address for address, _ in node.sent], Equals([LEADER, PEER]))
    assert_that(node.told, Equals([4]))


def test_lower_version_is_answered_with_the_own_one(node):
    old = NodeConfigVersion(PEER, 2, 0.0)
    node_config.on_version(node, Envelope("n5", 1, old), old)
    assert_that([(a, m.version) for a, m in node.sent], Contains((PEER, 3)))


def test_confirmation_is_good_for_half_of_the_time_to_apply(node):
    assert_that(node_config.is_confirmed(node), Equals(True))
    node.now += APPLY_S / 2 + 0.1
    assert_that(node_config.is_confirmed(node), Equals(False))


def test_adopted_version_is_not_confirmed_by_what_confirmed_the_former_one(node):
    value = b"4"
    assert_that(node_config.is_confirmed(node), Equals(True))
    node_config._adopt(node, value, PEER)
    assert_that(node_config.is_confirmed(node), Equals(False))


def receive_reply(node, version, part=b"", size=0):
    """Let PEER answer a question of the node that knows of version 4."""
    sync = node.config_state.sync
    config_sync.note_heard(sync, node.now, LEADER, 4, node.rng)
    node_config._ask(node, PEER)
    sent_at = node.sent[-1][1].sent_at
    reply = NodeConfigReply(PEER, version, None, sent_at, part, 0, size)
    node_config.on_reply(node, Envelope("n5", 1, reply), reply)
    return sync


def test_another_node_is_asked_at_once_if_one_lacks_the_version(node):
    assert_that(receive_reply(node, 3).pull_at, Equals(node.now))


def test_part_postpones_the_next_question_until_its_sender_had_time(node):
    outgoing = document_transfer.Outgoing(bytes(2 * document_transfer.PART_BYTES))
    size = len(outgoing.document)
    sync = receive_reply(node, 4, outgoing.part(0), size)
    assert_that(sync.pull_at, Equals(node.now + config_sync.PULL_RETRY_S))
    assert_that(sync.source, Equals(PEER))
    # The version comes by the store meanwhile: its parts are not kept.
    node.answer(Changes([row(4)], 40))
    assert_that(node.config_state.partial, Equals(None))
