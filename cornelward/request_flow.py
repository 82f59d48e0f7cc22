"""Handles a caller's request in an entry: router, upstream and response.

``REQUEST_EFFECTS`` and ``KEYED_EFFECTS`` map the effects of the router and of the
idempotency module to the functions that execute them. A keyed request is one whose
operation must not be repeated; its caller sends an idempotency key.
"""

import base64

import xxhash

from . import idempotency
from .errors import (
    BAD_REQUEST,
    CONFLICT,
    DEADLINE_EXCEEDED,
    NO_UPSTREAM,
    PLATFORM_UNAVAILABLE,
    SHUTTING_DOWN,
    STATUS_OF_CODE,
    UPSTREAM_FAILED,
    PlatformError,
    RequestError,
)
from .http_server import JSON, error_body
from .pending_request import (
    FORWARDED_HEADER,
    FORWARDED_NONCE_HEADER,
    UPSTREAM_HEADERS,
    PendingRequest,
    idempotency_row_key,
    parse_timeout,
)
from .upstream_client import AttemptResult
from .verdicts import Verdict

__all__ = ["accept", "execute_effects", "idempotency_tick"]


def accept(entry, call, service, operation, spec):
    """Accept a caller's request for an operation of a service.

    ``spec`` is the operation's OperationSpec. The response is sent through ``call``
    later. Raises RequestError if the request is refused at once.
    """
    if entry.leaving:
        text = "this instance is shutting down"
        raise RequestError(SHUTTING_DOWN, text, retry_after_ms=0)
    now = entry.loop.now()
    headers = call.request.headers
    max_ms = entry.cfg["max_timeout_ms"]
    timeout_s = parse_timeout(headers, spec.deadline_ms, max_ms)
    pending = PendingRequest(call, service, operation, spec, now, now + timeout_s)
    request_id = entry.next_request_id()
    pending.external_id = headers.get("x-request-id") or request_id
    pending.headers = tuple(
        (name, headers[name]) for name in UPSTREAM_HEADERS if name in headers
    )
    if spec.must_not_repeat and not headers.get("idempotency-key"):
        text = f"{operation} must not be repeated and needs an Idempotency-Key"
        raise RequestError(BAD_REQUEST, text)
    entry.calls[request_id] = pending
    call.on_closed = lambda: _on_caller_closed(entry, request_id)
    try:
        _start_function(spec, headers)(entry, now, request_id, pending)
    except Exception:
        # The server sends the error response. A request that stays in ``calls`` would
        # delay the shutdown.
        entry.calls.pop(request_id, None)
        raise


def _start_function(spec, headers):
    if not spec.must_not_repeat:
        return _submit
    return _start_forwarded if FORWARDED_HEADER in headers else _start_keyed


def _submit(entry, now, request_id, pending):
    forwarded = FORWARDED_HEADER in pending.call.request.headers
    req = entry.router.Request(
        request_id,
        pending.service,
        pending.operation,
        pending.deadline,
        pending.spec.idempotent,
        forwarded,
    )
    execute_effects(entry, entry.router.submit(entry.state, now, req))


def execute_effects(entry, effects):
    """Execute the router's effects in order."""
    for effect in effects or ():
        handler = REQUEST_EFFECTS.get(type(effect).__name__)
        if handler is not None:
            handler(entry, effect)
        else:
            entry.execute_other_effect(effect)


def _dispatch(entry, effect):
    now = entry.loop.now()
    pending = entry.calls.get(effect.request_id)
    if pending is None:
        outcome = entry.router.Outcome(Verdict.NOT_RUN, None, False, 0.0)
        _complete_attempt(entry, now, effect.request_id, outcome)
        return
    pending.dispatched = True
    if not pending.attempts:
        entry.instruments.observe_wait(pending.service, now - pending.arrived)

    def done(answer):
        _on_attempt_done(entry, effect.request_id, answer, now)

    entry.upstream.run(
        effect.address,
        pending.operation,
        pending.next_attempt_id(),
        pending.headers,
        pending.call.request.body,
        max(0.001, pending.deadline - now),
        effect.send_by,
        done,
    )


def _forward(entry, effect):
    now = entry.loop.now()
    pending = entry.calls.get(effect.request_id)

    def done(answer):
        _on_attempt_done(entry, effect.request_id, answer, now)

    if pending is None:
        done(AttemptResult(Verdict.NOT_RUN, NO_UPSTREAM, "the caller went away", False))
        return
    pending.dispatched = True
    entry.forward(effect.failure_domain, pending, done)


