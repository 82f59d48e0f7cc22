"""Configurations that take a node's link seconds to receive, as their size grows."""

import heapq
import itertools
import random
from types import SimpleNamespace

import msgspec
import pytest
from fixtures_node import ROUTE, cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cornelward import node as node_shell
from cornelward import node_config, node_messages
from cornelward.messages import (
    NodeConfigReply,
    NodeConfigRequest,
    NodeConfigVersion,
    decode,
    encode,
)
from standins.proxy import TO_CALLER

__all__ = ["cluster"]

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}]
APPLY_S = 4.0
HANDLERS = {
    NodeConfigReply: node_config.on_reply,
    NodeConfigRequest: node_config.on_request,
    NodeConfigVersion: node_config.on_version,
}


def routes_of(count, rng):
    """Return ``count`` routes with names, hosts and prefixes of their own."""

    def text(letters):
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=letters))

    return [
        ROUTE
        | {
            "name": text(10),
            "host": f"{text(6)}.example",
            "path_prefix": f"/{text(8)}/",
        }
        for _ in range(count)
    ]


def document_of(version, routes):
    return msgspec.json.encode({"version": version, "routes": routes})


class Links:
    """Nodes in simulated time whose links take what they are sent one after another.

    ``n0`` leads; it and all to ``n11`` have the store and fast links, the others
    neither: theirs carry ``slow_bytes_per_s``. One message in twenty is lost.
    ``received`` is the number of bytes that were sent to each node, ``adopted_at`` has
    (node's address, version).
    """

    def __init__(self, seed, slow_bytes_per_s, nodes=35, fed=12):
        self.now, self.events, self.order = 0.0, [], itertools.count()
        self.rng = random.Random(seed)
        self.free_at, self.received, self.adopted_at = {}, {}, {}
        self.addresses = [f"n{number}:1" for number in range(nodes)]
        self.fed = self.addresses[:fed]
        self.speeds = {
            address: 25e6 if address in self.fed else slow_bytes_per_s
            for address in self.addresses
        }
        self.nodes = {address: self._make(address) for address in self.addresses}

    def _make(self, address):
        node = SimpleNamespace(
            address=address,
            config=None,
            leader=SimpleNamespace() if address == self.addresses[0] else None,
            stopped=False,
            config_state=node_config.ConfigState(0.0),
            leadership=SimpleNamespace(
                leader_address=self.addresses[0], leader_seen_at=0.0
            ),
            peer_state=SimpleNamespace(peers=list(self.addresses)),
            rng=random.Random(address),
            settings=SimpleNamespace(config_apply_s=APPLY_S),
            loop=SimpleNamespace(call_later=self.call_later),
        )
        node.deps = SimpleNamespace(
            now=lambda: self.now,
            decode_config=lambda value: self._note(node, value),
            callers=SimpleNamespace(set_limits=lambda limits: None),
            set_leader_config=lambda node: None,
        )
        node.peers = SimpleNamespace(
            send=lambda to, message: self.send(node, to, message),
            send_all=lambda to, message: [self.send(node, a, message) for a in to],
        )
        return node

    def _note(self, node, value):
        version = msgspec.json.decode(value)["version"]
        self.adopted_at.setdefault((node.address, version), self.now)
        return SimpleNamespace(version=version, keys=None, limits=None)

    def call_later(self, delay_s, function):
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), function))

    def send(self, sender, to, message):
        if to == sender.address:
            return True
        data = encode(sender.address, 1, message)
        self.received[to] = self.received.get(to, 0) + len(data)
        begins_at = max(self.now, self.free_at.get(to, 0.0))
        self.free_at[to] = begins_at + len(data) / self.speeds[to]
        if self.rng.random() >= 0.05:
            self.call_later(
                self.free_at[to] - self.now + 0.01, lambda: self.receive(to, data)
            )
        return True

    def receive(self, to, data):
        envelope = decode(data)
        handler = HANDLERS[type(envelope.message)]
        handler(self.nodes[to], envelope, envelope.message)

    def publish(self, document):
        """Let the nodes with the store take a version from it."""
        for address in self.fed:
            node_config._adopt(self.nodes[address], document, "store")

    def run(self, until):
        while self.now < until:
            ends_at = self.now + 0.1
            while self.events and self.events[0][0] <= ends_at:
                self.now, _, function = heapq.heappop(self.events)
                function()
            self.now = ends_at
            for node in self.nodes.values():
                if node.address in self.fed and node.config is not None:
                    state = node.config_state
                    state.sync.confirmed_at = self.now
                node_config.tick(node)


