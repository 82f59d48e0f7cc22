"""Start-up of the daemons: arguments, settings, log, ready file, exit codes."""

import argparse
import sys
from pathlib import Path

from .errors import CornelwardError, SettingsError
from .log import setup_logging
from .settings import load_settings

__all__ = ["EXIT_BAD_SETTINGS", "EXIT_START_FAILED", "run_process"]

EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 3


def run_process(name, defaults, build, description, argv=None):
    """Load the settings, build a process with ``build(cfg)`` and run its loop.

    ``defaults`` has a value for each setting that the file may set. A failed start
    prints one line to standard error. Returns the exit code.
    """
    parser = argparse.ArgumentParser(prog=name, description=description)
    parser.add_argument("settings", help="path of the settings file")
    args = parser.parse_args(argv)
    try:
        cfg = load_settings(args.settings, defaults)
        setup_logging(
            cfg["log_level"],
            cfg["log_file"],
            id=cfg["id"],
            failure_domain=cfg["failure_domain"],
        )
        process = build(cfg)
        if cfg["ready_file"]:
            address = process.identity.http_address
            Path(cfg["ready_file"]).write_text(address, encoding="ascii")
    except SettingsError as exc:
        print(f"{name}: {exc.message}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except (CornelwardError, OSError) as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        return EXIT_START_FAILED
    process.loop.run()
    return 0
