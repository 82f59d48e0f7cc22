"""``python3 -m cornelward.platform``: runs a node on the operators' platform.

The environment variable ``CORNELWARD_CONFIG`` gives the path of the settings file. The
exit code is 0 after a graceful shutdown, 2 if the settings are invalid and 3 if the
process could not start.
"""

import os
import signal
import sys

# Ignore SIGHUP until the loop handles it. It would end the process during the imports
# below, which take 0.4 s.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..errors import CornelwardError, SettingsError  # noqa: E402
from ..log import setup_logging  # noqa: E402
from .compose import build_node  # noqa: E402
from .settings import load_node_settings  # noqa: E402

SETTINGS_VARIABLE = "CORNELWARD_CONFIG"
EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 3


def main():
    """Run a node until a signal stops it; return the exit code."""
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
