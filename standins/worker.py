"""Stand-in for a worker: runs tasks as timers in its own loop.

Used only by tests and tools. ``run`` of a task is ``{"ms", "fail", "service",
"used_cpu", "used_memory_mb"}``; all keys are optional. ``GET /record`` returns what
ran, with times of the machine's monotonic clock, and the peak allocated capacity.
Starts and ends are also appended to ``record_file`` as JSON lines, so that the record
of a killed worker is not lost. ``POST /switch`` injects faults: ``fail_all`` fails
every task, ``report_lag_s`` delays the reported usage, ``dead`` answers nothing but
``/record`` and ``/switch``, ``leaving`` announces that the instance is leaving.
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
    # Number of workers in this process, each with its own port, for benchmarks.
    "count": 1,
    "rack_size": 8,
}
REGISTER_TIMEOUT_S = 2.0


def _make_timer(loop, worker):
    """Return ``arm()``, which sets (or resets) a timer for the worker's next event."""
    timer = None

    def fire():
        nonlocal timer
        timer = None
        finish_due_tasks(worker, time.monotonic())
        arm()

    def arm():
        nonlocal timer
        if timer is not None:
            loop.cancel(timer)
            timer = None
        at = next_event_s(worker)
        if at is not None:
            timer = loop.call_later(max(0.0, at - time.monotonic()), fire)

    return arm


def _switch(worker, body):
    unknown = set(body) - set(SWITCHES)
    if unknown:
        return 400, {"error": {"code": BAD_REQUEST, "message": str(sorted(unknown))}}
    worker.switches.update(body)
    return 200, {}


ROUTES = {
    "/lease": renew_lease,
    "/tasks": start_task,
    "/tasks/signal": signal_task,
}


def make_handler(loop, worker):
    """Return ``handle(call)``, which serves the worker's HTTP calls."""
    arm = _make_timer(loop, worker)

    def handle(call):
        req = call.request
        now = time.monotonic()
        # A process that was paused past its lease must end its tasks before it acts.
        expire_lease(worker, now)
        if req.path == "/record":
            call.answer_json(200, record(worker, now))
            return
        if req.path == "/switch":
            call.answer_json(*_switch(worker, msgspec.json.decode(req.body)))
            return
        if worker.switches["dead"]:
            return
        action = ROUTES.get(req.path)
        if action is None or req.method != "POST":
            call.answer(404, error_body(NOT_FOUND, req.path))
            return
        finish_due_tasks(worker, now)
        call.answer_json(*action(worker, now, msgspec.json.decode(req.body)))
        arm()

    return handle


def register(loop, client, cfg, worker, address):
    """Register the worker with the platform now and every ``register_s``."""
    instance = {
        "id": worker.id,
        "kind": "worker",
        "service": "",
        "failure_domain": cfg["failure_domain"],
        "region": cfg["region"],
        "address": address,
        "rack": worker.rack,
        **worker.capacity,
    }

    def send():
        if worker.switches["dead"]:
            return
        state = "leaving" if worker.switches["leaving"] else "live"
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


def _make_worker(cfg, index):
    worker_id = cfg["id"] if index == 0 else f"{cfg['id']}-{index}"
    rack = cfg["rack"]
    if cfg["count"] > 1:
        rack = f"{rack}-{index // cfg['rack_size']}"
    capacity = {name: cfg[name] for name in RESOURCES}
    return WorkerState(worker_id, rack, capacity, cfg["record_file"])


def serve_worker(loop, client, cfg, index):
    """Serve another worker on its own port; return its WorkerState."""
    worker = _make_worker(cfg, index)
    handle = make_handler(loop, worker)
    server = HttpServer(loop, ("127.0.0.1", 0), handle)
    if cfg["platform_address"]:
        register(loop, client, cfg, worker, server.address)
    return worker


def build(loop, cfg):
    """Return the ``(handle, on_ready)`` that ``run_program`` expects."""
    client = HttpClient(loop)
    worker = _make_worker(cfg, 0)

    def on_ready(address):
        if cfg["platform_address"]:
            register(loop, client, cfg, worker, address)
        for index in range(1, cfg["count"]):
            serve_worker(loop, client, cfg, index)

    return make_handler(loop, worker), on_ready


def main():
    """Run the program; its only argument is the settings file. Return the exit code."""
    return run_program("standin-worker", DEFAULTS, build)


if __name__ == "__main__":
    raise SystemExit(main())
