"""Stand-in for a worker: runs tasks as timers in its own loop.

Not part of the product. ``run`` of a task is ``{"ms", "fail", "service", "used_cpu",
"used_memory_mb"}``; all are optional. ``GET /record`` tells what ran, with times of the
machine's monotonic clock, and the greatest capacity in use. ``record_file`` receives
the same as JSON lines, so that the record of a killed worker is not lost.
``POST /switch``: ``fail_all`` fails every task, ``report_lag_s`` delays the reported
usage, ``dead`` answers nothing, ``leaving`` announces the end of the instance.
"""

import time

import msgspec

from cornelward.errors import BAD_REQUEST, NOT_FOUND
from cornelward.http_client import HttpClient
from cornelward.http_server import HttpServer, error_body

from .program import run_program
from .worker_tasks import (
    RESOURCES,
    SWITCHES,
    WorkerState,
    expire_lease,
    finish_due_tasks,
    next_event_s,
    record,
    renew_lease,
    signal_task,
    start_task,
)

__all__ = ["DEFAULTS", "build", "main", "serve_worker"]

DEFAULTS = {
    "failure_domain": "",
    "region": "",
    "rack": "r1",
    "platform_address": "",
    "cpu": 32.0,
    "memory_mb": 64_000.0,
    "accelerators": 0.0,
    "register_s": 1.0,
    "record_file": "",
    # Further workers in the same process, each with its own port, for measurements.
    "count": 1,
    "rack_size": 8,
}
REGISTER_TIMEOUT_S = 2.0


def _make_wakeup(loop, machine):
    """Return ``arm()``, which keeps one timer for the machine's next event."""
    timer = None

    def fire():
        nonlocal timer
        timer = None
        finish_due_tasks(machine, time.monotonic())
        arm()

    def arm():
        nonlocal timer
        if timer is not None:
            loop.cancel(timer)
            timer = None
        at = next_event_s(machine)
        if at is not None:
            timer = loop.call_later(max(0.0, at - time.monotonic()), fire)

    return arm


def _switch(machine, body):
    unknown = set(body) - set(SWITCHES)
    if unknown:
        return 400, {"error": {"code": BAD_REQUEST, "message": str(sorted(unknown))}}
    machine.switches.update(body)
    return 200, {}


ROUTES = {
    "/lease": renew_lease,
    "/tasks": start_task,
    "/tasks/signal": signal_task,
}


def make_handler(loop, machine):
    """Return the function that answers one call."""
    arm = _make_wakeup(loop, machine)

    def handle(call):
        req = call.request
        now = time.monotonic()
        # A process that was paused past its lease must not act before it noticed.
        expire_lease(machine, now)
        if req.path == "/record":
            call.answer_json(200, record(machine, now))
            return
        if req.path == "/switch":
            call.answer_json(*_switch(machine, msgspec.json.decode(req.body)))
            return
        if machine.switches["dead"]:
            return
        action = ROUTES.get(req.path)
        if action is None or req.method != "POST":
            call.answer(404, error_body(NOT_FOUND, req.path))
            return
        finish_due_tasks(machine, now)
        call.answer_json(*action(machine, now, msgspec.json.decode(req.body)))
        arm()

    return handle


def register(loop, client, cfg, machine, address):
    """Tell the platform of this worker now and every ``register_s``."""
    instance = {
        "id": machine.id,
        "kind": "worker",
        "service": "",
        "failure_domain": cfg["failure_domain"],
        "region": cfg["region"],
        "address": address,
        "rack": machine.rack,
        **machine.capacity,
    }

    def send():
        if machine.switches["dead"]:
            return
        state = "leaving" if machine.switches["leaving"] else "live"
        client.request_json(
            cfg["platform_address"],
            "POST",
            "/members",
            lambda result: None,
            value={**instance, "state": state},
            timeout_s=REGISTER_TIMEOUT_S,
        )

    send()
    loop.call_every(cfg["register_s"], send)


def _make_machine(cfg, index):
    worker = cfg["id"] if index == 0 else f"{cfg['id']}-{index}"
    rack = cfg["rack"]
    if cfg["count"] > 1:
        rack = f"{rack}-{index // cfg['rack_size']}"
    capacity = {name: cfg[name] for name in RESOURCES}
    return WorkerState(worker, rack, capacity, cfg["record_file"])


def serve_worker(loop, client, cfg, index):
    """Serve one more worker on a port of its own; returns its Machine."""
    machine = _make_machine(cfg, index)
    handle = make_handler(loop, machine)
    server = HttpServer(loop, ("127.0.0.1", 0), handle)
    if cfg["platform_address"]:
        register(loop, client, cfg, machine, server.address)
    return machine


def build(loop, cfg):
    """Return (handle, on_ready) of the stand-in."""
    client = HttpClient(loop)
    machine = _make_machine(cfg, 0)

    def on_ready(address):
        if cfg["platform_address"]:
            register(loop, client, cfg, machine, address)
        for index in range(1, cfg["count"]):
            serve_worker(loop, client, cfg, index)

    return make_handler(loop, machine), on_ready


def main():
    """Run the stand-in; the only argument is the settings file."""
    return run_program("standin-worker", DEFAULTS, build)


if __name__ == "__main__":
    raise SystemExit(main())
