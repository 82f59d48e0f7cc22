"""HTTP client that the operators' command uses to call an entry.

It uses the blocking client of the standard library: the command makes one call at a
time and is no server, so it needs no event loop.
"""

import http.client
import ipaddress
from typing import Any, NamedTuple

import msgspec

from .errors import BAD_REQUEST, CornelwardError, RequestError
from .verdicts import Verdict

__all__ = ["UNREACHABLE", "EntryError", "OperatorClient", "make_operator_client"]

UNREACHABLE = "unreachable"
# Limits the memory that one response can take in the command.
MAX_RESPONSE_BYTES = 67_108_864


class EntryError(CornelwardError):
    """A call failed: the entry refused it, sent no valid response or was unreachable.

    The command also raises it for an object that the entry's configuration lacks.
    ``details`` is the ``error`` object of the response, or empty if there is none.
    """

    def __init__(self, code, message, verdict=None, details=None):
        super().__init__(message, code, verdict)
        self.details = details or {}


class OperatorClient(NamedTuple):
    """Calls to one entry; each returns decoded JSON or raises EntryError."""

    get_config: Any
    put_config: Any
    submit_job: Any
    get_job: Any
    cancel_job: Any
    get_status: Any
    get_state: Any


def make_operator_client(addr, timeout_s):
    """Return the OperatorClient for the entry at ``addr`` ("ip:port").

    ``timeout_s`` limits each blocking socket operation. Nothing is sent yet. Raises
    RequestError if ``addr`` is malformed.
    """
    host, port = _parse_address(addr)

    def call(method, path, value=None, headers=()):
        return _send_request(host, port, method, path, value, headers, timeout_s)

    def submit_job(job):
        return call("POST", "/v1/jobs", job, (("Idempotency-Key", job["key"]),))

    return OperatorClient(
        get_config=lambda: call("GET", "/v1/config"),
        put_config=lambda parent, objects: call(
            "PUT", "/v1/config", {"parent": parent, "objects": objects}
        ),
        submit_job=submit_job,
        get_job=lambda job_id: call("GET", f"/v1/jobs/{_job_id_segment(job_id)}"),
        cancel_job=lambda job_id: call("DELETE", f"/v1/jobs/{_job_id_segment(job_id)}"),
        get_status=lambda: call("GET", "/v1/status"),
        get_state=lambda: call("GET", "/state"),
    )


def _parse_address(addr):
    host, _, port = addr.rpartition(":")
    try:
        ipaddress.ip_address(host)
        if 1 <= int(port) <= 65_535:
            return host, int(port)
    except ValueError:
        pass
    raise RequestError(BAD_REQUEST, f"{addr!r}: expected an address (ip:port)")


def _job_id_segment(text):
    """Return ``text`` as a path segment, or raise RequestError if it is no job id.

    A valid job id has no character that needs escaping in a URL.
    """
    if text and all(c.isalnum() or c in "._-" for c in text) and text.isascii():
        return text
    raise RequestError(BAD_REQUEST, f"{text!r} is not a job id")


def _send_request(host, port, method, path, value, headers, timeout_s):
    body = None if value is None else msgspec.json.encode(value)
    headers = {"Content-Type": "application/json", **dict(headers)}
    conn = http.client.HTTPConnection(host, port, timeout=timeout_s)
    may_be_sent = False
    try:
        conn.connect()
        may_be_sent = True
        conn.request(method, path, body, headers)
        response = conn.getresponse()
        status, data = response.status, response.read(MAX_RESPONSE_BYTES)
    except (OSError, http.client.HTTPException) as exc:
        raise _unreachable_error(
            f"{host}:{port}", exc, may_be_sent and method != "GET"
        ) from exc
    finally:
        conn.close()
    return _decode_response(status, data, method)


def _unreachable_error(addr, exc, outcome_unknown):
    reason = getattr(exc, "strerror", None) or str(exc) or type(exc).__name__
    if isinstance(exc, TimeoutError):
        reason = "no response within the timeout"
    if outcome_unknown:
        reason += "; it is unknown whether the call took effect"
    verdict = Verdict.MAY_HAVE_RUN if outcome_unknown else Verdict.NOT_RUN
    return EntryError(UNREACHABLE, f"entry {addr}: {reason}", verdict)


def _decode_response(status, data, method):
    try:
        value = msgspec.json.decode(data) if data else {}
    except msgspec.DecodeError:
        value = None
    if status < 300 and value is not None:
        return value
    error = value.get("error") if isinstance(value, dict) else None
    if not isinstance(error, dict):
        verdict = None if method == "GET" else Verdict.MAY_HAVE_RUN
        raise EntryError(
            "internal", f"unexpected response with status {status}", verdict
        )
    raise EntryError(
        str(error.get("code", "internal")),
        str(error.get("message", f"status {status}")),
        error.get("verdict"),
        error,
    )
