"""Guards the HTTP server against mixed-up, incomplete and unbounded exchanges."""

import errno
import random

import pytest
from fixtures_http import ServerHarness, echo, post, unfinished
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Not, StartsWith

from cornelward import http_listener
from cornelward.http_client import HttpClient
from cornelward.http_server import HttpLimits, HttpServer
from cornelward.loop import Loop

WAIT_LIMIT_S = 30


@pytest.fixture
def echo_server():
    """Start a server that returns the request body.

    Yields (list of handled paths, function that sends a request).
    """
    loop = Loop()
    handled = []

    def handle(call):
        handled.append(call.request.path)
        call.answer(200, call.request.body)

    server = HttpServer(loop, ("127.0.0.1", 0), handle)
    client = HttpClient(loop)

    def send_request(path, body):
        results = []
        client.request(
            server.address,
            "POST",
            path,
            results.append,
            body=body,
            timeout_s=WAIT_LIMIT_S,
        )
        assert loop.run_until(lambda: results, WAIT_LIMIT_S)
        return results[0].body

    yield handled, send_request
    server.server.close()


def test_each_request_is_handled_once(echo_server):
    handled, send_request = echo_server
    assert_that(send_request("/a", b"1"), Equals(b"1"))
    assert_that(send_request("/b", b"2"), Equals(b"2"))
    assert_that(handled, Equals(["/a", "/b"]))


@pytest.fixture
def harness():
    server_harness = ServerHarness(
        max_body_bytes=100_000,
        max_header_bytes=4_096,
        receive_timeout_s=0.3,
        idle_timeout_s=0.3,
    )
    yield server_harness
    server_harness.close()


PAIR = post("/a", b"one") + post("/b", b"two")
PAIR_ANSWERS = [(200, b"/a:one"), (200, b"/b:two")]


def test_pipelined_requests_get_two_responses_in_order(harness):
    # circuits.web alone takes the second request for the body of the first.
    caller = harness.connect()
    caller.send(PAIR)
    harness.until(lambda: len(harness.calls) == 1)
    harness.loop.run_until(lambda: False, 0.1)
    assert_that(harness.calls, HasLength(1))
    echo(harness.calls[0])
    harness.until(lambda: len(harness.calls) == 2)
    echo(harness.calls[1])
    caller.until(lambda: caller.answers() == PAIR_ANSWERS)


@pytest.mark.parametrize("size", [1, 7, 50])
def test_requests_in_small_pieces_are_answered(harness, size):
    # circuits.web alone never responds to a request that arrives byte by byte.
    harness.handle = echo
    caller = harness.connect()
    for start in range(0, len(PAIR), size):
        caller.send(PAIR[start : start + size])
        harness.loop.tick(0.01)
        harness.loop.tick(0.0)
    caller.until(lambda: caller.answers() == PAIR_ANSWERS)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n", 400),
        (post("/", b"a").replace(b"Host", b"Content-Length: 2\r\nHost"), 400),
        (post("/", b"a").replace(b"Host", b"Transfer-Encoding: chunked\r\nHost"), 400),
        (b"GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 5_000 + b"\r\n\r\n", 431),
        (post("/", b"a" * 200_000), 413),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    ],
)
def test_bad_request_is_refused_once_and_the_connection_closed(
    harness, request_bytes, status
):
    caller = harness.connect()
    caller.send(request_bytes)
    caller.until(lambda: caller.poll().closed)
    answers = caller.answers()
    assert_that([answer[0] for answer in answers], Equals([status]))
    assert_that(answers[0][1], Contains(b'"verdict":"NOT_RUN"'))
    assert_that(harness.calls, HasLength(0))


def test_complete_request_before_malformed_bytes_is_answered(harness):
    caller = harness.connect()
    caller.send(post("/a", b"one") + b"garbage\r\n\r\n")
    harness.until(lambda: harness.calls)
    echo(harness.calls[0])
    caller.until(lambda: caller.poll().closed)
    assert_that(caller.answers(), Equals(PAIR_ANSWERS[:1]))


def test_incomplete_request_is_refused_after_the_receive_timeout(harness):
    caller = harness.connect()
    caller.send(PAIR[:20])
    caller.until(lambda: caller.answers())
    assert_that(caller.answers()[0][0], Equals(408))
    caller.until(lambda: caller.poll().closed)


