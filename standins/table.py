"""The stand-in platform's transactional table and object store, in memory."""

from sortedcontainers import SortedDict

__all__ = ["Table", "apply_txn", "list_page", "read_row"]


class Table:
    """Rows as key to (value, version), with counts of reads and writes."""

    def __init__(self):
        self.rows = SortedDict()
        self.objects = {}
        self.reads = 0
        self.writes = 0
        # Versions never repeat, not even after a delete.
        self.revision = 0


def read_row(table, key):
    """Return (value, version); version 0 means absent."""
    table.reads += 1
    return table.rows.get(key, (None, 0))


def list_page(table, prefix, after, limit):
    """Return (rows, more) of the keys with ``prefix`` that sort behind ``after``."""
    table.reads += 1
    rows = []
    start = max(prefix, after)
    for key in table.rows.irange(start, inclusive=(start != after, True)):
        if not key.startswith(prefix):
            break
        if len(rows) == limit:
            return rows, True
        value, version = table.rows[key]
        rows.append({"key": key, "value": value, "version": version})
    return rows, False


def apply_txn(table, checks, puts, deletes):
    """Apply a transaction whole; returns (versions, conflicts), one of them empty."""
    table.writes += 1
    conflicts = {}
    for key, version in checks:
        present = table.rows.get(key, (None, 0))[1]
        if present != version:
            conflicts[key] = present
    if conflicts:
        return {}, conflicts
    table.revision += 1
    for key in deletes:
        table.rows.pop(key, None)
    for key, value in puts:
        table.rows[key] = (value, table.revision)
    return {key: table.revision for key, _ in puts}, {}
