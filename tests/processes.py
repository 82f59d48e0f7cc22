"""Pytest fixture ``launcher`` for tests that start real processes.

A test module imports the fixture; its tests name it as a parameter.
"""

import pytest

from tools.launch import Launcher, call_json, call_text, wait_until

__all__ = ["call_json", "call_text", "launcher", "wait_until"]


@pytest.fixture
def launcher(tmp_path):
    """Provide a Launcher; the programs it started are stopped after the test."""
    launcher = Launcher(tmp_path / "programs")
    yield launcher
    launcher.close()
