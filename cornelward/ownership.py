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
    "OwnerLease",
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


class OwnerLease:
    """State of this scheduler's claim; times are monotonic seconds."""

    def __init__(self, cfg, identity):
        self.lease_s = cfg["owner_lease_s"]
        self.renew_s = cfg["owner_renew_s"]
        self.poll_s = cfg["owner_poll_s"]
        # A failed table call is the newest knowledge for as long as the next can take.
        self.failure_valid_s = cfg["owner_lease_s"] + cfg["platform_timeout_s"]
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
        self.observed_version = None
        self.observed_at = 0.0
        self.next_poll_at = 0.0
        self.busy = False
        self.txn_id = None
        self.epoch_wanted = 0


def has_authority(owner_lease, now):
    """Return whether new work may be decided and started now."""
    return owner_lease.role == OWNER and now < owner_lease.authority_until


def may_renew_workers(owner_lease, now):
    """Return whether worker leases may be renewed.

    An owner that is cut off from the table goes on: nobody can take over during an
    outage. After a pause it first asks the table.
    """
    if owner_lease.role != OWNER:
        return False
    if now < owner_lease.authority_until:
        return True
    return (
        owner_lease.failed_at is not None
        and now - owner_lease.failed_at < owner_lease.failure_valid_s
    )


def poll_owner(owner_lease, now, new_id):
    """Return effects that are due: a renewal of the owner, or a standby's read."""
    if owner_lease.busy or owner_lease.role == LEFT or now < owner_lease.next_poll_at:
        return []
    owner_lease.busy = True
    if owner_lease.role == OWNER:
        owner_lease.renewals += 1
        return [_write(owner_lease, new_id(), owner_lease.id, [])]
    return [ReadRow(owner_lease.key)]


def release_owner(owner_lease, new_id):
    """Give up the row, so that a standby need not wait for the lease to end."""
    was_owner, owner_lease.role = owner_lease.role == OWNER, LEFT
    owner_lease.authority_until = 0.0
    return [_write(owner_lease, new_id(), "", [])] if was_owner else []


def step_down(owner_lease, now):
    """Forget the ownership; the row is read again at once."""
    owner_lease.role = STANDBY
    owner_lease.authority_until = 0.0
    owner_lease.observed_version = None
    owner_lease.next_poll_at = now
    # A renewal that is still on its way is not the answer to a later takeover.
    owner_lease.busy = False
    owner_lease.txn_id = None


def owner_read(owner_lease, now, row, new_id):
    """Take the row that was read; may step down, or try to take over."""
    owner_lease.busy = False
    if row is None:
        owner_lease.failed_at = now
        owner_lease.next_poll_at = now + owner_lease.poll_s
        return []
    owner_lease.failed_at = None
    if owner_lease.role == OWNER:
        _read_as_owner(owner_lease, now, row)
        return poll_owner(owner_lease, now, new_id)
    if owner_lease.role == LEFT:
        return []
    owner_lease.next_poll_at = now + owner_lease.poll_s
    return _try_takeover(owner_lease, now, row, new_id)


def owner_written(owner_lease, now, sent_at, txn_id, result):
    """Take the result of an own write of the row."""
    if txn_id != owner_lease.txn_id:
        return []
    owner_lease.txn_id = None
    if owner_lease.role == LEFT:
        return []
    if result is None or isinstance(result, Conflict):
        # The write may have taken effect: the row itself tells.
        owner_lease.failed_at = now if result is None else None
        return [ReadRow(owner_lease.key)]
    owner_lease.busy = False
    owner_lease.failed_at = None
    owner_lease.version = result[owner_lease.key]
    if owner_lease.role == STANDBY:
        owner_lease.role = OWNER
        owner_lease.epoch = owner_lease.epoch_wanted
        owner_lease.fence_version = result[owner_lease.fence_key]
        owner_lease.owner_since = now
    owner_lease.authority_until = sent_at + owner_lease.lease_s
    owner_lease.next_poll_at = sent_at + owner_lease.renew_s
    return []


def _read_as_owner(owner_lease, now, row):
    if (
        row.version
        and _is_mine(owner_lease, row)
        and row.value["epoch"] == owner_lease.epoch
    ):
        # Which of several renewals applied is unknown: only a new one extends the
        # authority.
        owner_lease.version = row.version
        owner_lease.next_poll_at = now
    else:
        step_down(owner_lease, now)


def _is_mine(owner_lease, row):
    return row.value["nonce"].startswith(owner_lease.prefix)


def _try_takeover(owner_lease, now, row, new_id):
    if row.version != owner_lease.observed_version:
        owner_lease.observed_version, owner_lease.observed_at = row.version, now
    unowned = not row.version or not row.value["owner"] or _is_mine(owner_lease, row)
    expired = now >= owner_lease.observed_at + owner_lease.lease_s + LEASE_MARGIN_S
    if not unowned and not expired:
        return []
    owner_lease.busy = True
    owner_lease.version = row.version
    owner_lease.renewals = 0
    owner_lease.epoch_wanted = row.value["epoch"] + 1 if row.version else 1
    fence = [
        owner_lease.fence_key,
        {"epoch": owner_lease.epoch_wanted, "owner": owner_lease.id},
    ]
    return [_write(owner_lease, new_id(), owner_lease.id, [fence])]


def _write(owner_lease, txn_id, owner, puts):
    owner_lease.txn_id = txn_id
    value = {
        "owner": owner,
        "address": owner_lease.address,
        "epoch": owner_lease.epoch
        if owner_lease.role != STANDBY
        else owner_lease.epoch_wanted,
        "renewals": owner_lease.renewals,
        "nonce": f"{owner_lease.prefix}{txn_id}",
    }
    return Txn(
        txn_id,
        [[owner_lease.key, owner_lease.version]],
        [[owner_lease.key, value], *puts],
        [],
    )
