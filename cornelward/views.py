"""Membership view of a failure domain's entries, and authority over executors.

``views/<fd>`` changes only by a conditional write. Lease arithmetic uses this process's
clock only: authority counts from when a question was sent, waits from when an answer
arrived. Times are monotonic seconds.
"""

from typing import NamedTuple

import xxhash

from .leases import LEASE_MARGIN_S
from .messages import HeartbeatAck, ViewAnnounce
from .rows import Conflict
from .view_rows import parse_row, row_value

__all__ = [
    "CREDIT_TTL_S",
    "ReadView",
    "SendMessage",
    "View",
    "WriteView",
    "adopt",
    "announcement",
    "broadcast",
    "claim_time",
    "discount_pause",
    "has_authority",
    "is_member",
    "on_ack",
    "on_heartbeat",
    "on_leaving",
    "on_read",
    "on_written",
    "other_members",
    "owner_of",
    "reconcile",
    "refresh_authority",
    "start_leaving",
]

# Credits are short-lived so that a moved executor is soon free of them.
CREDIT_TTL_S = 1.0
# Delay between members that are ready to write the same removal.
WRITER_STAGGER_S = 0.5

NEVER = float("-inf")


class ReadView(NamedTuple):
    """Effect: read the row ``views/<fd>``."""


class WriteView(NamedTuple):
    """Effect: write the row ``views/<fd>`` if its version is as expected."""

    expected_version: int
    value: dict


class SendMessage(NamedTuple):
    """Effect: send a message to the peer at an address."""

    address: str
    message: object


class View:
    """The adopted view and what is known of its members.

    ``members`` maps entry id to (address, incarnation). ``dropped`` is as in the row
    and ``joins`` maps its joins to when they were first seen; None is unknown.
    """

    def __init__(self, identity, lease_s, isolated_takeover_s):
        self.identity = identity
        self.lease_s = lease_s
        self.isolated_takeover_s = isolated_takeover_s
        self.epoch = 0
        self.members = {}
        self.adopted_at = NEVER
        self.continuous = False
        self.dropped = None
        self.row = None
        self.row_at = NEVER
        self.authority_until = NEVER
        self.table_authority_until = NEVER
        self.isolated_authority_until = NEVER
        self.read_required = False
        self.acks = {}
        self.last_heard = {}
        # Entry id to (incarnation, epoch, first time heard at that epoch or above).
        self.confirmed = {}
        self.departed = set()
        self.joins = {}
        self.leaving = False


def other_members(view):
    """Return the ids of the other members."""
    return [entry for entry in view.members if entry != view.identity.id]


def is_member(view):
    """Return whether this process is in the adopted view."""
    me = view.members.get(view.identity.id)
    return me is not None and me[1] == view.identity.incarnation


def owner_of(view, executor_id):
    """Return the member that owns an executor (rendezvous hashing), or None."""
    return max(
        view.members,
        key=lambda entry: xxhash.xxh64_intdigest(f"{entry}/{executor_id}".encode()),
        default=None,
    )


def has_authority(view, now):
    """Return whether requests may be started and credits granted now."""
    return now < view.authority_until


def refresh_authority(view, now):
    """Recompute the end of this entry's authority."""
    if not is_member(view) or view.leaving:
        view.authority_until = NEVER
        return
    counted = [
        entry
        for entry in other_members(view)
        if now - view.last_heard.get(entry, view.adopted_at) < view.isolated_takeover_s
    ]
    if counted:
        granted = min(view.acks.get(entry, NEVER) for entry in counted) + view.lease_s
    else:
        granted = NEVER if view.read_required else view.isolated_authority_until
    view.authority_until = max(view.table_authority_until, granted)