@pytest.mark.parametrize("seed", range(5))
def test_second_of_two_large_versions_reaches_nodes_with_slow_links_in_time(seed):
    # CONFIG: each repeated question brought the whole document once more, and the
    # copies filled the links for 40 s (issue 44).
    rng = random.Random(seed)
    routes = routes_of(4_200, rng)
    links = Links(seed, slow_bytes_per_s=500e3)
    published_at = {}
    for version, at in ((1, 0.0), (2, 30.0), (3, 33.7)):
        links.run(at)
        published_at[version] = links.now
        links.publish(document_of(version, routes))
    links.run(60.0)
    for version in (2, 3):
        late = [
            links.adopted_at.get((address, version), 99.0) - published_at[version]
            for address in links.addresses
        ]
        assert_that(max(late), LessThan(APPLY_S))


@pytest.mark.parametrize("seed", range(5))
def test_large_version_is_sent_to_each_node_about_once(seed):
    document = document_of(2, routes_of(4_200, random.Random(seed)))
    links = Links(seed, slow_bytes_per_s=500e3)
    links.publish(document)
    links.run(20.0)
    slow = set(links.addresses) - set(links.fed)
    most = max(links.received[address] for address in slow)
    assert_that(most, LessThan(1.5 * len(document)))


def test_large_version_comes_by_the_store_over_a_slow_link(cluster):
    # CONFIG: feed and reads were given up while their answers arrived, and began again
    # at the first byte (issue 44).
    cluster.start(nodes=1, proxied=True)
    cluster.proxies["n0"].bytes_per_s = 100e3
    routes = [ROUTE, *routes_of(1_500, random.Random(1))]
    cluster.platform.configure(2, routes)
    cluster.wait(lambda: cluster.nodes[0].config.version == 2)


def test_node_that_lacks_a_version_for_long_serves_nothing_by_the_older_one(
    cluster, monkeypatch
):
    # CONFIG: a node that knew of version 22 answered 200 by version 16 (issue 44).
    cluster.start(nodes=2, proxied=True)
    late = next(n for n in cluster.nodes if n is not cluster.leader())
    handle = node_messages.HANDLERS[NodeConfigReply]
    monkeypatch.setitem(
        node_messages.HANDLERS,
        NodeConfigReply,
        lambda node, *args: None if node is late else handle(node, *args),
    )
    cluster.proxies[late.settings.node].dropped_directions = frozenset({TO_CALLER})
    cluster.platform.configure(2, [ROUTE | {"path_prefix": "/new/"}])
    cluster.wait(lambda: late.config_state.sync.heard_version == 2)
    now = late.deps.now()
    cluster.wait(lambda: late.deps.now() > now + APPLY_S / 2)
    assert_that(cluster.submit(late, JOB, STEPS), Equals(503))
    answer = cluster.call(late, "GET", "/jobs/")
    # The caller's next connection reaches another node.
    assert_that(answer.status, Equals(503))
    assert_that(answer.headers["connection"], Equals("close"))
    assert_that(node_shell.is_ready(late), Equals(False))
    assert_that(late.config.version, Equals(1))
    cluster.proxies[late.settings.node].clear_faults()
    cluster.wait(lambda: late.config.version == 2)
    assert_that(node_shell.is_ready(late), Equals(True))
    assert_that(cluster.submit(late, JOB, STEPS), Equals(404))
