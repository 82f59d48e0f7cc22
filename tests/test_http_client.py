"""Guards against answers of the wrong request and wrong accounts of what was sent."""

import contextlib
import math
import socket

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from cornelward.http_client import HttpClient
from cornelward.loop import Loop
from cornelward.upstream_client import connect_upstream
from cornelward.verdicts import Verdict

LIMIT_S = 30
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Peer:
    """A raw upstream on the same loop; the test decides each byte of its answers."""

    def __init__(self):
        self.loop = Loop()
        self.client = HttpClient(self.loop)
        self.upstream = connect_upstream(self.client)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.accepted = []

    def run(self, request_id="r", body=b"body", timeout_s=LIMIT_S, send_by=math.inf):
        """Start a request; returns the list that its Answer is put into."""
        answers = []
        self.upstream.run(
            self.address, "op", request_id, (), body, timeout_s, send_by, answers.append
        )
        return answers

    def accept(self):
        """Return the next accepted connection."""

        def ready():
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return False
            sock.setblocking(False)
            self.accepted.append(sock)
            return True

        assert self.loop.run_until(ready, LIMIT_S)
        return self.accepted[-1]

    def receive(self, sock, end=b"body"):
        """Read a request up to its end."""
        got = []

        def whole():
            with contextlib.suppress(BlockingIOError):
                got.append(sock.recv(65_536))
            return b"".join(got).endswith(end)

        assert self.loop.run_until(whole, LIMIT_S)
        return b"".join(got)

    def until(self, answers):
        assert self.loop.run_until(lambda: answers, LIMIT_S)
        return answers[0]


@pytest.fixture
def peer():
    made = Peer()
    yield made
    made.listener.close()
    for sock in made.accepted:
        sock.close()


def test_refused_connection_is_not_run(peer):
    peer.listener.close()
    answer = peer.until(peer.run())
    assert_that((answer.verdict, answer.leaving), Equals((Verdict.NOT_RUN, True)))


@pytest.mark.parametrize("kept", [False, True])
def test_nothing_is_sent_once_the_right_to_the_slot_ended(peer, kept):
    """The process is paused between the decision and the write to the socket."""
    if kept:
        first = peer.run()
        sock = peer.accept()
        peer.receive(sock)
        sock.send(OK)
        peer.until(first)
    at = peer.loop.now()
    answers = peer.run(send_by=at)
    answer = peer.until(answers)
    assert_that((answer.verdict, answer.leaving), Equals((Verdict.NOT_RUN, False)))


def test_connection_that_opens_after_the_right_ended_carries_nothing(peer):
    clock = peer.loop.now
    answers = peer.run(send_by=clock() + LIMIT_S)
    peer.loop.now = lambda: clock() + 2 * LIMIT_S
    sock = peer.accept()
    answer = peer.until(answers)
    assert_that(answer.verdict, Is(Verdict.NOT_RUN))
    assert_that(sock.recv(100), Equals(b""))


@pytest.mark.parametrize("partial", [b"", b"HTTP/1.1 200 OK\r\nContent-Le", OK[:-1]])
def test_connection_that_closes_without_a_whole_answer_may_have_run(peer, partial):
    answers = peer.run()
    sock = peer.accept()
    peer.receive(sock)
    sock.send(partial)
    sock.close()
    answer = peer.until(answers)
    assert_that((answer.verdict, answer.leaving), Equals((Verdict.MAY_HAVE_RUN, True)))


def test_stale_kept_connection_that_closes_may_have_run(peer):
    first = peer.run()
    sock = peer.accept()
    peer.receive(sock)
    sock.send(OK)
    peer.until(first)
    second = peer.run()
    peer.receive(sock)
    sock.close()
    assert_that(peer.until(second).verdict, Is(Verdict.MAY_HAVE_RUN))


def test_timeout_may_have_run_and_a_late_answer_goes_nowhere(peer):
    first = peer.run("r1", timeout_s=0.05)
    sock = peer.accept()
    peer.receive(sock)
    assert_that(peer.until(first).verdict, Is(Verdict.MAY_HAVE_RUN))
    second = peer.run("r2")
    other = peer.accept()
    peer.receive(other)
    with contextlib.suppress(OSError):
        sock.send(OK)
    other.send(OK.replace(b"ok", b"r2"))
    assert_that(peer.until(second).body, Equals(b"r2"))
    assert_that(first, HasLength(1))


def test_answer_byte_by_byte_is_whole(peer):
    answers = peer.run()
    sock = peer.accept()
    peer.receive(sock)
    for byte in OK:
        sock.send(bytes([byte]))
        peer.loop.tick(0.01)
    assert_that(peer.until(answers).body, Equals(b"ok"))


def test_interim_answer_is_passed_over(peer):
    answers = peer.run()
    sock = peer.accept()
    peer.receive(sock)
    sock.send(b"HTTP/1.1 103 Early Hints\r\nX-State: leaving\r\n\r\n" + OK)
    answer = peer.until(answers)
    assert_that((answer.body, answer.leaving), Equals((b"ok", False)))


@pytest.mark.parametrize("extra", [OK.replace(b"ok", b"no"), b"garbage"])
def test_bytes_behind_an_answer_do_not_reach_the_next_request(peer, extra):
    first = peer.run("r1")
    sock = peer.accept()
    peer.receive(sock)
    sock.send(OK + extra)
    assert_that(peer.until(first).body, Equals(b"ok"))
    second = peer.run("r2")
    other = peer.accept()
    peer.receive(other)
    other.send(OK.replace(b"ok", b"r2"))
    assert_that(peer.until(second).body, Equals(b"r2"))


def test_second_answer_that_comes_after_the_next_request_is_not_its_answer(peer):
    named = OK.replace(b"Content", b"X-Request-Id: r1\r\nContent")
    first = peer.run("r1")
    sock = peer.accept()
    peer.receive(sock)
    sock.send(named)
    peer.until(first)
    second = peer.run("r2")
    peer.receive(sock)
    sock.send(named)
    answer = peer.until(second)
    assert_that((answer.verdict, answer.body), Equals((Verdict.MAY_HAVE_RUN, b"")))


@pytest.mark.parametrize(
    "answer",
    [
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    ],
)
def test_malformed_answer_may_have_run(peer, answer):
    answers = peer.run()
    sock = peer.accept()
    peer.receive(sock)
    sock.send(answer)
    assert_that(peer.until(answers).verdict, Is(Verdict.MAY_HAVE_RUN))
