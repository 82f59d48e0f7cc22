"""Owner lease of the workers of one failure domain.

The row ``owners/<fd>`` holds the owner and the epoch and is rewritten at every renewal.
The row ``fences/<fd>`` is rewritten only when the epoch changes. Every write of an
owner checks the version of the fence row, so that a delayed write of a former owner
fails.
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
    """This scheduler's state for the owner lease; times are monotonic seconds."""

    def __init__(self, cfg, identity):
        self.lease_s = cfg["owner_lease_s"]
        self.renew_s = cfg["owner_renew_s"]
        self.poll_s = cfg["owner_poll_s"]
        # How long a failed table call counts as evidence of an outage. The next call
        # may take the platform time-out before it gives newer information.
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
    """Return whether this scheduler may place and start new tasks at ``now``."""
    return owner_lease.role == OWNER and now < owner_lease.authority_until


def may_renew_workers(owner_lease, now):
    """Return whether worker leases may be renewed.

    An owner that cannot reach the table keeps renewing them, because no other scheduler
    can take over during an outage. After a pause of its own process, the owner first
    reads the table again.
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
    """Return the owner's renewal or the standby's read of the owner row, if due."""
    if owner_lease.busy or owner_lease.role == LEFT or now < owner_lease.next_poll_at:
        return []
    owner_lease.busy = True
    if owner_lease.role == OWNER:
        owner_lease.renewals += 1
        return [_write_owner_row(owner_lease, new_id(), owner_lease.id, [])]
    return [ReadRow(owner_lease.key)]


def release_owner(owner_lease, new_id):
    """Clear the owner in the row, so that a standby need not wait for lease expiry."""
    was_owner, owner_lease.role = owner_lease.role == OWNER, LEFT
    owner_lease.authority_until = 0.0
    return [_write_owner_row(owner_lease, new_id(), "", [])] if was_owner else []


def step_down(owner_lease, now):
    """Become a standby and schedule an immediate read of the owner row."""
    owner_lease.role = STANDBY
    owner_lease.authority_until = 0.0
    owner_lease.observed_version = None
    owner_lease.next_poll_at = now
    # The result of an outstanding renewal must not be taken for that of a later
    # takeover.
    owner_lease.busy = False
    owner_lease.txn_id = None


def owner_read(owner_lease, now, row, new_id):
    """Process a read of the owner row; may step down or attempt a takeover.

    ``row`` is None when the read failed.
    """
    owner_lease.busy = False
    if row is None:
        owner_lease.failed_at = now
        owner_lease.next_poll_at = now + owner_lease.poll_s
        return []
    owner_lease.failed_at = None
    if owner_lease.role == OWNER:
        _check_own_row(owner_lease, now, row)
        return poll_owner(owner_lease, now, new_id)
    if owner_lease.role == LEFT:
        return []
    owner_lease.next_poll_at = now + owner_lease.poll_s
    return _try_takeover(owner_lease, now, row, new_id)


def owner_written(owner_lease, now, sent_at, txn_id, result):
    """Process the result of this scheduler's write of the owner row.

    ``result`` maps keys to versions, or is a Conflict, or None when it is unknown.
    """
    if txn_id != owner_lease.txn_id:
        return []
    owner_lease.txn_id = None
    if owner_lease.role == LEFT:
        return []
    if result is None or isinstance(result, Conflict):
        # The write may have been applied; reading the row back shows whether it was.
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


def _check_own_row(owner_lease, now, row):
    if (
        row.version
        and _is_own_write(owner_lease, row)
        and row.value["epoch"] == owner_lease.epoch
    ):
        # It is unknown which of several renewals was applied and when it was sent: only
        # a new renewal extends the authority.
        owner_lease.version = row.version
        owner_lease.next_poll_at = now
    else:
        step_down(owner_lease, now)


def _is_own_write(owner_lease, row):
    return row.value["nonce"].startswith(owner_lease.prefix)


def _try_takeover(owner_lease, now, row, new_id):
    if row.version != owner_lease.observed_version:
        owner_lease.observed_version, owner_lease.observed_at = row.version, now
    unowned = (
        not row.version or not row.value["owner"] or _is_own_write(owner_lease, row)
    )
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
    return [_write_owner_row(owner_lease, new_id(), owner_lease.id, [fence])]


def _write_owner_row(owner_lease, txn_id, owner, puts):
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
