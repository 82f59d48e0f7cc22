"""Parses and builds the row ``views/<fd>`` of the platform's table."""

from typing import NamedTuple

__all__ = ["ViewRow", "parse_row", "row_value"]


class ViewRow(NamedTuple):
    """The row ``views/<fd>`` as read or written last.

    ``members`` maps entry id to (address, incarnation). ``dropped`` is True if silent
    entries were removed and their authority may not have ended. ``joins`` lists joins
    as (epoch, ((entry id, incarnation), ...)): the epoch of the join and the members
    from before it, which may not know of it and could act without the later members.
    """

    epoch: int
    version: int
    members: dict
    dropped: bool
    joins: tuple


def parse_row(value, version):
    """Return the ViewRow of a row's JSON value, or of None for an absent row."""
    if value is None:
        return ViewRow(0, version, {}, False, ())
    members = {
        entry: (member["address"], member["incarnation"])
        for entry, member in value["members"].items()
    }
    joins = tuple(
        (epoch, tuple((entry, incarnation) for entry, incarnation in members))
        for epoch, members in value.get("joins", ())
    )
    dropped = value.get("dropped", False)
    return ViewRow(value["epoch"], version, members, dropped, joins)


def row_value(epoch, members, dropped, joins):
    """Return the JSON-ready value of a row."""
    return {
        "epoch": epoch,
        "members": {
            entry: {"address": address, "incarnation": incarnation}
            for entry, (address, incarnation) in members.items()
        },
        "dropped": dropped,
        "joins": [[epoch, [list(m) for m in members]] for epoch, members in joins],
    }
