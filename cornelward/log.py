"""Structured logs: one JSON line an event, written by eliot."""

import sys

import eliot
from eliot import FileDestination

__all__ = ["get_logger", "setup_logging"]

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_threshold = LEVELS["info"]


def setup_logging(level, file, **fields):
    """Write events at ``level`` and above to ``file`` ("-" is standard error).

    ``fields`` (process id, failure domain) are added to every line.
    """
    global _threshold
    _threshold = LEVELS[level]
    stream = sys.stderr if file == "-" else open(file, "ab", buffering=0)  # noqa: SIM115
    eliot.add_destinations(FileDestination(file=stream))
    eliot.add_global_fields(**fields)


def get_logger(module):
    """Return ``log(level, event, **fields)`` for one module."""

    def log(level, event, **fields):
        if LEVELS[level] >= _threshold:
            eliot.log_message(f"{module}.{event}", level=level, **fields)

    return log
