"""Membership view of a failure domain's entries, and authority over executors.

The row ``views/<fd>`` changes only by conditional writes. Leases are computed from this
process's own clock only: an entry's authority starts when it sends the request or
heartbeat that renews it, and a wait for another entry starts when that entry's message
arrives. Times are monotonic seconds.
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

# Credits expire soon, so that the new owner of an executor need not wait long for the
# credits that the former owner granted.
CREDIT_TTL_S = 1.0
# Members write the removal of a silent entry staggered by this interval, to avoid
# conflicting writes.
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
    """The adopted view and the state of its members as seen by this entry.

    ``members`` maps entry id to (address, incarnation). ``dropped`` is the row's flag
    (see ViewRow), or None before the row of this epoch has been read; ``joins`` maps
    the row's joins to the times when this entry first saw them. ``last_heard`` maps
    entry id to the time of its last message, ``acks`` to the latest ``sent_at`` of a
    heartbeat that it acknowledged in this epoch.
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
        # Entry id to (incarnation, epoch, time of the first message at that epoch or a
        # later one).
        self.confirmed_epochs = {}
        self.departed = set()
        self.joins = {}
        self.leaving = False


def other_members(view):
    """Return the ids of the other members."""
    return [entry for entry in view.members if entry != view.identity.id]


def is_member(view):
    """Return whether this incarnation of the entry is in the adopted view."""
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
    """Return whether this entry may start requests and grant credits now."""
    return now < view.authority_until


def refresh_authority(view, now):
    """Recompute the time at which this entry's authority ends.

    A successful read or write of the row extends it, and so do acknowledgements of all
    members heard from within ``isolated_takeover_s``. If there is no such member, a
    failed read of the row extends it too.
    """
    if not is_member(view) or view.leaving:
        view.authority_until = NEVER
        return
    reachable = [
        entry
        for entry in other_members(view)
        if now - view.last_heard.get(entry, view.adopted_at) < view.isolated_takeover_s
    ]
    if reachable:
        granted = min(view.acks.get(entry, NEVER) for entry in reachable) + view.lease_s
    else:
        granted = NEVER if view.read_required else view.isolated_authority_until
    view.authority_until = max(view.table_authority_until, granted)


