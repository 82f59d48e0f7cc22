"""Fixture for tests of the operators' command: an HTTP entry without a cluster."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from cornelward.config import EMPTY, next_document
from cornelward.errors import ConfigConflictError, ObjectsError

__all__ = ["fake_entry"]


class FakeEntry:
    """An entry that keeps its configuration document and jobs in memory.

    ``calls`` lists (method, path, body) of the calls received. ``forced_response``, a
    (status, value), replaces every response while it is set.
    """

    def __init__(self):
        self.document = EMPTY
        self.jobs = {}
        self.calls = []
        self.lock = threading.Lock()
        self.forced_response = None
        self.address = None

    def answer(self, method, path, body):
        """Record one call and return its (status, value)."""
        self.calls.append((method, path, body))
        if self.forced_response:
            return self.forced_response
        if path == "/v1/config":
            return self.config(method, body)
        if path == "/v1/status":
            return 200, {"id": "e1", "queued": {"pickup": 3}, "view": {"epoch": 7}}
        if path == "/state":
            return 200, {"id": "e1", "router": {}}
        if path == "/v1/jobs":
            job_id = f"coast.{body['key']}"
            if job_id in self.jobs:
                return 200, {"id": job_id, "created": False}
            state = "refused" if body["workload"] == "huge" else "queued"
            tasks = [{"task": f"{job_id}.0", "state": "queued", "worker": None}]
            self.jobs[job_id] = {"id": job_id, "state": state, **body, "tasks": tasks}
            return 201, {"id": job_id, "created": True}
        job = self.jobs.get(path.removeprefix("/v1/jobs/"))
        if job is None:
            return 404, {"error": {"code": "not_found", "message": "no such job"}}
        if method == "DELETE":
            job["state"] = "cancelled"
            return 202, job
        return 200, job

    def config(self, method, body):
        if method == "GET":
            return 200, self.document
        try:
            with self.lock:
                self.document = next_document(
                    self.document["version"], body["parent"], body["objects"]
                )
        except ConfigConflictError as exc:
            return 409, {
                "error": {
                    "code": exc.code,
                    "message": exc.message,
                    "current": exc.current,
                }
            }
        except ObjectsError as exc:
            return 422, {"error": {"code": exc.code, "message": exc.message}}
        return 200, {"version": self.document["version"]}


def _make_handler(entry):
    class Handler(BaseHTTPRequestHandler):
        def reply(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = json.loads(self.rfile.read(length)) if length else None
            status, value = entry.answer(self.command, self.path, body)
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_PUT = do_POST = do_DELETE = reply

        def log_message(self, *args):
            pass

    return Handler


@pytest.fixture
def fake_entry():
    """Yield a FakeEntry that serves HTTP on loopback until the test ends."""
    entry = FakeEntry()
    server = ThreadingHTTPServer(("127.0.0.1", 0), _make_handler(entry))
    entry.address = f"127.0.0.1:{server.server_address[1]}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    yield entry
    server.shutdown()
    server.server_close()
    thread.join()
