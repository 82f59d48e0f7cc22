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
# Memory that a header field takes in addition to its bytes.
FIELD_BYTES = 200


class HttpRequest(NamedTuple):
    """One complete request; header names are in lower case.

    ``size`` is the memory in bytes that header and body take.
    """

    method: str
    path: str
    query: str
    headers: dict
    body: bytes
    keep_alive: bool
    size: int = 0


class FramingError(Exception):
    """A request is malformed or exceeds a limit; ``status`` is the HTTP status."""

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
        self.message = message


class RequestFramer:
    """Parses the bytes of one connection into requests.

    ``get_limits()`` returns the HttpLimits; those at its first byte hold for a request.
    ``requests`` holds the complete requests that the owner has not taken yet.
    ``receiving`` is True while a request is incomplete, ``has_header`` if its header is
    complete. ``on_continue()`` is called when the caller waits for "100 Continue"
    before it sends the body.
    """

    def __init__(self, get_limits, on_continue=None):
        self.requests = []
        self.receiving = False
        self._get_limits = get_limits
        self._limits = get_limits()
        self._on_continue = on_continue
        self._parser = httptools.HttpRequestParser(self)
        # Bytes since the parser last reported a begin, a part of a body or an end.
        self._silent_bytes = 0
        # Whether the bytes fed last complete a request, and may begin another one.
        self._has_completed = False
        self._reset()

    @property
    def unfinished_bytes(self):
        """Return the memory in bytes that the incomplete request takes."""
        header = max(self._header_bytes, self._joint_bytes + self._unparsed_bytes)
        trailer = self._silent_bytes if self.has_header else 0
        return header + self._fields * FIELD_BYTES + len(self._body) + trailer

    def drop_unfinished(self):
        """Drop the incomplete request; nothing more may be fed."""
        # The parser keeps the bytes of an incomplete field.
        self._parser = None
        self.receiving = False
        self._silent_bytes = 0
        self._reset()

    def discard(self):
        """Drop all requests; nothing more may be fed."""
        self.requests.clear()
        self.drop_unfinished()

    def feed(self, data):
        """Parse ``data``; append complete requests to ``requests``.

        Raises FramingError; the connection must then be closed.
        """
        self._silent_bytes += len(data)
        self._has_completed = False
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
        self._check_uncounted_bytes(len(data))

    def _check_uncounted_bytes(self, size):
        max_header_bytes = self._limits.max_header_bytes
        if self.receiving and not self.has_header:
            # The parser buffers an incomplete header field without a callback, so the
            # received bytes are counted here. They are counted only while the header
            # is incomplete, as bytes that come after it may belong to the body.
            if self._has_completed:
                self._joint_bytes = size
            else:
                self._unparsed_bytes += size
            if self._unparsed_bytes > max_header_bytes:
                raise FramingError(431, "the request header is too large")
        elif self._silent_bytes > max_header_bytes:
            # Empty lines before a request, extensions of a chunk, or trailers.
            raise FramingError(400, "too many bytes that belong to no header or body")

    def _reset(self):
        self._url = b""
        self._headers = {}
        self._fields = 0
        self._body = bytearray()
        self._header_bytes = 0
        self._unparsed_bytes = 0
        # Of these, part belongs to the request before: they count as memory only.
        self._joint_bytes = 0
        self.has_header = False

    def _check_header_size(self):
        if self._header_bytes > self._limits.max_header_bytes:
            raise FramingError(431, "the request header is too large")

    def on_message_begin(self):
        if len(self.requests) >= MAX_PIPELINED_REQUESTS:
            raise FramingError(400, "too many pipelined requests")
        self._reset()
        self._limits = self._get_limits()
        self._silent_bytes = 0
        self.receiving = True

    def on_url(self, url):
        self._url += url
        self._header_bytes += len(url)
        self._check_header_size()

    def on_header(self, name, value):
        self._header_bytes += len(name) + len(value) + 4
        self._check_header_size()
        self._fields += 1
        if self._fields > self._limits.max_header_fields:
            raise FramingError(431, "the request header has too many fields")
        if self.has_header:
            # A trailer must not replace a field of the header.
            return
        name = name.decode("latin-1").lower()
        if name == "host" and "host" in self._headers:
            raise FramingError(400, "more than one Host header")
        if name == "host" and not HOST_PATTERN.fullmatch(value):
            raise FramingError(400, "malformed Host header")
        self._headers[name] = value.decode("latin-1")

    def on_headers_complete(self):
        self.has_header = True
        self._silent_bytes = self._unparsed_bytes = self._joint_bytes = 0
        length = self._headers.get("content-length")
        if length is not None and int(length) > self._limits.max_body_bytes:
            raise FramingError(413, "the request body is too large")
        if self._parser.get_http_version() == "1.1" and "host" not in self._headers:
            raise FramingError(400, "no Host header")
        if self._headers.get("expect", "").lower() == "100-continue":
            self._on_continue and self._on_continue()

    def on_body(self, data):
        self._silent_bytes = 0
        if len(self._body) + len(data) > self._limits.max_body_bytes:
            raise FramingError(413, "the request body is too large")
        # One buffer, as each object of a list takes more memory than a small chunk.
        self._body += data

    def on_message_complete(self):
        try:
            url = httptools.parse_url(self._url)
        except httptools.HttpParserInvalidURLError:
            raise FramingError(400, "malformed request target") from None
        self.receiving = False
        self._has_completed = True
        self._silent_bytes = self._unparsed_bytes = 0
        self.requests.append(
            HttpRequest(
                method=self._parser.get_method().decode("ascii"),
                path=(url.path or b"/").decode("latin-1"),
                query=(url.query or b"").decode("latin-1"),
                headers=self._headers,
                body=bytes(self._body),
                keep_alive=self._parser.should_keep_alive(),
                size=self.unfinished_bytes,
            )
        )
        self._reset()