def adopt(view, now, epoch, members):
    """Adopt a newer view; returns whether it was newer.

    What the row tells of dropped entries and joins is unknown until it is read.
    """
    if epoch <= view.epoch:
        return False
    old = view.members
    view.continuous = is_member(view) and epoch == view.epoch + 1
    view.epoch = epoch
    view.members = {entry: tuple(value) for entry, value in members.items()}
    view.dropped = None
    view.adopted_at = now
    view.acks.clear()
    view.table_authority_until = view.isolated_authority_until = NEVER
    # An entry that was not in the last view was itself out of contact, perhaps.
    view.last_heard = {
        entry: view.last_heard[entry]
        if view.continuous and old.get(entry) == member
        else now
        for entry, member in view.members.items()
    }
    refresh_authority(view, now)
    return True


def _learn_row(view, now, row):
    """Take in a row that was read or written."""
    if view.row is None or row.version >= view.row.version:
        view.row = row
        view.row_at = now
    if row.epoch == view.epoch:
        view.dropped = row.dropped
        view.joins = {join: view.joins.get(join, now) for join in row.joins}


def _confirm(view, now, sender, incarnation, epoch):
    view.last_heard[sender] = now
    known = view.confirmed.get(sender)
    if known is None or (incarnation, epoch) > known[:2]:
        view.confirmed[sender] = incarnation, epoch, now


def _stopped_at(view, entry, incarnation, epoch):
    """Return when an entry stopped acting below an epoch, or None if it may."""
    known = view.confirmed.get(entry)
    if entry == view.identity.id:
        return view.adopted_at
    if (entry, incarnation) in view.departed:
        return view.adopted_at
    if known is None or known[0] < incarnation:
        return None
    if known[0] > incarnation or known[1] >= epoch:
        return known[2]
    return None


def claim_time(view):
    """Return when executors that moved to this entry may be asked, or None.

    All members must have stopped acting on older views. If no silent member was
    dropped, only their credits must expire; otherwise the lease of the dropped
    member must end, which nobody has prolonged since.
    """
    if not is_member(view):
        return None
    if view.epoch == 1:
        return view.adopted_at
    confirmed = [
        _stopped_at(view, entry, member[1], view.epoch)
        for entry, member in view.members.items()
    ]
    if None in confirmed:
        return None
    start = max(*confirmed, view.adopted_at)
    if view.dropped is False:
        return start + CREDIT_TTL_S + LEASE_MARGIN_S
    return max(start + view.lease_s + LEASE_MARGIN_S, _isolation_end(view))


def _isolation_end(view):
    """Return until when entries from before a join may act without knowing of it.

    They need one another's acknowledgements, so one that knows is enough.
    """
    if view.dropped is None:
        return view.adopted_at + view.isolated_takeover_s
    seen = [at for join, at in view.joins.items() if not _is_known(view, join)]
    return max(seen, default=NEVER) + view.isolated_takeover_s


def _is_known(view, join):
    epoch, members = join
    return any(
        _stopped_at(view, entry, incarnation, epoch) is not None
        for entry, incarnation in members
    )


def broadcast(view, message):
    """Return SendMessage effects to all other members."""
    return [SendMessage(view.members[peer][0], message) for peer in other_members(view)]


def announcement(view):
    """Return the ViewAnnounce of the adopted view."""
    return ViewAnnounce(view.identity.failure_domain, view.epoch, view.members)


def on_heartbeat(view, now, envelope):
    """Handle a Heartbeat; returns effects."""
    sender, incarnation, message = envelope
    member = view.members.get(sender)
    known = member is not None and member[1] == incarnation
    if message.epoch > view.epoch:
        _confirm(view, now, sender, incarnation, message.epoch)
        return [ReadView()]
    if not known:
        return []
    _confirm(view, now, sender, incarnation, message.epoch)
    if message.epoch < view.epoch:
        return [SendMessage(member[0], announcement(view))]
    if view.leaving or not is_member(view):
        return []
    ack = HeartbeatAck(message.epoch, message.seq, message.sent_at)
    return [SendMessage(member[0], ack)]


