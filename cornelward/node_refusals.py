"""Answers callers' requests with errors, and says when to try again."""

from .errors import PLATFORM_UNAVAILABLE, RequestError
from .node_inserts import is_isolated
from .verdicts import Verdict

__all__ = ["CLOSE_CONNECTION", "refuse", "refuse_store_unavailable"]

# Bounds of the Retry-After header. A store outage is expected to last as long again as
# it has lasted so far.
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 4
# The store may refuse this node only. Closing the connection lets the caller's next one
# reach another node.
CLOSE_CONNECTION = (("Connection", "close"),)


def refuse(
    call,
    status,
    code,
    message,
    verdict=Verdict.NOT_RUN,
    retry_s=RETRY_AFTER_MIN_S,
    headers=(),
):
    """Answer with an error, and a Retry-After header if ``retry_s`` is not zero."""
    exc = RequestError(code, message, verdict, int(retry_s * 1000) or None)
    if retry_s:
        headers = (*headers, ("Retry-After", str(retry_s)))
    call.refuse(exc, status, headers)


def refuse_store_unavailable(node, call):
    """Answer 503 because the store is not available.

    Retry-After is estimated from the length of the outage. An isolated node cannot tell
    whether the store is down, so it sends none: the caller's next connection reaches
    another node.
    """
    if is_isolated(node, node.deps.now()):
        text = "this node reaches neither the store nor other nodes"
        refuse(
            call, 503, PLATFORM_UNAVAILABLE, text, retry_s=0, headers=CLOSE_CONNECTION
        )
        return
    failing_s = node.health.failing_s(node.deps.now())
    retry_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, round(failing_s)))
    text = "the store is not available"
    refuse(
        call, 503, PLATFORM_UNAVAILABLE, text, retry_s=retry_s, headers=CLOSE_CONNECTION
    )
