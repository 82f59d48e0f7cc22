"""Fixtures that run entries, executors and a platform in one event loop."""

import itertools
from typing import Any

import msgspec
import pytest

from cornelward import settings
from cornelward.compose import build_entry
from cornelward.http_client import HttpClient
from cornelward.http_server import HttpServer
from cornelward.loop import Loop
from standins import executor, platform

LIMIT_S = 60
SHORT_TIMEOUT = (("X-Timeout-Ms", "500"),)

OBJECTS = [
    {"kind": "region", "name": "laurentides", "failure_domains": ["l1"]},
    {"kind": "pool", "name": "front", "region": "laurentides", "holds": "executors"},
    {"kind": "pool", "name": "back", "region": "laurentides", "holds": "workers"},
    {"kind": "policy", "name": "quick", "type": "request"},
    {"kind": "policy", "name": "bulk", "type": "batch"},
    {"kind": "team", "name": "clerks", "quota": {"cpu": 64}},
    {
        "kind": "workload",
        "name": "quotes",
        "type": "request",
        "policy": "quick",
        "pool": "front",
        "operations": [
            {"name": "price", "idempotent": True},
            {"name": "note"},
            {"name": "book", "must_not_repeat": True},
        ],
    },
    {
        "kind": "workload",
        "name": "manifests",
        "type": "batch",
        "policy": "bulk",
        "pool": "back",
        "team": "clerks",
        "demand": {"cpu": 1, "memory_mb": 512},
    },
]


class Cluster:
    """A platform, executors and entries that share one event loop."""

    def __init__(self):
        self.loop = Loop()
        self.client = HttpClient(self.loop)
        self.servers = []
        self.entries = []
        self.platform = self._serve(platform, {})
        self.ids = itertools.count(1)

    def _serve(self, module, cfg):
        handle, on_ready = module.build(self.loop, cfg)
        server = HttpServer(self.loop, ("127.0.0.1", 0), handle)
        self.servers.append(server)
        # A server cannot be closed before the loop has assigned a poller to it.
        self.until(lambda: server.server._poller is not None)
        on_ready(server.address)
        return server.address

    def add_executor(self, **changes):
        """Start an executor and return its address."""
        cfg = {
            **executor.DEFAULTS,
            "id": f"x{next(self.ids)}",
            "service": "quotes",
            "failure_domain": "l1",
            "region": "laurentides",
            "platform_address": self.platform,
            **changes,
        }
        return self._serve(executor, cfg)

    def add_entry(self, **changes):
        """Start an entry and return it."""
        cfg = {
            **settings.ENTRY_DEFAULTS,
            "id": f"e{next(self.ids)}",
            "failure_domain": "l1",
            "region": "laurentides",
            "platform_address": self.platform,
            "platform_timeout_s": 0.5,
            "config_poll_s": 0.1,
            "members_poll_s": 0.1,
            "tick_s": 0.05,
            "heartbeat_s": 0.1,
            "view_lease_s": 0.5,
            **changes,
        }
        entry = build_entry(cfg, self.loop)
        self.entries.append(entry)
        return entry

    def until(self, condition):
        """Run the loop until a condition holds, for at most LIMIT_S seconds."""
        assert self.loop.run_until(condition, LIMIT_S), (
            "timed out waiting for the condition"
        )

    def start_call(self, address, method, path, value=None, headers=()):
        """Send a request; returns a list to which its HttpResult is appended."""
        body = value if isinstance(value, bytes) else b""
        if value is not None and not isinstance(value, bytes):
            body = msgspec.json.encode(value)
        results = []
        self.client.request(
            address,
            method,
            path,
            results.append,
            headers=headers,
            body=body,
            timeout_s=LIMIT_S,
        )
        return results

    def call(self, address, method, path, value=None, headers=()) -> Any:
        """Send a request and return its HttpResult."""
        results = self.start_call(address, method, path, value, headers)
        self.until(lambda: results)
        return results[0]

    def switch(self, address, **changes):
        """Set switches of a stand-in."""
        self.call(address, "POST", "/switch", changes)

    def configure(self, entry, objects=None):
        """Publish a configuration through an entry and wait until all are ready.

        Returns the version of the configuration.
        """
        version = entry.follower.document["version"]
        body = {"parent": version, "objects": objects or OBJECTS}
        result = self.call(entry.identity.http_address, "PUT", "/v1/config", body)
        assert result.status == 200, result
        self.until(lambda: all(e.is_ready() for e in self.entries))
        return result.json()["version"]

    def close(self):
        """Close all sockets."""
        for server in self.servers + [e.common.server for e in self.entries]:
            server.server.close()
        for entry in self.entries:
            entry.common.peers.close()


@pytest.fixture(name="cluster")
def entry_cluster():
    """Return a cluster that has no executors and entries yet."""
    new_cluster = Cluster()
    yield new_cluster
    new_cluster.close()


@pytest.fixture(name="ready")
def ready_entry(cluster):
    """Return (cluster, entry, executor address, ask) of a configured entry.

    ``ask(method, path, value, headers)`` sends a request to the entry and returns its
    HttpResult.
    """
    upstream = cluster.add_executor()
    entry = cluster.add_entry()
    cluster.configure(entry)

    def ask(method, path, value=None, headers=()):
        address = entry.identity.http_address
        return cluster.call(address, method, path, value, headers)

    path = "/v1/services/quotes/note"
    cluster.until(lambda: ask("POST", path, b"", SHORT_TIMEOUT).status == 200)

    return cluster, entry, upstream, ask
