"""Fixture: nodes and a stand-in platform in one event loop."""

import msgspec
import pytest

from cornelward.http_client import HttpClient
from cornelward.loop import Loop
from cornelward.platform.compose import build_node
from cornelward.platform.settings import NodeSettings
from standins.cell import ROUTE, Cell
from standins.proxy import Proxy
from tools.launch import free_ports

WAIT_LIMIT_S = 60
ADVICE = {"decision_ms": 20, "period_ms": 1, "valid_ms": 2_500}


def free_address():
    """Return a loopback address whose port no other process takes."""
    return f"127.0.0.1:{free_ports(1)[0]}"


class NodeCluster:
    """A stand-in platform and the nodes that run on it."""

    def __init__(self):
        self.loop = Loop()
        # A node stops its loop once it is drained, which ends its process. Here the
        # other nodes, the platform and the test use the same loop.
        self.loop.stop = lambda: None
        self.client = HttpClient(self.loop)
        self.platform = None
        self.nodes = []
        self.longest_lease_s = 6.0
        self.proxied = False
        self.proxies = {}

    def start(
        self, nodes=2, route=ROUTE, keys=None, proxied=False, prepare=None, **options
    ):
        """Start the platform and the nodes; wait for a leader and the configuration.

        ``prepare(platform)`` is called before the nodes start. With ``proxied`` each
        node reaches the store through a proxy of its own, which is in ``proxies`` by
        the node's name. ``keys`` as for ``Cell.configure``.
        """
        self.platform = Cell(self.loop, **options)
        self.proxied = proxied
        self.platform.configure(1, [route], keys)
        if prepare is not None:
            prepare(self.platform)
        for number in range(nodes):
            self.add_node(number)
        self.wait(lambda: self.leader() is not None)
        self.wait(lambda: all(n.leadership.leader_address for n in self.nodes))
        self.wait(lambda: all(n.config for n in self.nodes))
        return self

    def add_node(self, number):
        """Start a node."""
        store_address = self.platform.store.address
        if self.proxied:
            proxy = Proxy(self.loop, store_address)
            self.proxies[f"n{number}"] = proxy
            store_address = proxy.address
        settings = NodeSettings(
            node=f"n{number}",
            failure_domain="z1",
            region="r1",
            ip="127.0.0.1",
            caller_address=free_address(),
            ready_address=free_address(),
            peer_address=free_address(),
            status_address=free_address(),
            store_address=store_address,
            advice_address=self.platform.advice.server.address,
            longest_lease_s=self.longest_lease_s,
            stop_s=0.4,
            cores=2.0,
            link_mbps=1_000.0,
            grace_s=6.0,
        )
        self.nodes.append(build_node(settings, self.loop))
        return self.nodes[-1]

    def leader(self):
        """Return the node that leads, or None."""
        leading = [n for n in self.nodes if n.leader and n.leader.dispatcher]
        return leading[0] if leading else None

    def wait(self, condition, limit_s=WAIT_LIMIT_S):
        """Run the loop until the condition holds; fails after ``limit_s``."""
        assert self.loop.run_until(condition, limit_s)

    def call(self, node, method, path, value=None, headers=(), key=None):
        """Send one caller request to a node and return its HttpResult."""
        if key is not None:
            headers = (("Authorization", f"Bearer {key}"), *headers)
        results = []
        self.client.request(
            node.settings.caller_address,
            method,
            path,
            results.append,
            headers=(("Host", "jobs.example"), *headers),
            body=b"" if value is None else msgspec.json.encode(value),
            timeout_s=20.0,
        )
        self.wait(lambda: results)
        return results[0]

    def state(self, node, job_id):
        """Return the state that a node shows for a job."""
        return (self.call(node, "GET", f"/jobs/{job_id}").json() or {}).get("state")

    def encode_job(self, steps):
        """Return the body of a submission."""
        return msgspec.json.encode({"spec": "text", "steps": steps})

    def submit(self, node, job_id, steps, key=None, **fields):
        """Submit a job and return the HTTP status."""
        body = {"spec": "text", "steps": steps, **fields}
        return self.call(node, "POST", f"/jobs/{job_id}", body, key=key).status


def kill(cluster, node):
    """Stop a node without any message to the others, as SIGKILL does."""
    if node.leader is not None:
        node.leader.closed = True
    node.leader = None
    node.leadership.leaving = True
    node.leadership.role = "killed"
    node.peers.close()
    cluster.nodes.remove(node)


@pytest.fixture
def cluster():
    """Return a NodeCluster that has not been started."""
    return NodeCluster()