def _complete_attempt(entry, now, request_id, outcome):
    router = entry.router
    retried, effects = router.complete(entry.state, now, request_id, outcome)
    return retried, effects


def _on_attempt_done(entry, request_id, answer, started):
    now = entry.loop.now()
    outcome = entry.router.Outcome(
        answer.verdict, answer.error, answer.leaving, now - started
    )
    pending = entry.calls.get(request_id)
    if pending is not None:
        pending.dispatched = False
        pending.may_have_run |= answer.verdict is not Verdict.NOT_RUN
    retried, effects = _complete_attempt(entry, now, request_id, outcome)
    if retried:
        entry.instruments.count_retry()
    if not retried and pending is not None:
        _respond(entry, now, request_id, pending, answer)
    execute_effects(entry, effects)


def _respond(entry, now, request_id, pending, answer):
    """Respond to the caller after the last attempt."""
    if answer.status is not None:
        headers = (
            *answer.headers,
            ("X-Request-Id", pending.external_id),
            ("X-Verdict", "RAN"),
        )
        parts = (answer.status, answer.body, answer.content_type, headers)
        _complete_request(entry, now, request_id, pending, Verdict.RAN, parts)
    elif pending.may_have_run:
        code = answer.error if answer.error == DEADLINE_EXCEEDED else UPSTREAM_FAILED
        _respond_error(entry, now, request_id, pending, code, answer.message)
    else:
        code = DEADLINE_EXCEEDED if answer.error == DEADLINE_EXCEEDED else NO_UPSTREAM
        _respond_error(entry, now, request_id, pending, code, answer.message)


def _on_refuse(entry, effect):
    pending = entry.calls.get(effect.request_id)
    if pending is not None:
        _respond_error(
            entry,
            entry.loop.now(),
            effect.request_id,
            pending,
            effect.code,
            effect.message,
            effect.retry_after_ms,
        )


def _respond_error(entry, now, request_id, pending, code, message, retry_after_ms=None):
    """Respond with an error whose verdict covers all attempts."""
    # ``may_have_run`` covers earlier attempts too: one of them may have run even if the
    # last attempt was never sent.
    verdict = Verdict.MAY_HAVE_RUN if pending.may_have_run else Verdict.NOT_RUN
    parts = _error_parts(code, message, verdict, retry_after_ms)
    _complete_request(entry, now, request_id, pending, verdict, parts)


def _error_parts(code, message, verdict, retry_after_ms):
    """Return an error response as (status, body, content type, headers)."""
    body = error_body(code, message, verdict, retry_after_ms=retry_after_ms)
    return STATUS_OF_CODE[code], body, JSON, (("X-Verdict", str(verdict)),)


def _complete_request(entry, now, request_id, pending, verdict, parts):
    """Send the response; for a keyed request the idempotency module decides when."""
    if pending.key is None:
        _send_answer(entry, now, request_id, parts)
        return
    stored = _to_stored(parts)
    effects = idempotency.on_finished(
        entry.idempotency, now, pending.key, verdict, stored
    )
    _execute_keyed_effects(entry, effects)


def _to_stored(parts):
    """Return the JSON-ready form of a response that a key's row stores."""
    status, body, content_type, headers = parts
    return {
        "status": status,
        "content_type": content_type,
        "headers": [list(item) for item in headers],
        "body": base64.b64encode(body).decode("ascii"),
    }


def _send_answer(entry, now, request_id, parts):
    pending = entry.calls.pop(request_id, None)
    if pending is None:
        return
    status, body, content_type, headers = parts
    pending.call.answer(status, body, content_type, headers)
    verdict = next((v for name, v in headers if name == "X-Verdict"), "")
    elapsed_s = now - pending.arrived
    entry.metrics.observe_request(pending.service, verdict, status, elapsed_s)


def _on_caller_closed(entry, request_id):
    pending = entry.calls.get(request_id)
    # A keyed request goes on: its caller may send the key again to get the answer.
    if pending is None or pending.dispatched or pending.key is not None:
        return
    del entry.calls[request_id]
    now = entry.loop.now()
    execute_effects(entry, entry.router.cancel(entry.state, now, request_id))


