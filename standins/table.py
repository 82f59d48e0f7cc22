"""The stand-in platform's transactional table and object store, in memory."""

from sortedcontainers import SortedDict

__all__ = ["Table", "apply_txn", "list_page", "read_row"]


class Table:
    """Rows as key to ``(value, version)``, objects, and counts of reads and writes."""

    def __init__(self):
        self.rows = SortedDict()
        self.objects = {}
        self.reads = 0
        self.writes = 0
        # The version of the latest write; a version is not reused after a delete.
        self.revision = 0


def read_row(table, key):
    """Return ``(value, version)``, or ``(None, 0)`` if there is no such row."""
    table.reads += 1
    return table.rows.get(key, (None, 0))


def list_page(table, prefix, after, limit):
    """Return ``(rows, more)``: a page of the rows whose keys have ``prefix``.

    The page has at most ``limit`` rows, with keys that sort after ``after``; ``more``
    says whether further rows follow.
    """
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
    """Apply all writes of a transaction, or none if a check fails.

    ``checks`` are pairs of key and expected version. Return ``(versions, conflicts)``:
    the new version of each key in ``puts``, or the current version of each key whose
    check failed.
    """
    table.writes += 1
    conflicts = {}
    for key, version in checks:
        current = table.rows.get(key, (None, 0))[1]
        if current != version:
            conflicts[key] = current
    if conflicts:
        return {}, conflicts
    table.revision += 1
    for key in deletes:
        table.rows.pop(key, None)
    for key, value in puts:
        table.rows[key] = (value, table.revision)
    return {key: table.revision for key, _ in puts}, {}
