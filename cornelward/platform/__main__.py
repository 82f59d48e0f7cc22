"""``python3 -m cornelward.platform``: runs a node on the operators' platform.

The settings file is named by the environment. Exits with 0 after a graceful shutdown,
with 2 when the settings are bad and with 3 when the process could not start.
"""

import os
import sys

from ..errors import CornelwardError, SettingsError
from ..log import setup_logging
from .compose import build_node
from .settings import load_node_settings

SETTINGS_VARIABLE = "CORNELWARD_CONFIG"
EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 3


def main():
    """Run a node until a signal; returns the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "/etc/cornelward/settings.toml")
    try:
        settings = load_node_settings(path)
        setup_logging("info", "stdout", node=settings.node)
        node = build_node(settings, load_settings=lambda: load_node_settings(path))
    except SettingsError as exc:
        print(f"cornelward-node: {exc.message}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except (CornelwardError, OSError) as exc:
        print(f"cornelward-node: {exc}", file=sys.stderr)
        return EXIT_START_FAILED
    node.loop.run()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