def _start_forwarded(entry, now, request_id, pending):
    """Run a keyed request that another entry forwarded, if that entry holds the key.

    The nonce in the request must match the key's row. Without this check, a caller that
    marks its request as forwarded could run a request with the same key twice.
    """
    nonce = pending.call.request.headers.get(FORWARDED_NONCE_HEADER)

    def read(row):
        if request_id not in entry.calls:
            return
        now = entry.loop.now()
        if isinstance(row, PlatformError):
            text = "the idempotency key could not be read; the request was not run"
            _respond_error(entry, now, request_id, pending, PLATFORM_UNAVAILABLE, text)
        elif not idempotency.is_held(row, nonce):
            text = "the forwarding entry does not hold the idempotency key"
            _respond_error(entry, now, request_id, pending, CONFLICT, text)
        else:
            _submit(entry, now, request_id, pending)

    key = idempotency_row_key(pending.service, pending.call.request.headers)
    entry.platform.get(key, read)


def _start_keyed(entry, now, request_id, pending):
    request = pending.call.request
    pending.key = idempotency_row_key(pending.service, request.headers)
    digest = xxhash.xxh3_128_hexdigest(pending.operation.encode() + b"/" + request.body)
    nonce = entry.new_nonce()
    _execute_keyed_effects(
        entry,
        idempotency.begin(
            entry.idempotency, now, pending.key, request_id, digest, nonce
        ),
    )


def _execute_keyed_effects(entry, effects):
    for effect in effects:
        KEYED_EFFECTS[type(effect)](entry, effect)


def _write_row(entry, effect):
    def on_written(result):
        now = entry.loop.now()
        effects = idempotency.on_written(
            entry.idempotency, now, effect.key, effect.nonce, result
        )
        _execute_keyed_effects(entry, effects)

    checks, puts = [[effect.key, effect.version]], [[effect.key, effect.value]]
    entry.platform.txn(checks, puts, [], on_written)


def _read_row(entry, effect):
    def read(row):
        now = entry.loop.now()
        row = None if isinstance(row, PlatformError) else row
        effects = idempotency.on_read(
            entry.idempotency, now, effect.key, effect.nonce, row
        )
        _execute_keyed_effects(entry, effects)

    entry.platform.get(effect.key, read)


def _proceed(entry, effect):
    now = entry.loop.now()
    pending = entry.calls.get(effect.request_id)
    if pending is not None:
        pending.submitted = True
        _submit(entry, now, effect.request_id, pending)
        return
    text = "the idempotency key was not recorded before the deadline"
    stored = _to_stored(_error_parts(DEADLINE_EXCEEDED, text, Verdict.NOT_RUN, None))
    effects = idempotency.on_finished(
        entry.idempotency, now, effect.key, Verdict.NOT_RUN, stored
    )
    _execute_keyed_effects(entry, effects)


def _reply(entry, effect):
    answer = effect.answer
    headers = tuple(tuple(item) for item in answer["headers"])
    body = base64.b64decode(answer["body"])
    parts = (answer["status"], body, answer["content_type"], headers)
    _send_answer(entry, entry.loop.now(), effect.request_id, parts)


def _reject(entry, effect):
    parts = _error_parts(*effect[1:])
    _send_answer(entry, entry.loop.now(), effect.request_id, parts)


def idempotency_tick(entry, now):
    """Retry failed writes of keyed requests and refuse those past their deadline.

    Only requests that have not been submitted to the router are refused here.
    """
    if not entry.idempotency.by_key:
        return
    _execute_keyed_effects(entry, idempotency.tick(entry.idempotency, now))
    late = [
        (request_id, pending)
        for request_id, pending in entry.calls.items()
        if pending.key and not pending.submitted and pending.deadline <= now
    ]
    for request_id, pending in late:
        first = idempotency.is_first_caller(entry.idempotency, pending.key, request_id)
        verdict = Verdict.NOT_RUN if first else Verdict.MAY_HAVE_RUN
        text = "the outcome of this idempotency key was not known before the deadline"
        parts = _error_parts(DEADLINE_EXCEEDED, text, verdict, None)
        _send_answer(entry, now, request_id, parts)


REQUEST_EFFECTS = {"Dispatch": _dispatch, "Forward": _forward, "Refuse": _on_refuse}
KEYED_EFFECTS = {
    idempotency.WriteRow: _write_row,
    idempotency.ReadRow: _read_row,
    idempotency.Proceed: _proceed,
    idempotency.Reply: _reply,
    idempotency.Reject: _reject,
}
