"""Client of the executors' HTTP interface: sends requests and reads their health.

The verdict of an attempt depends on two facts only: whether a byte of the request was
written to the connection, and what the executor's response says.
"""

import itertools
from typing import NamedTuple

from .errors import DEADLINE_EXCEEDED, UPSTREAM_FAILED
from .http_client import HttpResult
from .verdicts import Verdict

__all__ = ["AttemptResult", "Upstream", "connect_upstream", "parse_attempt_result"]

HEALTH_TIMEOUT_S = 1.0
# Response headers that are not passed on to the caller, because they concern a single
# connection or the executor itself, or are set anew.
OMITTED_HEADERS = frozenset(
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
    """Outcome of one attempt to run a request.

    ``error`` is None if the upstream ran the request and its complete response arrived
    (``status``, ``headers``, ``body``), otherwise a code from ``errors``. ``leaving``
    is True if the executor must get no new request until its ``/health`` reports that
    it is live.
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
    """Operations on executors; each calls ``on_done`` with its result.

    ``run(address, operation, request_id, headers, body, timeout_s, send_by, on_done)``
    gives an AttemptResult, NOT_RUN if nothing was sent before ``send_by`` (monotonic
    seconds); ``health(address, on_done)`` gives the report, a dict, or None on failure.
    """

    run: object
    health: object


def _failed_attempt_result(result):
    verdict = Verdict.MAY_HAVE_RUN if result.sent else Verdict.NOT_RUN
    code = DEADLINE_EXCEEDED if result.error == "timeout" else UPSTREAM_FAILED
    leaving = result.error in ("connect_failed", "closed")
    return AttemptResult(verdict, code, f"upstream: {result.error}", leaving)


def parse_attempt_result(result: HttpResult, request_id):
    """Return the AttemptResult for the HttpResult of request ``request_id``."""
    if result.status is None:
        return _failed_attempt_result(result)
    headers = result.headers
    response_id = headers.get("x-request-id")
    if response_id is not None and response_id != request_id:
        # A late response to an earlier request on this connection.
        text = "the response belongs to another request"
        return AttemptResult(Verdict.MAY_HAVE_RUN, UPSTREAM_FAILED, text, False)
    leaving = headers.get("x-state") == "leaving"
    if result.status == 503 and headers.get("x-not-run") == "1":
        text = "the upstream refused the request"
        return AttemptResult(Verdict.NOT_RUN, UPSTREAM_FAILED, text, leaving)
    forwarded_headers = tuple(
        item for item in headers.items() if item[0] not in OMITTED_HEADERS
    )
    kind = headers.get("content-type", "application/octet-stream")
    return AttemptResult(
        Verdict.RAN,
        None,
        "",
        leaving,
        result.status,
        forwarded_headers,
        kind,
        result.body,
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

    probe_numbers = itertools.count(1)

    def health(address, on_done):
        # The probe has an id of its own, so that its late response cannot be taken for
        # the response to a request, nor the reverse.
        probe_id = f"health-{next(probe_numbers)}"

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
