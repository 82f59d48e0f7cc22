"""Guards the pages against settings, fields, metrics and commands that are not so."""

import os
import re
import signal
import socket
import subprocess
import sys
import urllib.request
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from cornelward import errors
from cornelward.cli import application
from cornelward.object_schema import KINDS, REQUEST, TASK_TYPES, UNSET, fields_of
from cornelward.settings import (
    COMMON_DEFAULTS,
    ENTRY_DEFAULTS,
    SCHEDULER_DEFAULTS,
    VALUE_RANGES,
    load_settings,
)

ROOT = Path(__file__).resolve().parent.parent
PAGES = ("quickstart", "api", "objects", "runbook")
LIMIT_S = 120
# The kept demo uses the ports from its first one to this many above it.
PORT_SPAN = 40


def page(name):
    return (ROOT / "docs" / f"{name}.md").read_text(encoding="utf-8")


def rows(text):
    """Return the cells of every table row whose first cell is code."""
    lines = [line for line in text.splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def section(text, title):
    return re.split(r"^## ", text, flags=re.M)[title]


@pytest.mark.parametrize(
    ("number", "defaults"),
    [(1, COMMON_DEFAULTS), (2, ENTRY_DEFAULTS), (3, SCHEDULER_DEFAULTS)],
)
def test_settings_page_lists_every_key_default_and_range(number, defaults):
    own = {k: v for k, v in defaults.items() if number == 1 or k not in COMMON_DEFAULTS}
    expected = {}
    for key, value in own.items():
        low_high = "{} to {}".format(*VALUE_RANGES[key]) if key in VALUE_RANGES else ""
        default = "" if value == "" else f"`{value}`"
        expected[f"`{key}`"] = (default, low_high)
    listed = {r[0]: (r[2], r[3]) for r in rows(section(page("settings"), number))}
    assert_that(listed, Equals(expected))


def test_objects_page_lists_every_field_with_its_default():
    parts = dict(
        re.findall(r"^## (\w+)\n(.*?)(?=^## |\Z)", page("objects"), re.M | re.S)
    )
    for kind in KINDS:
        listed = {
            name: row
            for row in rows(parts[kind])
            for name in re.findall(r"`(\w+)`", row[0])
        }
        fields = {}
        for type_ in (REQUEST, *TASK_TYPES):
            fields |= fields_of({"kind": kind, "type": type_})
        assert_that(set(listed) | {"type"}, Equals(set(fields) | {"type"}))
        for name, field in fields.items():
            if field.default not in (UNSET, {}) and not isinstance(field.default, bool):
                assert_that(listed[name][1].strip("`"), Equals(str(field.default)))


def test_runbook_lists_every_log_event():
    sources = [p.read_text() for p in (ROOT / "cornelward").rglob("*.py")]
    events = {
        f"{name}.{event}"
        for text in sources
        for event in re.findall(r'\blog\(\s*"\w+",\s*"(\w+)"', text)
        for name in re.findall(r'= get_logger\("(\w+)"\)', text)
    }
    listed = set(re.findall(r"`(\w+\.\w+)`", section(page("runbook"), 7)))
    assert_that(listed, Equals(events))


def test_interface_page_lists_every_code_with_its_status():
    listed = {row[0].strip("`"): row[1] for row in rows(section(page("api"), 5))}
    expected = {code: str(status) for code, status in errors.STATUS_OF_CODE.items()}
    assert_that(listed, Equals(expected))


def test_example_settings_load():
    folder = ROOT / "examples" / "settings"
    load_settings(folder / "entry.json", ENTRY_DEFAULTS)
    load_settings(folder / "scheduler.json", SCHEDULER_DEFAULTS)


def test_commands_on_the_pages_exist():
    known = {command.name for command in application().all().values()}
    for name in PAGES:
        used = set(re.findall(r"^cornelward (\w+)", page(name), re.M))
        assert_that(used - known, Equals(set()))


def free_base():
    """Return a hundred whose ports for the demo are free now.

    Each of the test processes that run side by side looks in a thousand of its own.
    """
    process = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    first = 20_000 + 1_000 * (process % 10)
    for base in range(first, first + 1_000, 100):
        try:
            for port in range(base, base + PORT_SPAN):
                with socket.socket() as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return base
    raise AssertionError("no free ports")


@pytest.fixture(scope="module")
def kept_demo():
    """A kept demo; returns its first port."""
    base = free_base()
    demo = subprocess.Popen(
        [sys.executable, "-u", "-m", "tools.demo", "--keep", "--port", str(base)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        lines = []
        for line in demo.stdout:
            lines.append(line)
            if line.startswith("logs are in"):
                break
        assert_that("".join(lines), Contains("export CORNELWARD_ENTRY"))
        yield base
    finally:
        demo.send_signal(signal.SIGINT)
        demo.communicate(timeout=LIMIT_S)


def test_runbook_lists_every_metric(kept_demo):
    served = set()
    for port in (kept_demo + 1, kept_demo + 11):
        url = f"http://127.0.0.1:{port}/metrics"
        with urllib.request.urlopen(url, timeout=LIMIT_S) as answer:
            text = answer.read().decode()
        served |= set(re.findall(r"^# HELP (cornelward_\w+)", text, re.M))
    served = {name for name in served if not name.endswith("_created")}
    listed = {row[0].strip("`") for row in rows(section(page("runbook"), 6))}
    assert_that(listed, Equals(served))


@pytest.mark.parametrize("name", PAGES)
def test_commands_run_as_written(kept_demo, name, tmp_path):
    blocks = re.findall(r"^```sh\n(.*?)^```", page(name), re.M | re.S)
    assert blocks
    # Only the ports differ, so that another kept demo does not disturb the test.
    script = "".join(blocks).replace("127.0.0.1:76", f"127.0.0.1:{kept_demo // 100}")
    for folder in ("examples", ".venv"):
        (tmp_path / folder).symlink_to(ROOT / folder)
    done = subprocess.run(
        ["bash", "-euo", "pipefail", "-c", script],
        cwd=tmp_path,
        env={
            **os.environ,
            "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
            "PYTHONPATH": str(ROOT),
            "CORNELWARD_ENTRY": f"127.0.0.1:{kept_demo + 1}",
        },
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    assert_that(done.returncode, Equals(0), done.stdout + done.stderr)
    if name == "quickstart":
        assert_that(done.stdout, Contains("exit code 4"))
        assert_that(done.stdout, Contains('"deadline_ms": 5000'))
        assert_that(done.stdout, Contains("was accepted before"))
    if name == "api":
        assert_that(done.stdout.count("HTTP/1.1 200"), Equals(2), done.stdout)
        assert_that(done.stdout, Contains('"code":"conflict"'))
