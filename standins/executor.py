"""Stand-in for an executor: runs requests on slots and records what ran.

Used only by tests and tools. ``POST /switch`` injects faults: ``slow_ms`` is added to
each run; ``dead`` answers nothing but ``/record`` and ``/switch``; ``leaving``
announces on every answer that the executor is leaving, but still runs the requests that
arrive, so that the record shows requests that should not have been sent; ``refuse``
answers 503 with ``X-Not-Run``; ``lose_answers`` runs that many requests without
answering them.

A request body ``{"run_ms": n}`` sets the run time. Requests beyond ``slots`` wait and
count towards ``max_in_flight``, so that the record shows an overload.
"""

import time
from collections import deque

import msgspec

from cornelward.errors import BAD_REQUEST, NOT_FOUND
from cornelward.http_client import HttpClient
from cornelward.http_server import error_body

from .program import run_program

__all__ = ["DEFAULTS", "ExecutorState", "build", "main", "serve"]

DEFAULTS = {
    "service": "",
    "failure_domain": "",
    "region": "",
    "platform_address": "",
    "slots": 8,
    "connections": 64,
    "run_ms": 0,
}
SWITCHES = {
    "slow_ms": 0,
    "dead": False,
    "leaving": False,
    "refuse": False,
    "lose_answers": 0,
}
REGISTER_INTERVAL_S = 1.0
RECORD_LIMIT = 200_000


class ExecutorState:
    """State of one executor: calls that run and wait, switches, record of runs."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.switches = dict(SWITCHES)
        self.running = 0
        self.waiting = deque()
        # One [request id, operation, seconds since the executor started] per run.
        self.record = deque(maxlen=RECORD_LIMIT)
        self.max_in_flight = 0
        self.started = time.monotonic()


def _headers(state, call):
    headers = [("X-State", "leaving")] if state.switches["leaving"] else []
    request_id = call.request.headers.get("x-request-id")
    return headers + ([("X-Request-Id", request_id)] if request_id else [])


def _run_ms(state, body):
    try:
        value = msgspec.json.decode(body) if body[:1] == b"{" else {}
    except msgspec.DecodeError:
        value = {}
    run_ms = value.get("run_ms", state.cfg["run_ms"])
    return run_ms + state.switches["slow_ms"]


def _start(loop, state, call):
    request = call.request
    operation = request.path.removeprefix("/run/")
    request_id = request.headers.get("x-request-id", "")
    elapsed_s = time.monotonic() - state.started
    state.record.append([request_id, operation, elapsed_s])
    state.running += 1
    run_ms = _run_ms(state, request.body)
    if run_ms:
        loop.call_later(run_ms / 1000, lambda: _finish(loop, state, call))
    else:
        _finish(loop, state, call)


def _finish(loop, state, call):
    state.running -= 1
    if state.switches["dead"]:
        return
    if state.switches["lose_answers"] > 0:
        state.switches["lose_answers"] -= 1
    else:
        body = call.request.body
        kind = call.request.headers.get("content-type", "application/octet-stream")
        call.answer(200, body, kind, _headers(state, call))
    while state.waiting and state.running < state.cfg["slots"]:
        _start(loop, state, state.waiting.popleft())


def _accept(loop, state, call):
    in_flight = state.running + len(state.waiting)
    if state.switches["refuse"] or in_flight >= state.cfg["connections"]:
        headers = [("X-Not-Run", "1"), *_headers(state, call)]
        call.answer(
            503,
            error_body("refused", "executor refused the request; it was not run"),
            headers=headers,
        )
        return
    state.max_in_flight = max(state.max_in_flight, in_flight + 1)
    if state.running < state.cfg["slots"]:
        _start(loop, state, call)
    else:
        state.waiting.append(call)


def _control(state, call):
    """Serve ``/record`` and ``/switch``, which no switch affects.

    Return False, without an answer, for any other path.
    """
    path = call.request.path
    if path == "/record":
        record = {"ran": list(state.record), "max_in_flight": state.max_in_flight}
        call.answer_json(200, record)
    elif path == "/switch":
        changes = msgspec.json.decode(call.request.body)
        unknown = set(changes) - set(SWITCHES)
        if unknown:
            call.answer(
                400, error_body(BAD_REQUEST, f"unknown switches: {sorted(unknown)}")
            )
        else:
            state.switches.update(changes)
            call.answer_json(200, state.switches)
    else:
        return False
    return True


def serve(loop, state, call):
    """Serve one call, subject to the switches."""
    if _control(state, call) or state.switches["dead"]:
        return
    path = call.request.path
    if path == "/health":
        report = {
            "state": "leaving" if state.switches["leaving"] else "live",
            "slots": state.cfg["slots"],
            "in_flight": state.running + len(state.waiting),
        }
        call.answer_json(200, report, _headers(state, call))
    elif path.startswith("/run/") and call.request.method == "POST":
        _accept(loop, state, call)
    else:
        call.answer(404, error_body(NOT_FOUND, path))


def _registrar(loop, state, address):
    client = HttpClient(loop)
    cfg = state.cfg

    def register():
        if state.switches["dead"]:
            return
        instance = {key: cfg[key] for key in ("id", "service", "failure_domain")}
        instance |= {key: cfg[key] for key in ("region", "slots", "connections")}
        instance |= {"kind": "executor", "address": address, "rack": ""}
        instance["state"] = "leaving" if state.switches["leaving"] else "live"
        client.request_json(
            cfg["platform_address"],
            "POST",
            "/members",
            lambda result: None,
            value=instance,
            timeout_s=REGISTER_INTERVAL_S,
        )

    return register


def build(loop, cfg):
    """Return the ``(handle, on_ready)`` that ``run_program`` expects."""
    state = ExecutorState(cfg)

    def on_ready(address):
        if cfg["platform_address"]:
            register = _registrar(loop, state, address)
            register()
            loop.call_every(REGISTER_INTERVAL_S, register)

    return lambda call: serve(loop, state, call), on_ready


def main():
    """Run the program; its only argument is the settings file. Return the exit code."""
    return run_program("standin-executor", DEFAULTS, build)


if __name__ == "__main__":
    raise SystemExit(main())
