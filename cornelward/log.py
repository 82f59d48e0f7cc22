"""Structured logs: one JSON line an event, written by eliot.

A reader that stops reading costs log lines, never time: lines that the pipe does not
take are dropped and counted.
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
    """Writes whole lines to a descriptor without ever waiting for its reader."""

    def __init__(self, fd):
        os.set_blocking(fd, False)
        self._fd = fd
        self._rest = b""
        self.dropped = 0

    def write(self, data):
        """Write one line, or count it as dropped."""
        if self._rest and not self._flush_rest():
            self.dropped += 1
            return
        if self.dropped:
            note = {"message_type": "log.dropped", "level": "warning"}
            note["lines"] = self.dropped
            data = json.dumps(note).encode() + b"\n" + data
        try:
            sent = os.write(self._fd, data)
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0
        self._rest = data[sent:]

    def flush(self):
        """Do nothing: lines are written at once or dropped."""

    def _flush_rest(self):
        """Write what is left of a line that the pipe took in part."""
        try:
            self._rest = self._rest[os.write(self._fd, self._rest) :]
        except BlockingIOError:
            return False
        return not self._rest


def _open(file):
    if file == "-":
        return sys.stderr
    if file == "stdout":
        return DroppingFile(sys.stdout.fileno())
    return open(file, "ab", buffering=0)


def setup_logging(level, file, **fields):
    """Write events at ``level`` and above to ``file``.

    "-" is standard error, "stdout" standard output without waiting for its reader.

    ``fields`` (process id, failure domain) are added to every line.
    """
    global _threshold
    _threshold = LEVELS[level]
    eliot.add_destinations(FileDestination(file=_open(file)))
    eliot.add_global_fields(**fields)


def get_logger(module):
    """Return ``log(level, event, **fields)`` for one module."""

    def log(level, event, **fields):
        if LEVELS[level] >= _threshold:
            eliot.log_message(f"{module}.{event}", level=level, **fields)

    return log
