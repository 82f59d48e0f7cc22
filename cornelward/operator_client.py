"""Calls of the operators' command to an entry, over the standard library's HTTP.

The command makes one call at a time and is no server, so it needs no event loop.
"""

import http.client
import ipaddress
from typing import Any, NamedTuple

import msgspec

from .errors import BAD_REQUEST, CornelwardError, RequestError
from .verdicts import Verdict

__all__ = ["UNREACHABLE", "EntryError", "OperatorClient", "make_operator_client"]

UNREACHABLE = "unreachable"
# Bounds what an answer can make the command hold.
MAX_ANSWER_BYTES = 67_108_864


class EntryError(CornelwardError):
    """An entry refused a call; ``details`` is the ``error`` object of its answer."""

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
    """Return the OperatorClient for the entry at ``addr`` ("ip:port")."""
    host, port = _parse_address(addr)

    def call(method, path, value=None, headers=()):
        return _call(host, port, method, path, value, headers, timeout_s)

    def submit_job(job):
        return call("POST", "/v1/jobs", job, (("Idempotency-Key", job["key"]),))

    return OperatorClient(
        get_config=lambda: call("GET", "/v1/config"),
        put_config=lambda parent, objects: call(
            "PUT", "/v1/config", {"parent": parent, "objects": objects}
        ),
        submit_job=submit_job,
        get_job=lambda job_id: call("GET", f"/v1/jobs/{_segment(job_id)}"),
        cancel_job=lambda job_id: call("DELETE", f"/v1/jobs/{_segment(job_id)}"),
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


def _segment(text):
    """Return a path segment; an id never needs escaping."""
    if text and all(c.isalnum() or c in "._-" for c in text) and text.isascii():
        return text
    raise RequestError(BAD_REQUEST, f"{text!r} is not a job id")


def _call(host, port, method, path, value, headers, timeout_s):
    body = None if value is None else msgspec.json.encode(value)
    headers = {"Content-Type": "application/json", **dict(headers)}
    conn = http.client.HTTPConnection(host, port, timeout=timeout_s)
    sent = False
    try:
        conn.connect()
        sent = True
        conn.request(method, path, body, headers)
        answer = conn.getresponse()
        status, data = answer.status, answer.read(MAX_ANSWER_BYTES)
    except (OSError, http.client.HTTPException) as exc:
        raise _unreachable(f"{host}:{port}", exc, sent and method != "GET") from exc
    finally:
        conn.close()
    return _decode(status, data, method)


def _unreachable(addr, exc, unknown):
    reason = getattr(exc, "strerror", None) or str(exc) or type(exc).__name__
    if isinstance(exc, TimeoutError):
        reason = "no answer in time"
    if unknown:
        reason += "; it is unknown whether the call took effect"
    verdict = Verdict.MAY_HAVE_RUN if unknown else Verdict.NOT_RUN
    return EntryError(UNREACHABLE, f"entry {addr}: {reason}", verdict)


def _decode(status, data, method):
    try:
        value = msgspec.json.decode(data) if data else {}
    except msgspec.DecodeError:
        value = None
    if status < 300 and value is not None:
        return value
    error = value.get("error") if isinstance(value, dict) else None
    if not isinstance(error, dict):
        verdict = None if method == "GET" else Verdict.MAY_HAVE_RUN
        raise EntryError("internal", f"unexpected answer, status {status}", verdict)
    raise EntryError(
        str(error.get("code", "internal")),
        str(error.get("message", f"status {status}")),
        error.get("verdict"),
        error,
    )
