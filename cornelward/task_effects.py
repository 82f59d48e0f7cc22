"""Effects of the task core, and the constants that its modules share."""

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

# Added wherever somebody waits for another's lease to end.
LEASE_MARGIN_S = 0.5


class ReadRow(NamedTuple):
    """Read one row; the answer goes to ``row_read``."""

    key: str


class ListRows(NamedTuple):
    """List rows; the answer goes to ``rows_listed``."""

    prefix: str


class Txn(NamedTuple):
    """Write rows; the answer goes to ``txn_done``.

    ``checks`` are ``[key, version]``, ``puts`` are ``[key, value]``, ``deletes`` keys.
    """

    txn_id: int
    checks: list
    puts: list
    deletes: list


class RenewWorker(NamedTuple):
    """``POST /lease`` to a worker; the answer goes to ``lease_reply``."""

    worker: str
    address: str
    body: Any


class StartTask(NamedTuple):
    """``POST /tasks`` to a worker; the answer goes to ``start_reply``."""

    worker: str
    address: str
    body: Any


class SignalTask(NamedTuple):
    """``POST /tasks/signal`` to a worker; nobody waits for the answer."""

    worker: str
    address: str
    body: Any
