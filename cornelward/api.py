"""HTTP routes of an entry, used by callers and operators.

A route handler raises RequestError to refuse a call, or answers it now or later.
"""

from urllib.parse import unquote

import msgspec

from . import config_follow, job_requests, request_flow
from .errors import (
    BAD_REQUEST,
    NO_UPSTREAM,
    NOT_FOUND,
    SHUTTING_DOWN,
    ConfigConflictError,
    CornelwardError,
    ObjectsError,
    RequestError,
)
from .metrics import CONTENT_TYPE, render

__all__ = ["make_http_handler", "serve_common_route"]


def serve_common_route(call, process):
    """Answer the call if its path is a route that every process has.

    Returns whether it was one. ``process`` provides ``is_ready()``, ``dump()`` and
    ``metrics``.
    """
    path = call.request.path
    if path == "/healthz":
        call.answer_json(200, {"ok": True})
    elif path == "/readyz":
        ready = process.is_ready()
        call.answer_json(200 if ready else 503, {"ready": ready})
    elif path == "/metrics":
        call.answer(200, render(process.metrics), CONTENT_TYPE)
    elif path == "/state":
        call.answer_json(200, process.dump())
    else:
        return False
    return True


def make_http_handler(entry):
    """Return ``handle(call)`` for the entry's HTTP server.

    ``handle`` raises RequestError if no route matches or the route refuses the call.
    """

    def handle(call):
        # The request is passed on as a copy.
        call.hold(len(call.request.body))
        if call.closed:
            # There was no memory for the copy.
            return
        parts = call.request.path.split("/")
        if parts[1:3] == ["v1", "services"] and len(parts) == 5:
            _call_operation(entry, call, parts[3], parts[4])
        elif parts[1:2] == ["v1"] and len(parts) > 2:
            route = ROUTES.get((call.request.method, parts[2], len(parts)))
            if route is None:
                raise _no_route_error(call)
            route(entry, call, [unquote(part) for part in parts[3:]])
        elif not serve_common_route(call, entry):
            raise _no_route_error(call)

    return handle


def _no_route_error(call):
    text = f"no route {call.request.method} {call.request.path}"
    return RequestError(NOT_FOUND, text)


def _call_operation(entry, call, service, operation):
    if call.request.method != "POST":
        raise _no_route_error(call)
    if not entry.follower.document["version"]:
        text = "this entry has no configuration yet"
        raise RequestError(NO_UPSTREAM, text, retry_after_ms=1000)
    spec = entry.operations.get((service, operation))
    if spec is None:
        raise RequestError(NOT_FOUND, f"no operation {service}/{operation}")
    request_flow.accept(entry, call, service, operation, spec)


def _decode_json_body(call):
    try:
        return msgspec.json.decode(call.request.body)
    except msgspec.DecodeError as exc:
        text = f"the request body is not valid JSON: {exc}"
        raise RequestError(BAD_REQUEST, text) from exc


def _refuse_if_shutting_down(entry):
    if entry.leaving:
        raise RequestError(SHUTTING_DOWN, "this instance is shutting down")


def _make_result_handler(call, answer):
    """Return a callback for the result of an asynchronous operation.

    The callback refuses the call if the result is an error and otherwise passes the
    result to ``answer``.
    """

    def done(result):
        if isinstance(result, ObjectsError):
            call.refuse(result, problems=result.problems)
        elif isinstance(result, ConfigConflictError):
            call.refuse(result, current=result.current)
        elif isinstance(result, CornelwardError):
            call.refuse(result)
        else:
            answer(result)

    return done


def _submit_job(entry, call, _):
    _refuse_if_shutting_down(entry)
    key = call.request.headers.get("idempotency-key")
    record = job_requests.job_record(
        entry.index, _decode_json_body(call), key, entry.new_nonce()
    )

    def answer(result):
        job_id, created = result
        call.answer_json(201 if created else 200, {"id": job_id, "created": created})

    done = _make_result_handler(call, answer)
    job_requests.submit_job(entry.platform, entry.send, record, done)


def _get_job(entry, call, parts):
    done = _make_result_handler(call, lambda record: call.answer_json(200, record))
    job_requests.get_job(entry.platform, parts[0], done)


def _cancel_job(entry, call, parts):
    _refuse_if_shutting_down(entry)
    done = _make_result_handler(call, lambda record: call.answer_json(202, record))
    job_requests.cancel_job(entry.platform, entry.send, parts[0], done)


def _get_config(entry, call, _):
    call.answer_json(200, entry.follower.document)


def _put_config(entry, call, _):
    _refuse_if_shutting_down(entry)
    body = _decode_json_body(call)
    if not isinstance(body, dict) or set(body) != {"parent", "objects"}:
        raise RequestError(
            BAD_REQUEST, 'expected an object with just "parent" and "objects"'
        )

    def answer(document):
        call.answer_json(200, {"version": document["version"]})

    config_follow.publish(
        entry.follower,
        body["parent"],
        body["objects"],
        entry.new_nonce(),
        _make_result_handler(call, answer),
    )


def _get_status(entry, call, _):
    call.answer_json(200, entry.status())


ROUTES = {
    ("POST", "jobs", 3): _submit_job,
    ("GET", "jobs", 4): _get_job,
    ("DELETE", "jobs", 4): _cancel_job,
    ("GET", "config", 3): _get_config,
    ("PUT", "config", 3): _put_config,
    ("GET", "status", 3): _get_status,
}
