"""Fixture for tests with real processes: import ``launcher`` and ask for it."""

import pytest

from tools.launch import Launcher, call_json, call_text, wait_until

__all__ = ["call_json", "call_text", "launcher", "wait_until"]


@pytest.fixture
def launcher(tmp_path):
    """Return a Launcher; every program it started has ended after the test."""
    launcher = Launcher(tmp_path / "programs")
    yield launcher
    launcher.close()
