"""Structured logging with eliot: one JSON line per event.

Writing to standard output never blocks: if the reader of the pipe stops reading, lines
that the pipe does not accept are dropped and counted.
"""

import json
import os
import sys

import eliot
from eliot import FileDestination

__all__ = ["DroppingFile", "get_logger", "setup_logging"]

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_threshold = LEVELS["info"]


class DroppingFile:
    """Writes lines to a pipe without blocking; lines are dropped while it is full.

    Once lines can be written again, a ``log.dropped`` line tells how many are missing.
    """

    def __init__(self, fd):
        os.set_blocking(fd, False)
        self._fd = fd
        self._unwritten = b""
        self.dropped = 0

    def write(self, data):
        """Write one line or, if the pipe is full, count it as dropped."""
        if self._unwritten and not self._flush_unwritten():
            self.dropped += 1
            return
        if self.dropped:
            record = {"message_type": "log.dropped", "level": "warning"}
            record["lines"] = self.dropped
            data = json.dumps(record).encode() + b"\n" + data
        try:
            sent = os.write(self._fd, data)
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0
        self._unwritten = data[sent:]

    def flush(self):
        """Do nothing, as lines are written immediately or dropped."""

    def _flush_unwritten(self):
        """Write the rest of a partly written line; return whether it is complete."""
        try:
            self._unwritten = self._unwritten[os.write(self._fd, self._unwritten) :]
        except BlockingIOError:
            return False
        return not self._unwritten


def _open(file):
    if file == "-":
        return sys.stderr
    if file == "stdout":
        return DroppingFile(sys.stdout.fileno())
    return open(file, "ab", buffering=0)


def setup_logging(level, file, **fields):
    """Write events at ``level`` and above to ``file``.

    "-" is standard error. "stdout" is standard output, which is written without
    blocking. ``fields`` (process id, failure domain) are added to every line.
    """
    global _threshold
    _threshold = LEVELS[level]
    eliot.add_destinations(FileDestination(file=_open(file)))
    eliot.add_global_fields(**fields)


def get_logger(module):
    """Return the function ``log(level, event, **fields)`` of a module."""

    def log(level, event, **fields):
        if LEVELS[level] >= _threshold:
            eliot.log_message(f"{module}.{event}", level=level, **fields)

    return log
