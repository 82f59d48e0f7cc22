"""Guards against requests that are split wrongly or exhaust memory."""

import itertools
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward.http_call import HttpLimits
from cornelward.http_framing import FramingError, RequestFramer

MAX_HEADER_BYTES = 4_096
MAX_BODY_BYTES = 100_000

POST = b"POST /a?q=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"PUT /b HTTP/1.1\r\nHost: x:80\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
GET = b"GET /c HTTP/1.1\r\nHost: [::1]:8080\r\n\r\n"
STREAM = POST + CHUNKED + GET
EXPECTED = [("/a", b"hello"), ("/b", b"abcde"), ("/c", b"")]


def framer():
    limits = HttpLimits(
        max_header_bytes=MAX_HEADER_BYTES, max_body_bytes=MAX_BODY_BYTES
    )
    return RequestFramer(lambda: limits)


def feed_all(pieces):
    request_framer = framer()
    for piece in pieces:
        request_framer.feed(piece)
    return [(req.path, req.body) for req in request_framer.requests]


def test_pipelined_requests_are_separate():
    assert_that(feed_all([STREAM]), Equals(EXPECTED))


def test_requests_that_arrive_byte_by_byte_are_complete():
    pieces = [STREAM[i : i + 1] for i in range(len(STREAM))]
    assert_that(feed_all(pieces), Equals(EXPECTED))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_split_points_do_not_change_the_parsed_requests(cuts):
    bounds = [0, *sorted(cuts), len(STREAM)]
    pieces = [STREAM[a:b] for a, b in itertools.pairwise(bounds)]
    assert_that(feed_all(p for p in pieces if p), Equals(EXPECTED))


@pytest.mark.parametrize(
    ("header", "status"),
    [
        (b"Content-Length: -5", 400),
        (b"Content-Length: abc", 400),
        (b"Content-Length: 1 2", 400),
        (b"Content-Length: 1\r\nContent-Length: 2", 400),
        (b"Content-Length: 3\r\nTransfer-Encoding: chunked", 400),
        (b"Transfer-Encoding: chunked\r\nContent-Length: 3", 400),
        (b"Transfer-Encoding: identity", 400),
        (b"Transfer-Encoding: chunked, identity", 400),
        (b"Content-Length: 100001", 413),
        (b"Content-Length: 99999999999999999999999", 400),
        (b"X: " + b"a" * MAX_HEADER_BYTES, 431),
        (b"Host: y", 400),
        (b"Upgrade: websocket\r\nConnection: upgrade", 400),
        (b"Bad Name: 1", 400),
        (b"X: a\x00b", 400),
    ],
)
def test_bad_header_is_refused(header, status):
    data = b"POST / HTTP/1.1\r\nHost: x\r\n" + header + b"\r\n\r\n"
    for pieces in ([data], [data[i : i + 1] for i in range(len(data))]):
        with pytest.raises(FramingError) as raised:
            feed_all(pieces)
        assert_that(raised.value.status, Equals(status))


@pytest.mark.parametrize("host", [b"a b", b"x:y", b"x:1:2", b"a/b", b"[::1", b"a@b"])
def test_bad_host_is_refused(host):
    with pytest.raises(FramingError) as raised:
        feed_all([b"GET / HTTP/1.1\r\nHost: " + host + b"\r\n\r\n"])
    assert_that(raised.value.status, Equals(400))


def test_missing_host_is_refused():
    with pytest.raises(FramingError):
        feed_all([b"GET / HTTP/1.1\r\n\r\n"])


def test_header_without_end_is_refused():
    request_framer = framer()
    with pytest.raises(FramingError) as raised:
        for _ in range(10):
            request_framer.feed(
                b"GET / HTTP/1.1\r\nHost: x\r\nX: "
                if not request_framer.receiving
                else b""
            )
            request_framer.feed(b"a" * 1_000)
    assert_that(raised.value.status, Equals(431))


def test_chunked_body_over_the_limit_is_refused():
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"4000\r\n" + b"a" * 0x4000 + b"\r\n"
    with pytest.raises(FramingError) as raised:
        feed_all([head] + [chunk] * 7)
    assert_that(raised.value.status, Equals(413))


