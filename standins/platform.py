"""Stand-in for the platform: table service, object store and membership list.

Used only by tests and tools. ``POST /switch`` injects faults: ``down`` answers every
call with 503, ``slow_ms`` delays each call, ``lose_answers`` leaves that many
transactions unanswered after they were processed, ``membership_lag_s`` serves the list
of instances as it was that long ago, ``cut`` lists failure domains that get no answer.
"""

import time
from urllib.parse import parse_qs, unquote

import msgspec
import xxhash

from cornelward.errors import BAD_REQUEST, NOT_FOUND
from cornelward.http_server import error_body

from .program import run_program
from .table import Table, apply_txn, list_page, read_row

__all__ = ["build", "main"]

SWITCHES = {
    "down": False,
    "slow_ms": 0,
    "lose_answers": 0,
    "membership_lag_s": 0.0,
    "cut": [],
}
# An instance that does not register again within this time is removed from the list.
REGISTRATION_TTL_S = 5.0


class PlatformState:
    """State of the platform: table, registered instances and switches."""

    def __init__(self):
        self.table = Table()
        self.members = {}
        # Membership lists as (time, instances), oldest first.
        self.history = []
        self.switches = dict(SWITCHES)


def register_member(state, now, instance):
    """Register one instance or renew its registration."""
    state.members[instance["id"]] = (now, instance)
    record_members(state, now)


def record_members(state, now):
    """Append the current membership list to the history.

    The history is kept for ``membership_lag_s``, so that an old list can be served.
    """
    live = [
        instance
        for seen, instance in state.members.values()
        if now - seen <= REGISTRATION_TTL_S
    ]
    state.history.append((now, live))
    horizon = now - state.switches["membership_lag_s"]
    while len(state.history) > 1 and state.history[1][0] <= horizon:
        state.history.pop(0)


def list_members(state, now):
    """Return the instances as of ``membership_lag_s`` ago."""
    record_members(state, now)
    return state.history[0][1]


def _table_get(state, call):
    req = call.request
    if req.path != "/table":
        key = unquote(req.path.removeprefix("/table/"))
        value, version = read_row(state.table, key)
        call.answer_json(200 if version else 404, {"value": value, "version": version})
        return
    query = parse_qs(req.query, keep_blank_values=True)
    prefix, after = query.get("prefix", [""])[0], query.get("after", [""])[0]
    limit = int(query.get("limit", ["500"])[0])
    rows, more = list_page(state.table, prefix, after, limit)
    call.answer_json(200, {"rows": rows, "more": more})


def _txn(state, call):
    body = msgspec.json.decode(call.request.body)
    versions, conflicts = apply_txn(
        state.table, body["checks"], body["puts"], body["deletes"]
    )
    if state.switches["lose_answers"] > 0:
        # The transaction was processed, but the caller gets no answer.
        state.switches["lose_answers"] -= 1
        return
    if conflicts:
        call.answer_json(409, {"conflicts": conflicts})
    else:
        call.answer_json(200, {"versions": versions})


def _objects(state, call):
    key = call.request.path.removeprefix("/objects/")
    objects = state.table.objects
    if call.request.method == "PUT":
        objects[key] = call.request.body
        call.answer_json(200, {})
    elif key in objects:
        call.answer(200, objects[key], "application/octet-stream")
    else:
        call.answer(404, error_body(NOT_FOUND, f"no object {key}"))


def _members(state, call):
    instances = list_members(state, time.monotonic())
    body = msgspec.json.encode({"instances": instances})
    etag = f'"{xxhash.xxh64_hexdigest(body)}"'
    if call.request.headers.get("if-none-match") == etag:
        call.answer(304, headers=[("ETag", etag)])
    else:
        call.answer(200, body, headers=[("ETag", etag)])


def _serve(state, call):
    path, method = call.request.path, call.request.method
    if path == "/table" or path.startswith("/table/"):
        _table_get(state, call)
    elif path == "/txn":
        _txn(state, call)
    elif path.startswith("/objects/"):
        _objects(state, call)
    elif path == "/members" and method == "GET":
        _members(state, call)
    else:
        call.answer(404, error_body(NOT_FOUND, path))


def _control(state, call):
    """Serve registration, ``/switch`` and ``/counts``, which no switch affects.

    Return False, without an answer, for any other call.
    """
    path, method = call.request.path, call.request.method
    if path == "/members" and method == "POST":
        instance = msgspec.json.decode(call.request.body)
        register_member(state, time.monotonic(), instance)
    elif path == "/switch":
        changes = msgspec.json.decode(call.request.body)
        unknown = set(changes) - set(SWITCHES)
        if unknown:
            call.answer(
                400, error_body(BAD_REQUEST, f"unknown switches: {sorted(unknown)}")
            )
            return True
        state.switches.update(changes)
    elif path == "/counts":
        table = state.table
        call.answer_json(200, {"reads": table.reads, "writes": table.writes})
        return True
    else:
        return False
    call.answer_json(200, {})
    return True


def build(loop, cfg):
    """Return the ``(handle, on_ready)`` that ``run_program`` expects."""
    state = PlatformState()

    def handle(call):
        if _control(state, call):
            return
        switches = state.switches
        if call.request.headers.get("x-failure-domain") in switches["cut"]:
            return
        if switches["down"]:
            call.answer(503, error_body("down", "platform is switched off"))
        elif switches["slow_ms"]:
            loop.call_later(switches["slow_ms"] / 1000, lambda: _serve(state, call))
        else:
            _serve(state, call)

    return handle, lambda address: None


def main():
    """Run the program; its only argument is the settings file. Return the exit code."""
    return run_program("standin-platform", {}, build)


if __name__ == "__main__":
    raise SystemExit(main())