def test_idle_timeout_closes_no_connection_that_waits_for_its_response(harness):
    idle, waiting = harness.connect(), harness.connect()
    waiting.send(post("/a", b"one"))
    idle.until(lambda: idle.poll().closed)
    assert_that(waiting.poll().closed, Equals(False))
    echo(harness.calls[0])
    waiting.until(lambda: waiting.answers() == PAIR_ANSWERS[:1])


def test_exception_in_a_handler_is_not_shown_to_the_caller(harness):
    def fail(call):
        raise ValueError("secret detail")

    harness.handle = fail
    caller = harness.connect()
    caller.send(post("/a", b""))
    caller.until(lambda: caller.answers())
    status, body = caller.answers()[0]
    assert_that(status, Equals(500))
    assert_that(body, Contains(b"MAY_HAVE_RUN"))
    assert_that(caller.received, Not(Contains(b"secret")))
    assert_that(caller.received, Not(Contains(b"Traceback")))


@pytest.mark.parametrize("late", [False, True])
def test_invalid_response_closes_the_connection(harness, late):
    caller = harness.connect()
    if not late:
        harness.handle = lambda call: call.answer(200, b"a", headers=[("X", None)])
    caller.send(post("/a", b""))
    if late:
        harness.until(lambda: harness.calls)
        harness.calls[0].answer("not a status", b"a")
    caller.until(lambda: caller.poll().closed)


@pytest.mark.proof
def test_late_responses_never_reach_another_connection(harness):
    """Guards against a response that is sent to a new connection.

    Callers connect and disconnect in random order while responses are pending, so that
    the descriptors of closed connections are reused.
    """
    rng = random.Random(7)
    live, done, number = {}, 0, 0
    for _ in range(600):
        if len(live) < 20:
            number += 1
            caller = harness.connect()
            caller.send(post(f"/{number}", b"x" * rng.randrange(50)))
            live[number] = caller
        harness.loop.tick(0.0)
        if rng.random() < 0.3:
            # The operating system reuses the descriptor for the next caller.
            live.pop(rng.choice(list(live))).sock.close()
        if harness.calls and rng.random() < 0.7:
            echo(harness.calls.pop(rng.randrange(len(harness.calls))))
        for key, caller in list(live.items()):
            for status, body in caller.answers():
                assert_that(status, Equals(200))
                assert_that(body.decode(), StartsWith(f"/{key}:"))
                done += 1
                live.pop(key).sock.close()
    assert done > 100, done


def test_caller_that_closes_early_leaves_no_state_behind(harness):
    closed = []

    def keep(call):
        call.on_closed = lambda: closed.append(call)
        harness.calls.append(call)

    harness.handle = keep
    for _ in range(20):
        caller = harness.connect()
        caller.send(PAIR)
        harness.until(lambda: harness.calls)
        caller.sock.close()
        if len(closed) % 2:
            # The response and the end of the connection fall into one iteration.
            echo(harness.calls[-1])
        harness.until(lambda: not harness.server.conns.by_sock)
        echo(harness.calls.pop())
    harness.loop.run_until(lambda: False, 0.05)
    server = harness.server.server
    assert_that(server._buffers, HasLength(0))
    assert_that(server._closeq, HasLength(0))
    assert_that(server._clients, HasLength(0))


def test_caller_that_reads_no_responses_cannot_fill_the_send_buffer(harness):
    harness.handle = lambda call: call.answer(200, b"a" * 100_000)
    caller = harness.connect()
    sent = 0
    for _ in range(400):
        try:
            sent += caller.sock.send(post("/a", b"b" * 10_000))
        except BlockingIOError:
            break
        harness.loop.tick(0.0)
        harness.loop.tick(0.0)
    conn = next(iter(harness.server.conns.by_sock))
    assert harness.server.conns.buffered(conn) < 1_000_000
    caller.until(lambda: len(caller.answers()) >= 30)


def test_connections_above_the_limit_are_closed():
    harness = ServerHarness(max_connections=2)
    callers = [harness.connect() for _ in range(3)]
    harness.until(lambda: sum(caller.poll().closed for caller in callers) == 1)
    harness.close()


