"""Rows of the platform's table and the outcome of a transaction that did not apply."""

from typing import Any, NamedTuple

__all__ = ["Conflict", "Row"]


class Row(NamedTuple):
    """One row of the table; ``version`` 0 means absent."""

    key: str
    value: Any
    version: int


class Conflict(NamedTuple):
    """A transaction was refused; the present version of each conflicting key."""

    versions: dict