def adopt(view, now, epoch, members):
    """Adopt a view if its epoch is newer; returns whether it was.

    The row's ``dropped`` flag and joins are unknown until the row is read.
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
    # The silence of a member is measured from now, unless it was an unchanged member
    # of the previous view and so was this entry: an entry outside the previous view
    # may itself have been out of contact.
    view.last_heard = {
        entry: view.last_heard[entry]
        if view.continuous and old.get(entry) == member
        else now
        for entry, member in view.members.items()
    }
    refresh_authority(view, now)
    return True


def _record_row(view, now, row):
    """Store a row that was read or written."""
    if view.row is None or row.version >= view.row.version:
        view.row = row
        view.row_at = now
    if row.epoch == view.epoch:
        view.dropped = row.dropped
        view.joins = {join: view.joins.get(join, now) for join in row.joins}


def _record_epoch(view, now, sender, incarnation, epoch):
    """Record that a message of ``sender`` arrived and which epoch it carried."""
    view.last_heard[sender] = now
    previous = view.confirmed_epochs.get(sender)
    if previous is None or (incarnation, epoch) > previous[:2]:
        view.confirmed_epochs[sender] = incarnation, epoch, now


def _stopped_at(view, entry, incarnation, epoch):
    """Return when an entry stopped acting on views older than ``epoch``.

    None means that it may still act on one.
    """
    previous = view.confirmed_epochs.get(entry)
    if entry == view.identity.id:
        return view.adopted_at
    if (entry, incarnation) in view.departed:
        return view.adopted_at
    if previous is None or previous[0] < incarnation:
        return None
    if previous[0] > incarnation or previous[1] >= epoch:
        return previous[2]
    return None


def claim_time(view):
    """Return from when on executors that moved to this entry may be probed, or None.

    None means that this entry is not a member or that some member may still act on an
    older view. If no silent entry was removed, it suffices to wait until the credits
    that former owners granted have expired. Otherwise, or if that is unknown, the lease
    of the removed entry must end; no member has extended it since.
    """
    if not is_member(view):
        return None
    if view.epoch == 1:
        return view.adopted_at
    stop_times = [
        _stopped_at(view, entry, member[1], view.epoch)
        for entry, member in view.members.items()
    ]
    if None in stop_times:
        return None
    start = max(*stop_times, view.adopted_at)
    if view.dropped is False:
        return start + CREDIT_TTL_S + LEASE_MARGIN_S
    return max(start + view.lease_s + LEASE_MARGIN_S, _isolation_end(view))


def _isolation_end(view):
    """Return until when members from before a join may act without knowing of it.

    Each of them needs the acknowledgements of the others to act, so a join is safe once
    one of them knows of it.
    """
    if view.dropped is None:
        return view.adopted_at + view.isolated_takeover_s
    seen = [at for join, at in view.joins.items() if not _is_join_known(view, join)]
    return max(seen, default=NEVER) + view.isolated_takeover_s


def _is_join_known(view, join):
    """Return whether a member from before the join no longer acts on an older view."""
    epoch, members = join
    return any(
        _stopped_at(view, entry, incarnation, epoch) is not None
        for entry, incarnation in members
    )


def broadcast(view, message):
    """Return the effects that send a message to all other members."""
    return [SendMessage(view.members[peer][0], message) for peer in other_members(view)]


def announcement(view):
    """Return a ViewAnnounce message with the adopted view."""
    return ViewAnnounce(view.identity.failure_domain, view.epoch, view.members)


def on_heartbeat(view, now, envelope):
    """Handle a Heartbeat; returns effects."""
    sender, incarnation, message = envelope
    member = view.members.get(sender)
    is_known_member = member is not None and member[1] == incarnation
    if message.epoch > view.epoch:
        _record_epoch(view, now, sender, incarnation, message.epoch)
        return [ReadView()]
    if not is_known_member:
        return []
    _record_epoch(view, now, sender, incarnation, message.epoch)
    if message.epoch < view.epoch:
        return [SendMessage(member[0], announcement(view))]
    if view.leaving or not is_member(view):
        return []
    ack = HeartbeatAck(message.epoch, message.seq, message.sent_at)
    return [SendMessage(member[0], ack)]


def on_ack(view, now, envelope):
    """Handle a HeartbeatAck; one for the current epoch extends the authority."""
    sender, incarnation, message = envelope
    member = view.members.get(sender)
    if member is None or member[1] != incarnation:
        return
    _record_epoch(view, now, sender, incarnation, message.epoch)
    if message.epoch == view.epoch:
        view.acks[sender] = max(view.acks.get(sender, NEVER), message.sent_at)
        refresh_authority(view, now)


def on_leaving(view, now, envelope):
    """Handle a Leaving message: this incarnation of the sender no longer acts."""
    view.departed.add((envelope.sender, envelope.incarnation))
    return [ReadView()]


def on_read(view, now, sent_at, row):
    """Handle a read of ``views/<fd>``; returns whether a newer view was adopted.

    ``sent_at`` is when the read was sent; ``row`` is None if the read failed.
    """
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
    _record_row(view, now, read)
    if read.epoch == view.epoch:
        view.table_authority_until = max(
            view.table_authority_until, sent_at + view.lease_s
        )
        view.isolated_authority_until = NEVER
    refresh_authority(view, now)
    return adopted


def on_written(view, now, sent_at, result, value):
    """Handle the result of a WriteView of ``value``; returns (adopted, effects).

    ``result`` is the new version, a Conflict, or None if the outcome is unknown.
    """
    if result is None or isinstance(result, Conflict):
        return False, [ReadView()]
    row = parse_row(value, result)
    adopted = adopt(view, now, row.epoch, row.members)
    _record_row(view, now, row)
    if view.epoch == row.epoch:
        view.table_authority_until = max(
            view.table_authority_until, sent_at + view.lease_s
        )
    refresh_authority(view, now)
    return adopted, []


def reconcile(view, now):
    """Return the WriteView that corrects the member list, or None.

    It adds this entry if it is missing, or removes it if it is leaving, and removes
    entries that are silent or have announced that they leave.
    """
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
    target_members = {
        entry: member
        for entry, member in row.members.items()
        if entry not in silent and (entry, member[1]) not in view.departed
    }
    if view.leaving:
        target_members.pop(view.identity.id, None)
    else:
        me = view.identity
        target_members[me.id] = me.peer_address, me.incarnation
    if target_members == row.members:
        return None
    takeover_ended = _has_takeover_ended(view, now, row)
    dropped = bool(silent) or (row.dropped and not takeover_ended)
    joins = (
        [] if takeover_ended else [j for j in row.joins if not _is_join_known(view, j)]
    )
    if view.identity.id in target_members and target_members[view.identity.id] not in (
        row.members.values()
    ):
        before = [
            (entry, member[1])
            for entry, member in row.members.items()
            if entry != view.identity.id
        ]
        joins += [(row.epoch + 1, before)] if before else []
    return WriteView(
        row.version, row_value(row.epoch + 1, target_members, dropped, joins)
    )


def _has_takeover_ended(view, now, row):
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
    """End this entry's authority; ``reconcile`` then removes the entry from the row."""
    view.leaving = True
    view.authority_until = NEVER


def discount_pause(view, gap_s):
    """Exclude a pause of this process of ``gap_s`` seconds from the members' silence.

    The row must be read again before isolated authority or a write is possible.
    """
    for entry in view.last_heard:
        view.last_heard[entry] += gap_s
    view.row = None
    view.read_required = True
