"""Rows of the platform's table, and the result of a transaction with a conflict."""

from typing import Any, NamedTuple

__all__ = ["Conflict", "Row"]


class Row(NamedTuple):
    """One row of the table; ``version`` 0 means that the row does not exist."""

    key: str
    value: Any
    version: int


class Conflict(NamedTuple):
    """Result of a transaction that did not apply because a check failed.

    ``versions`` maps each conflicting key to its current version.
    """

    versions: dict
