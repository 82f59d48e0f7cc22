"""Guards against connections that take the memory or the place of others."""

from fixtures_http import ServerHarness, echo, post
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.http_call import HttpLimits
from cornelward.http_framing import RequestFramer


def test_header_after_a_body_in_the_same_read_is_counted_from_its_own_start():
    # Guards against a legal pipelined request that is refused for its predecessor.
    framer = RequestFramer(HttpLimits)
    second = b"GET /b HTTP/1.1\r\nHost: x\r\nX-Pad: " + b"a" * 500 + b"\r\n\r\n"
    data = post("/a", b"a" * 16_000) + second
    # READ_BYTES is the default of max_header_bytes.
    framer.feed(data[:16_384])
    framer.feed(data[16_384:-3])
    framer.feed(data[-3:])
    assert_that(len(framer.requests), Equals(2))


def test_pipelined_header_is_not_refused_under_a_small_limit():
    harness = ServerHarness(max_header_bytes=4_096)
    harness.handle = echo
    caller = harness.connect()
    # Both arrive in one read; the second one's header ends in the next one.
    second = post("/b", b"two")
    caller.sock.send(post("/a", b"a" * 8_000) + second[:30])
    harness.loop.run_until(lambda: caller.answers(), 5)
    caller.send(second[30:])
    harness.loop.run_until(lambda: len(caller.answers()) > 1, 5)
    assert_that([s for s, _ in caller.answers()], Equals([200, 200]))
    harness.close()