def on_ack(view, now, envelope):
    """Handle a HeartbeatAck."""
    sender, incarnation, message = envelope
    member = view.members.get(sender)
    if member is None or member[1] != incarnation:
        return
    _confirm(view, now, sender, incarnation, message.epoch)
    if message.epoch == view.epoch:
        view.acks[sender] = max(view.acks.get(sender, NEVER), message.sent_at)
        refresh_authority(view, now)


def on_leaving(view, now, envelope):
    """Handle Leaving: the sender will not act again."""
    view.departed.add((envelope.sender, envelope.incarnation))
    return [ReadView()]


def on_read(view, now, sent_at, row):
    """Handle the row ``views/<fd>`` (None when the table failed); returns adoption."""
    if row is None:
        view.isolated_authority_until = max(
            view.isolated_authority_until, sent_at + view.lease_s
        )
        refresh_authority(view, now)
        return False
    view.read_required = False
    read = parse_row(row.value if row.version else None, row.version)
    if view.row is not None and read.version < view.row.version:
        return False
    adopted = False
    if is_member(view) or view.identity.id in read.members:
        adopted = adopt(view, now, read.epoch, read.members)
    _learn_row(view, now, read)
    if read.epoch == view.epoch:
        view.table_authority_until = max(
            view.table_authority_until, sent_at + view.lease_s
        )
        view.isolated_authority_until = NEVER
    refresh_authority(view, now)
    return adopted


def on_written(view, now, sent_at, result, value):
    """Handle the result of a write; returns (adopted, effects)."""
    if result is None or isinstance(result, Conflict):
        return False, [ReadView()]
    row = parse_row(value, result)
    adopted = adopt(view, now, row.epoch, row.members)
    _learn_row(view, now, row)
    if view.epoch == row.epoch:
        view.table_authority_until = max(
            view.table_authority_until, sent_at + view.lease_s
        )
    refresh_authority(view, now)
    return adopted, []


def reconcile(view, now):
    """Return a WriteView if the row lacks this entry or holds a silent one, or None."""
    row = view.row
    if row is None or now - view.row_at > view.lease_s:
        return None
    if row.epoch < view.epoch:
        return None
    silent = [
        entry
        for entry, member in row.members.items()
        if _is_silent(view, now, entry, member)
    ]
    wanted = {
        entry: member
        for entry, member in row.members.items()
        if entry not in silent and (entry, member[1]) not in view.departed
    }
    if view.leaving:
        wanted.pop(view.identity.id, None)
    else:
        me = view.identity
        wanted[me.id] = me.peer_address, me.incarnation
    if wanted == row.members:
        return None
    settled = _is_settled(view, now, row)
    dropped = bool(silent) or (row.dropped and not settled)
    joins = [] if settled else [j for j in row.joins if not _is_known(view, j)]
    if view.identity.id in wanted and wanted[view.identity.id] not in (
        row.members.values()
    ):
        before = [
            (entry, member[1])
            for entry, member in row.members.items()
            if entry != view.identity.id
        ]
        joins += [(row.epoch + 1, before)] if before else []
    return WriteView(row.version, row_value(row.epoch + 1, wanted, dropped, joins))


def _is_settled(view, now, row):
    start = claim_time(view)
    return view.epoch == row.epoch and start is not None and now >= start


def _is_silent(view, now, entry, member):
    if entry == view.identity.id or not is_member(view):
        return False
    if view.members.get(entry) != member:
        return False
    live = sorted(
        peer
        for peer in view.members
        if peer == view.identity.id or now - view.last_heard[peer] < view.lease_s
    )
    limit = view.lease_s + LEASE_MARGIN_S
    limit += live.index(view.identity.id) * WRITER_STAGGER_S
    return now - view.last_heard[entry] > limit


def start_leaving(view):
    """Give up all authority; the row is then written without this entry."""
    view.leaving = True
    view.authority_until = NEVER


def discount_pause(view, gap_s):
    """Discount a pause of this process from the silence of the others."""
    for entry in view.last_heard:
        view.last_heard[entry] += gap_s
    view.row = None
    view.read_required = True
