"""Splits the bytes of a connection into HTTP/1.1 requests for circuits.web.

circuits.web 3.2.5 takes a pipelined request for the body of the previous request, never
responds to a request that arrives byte by byte, accepts invalid lengths and has no size
limits. ``RequestFramer`` therefore parses the bytes first and passes on only complete,
well-formed requests as separate items.
"""

import re
from typing import NamedTuple

import httptools

__all__ = ["FramingError", "HttpRequest", "RequestFramer"]

# A host name or IPv4 address, or an IPv6 address in brackets, and an optional port.
HOST_PATTERN = re.compile(rb"([A-Za-z0-9._~%-]*|\[[0-9A-Fa-f:.]+\])(:[0-9]{0,5})?")
# A caller that pipelines more requests than this without reading the responses gets an
# error, and its connection is closed.
MAX_PIPELINED_REQUESTS = 64


class HttpRequest(NamedTuple):
    """One complete request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict
    body: bytes
    keep_alive: bool


class FramingError(Exception):
    """A request is malformed or exceeds a limit; ``status`` is the HTTP status."""

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
        self.message = message


class RequestFramer:
    """Parses the bytes of one connection into requests.

    ``requests`` holds the complete requests that the owner has not taken yet.
    ``receiving`` is True while a request is incomplete. ``on_continue()`` is called
    when the caller waits for "100 Continue" before it sends the body.
    """

    def __init__(self, max_header_bytes, max_body_bytes, on_continue=None):
        self.requests = []
        self.receiving = False
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._on_continue = on_continue
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def feed(self, data):
        """Parse ``data``; append complete requests to ``requests``.

        Raises FramingError; the connection must then be closed.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise FramingError(400, "protocol upgrades are not supported") from exc
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, FramingError):
                raise exc.__context__ from None
            raise FramingError(400, "malformed request") from exc
        except httptools.HttpParserError as exc:
            raise FramingError(400, f"malformed request: {exc}") from exc
        if self.receiving and not self._headers_done:
            # The parser buffers an incomplete header field without a callback, so the
            # received bytes are counted here. They are counted only while the header
            # is incomplete, as bytes that come after it may belong to the body.
            self._unfinished_bytes += len(data)
            if self._unfinished_bytes > self._max_header_bytes:
                raise FramingError(431, "the request header is too large")

    def _reset(self):
        self._url = b""
        self._headers = {}
        self._body = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._unfinished_bytes = 0
        self._headers_done = False

    def _check_header_size(self):
        if self._header_bytes > self._max_header_bytes:
            raise FramingError(431, "the request header is too large")

    def on_message_begin(self):
        if len(self.requests) >= MAX_PIPELINED_REQUESTS:
            raise FramingError(400, "too many pipelined requests")
        self._reset()
        self.receiving = True

    def on_url(self, url):
        self._url += url
        self._header_bytes += len(url)
        self._check_header_size()

    def on_header(self, name, value):
        self._header_bytes += len(name) + len(value) + 4
        self._check_header_size()
        name = name.decode("latin-1").lower()
        if name == "host" and "host" in self._headers:
            raise FramingError(400, "more than one Host header")
        if name == "host" and not HOST_PATTERN.fullmatch(value):
            raise FramingError(400, "malformed Host header")
        self._headers[name] = value.decode("latin-1")

    def on_headers_complete(self):
        self._headers_done = True
        length = self._headers.get("content-length")
        if length is not None and int(length) > self._max_body_bytes:
            raise FramingError(413, "the request body is too large")
        if self._parser.get_http_version() == "1.1" and "host" not in self._headers:
            raise FramingError(400, "no Host header")
        if self._headers.get("expect", "").lower() == "100-continue":
            self._on_continue and self._on_continue()

    def on_body(self, data):
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise FramingError(413, "the request body is too large")
        self._body.append(data)

    def on_message_complete(self):
        try:
            url = httptools.parse_url(self._url)
        except httptools.HttpParserInvalidURLError:
            raise FramingError(400, "malformed request target") from None
        self.receiving = False
        self.requests.append(
            HttpRequest(
                method=self._parser.get_method().decode("ascii"),
                path=(url.path or b"/").decode("latin-1"),
                query=(url.query or b"").decode("latin-1"),
                headers=self._headers,
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
