"""Entry point of the scheduler process.

``cornelward-scheduler SETTINGS`` exits with 0 after a graceful shutdown, with 2 when
the settings are invalid and with 3 when the process could not start.
"""

from .compose import build_scheduler
from .process import run_process
from .settings import SCHEDULER_DEFAULTS

__all__ = ["main"]


def main(argv=None):
    """Run a scheduler until it is signalled to stop; return the exit code."""
    return run_process(
        "cornelward-scheduler", SCHEDULER_DEFAULTS, build_scheduler, __doc__, argv
    )


if __name__ == "__main__":
    raise SystemExit(main())
