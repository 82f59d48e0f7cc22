"""Tests the start and the graceful shutdown of the entry program."""

import json
import signal
import socket
import subprocess
import sys

import pytest
from fixtures_entry import LIMIT_S, OBJECTS, Cluster
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not


@pytest.fixture
def site(tmp_path):
    """Return a Cluster in this process; ``start_process`` starts an entry process."""
    made = Cluster()
    made.processes = []

    def start(**changes):
        number = len(made.processes)
        ready = tmp_path / f"ready-{number}"
        cfg = {
            "id": f"p{number}",
            "failure_domain": "l1",
            "region": "laurentides",
            "platform_address": made.platform,
            "ready_file": str(ready),
            "log_file": str(tmp_path / f"log-{number}"),
            **changes,
        }
        path = tmp_path / f"settings-{number}.json"
        path.write_text(json.dumps(cfg))
        command = [sys.executable, "-m", "cornelward.entry", str(path)]
        process = subprocess.Popen(command, stderr=subprocess.PIPE)
        made.processes.append(process)
        return process, ready

    made.start_process = start
    yield made
    for process in made.processes:
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stderr.close()
    made.close()


def start_ready(site):
    """Start an executor and an entry process that serves requests.

    Return (process, entry address, executor address).
    """
    upstream = site.add_executor()
    process, ready = site.start_process()
    site.until(lambda: ready.exists() and ready.read_text())
    address = ready.read_text()
    body = {"parent": 0, "objects": OBJECTS}
    assert_that(site.call(address, "PUT", "/v1/config", body).status, Equals(200))
    site.until(lambda: site.call(address, "GET", "/readyz").status == 200)
    result = site.call(address, "POST", "/v1/services/quotes/note", b"1")
    assert_that(result.status, Equals(200))
    return process, address, upstream


@pytest.mark.proof
def test_sigterm_cuts_off_nothing_in_flight_or_queued(site):
    """Guards guarantee 7 when SIGTERM arrives while 8 requests run and 16 wait.

    One more request, a keyed one, is being recorded at that time.
    """
    process, address, upstream = start_ready(site)
    body = {"run_ms": 400}
    path = "/v1/services/quotes/note"
    calls = [site.start_call(address, "POST", path, body) for _ in range(24)]
    key = (("Idempotency-Key", "k1"),)
    calls.append(
        site.start_call(address, "POST", "/v1/services/quotes/book", body, key)
    )

    def record():
        return site.call(upstream, "GET", "/record").json()

    row = "/table/requests/quotes/k1"
    site.until(lambda: site.call(site.platform, "GET", row).status == 200)
    site.until(lambda: len(record()["ran"]) >= 9)
    process.send_signal(signal.SIGTERM)
    site.until(lambda: site.call(address, "GET", "/readyz").status != 200)
    late = site.call(address, "POST", path, body)
    if late.status is not None:
        assert_that(late.json()["error"]["verdict"], Equals("NOT_RUN"))
    site.until(lambda: all(calls))
    assert_that([call[0].status for call in calls], Equals([200] * 25))
    site.until(lambda: process.poll() is not None)
    assert_that(process.returncode, Equals(0))
    assert_that(record()["ran"], HasLength(26))
    assert record()["max_in_flight"] <= 8
    rows = site.call(site.platform, "GET", "/table/views/l1").json()["value"]
    assert_that(rows["members"], Equals({}))
    stored = site.call(site.platform, "GET", row).json()
    assert_that(stored["value"]["state"], Equals("done"))


def test_idle_process_stops_on_sigint(site):
    process, _, _ = start_ready(site)
    process.send_signal(signal.SIGINT)
    site.until(lambda: process.poll() is not None)
    assert_that(process.returncode, Equals(0))


def test_process_stops_while_the_platform_is_down(site):
    process, _, _ = start_ready(site)
    site.switch(site.platform, down=True)
    process.send_signal(signal.SIGTERM)
    site.until(lambda: process.poll() is not None)
    assert_that(process.returncode, Equals(0))


def fail_to_start(site, **changes):
    """Start a process that is expected to fail; return (exit code, standard error)."""
    process, _ = site.start_process(**changes)
    _, text = process.communicate(timeout=LIMIT_S)
    return process.returncode, text.decode()


@pytest.mark.parametrize("key", ["http_address", "peer_address"])
def test_address_in_use_gives_one_line_and_exit_code_3(site, key):
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = f"127.0.0.1:{other.getsockname()[1]}"
        code, text = fail_to_start(site, **{key: address})
    assert_that(code, Equals(3))
    assert_that(text.splitlines(), HasLength(1))
    assert_that(text, Contains(address))
    assert_that(text, Not(Contains("Traceback")))


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"http_address": "nowhere"}, "http_address"),
        ({"tick_s": 0}, "tick_s"),
        ({"colour": 1}, "colour"),
        ({"platform_address": ""}, "platform_address"),
    ],
)
def test_bad_settings_give_one_line_and_exit_code_2(site, changes, named):
    code, text = fail_to_start(site, **changes)
    assert_that(code, Equals(2))
    assert_that(text.splitlines(), HasLength(1))
    assert_that(text, Contains(named))
    assert_that(text, Not(Contains("Traceback")))


def test_missing_settings_file_gives_exit_code_2(tmp_path):
    command = [sys.executable, "-m", "cornelward.entry", str(tmp_path / "none.json")]
    done = subprocess.run(command, capture_output=True, timeout=LIMIT_S)
    assert_that(done.returncode, Equals(2))
    assert_that(done.stderr.splitlines(), HasLength(1))
    assert_that(done.stderr, Contains(b"none.json"))
