"""Guards against connections that take the memory or the place of others."""

import array
import contextlib
import fcntl
import socket
import struct
import termios
import time

from fixtures_http import ServerHarness, echo, post, unfinished
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward.http_call import HttpLimits
from cornelward.http_framing import RequestFramer
from cornelward.http_memory import buffered_bytes


def reset(caller):
    """Close a caller's connection with a reset."""
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.sock.close()


def drain(harness, caller, size):
    """Read until the connection is closed or ``size`` bytes and more have come."""
    end = time.monotonic() + 20
    while time.monotonic() < end and not caller.closed:
        caller.poll()
        harness.loop.tick(0.0)
        if len(caller.received) > size and caller.answers():
            break


def test_body_of_a_request_counts_after_its_caller_has_left():
    # Guards against callers that submit large bodies and leave at once.
    harness = ServerHarness(100_000)
    for count in (1, 2, 3, 4):
        caller = harness.connect()
        caller.send(post("/a", b"a" * 40_000))
        harness.loop.run_until(lambda count=count: len(harness.calls) == count, 5)
        caller.sock.close()
        harness.loop.run_until(lambda: not harness.server.conns.by_sock, 5)
    kept = sum(len(call.request.body) for call in harness.calls)
    assert harness.budget.used_bytes >= kept, (harness.budget.used_bytes, kept)
    harness.close()


def test_bytes_of_a_response_are_released_when_it_has_been_read():
    # Guards against a budget that stays used by responses that were read.
    harness = ServerHarness(10_000_000)
    harness.handle = lambda call: call.answer(200, b"a" * 8_000_000)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.loop.run_until(lambda: caller.answers(), 20)
    harness.loop.run_until(lambda: False, 2.5)
    assert_that(harness.budget.used_bytes, Equals(0))
    harness.close()


def test_idle_connection_gets_no_response_without_a_request():
    # Guards against a 503 that its caller takes for the next response.
    harness = ServerHarness(10_000_000, max_body_bytes=16_000_000)
    harness.handle = lambda call: call.answer(200, b"a" * 8_000_000)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.loop.run_until(lambda: caller.answers(), 20)
    for _ in range(2):
        harness.connect().send(unfinished(3_500_000))
    harness.loop.run_until(lambda: len(caller.answers()) > 1, 1)
    assert_that(caller.answers(), HasLength(1))
    harness.close()


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


def test_idle_timeout_during_an_unsent_response_loses_no_later_request():
    # Guards against a whole request that is read and never answered.
    harness = ServerHarness(idle_timeout_s=0.5)
    harness.handle = lambda call: call.answer(200, b"a" * 16_000_000)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.loop.run_until(lambda: harness.server.server._buffers, 5)
    conn = next(iter(harness.server.conns.by_sock.values()))
    end = time.monotonic() + 1.8
    while time.monotonic() < end and not harness.server.server._closeq:
        # The caller reads slowly.
        with contextlib.suppress(BlockingIOError):
            caller.received += caller.sock.recv(50_000)
        harness.loop.run_until(lambda: False, 0.02)
    caller.send(post("/b", b"two"))
    harness.loop.run_until(lambda: conn.framer.requests or conn.call, 3)
    was_read = bool(conn.framer.requests or conn.call)
    drain(harness, caller, 32_000_000)
    # A request that was read is answered; one that was not read may be sent again.
    assert_that(len(caller.answers()), Equals(1 + was_read))
    harness.close()


def test_unread_input_of_a_paused_connection_is_bounded_or_counted():
    # Guards against memory of the system that counts towards the machine's.
    harness = ServerHarness()
    caller = harness.connect()
    caller.send(b"".join(post(f"/{n}", b"one") for n in range(12)))
    harness.loop.run_until(lambda: harness.calls, 5)
    harness.loop.run_until(lambda: False, 0.1)
    conn = next(iter(harness.server.conns.by_sock.values()))
    assert conn.paused
    for _ in range(100):
        try:
            caller.sock.send(b"a" * 262_144)
        except BlockingIOError:
            time.sleep(0.01)
    unread = array.array("i", [0])
    fcntl.ioctl(conn.sock, termios.FIONREAD, unread)
    assert unread[0] <= harness.budget.used_bytes, (
        unread[0],
        harness.budget.used_bytes,
    )
    harness.close()


def test_close_of_idle_connections_spares_those_with_waiting_requests():
    harness = ServerHarness()
    harness.handle = lambda call: call.answer(200, b"a" * 8_000_000)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.loop.run_until(lambda: harness.server.server._buffers, 5)
    caller.send(post("/b", b"two"))
    conn = next(iter(harness.server.conns.by_sock.values()))
    harness.loop.run_until(lambda: conn.framer.requests, 5)
    assert_that(harness.server.is_drained(), Equals(False))
    harness.server.stop_accepting()
    drain(harness, caller, 16_000_000)
    assert_that(len(caller.answers()), Equals(2))
    harness.close()


def test_full_server_does_not_cut_off_a_response_that_is_being_read():
    harness = ServerHarness(max_connections=2)
    harness.handle = lambda call: call.answer(200, b"a" * 8_000_000)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.loop.run_until(lambda: harness.server.server._buffers, 5)
    harness.handle = echo
    idle = harness.connect()
    idle.send(post("/a", b"one"))
    harness.loop.run_until(lambda: idle.answers(), 5)
    harness.connect()
    harness.loop.run_until(lambda: False, 0.1)
    drain(harness, caller, 8_000_000)
    assert_that(len(caller.answers()), Equals(1))
    harness.close()


def test_callers_that_come_together_do_not_replace_each_other():
    # Guards against idle connections that shut out all but the latest caller.
    harness = ServerHarness(max_connections=8)
    harness.handle = echo
    for _ in range(8):
        idle = harness.connect()
        idle.send(post("/a", b"one"))
        harness.loop.run_until(lambda idle=idle: idle.answers(), 5)
    together = [harness.connect() for _ in range(4)]
    harness.loop.run_until(lambda: False, 0.1)
    for caller in together:
        try:
            caller.sock.send(post("/b", b"two"))
        except OSError:
            caller.closed = True
    harness.loop.run_until(lambda: all(c.answers() for c in together), 2)
    assert_that([len(c.answers()) for c in together], Equals([1, 1, 1, 1]))
    harness.close()


def test_smallest_instance_handles_64_of_the_largest_bodies_at_once():
    # Guards against a budget that counts a handled body twice.
    harness = ServerHarness(buffered_bytes(160), max_body_bytes=262_144)
    callers = [harness.connect() for _ in range(64)]
    for caller in callers:
        caller.send(post("/a", b"a" * 262_144))
    harness.loop.run_until(lambda: len(harness.calls) == 64, 10)
    assert_that(len(harness.calls), Equals(64))
    harness.close()
