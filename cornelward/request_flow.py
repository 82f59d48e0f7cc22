"""Requests in one entry: from the caller through the router to an upstream and back."""

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
    """Accept a caller's request, or raise RequestError."""
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
    call.on_closed = lambda: _caller_gone(entry, request_id)
    try:
        _begin_of(spec, headers)(entry, now, request_id, pending)
    except Exception:
        # The server answers; a request left here would hold up the shutdown.
        entry.calls.pop(request_id, None)
        raise


def _begin_of(spec, headers):
    if not spec.must_not_repeat:
        return _submit
    return _begin_forwarded if FORWARDED_HEADER in headers else _begin_keyed


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
    """Carry out the router's effects in order."""
    for effect in effects or ():
        handle = REQUEST_EFFECTS.get(type(effect).__name__)
        if handle is not None:
            handle(entry, effect)
        else:
            entry.execute_other_effect(effect)


def _dispatch(entry, effect):
    now = entry.loop.now()
    pending = entry.calls.get(effect.request_id)
    if pending is None:
        outcome = entry.router.Outcome(Verdict.NOT_RUN, None, False, 0.0)
        _complete(entry, now, effect.request_id, outcome)
        return
    pending.dispatched = True
    if not pending.attempts:
        entry.instruments.observe_wait(pending.service, now - pending.arrived)

    def done(answer):
        _attempt_done(entry, effect.request_id, answer, now)

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
        _attempt_done(entry, effect.request_id, answer, now)

    if pending is None:
        done(AttemptResult(Verdict.NOT_RUN, NO_UPSTREAM, "the caller went away", False))
        return
    pending.dispatched = True
    entry.forward(effect.failure_domain, pending, done)


def _complete(entry, now, request_id, outcome):
    router = entry.router
    retried, effects = router.complete(entry.state, now, request_id, outcome)
    return retried, effects


def _attempt_done(entry, request_id, answer, started):
    now = entry.loop.now()
    outcome = entry.router.Outcome(
        answer.verdict, answer.error, answer.leaving, now - started
    )
    pending = entry.calls.get(request_id)
    if pending is not None:
        pending.dispatched = False
        pending.may_have_run |= answer.verdict is not Verdict.NOT_RUN
    retried, effects = _complete(entry, now, request_id, outcome)
    if retried:
        entry.instruments.count_retry()
    if not retried and pending is not None:
        _settle(entry, now, request_id, pending, answer)
    execute_effects(entry, effects)


def _settle(entry, now, request_id, pending, answer):
    """Answer the caller after the last attempt."""
    if answer.status is not None:
        headers = (
            *answer.headers,
            ("X-Request-Id", pending.external_id),
            ("X-Verdict", "RAN"),
        )
        parts = (answer.status, answer.body, answer.content_type, headers)
        _finish(entry, now, request_id, pending, Verdict.RAN, parts)
    elif pending.may_have_run:
        code = answer.error if answer.error == DEADLINE_EXCEEDED else UPSTREAM_FAILED
        _refuse(entry, now, request_id, pending, code, answer.message)
    else:
        code = DEADLINE_EXCEEDED if answer.error == DEADLINE_EXCEEDED else NO_UPSTREAM
        _refuse(entry, now, request_id, pending, code, answer.message)


def _refused(entry, effect):
    pending = entry.calls.get(effect.request_id)
    if pending is not None:
        _refuse(
            entry,
            entry.loop.now(),
            effect.request_id,
            pending,
            effect.code,
            effect.message,
            effect.retry_after_ms,
        )


def _refuse(entry, now, request_id, pending, code, message, retry_after_ms=None):
    # An earlier attempt may have run even if the last one was never sent.
    verdict = Verdict.MAY_HAVE_RUN if pending.may_have_run else Verdict.NOT_RUN
    parts = _refusal(code, message, verdict, retry_after_ms)
    _finish(entry, now, request_id, pending, verdict, parts)


def _refusal(code, message, verdict, retry_after_ms):
    body = error_body(code, message, verdict, retry_after_ms=retry_after_ms)
    return STATUS_OF_CODE[code], body, JSON, (("X-Verdict", str(verdict)),)


def _finish(entry, now, request_id, pending, verdict, parts):
    if pending.key is None:
        _answer(entry, now, request_id, parts)
        return
    stored = _to_stored(parts)
    effects = idempotency.on_finished(
        entry.idempotency, now, pending.key, verdict, stored
    )
    _carry_out_keyed(entry, effects)


def _to_stored(parts):
    status, body, content_type, headers = parts
    return {
        "status": status,
        "content_type": content_type,
        "headers": [list(item) for item in headers],
        "body": base64.b64encode(body).decode("ascii"),
    }


