"""Command line of an entry.

``cornelward-entry SETTINGS`` exits with 0 after a graceful shutdown, with 2 if the
settings are invalid and with 3 if the process could not start.
"""

from .compose import build_entry
from .process import run_process
from .settings import ENTRY_DEFAULTS

__all__ = ["main"]


def main(argv=None):
    """Run an entry until a signal stops it; returns the exit code."""
    return run_process("cornelward-entry", ENTRY_DEFAULTS, build_entry, __doc__, argv)


if __name__ == "__main__":
    raise SystemExit(main())