def test_header_that_ends_in_one_piece_with_a_large_body_is_accepted():
    # Guards against a refusal of the request because bytes of its body are counted as
    # bytes of the header.
    body = b"b" * 50_000
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n"
    assert_that(feed_all([head[:30], head[30:] + body]), Equals([("/", body)]))


def test_bytes_of_a_header_in_pieces_are_counted_once():
    head = b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 3_000 + b"\r\n\r\n"
    pieces = [head[i : i + 100] for i in range(0, len(head), 100)]
    assert_that(feed_all(pieces), HasLength(1))


def test_too_many_pipelined_requests_are_refused():
    with pytest.raises(FramingError):
        feed_all([GET * 65])


CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
POST_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"


def feed_until_refused(head, piece, count):
    """Feed ``head`` and ``count`` times ``piece``; return the FramingError."""
    request_framer = framer()
    with pytest.raises(FramingError) as raised:
        request_framer.feed(head)
        for _ in range(count):
            request_framer.feed(piece)
    return raised.value


def test_small_chunks_take_no_more_memory_than_their_bytes():
    # Guards against an object for each chunk of a body.
    request_framer = framer()
    request_framer.feed(CHUNKED_HEAD)
    tracemalloc.start()
    for _ in range(500):
        request_framer.feed(b"1\r\na\r\n" * 100)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert taken < 2 * request_framer.unfinished_bytes, taken


def test_many_short_header_fields_are_refused():
    # Guards against a header whose fields take far more memory than its bytes.
    fields = b"".join(b"%x:\r\n" % i for i in range(101))
    assert_that(feed_until_refused(POST_HEAD, fields, 1).status, Equals(431))


def test_repeated_header_fields_are_counted():
    assert_that(feed_until_refused(POST_HEAD, b"a:\r\n", 101).status, Equals(431))


def test_header_with_as_many_fields_as_allowed_is_accepted():
    fields = b"".join(b"x%d: y\r\n" % i for i in range(98))
    pieces = [POST_HEAD, fields, b"\r\n", b"123456789"]
    assert_that(feed_all(pieces), Equals([("/", b"123456789")]))


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (b"", b"\r\n"),
        (CHUNKED_HEAD + b"1;x=", b"a"),
        (CHUNKED_HEAD + b"1\r\na\r\n0\r\nx: ", b"a"),
        (CHUNKED_HEAD + b"1\r\na\r\n0\r\n", b"x: y\r\n"),
    ],
    ids=["empty lines", "chunk extension", "trailer", "many trailers"],
)
@pytest.mark.parametrize("size", [1, 100])
def test_endless_bytes_outside_header_and_body_are_refused(head, piece, size):
    # Guards against bytes that no limit counts.
    count = 2 * MAX_HEADER_BYTES // size
    assert feed_until_refused(head, piece * size, count).status in (400, 431)


def test_trailer_replaces_no_header_field():
    # Guards against a key or a host that arrives after the body.
    request_framer = framer()
    request_framer.feed(CHUNKED_HEAD + b"1\r\na\r\n0\r\nHost: y\r\nKey: z\r\n\r\n")
    (req,) = request_framer.requests
    assert_that((req.headers["host"], "key" in req.headers), Equals(("x", False)))


def test_complete_request_leaves_nothing_unfinished():
    request_framer = framer()
    request_framer.feed(POST)
    assert_that(request_framer.unfinished_bytes, Equals(0))
    assert request_framer.requests[0].size >= 5


def test_limits_that_change_hold_from_the_next_request_on():
    limits = [HttpLimits(max_body_bytes=5)]
    request_framer = RequestFramer(lambda: limits[-1])
    request_framer.feed(POST[:30])
    limits.append(HttpLimits(max_body_bytes=4))
    request_framer.feed(POST[30:])
    assert_that(request_framer.requests, HasLength(1))
    with pytest.raises(FramingError):
        request_framer.feed(POST)
