"""Protocol of executors: runs one request, reads their health, gives verdicts.

The verdict rests on two facts only: whether a byte of the request was handed to the
connection, and what the executor itself said.
"""

import itertools
from typing import NamedTuple

from .errors import DEADLINE_EXCEEDED, UPSTREAM_FAILED
from .http_client import HttpResult
from .verdicts import Verdict

__all__ = ["AttemptResult", "Upstream", "connect_upstream", "parse_attempt_result"]

HEALTH_TIMEOUT_S = 1.0
# Headers about one connection, or about the executor itself, are not the caller's.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "content-type",
        "date",
        "keep-alive",
        "transfer-encoding",
        "trailer",
        "upgrade",
        "x-not-run",
        "x-request-id",
        "x-state",
        "x-verdict",
    }
)


class AttemptResult(NamedTuple):
    """What is known after one attempt.

    ``error`` is None when a whole answer arrived (``status``, ``headers``, ``body``);
    otherwise a code of ``errors``. ``leaving`` is True if the executor must get no new
    request until its ``/health`` says that it is live.
    """

    verdict: Verdict
    error: str | None
    message: str
    leaving: bool
    status: int | None = None
    headers: tuple = ()
    content_type: str = ""
    body: bytes = b""


class Upstream(NamedTuple):
    """Operations on executors.

    ``run(address, operation, request_id, headers, body, timeout_s, send_by, on_done)``
    gives an AttemptResult, NOT_RUN if nothing was sent before ``send_by`` (monotonic
    seconds); ``health(address, on_done)`` gives the report or None.
    """

    run: object
    health: object


def _without_answer(result):
    verdict = Verdict.MAY_HAVE_RUN if result.sent else Verdict.NOT_RUN
    code = DEADLINE_EXCEEDED if result.error == "timeout" else UPSTREAM_FAILED
    leaving = result.error in ("connect_failed", "closed")
    return AttemptResult(verdict, code, f"upstream: {result.error}", leaving)


def parse_attempt_result(result: HttpResult, request_id):
    """Return the AttemptResult of an HttpResult of a request with ``request_id``."""
    if result.status is None:
        return _without_answer(result)
    headers = result.headers
    echoed = headers.get("x-request-id")
    if echoed is not None and echoed != request_id:
        # A late answer to an earlier request on this connection.
        text = "the answer belongs to another request"
        return AttemptResult(Verdict.MAY_HAVE_RUN, UPSTREAM_FAILED, text, False)
    leaving = headers.get("x-state") == "leaving"
    if result.status == 503 and headers.get("x-not-run") == "1":
        text = "the upstream refused the request"
        return AttemptResult(Verdict.NOT_RUN, UPSTREAM_FAILED, text, leaving)
    passed = tuple(item for item in headers.items() if item[0] not in HOP_HEADERS)
    kind = headers.get("content-type", "application/octet-stream")
    return AttemptResult(
        Verdict.RAN, None, "", leaving, result.status, passed, kind, result.body
    )


def connect_upstream(client):
    """Return the Upstream operations over an HttpClient."""

    def run(address, operation, request_id, headers, body, timeout_s, send_by, on_done):
        timeout_ms = max(1, int(timeout_s * 1000))
        client.request(
            address,
            "POST",
            f"/run/{operation}",
            lambda result: on_done(parse_attempt_result(result, request_id)),
            headers=(
                ("X-Request-Id", request_id),
                ("X-Timeout-Ms", str(timeout_ms)),
                *headers,
            ),
            body=body,
            timeout_s=timeout_s,
            send_by=send_by,
        )

    numbers = itertools.count(1)

    def health(address, on_done):
        # Without an id of its own, a late answer could be taken for a request's.
        probe_id = f"health-{next(numbers)}"

        def finish(result):
            answer = parse_attempt_result(result, probe_id)
            report = result.json() if answer.status == 200 else None
            on_done(report if isinstance(report, dict) else None)

        client.request(
            address,
            "GET",
            "/health",
            finish,
            headers=(("X-Request-Id", probe_id),),
            timeout_s=HEALTH_TIMEOUT_S,
        )

    return Upstream(run, health)
