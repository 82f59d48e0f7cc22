"""Guards the HTTP server against handling a request twice."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.http_client import HttpClient
from cornelward.http_server import HttpServer
from cornelward.loop import Loop

LIMIT_S = 30


@pytest.fixture
def served():
    """Return (handled paths, ask) of a server that echoes."""
    loop = Loop()
    handled = []

    def handle(call):
        handled.append(call.request.path)
        call.answer(200, call.request.body)

    server = HttpServer(loop, ("127.0.0.1", 0), handle)
    client = HttpClient(loop)

    def ask(path, body):
        results = []
        client.request(
            server.address, "POST", path, results.append, body=body, timeout_s=LIMIT_S
        )
        assert loop.run_until(lambda: results, LIMIT_S)
        return results[0].body

    yield handled, ask
    server.server.close()


def test_each_request_is_handled_once(served):
    handled, ask = served
    assert_that(ask("/a", b"1"), Equals(b"1"))
    assert_that(ask("/b", b"2"), Equals(b"2"))
    assert_that(handled, Equals(["/a", "/b"]))
