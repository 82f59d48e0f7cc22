"""Owner lease of the workers of one failure domain.

``owners/<fd>`` holds owner and epoch and changes with every renewal. ``fences/<fd>``
changes only when the epoch does: each write of an owner checks its version, so that a
write of a former owner that was delayed on the way cannot take effect.
"""

from .rows import Conflict
from .task_effects import LEASE_MARGIN_S, ReadRow, Txn

__all__ = [
    "LEFT",
    "OWNER",
    "STANDBY",
    "Ownership",
    "has_authority",
    "may_renew_workers",
    "owner_read",
    "owner_written",
    "poll_owner",
    "release_owner",
    "step_down",
]

STANDBY = "standby"
OWNER = "owner"
LEFT = "left"


class Ownership:
    """State of this scheduler's claim; times are monotonic seconds."""

    def __init__(self, cfg, identity):
        self.lease_s = cfg["owner_lease_s"]
        self.renew_s = cfg["owner_renew_s"]
        self.poll_s = cfg["owner_poll_s"]
        # A failed table call is the newest knowledge for as long as the next can take.
        self.cut_off_s = cfg["owner_lease_s"] + cfg["platform_timeout_s"]
        self.id = identity.id
        self.address = identity.peer_address
        self.prefix = f"{identity.id}/{identity.incarnation}/"
        self.key = f"owners/{identity.failure_domain}"
        self.fence_key = f"fences/{identity.failure_domain}"
        self.role = STANDBY
        self.epoch = 0
        self.version = 0
        self.fence_version = 0
        self.renewals = 0
        self.authority_until = 0.0
        self.owner_since = 0.0
        self.failed_at = None
        self.seen_version = None
        self.seen_at = 0.0
        self.next_at = 0.0
        self.busy = False
        self.txn_id = None
        self.epoch_wanted = 0


def has_authority(own, now):
    """Return whether new work may be decided and started now."""
    return own.role == OWNER and now < own.authority_until


def may_renew_workers(own, now):
    """Return whether worker leases may be renewed.

    An owner that is cut off from the table goes on: nobody can take over during an
    outage. After a pause it first asks the table.
    """
    if own.role != OWNER:
        return False
    if now < own.authority_until:
        return True
    return own.failed_at is not None and now - own.failed_at < own.cut_off_s


def poll_owner(own, now, new_id):
    """Return effects that are due: a renewal of the owner, or a standby's read."""
    if own.busy or own.role == LEFT or now < own.next_at:
        return []
    own.busy = True
    if own.role == OWNER:
        own.renewals += 1
        return [_write(own, new_id(), own.id, [])]
    return [ReadRow(own.key)]


def release_owner(own, new_id):
    """Give up the row, so that a standby need not wait for the lease to end."""
    was_owner, own.role = own.role == OWNER, LEFT
    own.authority_until = 0.0
    return [_write(own, new_id(), "", [])] if was_owner else []


def step_down(own, now):
    """Forget the ownership; the row is read again at once."""
    own.role = STANDBY
    own.authority_until = 0.0
    own.seen_version = None
    own.next_at = now
    # A renewal that is still on its way is not the answer to a later takeover.
    own.busy = False
    own.txn_id = None


def owner_read(own, now, row, new_id):
    """Take the row that was read; may step down, or try to take over."""
    own.busy = False
    if row is None:
        own.failed_at = now
        own.next_at = now + own.poll_s
        return []
    own.failed_at = None
    if own.role == OWNER:
        _read_as_owner(own, now, row)
        return poll_owner(own, now, new_id)
    if own.role == LEFT:
        return []
    own.next_at = now + own.poll_s
    return _try_takeover(own, now, row, new_id)


def owner_written(own, now, sent_at, txn_id, result):
    """Take the result of an own write of the row."""
    if txn_id != own.txn_id:
        return []
    own.txn_id = None
    if own.role == LEFT:
        return []
    if result is None or isinstance(result, Conflict):
        # The write may have taken effect: the row itself tells.
        own.failed_at = now if result is None else None
        return [ReadRow(own.key)]
    own.busy = False
    own.failed_at = None
    own.version = result[own.key]
    if own.role == STANDBY:
        own.role = OWNER
        own.epoch = own.epoch_wanted
        own.fence_version = result[own.fence_key]
        own.owner_since = now
    own.authority_until = sent_at + own.lease_s
    own.next_at = sent_at + own.renew_s
    return []


def _read_as_owner(own, now, row):
    if row.version and _is_mine(own, row) and row.value["epoch"] == own.epoch:
        # Which of several renewals applied is unknown: only a new one extends the
        # authority.
        own.version = row.version
        own.next_at = now
    else:
        step_down(own, now)


def _is_mine(own, row):
    return row.value["nonce"].startswith(own.prefix)


def _try_takeover(own, now, row, new_id):
    if row.version != own.seen_version:
        own.seen_version, own.seen_at = row.version, now
    unowned = not row.version or not row.value["owner"] or _is_mine(own, row)
    expired = now >= own.seen_at + own.lease_s + LEASE_MARGIN_S
    if not unowned and not expired:
        return []
    own.busy = True
    own.version = row.version
    own.renewals = 0
    own.epoch_wanted = row.value["epoch"] + 1 if row.version else 1
    fence = [own.fence_key, {"epoch": own.epoch_wanted, "owner": own.id}]
    return [_write(own, new_id(), own.id, [fence])]


def _write(own, txn_id, owner, puts):
    own.txn_id = txn_id
    value = {
        "owner": owner,
        "address": own.address,
        "epoch": own.epoch if own.role != STANDBY else own.epoch_wanted,
        "renewals": own.renewals,
        "nonce": f"{own.prefix}{txn_id}",
    }
    return Txn(txn_id, [[own.key, own.version]], [[own.key, value], *puts], [])
