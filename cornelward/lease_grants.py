"""Core: leases that leaders grant to workers, and when they have certainly expired.

``docs/platform.md`` has the argument that no lease outlasts what is assumed here.
"""

from .workers import CLOCK_DRIFT, LEASE_EXPIRY_MARGIN_S

__all__ = [
    "FORMER_LEASE_S",
    "FORMER_MARGIN_S",
    "GRANT_HORIZON_S",
    "assume_longest_lease",
    "end_former_leases",
    "extend_lease",
    "lease_end",
    "may_grant",
    "record_leases",
    "release_leases",
]

# A leader grants no lease that ends later than this after it certainly led, so that its
# successor knows a bound of all of them. Workers keep their runs in a store outage that
# is about two seconds shorter.
GRANT_HORIZON_S = 12.0
# Added to a lease that a former leader granted: the time to kill tasks, and the
# difference between the nodes' clocks.
FORMER_MARGIN_S = 0.6
# The leases of a former leader have expired this long after a time at which it had
# certainly renewed its row for the last time.
FORMER_LEASE_S = GRANT_HORIZON_S + FORMER_MARGIN_S
# The lease of a worker that did not answer this many polls in a row is recorded, and
# that of at most so many workers, as a row has a limited size.
SILENT_POLLS = 2
MAX_RECORDED_LEASES = 500


def may_grant(now, confirmed_at):
    """Return whether a leader that led at ``confirmed_at`` may still grant leases."""
    return now < confirmed_at + GRANT_HORIZON_S


def extend_lease(worker, now, lease_s, confirmed_at):
    """Extend the lease by a request sent at ``now``.

    It ends within ``lease_s``, and within GRANT_HORIZON_S after ``confirmed_at``, when
    this leader certainly led: also if the worker's clock is as slow as it may be, and
    whenever the request arrives. Returns its new end on the worker's clock.
    """
    ends_at = min(now + lease_s, confirmed_at + GRANT_HORIZON_S)
    clock_s = worker.clock_s + (ends_at - worker.clock_at) * (1 - CLOCK_DRIFT)
    deadline = max(worker.deadline_s, clock_s)
    worker.deadline_s = deadline
    ends_at = worker.clock_at + (deadline - worker.clock_s) / (1 - CLOCK_DRIFT)
    worker.lease_ends_at = max(worker.lease_ends_at, ends_at + LEASE_EXPIRY_MARGIN_S)
    return deadline


def assume_longest_lease(worker, now, longest_s):
    """Raise ``lease_ends_at``: a request sent at ``now`` may grant the longest lease.

    A worker cuts a lease to that if its clock is behind the one that we know, as after
    a restart.
    """
    ends_at = now + longest_s / (1 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
    worker.lease_ends_at = max(worker.lease_ends_at, ends_at)


def end_former_leases(worker, now, longest_s):
    """Note that from ``now`` on the worker refuses requests of former leaders.

    The lease that they granted is no longer than the longest one.
    """
    ends_at = now + longest_s / (1 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
    worker.former_lease_ends_at = min(worker.former_lease_ends_at, ends_at)


def record_leases(workers, now, former_leases_end_at):
    """Return {worker id: seconds}: how long the leases of silent workers hold.

    They are recorded for a successor, which need not wait longer for them. So they are
    not extended before a later record without the worker has been written.
    """
    silent = [w for w in workers if w.failed_polls >= SILENT_POLLS and w.runs]
    recorded = {}
    for worker in silent[:MAX_RECORDED_LEASES]:
        worker.lease_recorded = True
        left_s = lease_end(worker, former_leases_end_at) - now
        recorded[worker.info.id] = round(max(0.0, left_s), 3) + 0.001
    return recorded


def release_leases(workers, recorded):
    """Note that a record was written that has only the leases in ``recorded``.

    Returns whether leases of other workers may be extended again.
    """
    others = [w for w in workers if w.lease_recorded and w.info.id not in recorded]
    for worker in others:
        worker.lease_recorded = False
        worker.changed = True
    return bool(others)


def lease_end(worker, former_leases_end_at):
    """Return the time by which the worker's lease has certainly expired.

    Former leaders may have granted one that holds until ``former_leases_end_at``.
    """
    former_ends_at = min(worker.former_lease_ends_at, former_leases_end_at)
    return max(worker.lease_ends_at, former_ends_at)
