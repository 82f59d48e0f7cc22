"""Guards against a proxy that alters bytes or whose faults do not take effect."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from cornelward.http_client import HttpClient
from cornelward.http_server import HttpServer
from cornelward.loop import Loop
from standins.proxy import TO_CALLER, TO_TARGET, Proxy

LIMIT_S = 30
BODY = b"x" * 200_000


class ProxiedServer:
    """A server that echoes bodies, a proxy in front of it, and a client."""

    def __init__(self):
        self.loop = Loop()
        self.served = 0
        self.server = HttpServer(self.loop, ("127.0.0.1", 0), self.echo)
        self.proxy = Proxy(self.loop, self.server.address)
        self.client = HttpClient(self.loop)

    def echo(self, call):
        self.served += 1
        call.answer(200, call.request.body, "text/plain")

    def call(self, timeout_s=LIMIT_S):
        results = []
        self.client.request(
            self.proxy.address,
            "POST",
            "/",
            results.append,
            body=BODY,
            timeout_s=timeout_s,
        )
        assert self.loop.run_until(lambda: results, LIMIT_S)
        return results[0]


@pytest.fixture
def proxied():
    return ProxiedServer()


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_bytes_pass_unchanged_and_in_order(proxied, delay_s):
    proxied.proxy.delay_s = delay_s
    for _ in range(3):
        assert_that(proxied.call().body == BODY, Is(True))


@pytest.mark.parametrize(("direction", "served"), [(TO_TARGET, 0), (TO_CALLER, 1)])
def test_silent_direction_loses_bytes_and_closes_nothing(proxied, direction, served):
    proxied.proxy.dropped_directions = frozenset({direction})
    assert_that(proxied.call(timeout_s=0.3).error, Equals("timeout"))
    assert_that(proxied.served, Equals(served))
    proxied.proxy.clear_faults()
    assert_that(proxied.call().status, Equals(200))


def test_refused_and_reset_connections_close(proxied):
    proxied.call()
    proxied.proxy.refuse_connections = True
    proxied.proxy.reset()
    assert_that(proxied.call().error, Equals("closed"))
