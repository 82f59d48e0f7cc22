"""Effects of the task core, and constants that its modules share.

Effects are requests for input and output, which the scheduler's shell carries out.
"""

from typing import Any, NamedTuple

__all__ = [
    "LEASE_MARGIN_S",
    "ListRows",
    "ReadRow",
    "RenewWorker",
    "SignalTask",
    "StartTask",
    "Txn",
]

# Safety margin that a process adds when it waits for another process's lease to end.
LEASE_MARGIN_S = 0.5


class ReadRow(NamedTuple):
    """Read one row; its result is passed to ``row_read``."""

    key: str


class ListRows(NamedTuple):
    """List the rows with a key prefix; the result is passed to ``rows_listed``."""

    prefix: str


class Txn(NamedTuple):
    """Write and delete rows in one transaction; the result is passed to ``txn_done``.

    ``checks`` are the required ``[key, version]``, ``puts`` are ``[key, value]`` and
    ``deletes`` are keys.
    """

    txn_id: int
    checks: list
    puts: list
    deletes: list


class RenewWorker(NamedTuple):
    """Send ``POST /lease`` to a worker; the answer is passed to ``lease_reply``."""

    worker: str
    address: str
    body: Any


class StartTask(NamedTuple):
    """Send ``POST /tasks`` to a worker; the answer is passed to ``start_reply``."""

    worker: str
    address: str
    body: Any


class SignalTask(NamedTuple):
    """Send ``POST /tasks/signal`` to a worker; the answer is ignored."""

    worker: str
    address: str
    body: Any
