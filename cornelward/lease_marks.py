"""Core: what a leader writes next to its row about the leases of former leaders.

``state`` is the Leadership of a node.
"""

from typing import Any, NamedTuple

import msgspec

from .lease_grants import FORMER_LEASE_S

__all__ = [
    "FormerLeader",
    "LeaseMark",
    "claim_mark",
    "encode_mark",
    "former_leader",
    "on_mark_written",
    "renewed_mark",
]


class LeaseMark(NamedTuple):
    """Value of the row next to the leader's, which says how leases are bounded.

    Those of that leader and of all before it are bounded. Where the token is another
    one, leases of earlier releases may hold. The leases of all leaders before that one
    expire within ``earlier_leases_s`` after this was written; None if that is not
    known. Those of the workers in ``silent`` (worker id ->
    seconds) expire so soon, whoever granted them.

    ``by_row`` says that the leases of all these leaders are bounded by what was written
    to the leader's row alone: see ``FormerLeader.leases_end_at``.
    """

    token: int
    earlier_leases_s: float | None
    silent: dict[str, float] = {}  # noqa: RUF012
    by_row: bool = False


class FormerLeader(NamedTuple):
    """The row that a leader has replaced, if readable, and what its LeaseMark says.

    ``leases_end_at`` is when the leases of that leader and of all before it have
    expired, by when the row was first known to have its last version; None if they are
    not bounded by the row.
    """

    row: Any
    is_bounded: bool
    earlier_leases_s: float | None
    silent: Any = ()
    leases_end_at: float | None = None


def encode_mark(mark):
    """Return a LeaseMark as the bytes stored in its row."""
    return msgspec.msgpack.encode(mark)


_mark_decoder = msgspec.msgpack.Decoder(LeaseMark)


def former_leader(row, version, mark_data, seen_at):
    """Return the FormerLeader with this row; None if there is no row.

    The row was known to have this ``version`` at ``seen_at``.
    """
    if not version:
        return None
    if row is None:
        return FormerLeader(None, False, None)
    try:
        mark = _mark_decoder.decode(mark_data or b"")
    except msgspec.DecodeError:
        mark = LeaseMark(0, None)
    if mark.token != row.token:
        return FormerLeader(row, False, None)
    leases_end_at = seen_at + FORMER_LEASE_S if mark.by_row else None
    return FormerLeader(row, True, mark.earlier_leases_s, mark.silent, leases_end_at)


def claim_mark(state, claim):
    """Return the LeaseMark to write with a claim, no one's after unbounded leases."""
    former = state.claimed_from
    if former is None:
        return LeaseMark(claim.token, 0.0, by_row=True)
    if former.leases_end_at is None:
        return LeaseMark(claim.token if former.is_bounded else 0, None)
    left_s = max(0.0, former.leases_end_at - state.claim_sent_at)
    return LeaseMark(claim.token, left_s, by_row=True)


def renewed_mark(state, now):
    """Return the LeaseMark to write with a renewal, or None if it is up to date."""
    ends_at = state.former_leases_end_at
    silent = state.silent_leases
    is_known = state.expiry_recorded and not (silent or state.silent_recorded)
    if ends_at is None or is_known:
        return None
    state.silent_recorded = state.silent_recorded or bool(silent)
    former, has_expired = state.former, now >= ends_at
    is_bounded = former is None or former.is_bounded or has_expired
    by_row = former is None or former.leases_end_at is not None or has_expired
    token = state.row.token if is_bounded else 0
    return LeaseMark(token, max(0.0, ends_at - now), silent, by_row)


def on_mark_written(state, mark):
    """Note that a renewal has applied that wrote ``mark``."""
    state.silent_recorded = bool(mark.silent)
    if not mark.earlier_leases_s:
        state.expiry_recorded = True