def test_draining_answers_accepted_requests_and_then_closes(harness):
    caller = harness.connect()
    caller.send(PAIR)
    harness.until(lambda: harness.calls)
    harness.server.start_draining()
    harness.server.stop_accepting()
    assert_that(harness.server.is_drained(), Equals(False))
    harness.handle = echo
    echo(harness.calls[0])
    caller.until(lambda: caller.poll().closed)
    assert_that(caller.answers(), Equals(PAIR_ANSWERS))
    assert_that(harness.server.is_drained(), Equals(True))


def test_unfinished_requests_together_stay_within_the_budget():
    # Guards against memory that grows with the number of connections.
    harness = ServerHarness(100_000)
    callers = [harness.connect() for _ in range(20)]
    for caller in callers:
        caller.send(unfinished(20_000))
        harness.loop.run_until(lambda: False, 0.01)
    assert harness.budget.used_bytes <= 100_000
    refused = [c for c in callers if c.answers()]
    assert_that(len(refused), GreaterThan(14))
    status, body = refused[0].answers()[0]
    assert_that(status, Equals(503))
    assert_that(body, Contains(b'"verdict":"NOT_RUN"'))
    assert_that(refused[0].received, Contains(b"Retry-After: 1"))
    harness.handle = echo
    ordinary = harness.connect()
    ordinary.send(post("/a", b"one"))
    ordinary.until(lambda: ordinary.answers() == PAIR_ANSWERS[:1])
    harness.close()


def test_request_is_refused_while_handled_ones_take_all_memory():
    harness = ServerHarness(100_000)
    first, second = harness.connect(), harness.connect()
    first.send(post("/a", b"a" * 60_000))
    harness.until(lambda: harness.calls)
    harness.calls[0].hold(60_000)
    second.send(post("/b", b"two"))
    second.until(lambda: second.answers())
    assert_that(second.answers()[0][0], Equals(503))
    echo(harness.calls[0])
    first.until(lambda: first.answers())
    assert_that(first.answers()[0][0], Equals(200))
    third = harness.connect()
    harness.handle = echo
    third.send(post("/b", b"two"))
    third.until(lambda: third.answers() == PAIR_ANSWERS[1:])
    harness.close()


def test_memory_of_a_handler_counts_until_the_response():
    harness = ServerHarness(100_000)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.until(lambda: harness.calls)
    before = harness.budget.used_bytes
    harness.calls[0].hold(50_000)
    assert_that(harness.budget.used_bytes, Equals(before + 50_000))
    echo(harness.calls[0])
    caller.until(lambda: caller.answers() == PAIR_ANSWERS[:1])
    assert_that(harness.budget.used_bytes, Equals(0))
    harness.close()


def test_memory_of_a_handler_counts_after_its_caller_has_left():
    # Guards against callers that submit and leave, again and again.
    harness = ServerHarness(100_000)

    def keep(call):
        call.held_bytes = 60_000
        harness.calls.append(call)

    harness.handle = keep
    for count in (1, 2):
        caller = harness.connect()
        caller.send(post("/a", b"one"))
        harness.until(lambda count=count: len(harness.calls) == count)
        caller.sock.close()
        harness.until(lambda: not harness.server.conns.by_sock)
    late = harness.connect()
    late.send(post("/a", b"one"))
    late.until(lambda: late.answers())
    assert_that(late.answers()[0][0], Equals(503))
    late.until(lambda: late.poll().closed)
    for call in harness.calls:
        echo(call)
    assert_that(harness.budget.used_bytes, Equals(0))
    harness.close()


def test_request_in_hand_is_answered_though_the_next_one_is_given_up():
    harness = ServerHarness(100_000)
    caller, other = harness.connect(), harness.connect()
    caller.send(post("/a", b"one") + unfinished(60_000))
    harness.until(lambda: harness.budget.used_bytes > 60_000)
    other.send(unfinished(50_000))
    harness.until(lambda: harness.budget.used_bytes < 60_000)
    echo(harness.calls[0])
    caller.until(lambda: caller.poll().closed)
    assert_that(caller.answers(), Equals(PAIR_ANSWERS[:1]))
    harness.close()


def test_caller_that_reads_nothing_is_cut_off():
    # Guards against a connection that is kept for ever by an unread response.
    harness = ServerHarness(idle_timeout_s=0.3)
    harness.handle = lambda call: call.answer(
        200, b"a" * 8_000_000, headers=[("Connection", "close")]
    )
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.until(lambda: harness.server.conns.by_sock)
    harness.until(lambda: not harness.server.conns.by_sock)
    assert_that(harness.budget.used_bytes, Equals(0))
    assert_that(harness.server.server._closeq, HasLength(0))
    harness.close()


