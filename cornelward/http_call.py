"""A request received by the HTTP server, and the functions to respond to it."""

import msgspec

from .errors import STATUS_OF_CODE

__all__ = ["JSON", "Call", "HttpLimits", "error_body"]

JSON = "application/json"


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits of one HTTP server.

    A request's header must be complete within ``header_timeout_s`` of its first byte,
    the whole request within ``receive_timeout_s``.
    """

    max_header_bytes: int = 16_384
    max_header_fields: int = 100
    max_body_bytes: int = 1_048_576
    max_connections: int = 2_000
    idle_timeout_s: float = 60.0
    header_timeout_s: float = 10.0
    receive_timeout_s: float = 10.0


def error_body(code, message, verdict=None, **details):
    """Return the JSON body of an error response, without ``details`` that are None."""
    error = {"code": code, "message": message}
    if verdict is not None:
        error["verdict"] = str(verdict)
    error.update({k: v for k, v in details.items() if v is not None})
    return msgspec.json.encode({"error": error})


class Call:
    """A request that waits for its response.

    ``request`` is an HttpRequest. ``on_closed()`` is called if the connection closes
    before the response is sent; ``closed`` is then True. ``held_bytes`` is the memory
    that the handler takes for the request; ``on_held(size)`` is called if it changes,
    ``on_released()`` once the handler answers a call that is closed.
    """

    __slots__ = (
        "__weakref__",
        "_finish",
        "answered",
        "closed",
        "held_bytes",
        "on_closed",
        "on_held",
        "on_released",
        "request",
    )

    def __init__(self, request, finish):
        self.request = request
        self.answered = False
        self.closed = False
        self.on_closed = None
        self.held_bytes = 0
        self.on_held = None
        self.on_released = None
        self._finish = finish

    def hold(self, size):
        """Set the memory in bytes that the handler takes, beyond the request itself."""
        self.held_bytes = size
        if self.on_held is not None:
            self.on_held(size)

    def answer(self, status, body=b"", content_type=JSON, headers=()):
        """Send the response, unless one was sent before or the connection is closed.

        ``headers`` are (name, value) pairs.
        """
        if self.answered:
            return
        self.answered = True
        if not self.closed:
            self._finish(status, body, content_type, headers)
        elif self.on_released is not None:
            self.on_released()

    def answer_json(self, status, value, headers=()):
        """Send ``value`` as a JSON response."""
        self.answer(status, msgspec.json.encode(value), JSON, headers)

    def refuse(self, exc, status=None, headers=(), **details):
        """Send a CornelwardError as a JSON error response.

        ``status`` replaces the HTTP status of the error's code; ``details`` are added
        to the error object.
        """
        retry_after_ms = getattr(exc, "retry_after_ms", None)
        self.answer(
            status or STATUS_OF_CODE.get(exc.code, 500),
            error_body(
                exc.code,
                exc.message,
                exc.verdict,
                retry_after_ms=retry_after_ms,
                **details,
            ),
            JSON,
            (*headers, ("X-Verdict", str(exc.verdict))) if exc.verdict else headers,
        )
