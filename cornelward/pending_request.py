"""One accepted request of a caller, and what its headers ask for."""

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

# Marks a request that another failure domain's entry sent; it is not sent on, and the
# sender holds its key.
FORWARDED_HEADER = "x-forwarded-domain"
# Proves that the sender of a forwarded request holds its key.
FORWARDED_NONCE_HEADER = "x-forwarded-nonce"
KEY = re.compile(r"[A-Za-z0-9_.:~-]{1,200}")
# Separates a request's id from the number of an attempt after the first.
ATTEMPT_SEPARATOR = "~"
# Headers of the caller that an upstream gets.
UPSTREAM_HEADERS = ("content-type", "accept", "idempotency-key", "traceparent")


class PendingRequest:
    """One accepted request; ``may_have_run`` covers all of its attempts so far."""

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
        """Return the id that an upstream gets with the next attempt.

        Attempts differ, so that a late answer to one is not taken for another's.
        """
        self.attempts += 1
        if self.attempts == 1:
            return self.external_id
        return f"{self.external_id}{ATTEMPT_SEPARATOR}{self.attempts}"


def parse_timeout(headers, default_ms, max_ms):
    """Return the timeout in seconds that a caller asks for."""
    text = headers.get("x-timeout-ms")
    if text is None:
        return min(default_ms, max_ms) / 1000
    if not (text.isascii() and text.isdigit() and 1 <= int(text[:12]) <= max_ms):
        raise RequestError(BAD_REQUEST, f"X-Timeout-Ms: expected 1 to {max_ms}")
    return int(text) / 1000


def idempotency_row_key(service, headers):
    """Return the table key of a request's Idempotency-Key."""
    name = headers["idempotency-key"]
    if not KEY.fullmatch(name):
        text = "Idempotency-Key: expected up to 200 letters, digits and _.:~-"
        raise RequestError(BAD_REQUEST, text)
    return f"requests/{service}/{name}"