def test_unread_responses_are_given_up_for_memory():
    harness = ServerHarness(1_000_000)
    harness.handle = lambda call: call.answer(200, b"a" * 8_000_000)
    reader = harness.connect()
    reader.send(post("/a", b"one"))
    harness.until(lambda: harness.server.conns.by_sock)
    harness.until(lambda: not harness.server.conns.by_sock)
    assert_that(harness.budget.used_bytes, Equals(0))
    harness.close()


def test_ordinary_caller_gets_the_place_of_an_unfinished_connection():
    # Guards against unfinished connections that shut out all others.
    harness = ServerHarness(max_connections=5)
    harness.handle = echo
    idle = harness.connect()
    idle.send(post("/a", b"one"))
    idle.until(lambda: idle.answers() == PAIR_ANSWERS[:1])
    crowd = []
    for number in range(30):
        crowd.append(harness.connect())
        if number % 2:
            crowd[-1].send(b"P")
        harness.loop.run_until(lambda: False, 0.01)
    ordinary = harness.connect()
    ordinary.send(post("/b", b"two"))
    ordinary.until(lambda: ordinary.answers() == PAIR_ANSWERS[1:])
    assert_that(idle.poll().closed, Equals(False))
    assert_that(len(harness.server.conns.by_sock), Equals(5))
    harness.close()


def test_connection_is_refused_if_all_others_have_a_request_in_hand():
    harness = ServerHarness(max_connections=1)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    harness.until(lambda: harness.calls)
    late = harness.connect()
    late.until(lambda: late.poll().closed)
    assert late.answers() == [] or late.answers()[0][0] == 503
    echo(harness.calls[0])
    caller.until(lambda: caller.answers() == PAIR_ANSWERS[:1])
    harness.close()


def test_lack_of_descriptors_loses_no_listening_socket(monkeypatch):
    # Guards against a loop that neither accepts nor waits.
    harness = ServerHarness()
    harness.handle = echo
    listener = harness.server.server
    monkeypatch.setattr(http_listener, "PAUSE_S", 0.05)
    real, failures = listener._sock, []

    class WithoutDescriptors:
        """The listening socket while the process can open no more descriptors."""

        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            if len(failures) < 3:
                failures.append(1)
                raise OSError(errno.EMFILE, "too many open files")
            return real.accept()

    sock = WithoutDescriptors()
    harness.loop.poller.discard(real)
    listener._sock = sock
    harness.loop.poller.addReader(listener, sock)
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    caller.until(lambda: caller.answers() == PAIR_ANSWERS[:1])
    harness.close()


def test_empty_lines_do_not_keep_a_connection_open(harness):
    # All of them together are fewer bytes than a header may have.
    caller = harness.connect()
    for _ in range(400):
        if caller.poll().closed:
            break
        caller.send(b"\r\n")
        harness.loop.run_until(lambda: False, 0.01)
    assert_that(caller.closed, Equals(True))
    assert_that(harness.calls, HasLength(0))


def test_header_has_a_time_of_its_own():
    # Guards against a limit of the configuration that nothing applies.
    harness = ServerHarness(header_timeout_s=0.3, receive_timeout_s=600.0)
    with_body, with_header = harness.connect(), harness.connect()
    with_body.send(unfinished(100))
    with_header.send(PAIR[:20])
    with_header.until(lambda: with_header.answers())
    assert_that(with_header.answers()[0][0], Equals(408))
    assert_that(with_body.poll().closed, Equals(False))
    with_body.send(b"a")
    harness.until(lambda: harness.calls)
    harness.close()


def test_changed_limits_hold_for_open_connections():
    harness = ServerHarness(max_connections=7)
    harness.handle = echo
    caller = harness.connect()
    caller.send(post("/a", b"one"))
    caller.until(lambda: caller.answers() == PAIR_ANSWERS[:1])
    harness.server.set_limits(HttpLimits(max_body_bytes=2))
    assert_that(harness.server.conns.limits.max_connections, Equals(7))
    caller.send(post("/a", b"one"))
    caller.until(lambda: len(caller.answers()) == 2)
    assert_that(caller.answers()[1][0], Equals(413))
    harness.close()
