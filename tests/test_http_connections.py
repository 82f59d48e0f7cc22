"""Guards against connections that take the memory or the place of others."""

import socket
import struct

from fixtures_http import ServerHarness, echo, post
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward.http_call import HttpLimits
from cornelward.http_framing import RequestFramer


def reset(caller):
    """Close a caller's connection with a reset."""
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.sock.close()


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


def test_reset_of_a_paused_connection_leaves_nothing_in_the_poller():
    # Guards against closed sockets that the poller keeps.
    harness = ServerHarness()
    poller = harness.loop.poller
    for count in range(3):
        caller = harness.connect()
        caller.send(b"".join(post(f"/{n}", b"one") for n in range(10)))
        harness.loop.run_until(lambda count=count: len(harness.calls) > count, 5)
        harness.loop.run_until(lambda: False, 0.1)
        reset(caller)
        harness.loop.run_until(lambda: False, 0.05)
        echo(harness.calls[-1])
        harness.loop.run_until(lambda: False, 0.2)
    closed = [s for s in poller._read if getattr(s, "fileno", lambda: 0)() < 0]
    assert_that(closed, HasLength(0))
    harness.close()


def test_reset_during_an_unsent_response_leaves_no_buffer():
    # Guards against closed sockets that circuits keeps in its buffers.
    harness = ServerHarness()
    harness.handle = lambda call: call.answer(200, b"a" * 8_000_000)
    for _ in range(3):
        caller = harness.connect()
        caller.send(post("/a", b"one"))
        harness.loop.run_until(lambda: harness.server.server._buffers, 5)
        harness.loop.run_until(lambda: False, 0.05)
        reset(caller)
        harness.loop.run_until(lambda: not harness.server.conns.by_sock, 5)
        harness.loop.run_until(lambda: False, 0.05)
    assert_that(list(harness.server.server._buffers), HasLength(0))
    harness.close()


def test_half_closed_caller_that_reads_nothing_does_not_keep_the_loop_busy():
    # Guards against a loop that turns without a pause until the idle timeout.
    harness = ServerHarness()
    harness.handle = lambda call: call.answer(200, b"a" * 8_000_000)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.loop.run_until(lambda: harness.server.server._buffers, 5)
    caller.sock.shutdown(socket.SHUT_WR)
    harness.loop.run_until(lambda: False, 0.3)
    reads = []
    listener = harness.server.server
    real = listener._read
    listener._read = lambda sock: (reads.append(1), real(sock))
    harness.loop.run_until(lambda: False, 0.3)
    assert len(reads) < 10, len(reads)
    harness.close()