def _answer(entry, now, request_id, parts):
    pending = entry.calls.pop(request_id, None)
    if pending is None:
        return
    status, body, content_type, headers = parts
    pending.call.answer(status, body, content_type, headers)
    verdict = next((v for name, v in headers if name == "X-Verdict"), "")
    elapsed_s = now - pending.arrived
    entry.metrics.observe_request(pending.service, verdict, status, elapsed_s)


def _caller_gone(entry, request_id):
    pending = entry.calls.get(request_id)
    # A caller of a keyed request may come back and ask for its answer.
    if pending is None or pending.dispatched or pending.key is not None:
        return
    del entry.calls[request_id]
    now = entry.loop.now()
    execute_effects(entry, entry.router.cancel(entry.state, now, request_id))


def _begin_forwarded(entry, now, request_id, pending):
    """Run a keyed request for another entry if the key's row shows it as the holder.

    Without this a caller could mark its request as forwarded and run a key twice.
    """
    nonce = pending.call.request.headers.get(FORWARDED_NONCE_HEADER)

    def read(row):
        if request_id not in entry.calls:
            return
        now = entry.loop.now()
        if isinstance(row, PlatformError):
            text = "the key could not be read; the request was not run"
            _refuse(entry, now, request_id, pending, PLATFORM_UNAVAILABLE, text)
        elif not idempotency.is_held(row, nonce):
            text = "the sender does not hold the key"
            _refuse(entry, now, request_id, pending, CONFLICT, text)
        else:
            _submit(entry, now, request_id, pending)

    key = idempotency_row_key(pending.service, pending.call.request.headers)
    entry.platform.get(key, read)


def _begin_keyed(entry, now, request_id, pending):
    request = pending.call.request
    pending.key = idempotency_row_key(pending.service, request.headers)
    digest = xxhash.xxh3_128_hexdigest(pending.operation.encode() + b"/" + request.body)
    nonce = entry.new_nonce()
    _carry_out_keyed(
        entry,
        idempotency.begin(
            entry.idempotency, now, pending.key, request_id, digest, nonce
        ),
    )


def _carry_out_keyed(entry, effects):
    for effect in effects:
        KEYED_EFFECTS[type(effect)](entry, effect)


def _write_row(entry, effect):
    def on_written(result):
        now = entry.loop.now()
        effects = idempotency.on_written(
            entry.idempotency, now, effect.key, effect.nonce, result
        )
        _carry_out_keyed(entry, effects)

    checks, puts = [[effect.key, effect.version]], [[effect.key, effect.value]]
    entry.platform.txn(checks, puts, [], on_written)


def _read_row(entry, effect):
    def read(row):
        now = entry.loop.now()
        row = None if isinstance(row, PlatformError) else row
        effects = idempotency.on_read(
            entry.idempotency, now, effect.key, effect.nonce, row
        )
        _carry_out_keyed(entry, effects)

    entry.platform.get(effect.key, read)


def _proceed(entry, effect):
    now = entry.loop.now()
    pending = entry.calls.get(effect.request_id)
    if pending is not None:
        pending.submitted = True
        _submit(entry, now, effect.request_id, pending)
        return
    text = "the key was not recorded in time"
    stored = _to_stored(_refusal(DEADLINE_EXCEEDED, text, Verdict.NOT_RUN, None))
    effects = idempotency.on_finished(
        entry.idempotency, now, effect.key, Verdict.NOT_RUN, stored
    )
    _carry_out_keyed(entry, effects)


def _reply(entry, effect):
    answer = effect.answer
    headers = tuple(tuple(item) for item in answer["headers"])
    body = base64.b64decode(answer["body"])
    parts = (answer["status"], body, answer["content_type"], headers)
    _answer(entry, entry.loop.now(), effect.request_id, parts)


def _reject(entry, effect):
    parts = _refusal(*effect[1:])
    _answer(entry, entry.loop.now(), effect.request_id, parts)


def idempotency_tick(entry, now):
    """Retry writes of keyed requests; refuse callers that waited too long for one."""
    if not entry.idempotency.by_key:
        return
    _carry_out_keyed(entry, idempotency.tick(entry.idempotency, now))
    late = [
        (request_id, pending)
        for request_id, pending in entry.calls.items()
        if pending.key and not pending.submitted and pending.deadline <= now
    ]
    for request_id, pending in late:
        first = idempotency.is_first_caller(entry.idempotency, pending.key, request_id)
        verdict = Verdict.NOT_RUN if first else Verdict.MAY_HAVE_RUN
        text = "the outcome of the key was not known in time"
        parts = _refusal(DEADLINE_EXCEEDED, text, verdict, None)
        _answer(entry, now, request_id, parts)


REQUEST_EFFECTS = {"Dispatch": _dispatch, "Forward": _forward, "Refuse": _refused}
KEYED_EFFECTS = {
    idempotency.WriteRow: _write_row,
    idempotency.ReadRow: _read_row,
    idempotency.Proceed: _proceed,
    idempotency.Reply: _reply,
    idempotency.Reject: _reject,
}
