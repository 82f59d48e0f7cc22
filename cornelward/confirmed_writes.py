"""Transactions whose result, if a response is lost, is confirmed by a read."""

from .errors import PlatformError
from .rows import Conflict

__all__ = ["confirmed_txn"]

MAX_ATTEMPTS = 3


class _Write:
    """A transaction; ``uncertain`` once the response of any attempt was lost."""

    def __init__(self, platform, checks, puts, proof_key, is_ours, on_done):
        self.platform = platform
        self.checks = checks
        self.puts = puts
        self.proof_key = proof_key
        self.is_ours = is_ours
        self.on_done = on_done
        self.attempts = 0
        self.uncertain = False


def confirmed_txn(platform, checks, puts, proof_key, is_ours, on_done):
    """Apply a transaction of puts, with up to MAX_ATTEMPTS attempts.

    ``on_done`` gets True, a Conflict, or a PlatformError whose ``applied`` is None if
    it is unknown whether the transaction applied. ``is_ours(row)`` returns whether the
    row at ``proof_key`` shows that the transaction applied. ``checks`` must expect
    versions that the puts change, so that a repeated attempt cannot apply twice.
    """
    _send(_Write(platform, checks, puts, proof_key, is_ours, on_done))


def _send(write):
    write.attempts += 1
    write.platform.txn(
        write.checks, write.puts, [], lambda result: _on_txn_result(write, result)
    )


def _on_txn_result(write, result):
    if isinstance(result, PlatformError):
        write.uncertain = write.uncertain or result.applied is None
    elif not isinstance(result, Conflict):
        write.on_done(True)
        return
    if write.uncertain:
        write.platform.get(
            write.proof_key, lambda row: _on_proof_read(write, row, result)
        )
    else:
        write.on_done(result)


def _on_proof_read(write, row, result):
    if isinstance(row, PlatformError):
        write.on_done(PlatformError(row.message, applied=None))
    elif row.version and write.is_ours(row):
        write.on_done(True)
    elif isinstance(result, Conflict):
        write.on_done(result)
    elif write.attempts < MAX_ATTEMPTS:
        _send(write)
    else:
        write.on_done(PlatformError(result.message, applied=None))
