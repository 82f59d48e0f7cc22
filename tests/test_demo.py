"""The demo reports success only for expected outcomes and leaves no process running."""

import os
import re
import signal
import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

LIMIT_S = 120


def has_exited(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return True
    return False


@pytest.mark.proof
def test_demo_succeeds_with_every_outcome_as_expected():
    done = subprocess.run(
        [sys.executable, "-m", "tools.demo"],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    assert_that(done.returncode, Equals(0), done.stdout + done.stderr)
    assert_that(done.stdout, Contains("right after"))


@pytest.mark.parametrize("signo", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_demo_ends_every_process(signo):
    demo = subprocess.Popen(
        [sys.executable, "-u", "-m", "tools.demo", "--keep", "--port", "0"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        pids = []
        for line in demo.stdout:
            pids += [int(pid) for pid in re.findall(r"127\.0\.0\.1:\d+ +(\d+)$", line)]
            if line.startswith("logs are in"):
                break
        assert_that(len(pids), Equals(21))
        demo.send_signal(signo)
        demo.communicate(timeout=LIMIT_S)
        assert_that(demo.returncode, Equals(0))
        assert_that([pid for pid in pids if not has_exited(pid)], Equals([]))
    finally:
        if demo.poll() is None:
            demo.kill()
            demo.wait()
