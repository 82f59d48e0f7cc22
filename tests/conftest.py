"""Deselects the tests listed in KNOWN-RED.txt as known failures and prints them."""

from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failing_ids():
    """Return the node ids at the start of the lines ``test: <node id>``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(config, items):
    known_failures = known_failing_ids()
    deselected = [item for item in items if item.nodeid in known_failures]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known_failures]


def pytest_terminal_summary(terminalreporter):
    for node_id in sorted(known_failing_ids()):
        terminalreporter.write_line(f"known red, not run: {node_id}")
