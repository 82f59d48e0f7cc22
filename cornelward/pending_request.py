"""State of an accepted request, and parsing of its request headers."""

import re

from .errors import BAD_REQUEST, RequestError

__all__ = [
    "ATTEMPT_SEPARATOR",
    "FORWARDED_HEADER",
    "FORWARDED_NONCE_HEADER",
    "UPSTREAM_HEADERS",
    "PendingRequest",
    "idempotency_row_key",
    "parse_timeout",
]

# Header of a request that an entry of another failure domain forwarded. Such a request
# is not forwarded again, and its idempotency key is held by the sender.
FORWARDED_HEADER = "x-forwarded-domain"
# Header that proves that the sender of a forwarded request holds its idempotency key.
FORWARDED_NONCE_HEADER = "x-forwarded-nonce"
KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:~-]{1,200}")
# Separator between the id of a request and the number of an attempt after the first.
ATTEMPT_SEPARATOR = "~"
# Request headers that are passed on to the upstream.
UPSTREAM_HEADERS = ("content-type", "accept", "idempotency-key", "traceparent")


class PendingRequest:
    """One accepted request that has not been answered.

    ``may_have_run`` is set once any attempt may have run at an upstream.
    ``external_id`` is the request id that the caller sent or was given.
    """

    __slots__ = (
        "arrived",
        "attempts",
        "call",
        "deadline",
        "dispatched",
        "external_id",
        "headers",
        "key",
        "may_have_run",
        "operation",
        "service",
        "spec",
        "submitted",
    )

    def __init__(self, call, service, operation, spec, arrived, deadline):
        self.call = call
        self.service = service
        self.operation = operation
        self.spec = spec
        self.arrived = arrived
        self.deadline = deadline
        self.external_id = ""
        self.attempts = 0
        self.headers = ()
        self.key = None
        self.submitted = False
        self.dispatched = False
        self.may_have_run = False

    def next_attempt_id(self):
        """Count the next attempt and return the id that the upstream gets with it.

        Each attempt has its own id, so that a late answer to one attempt is not
        mistaken for the answer to another.
        """
        self.attempts += 1
        if self.attempts == 1:
            return self.external_id
        return f"{self.external_id}{ATTEMPT_SEPARATOR}{self.attempts}"


def parse_timeout(headers, default_ms, max_ms):
    """Return the timeout of a request in seconds, from its ``X-Timeout-Ms`` header.

    Without the header the timeout is ``default_ms``, at most ``max_ms``. Raises
    RequestError if the header is not a number from 1 to ``max_ms``.
    """
    text = headers.get("x-timeout-ms")
    if text is None:
        return min(default_ms, max_ms) / 1000
    if not (text.isascii() and text.isdigit() and 1 <= int(text[:12]) <= max_ms):
        raise RequestError(BAD_REQUEST, f"X-Timeout-Ms: expected 1 to {max_ms}")
    return int(text) / 1000


def idempotency_row_key(service, headers):
    """Return the key of the table row for a request's Idempotency-Key.

    Raises RequestError if the header has a wrong format.
    """
    name = headers["idempotency-key"]
    if not KEY_PATTERN.fullmatch(name):
        text = "Idempotency-Key: expected up to 200 letters, digits and _.:~-"
        raise RequestError(BAD_REQUEST, text)
    return f"requests/{service}/{name}"
