"""Tests of the owner lease, one state transition at a time."""

import itertools
from functools import partial

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward.identity import Identity
from cornelward.ownership import (
    OWNER,
    STANDBY,
    OwnerLease,
    has_authority,
    may_renew_workers,
    owner_read,
    owner_written,
    poll_owner,
    step_down,
)
from cornelward.platform_client import Conflict, Row
from cornelward.settings import SCHEDULER_DEFAULTS
from cornelward.task_effects import ReadRow

OTHER = {"owner": "x", "address": "", "epoch": 4, "renewals": 9, "nonce": "x/1/1"}


@pytest.fixture
def owner_lease():
    return OwnerLease(SCHEDULER_DEFAULTS, Identity("s", 1, "fd", "r", "", ""))


@pytest.fixture
def new_id():
    return partial(next, itertools.count(1))


def acquire_ownership(owner_lease, new_id):
    poll_owner(owner_lease, 0.0, new_id)
    (txn,) = owner_read(owner_lease, 0.0, Row(owner_lease.key, None, 0), new_id)
    owner_written(
        owner_lease,
        0.1,
        0.0,
        txn.txn_id,
        {owner_lease.key: 1, owner_lease.fence_key: 2},
    )
    return txn


def test_candidate_waits_for_the_lease_and_the_margin(owner_lease, new_id):
    """Guards against two owners at a time.

    A candidate may take over only when the row has not changed for the lease and the
    margin on its own clock.
    """
    row = Row(owner_lease.key, OTHER, 7)
    assert_that(owner_read(owner_lease, 0.0, row, new_id), HasLength(0))
    assert_that(owner_read(owner_lease, 3.4, row, new_id), HasLength(0))
    assert_that(
        owner_read(owner_lease, 3.5, Row(owner_lease.key, OTHER, 8), new_id),
        HasLength(0),
    )
    (txn,) = owner_read(owner_lease, 7.0, Row(owner_lease.key, OTHER, 8), new_id)
    assert_that(txn.checks, Equals([[owner_lease.key, 8]]))
    assert_that(txn.puts[0][1]["epoch"], Equals(5))


def test_authority_starts_when_the_write_is_sent(owner_lease, new_id):
    """Guards against authority that outlasts the lease after a slow reply."""
    acquire_ownership(owner_lease, new_id)
    assert_that(has_authority(owner_lease, 2.9), Equals(True))
    assert_that(has_authority(owner_lease, 3.0), Equals(False))


def test_lost_answer_of_a_renewal_is_read_back(owner_lease, new_id):
    """Guards against endless conflicts after a renewal that applied without a reply."""
    acquire_ownership(owner_lease, new_id)
    (renewal,) = poll_owner(owner_lease, 1.0, new_id)
    owner_written(owner_lease, 3.0, 1.0, renewal.txn_id, None)
    row = Row(owner_lease.key, renewal.puts[0][1], 9)
    (again,) = owner_read(owner_lease, 3.1, row, new_id)
    assert_that(again.checks, Equals([[owner_lease.key, 9]]))
    assert_that(has_authority(owner_lease, 3.1), Equals(False))


def test_owner_steps_down_when_another_took_over(owner_lease, new_id):
    """Guards against a paused owner that continues as owner after a takeover."""
    acquire_ownership(owner_lease, new_id)
    (renewal,) = poll_owner(owner_lease, 9.0, new_id)
    owner_written(owner_lease, 9.1, 9.0, renewal.txn_id, Conflict({owner_lease.key: 3}))
    assert_that(owner_lease.role, Equals(OWNER))
    owner_read(owner_lease, 9.2, Row(owner_lease.key, OTHER, 3), new_id)
    assert_that(owner_lease.role, Equals(STANDBY))


def test_late_answer_of_a_renewal_does_not_make_a_standby_the_owner(
    owner_lease, new_id
):
    """Guards against a standby that takes a late renewal reply for a takeover.

    Found with seed 3936: the owner stepped down while a renewal was outstanding.
    """
    acquire_ownership(owner_lease, new_id)
    (renewal,) = poll_owner(owner_lease, 1.0, new_id)
    step_down(owner_lease, 1.1)
    owner_written(owner_lease, 1.2, 1.0, renewal.txn_id, {owner_lease.key: 5})
    assert_that(owner_lease.role, Equals(STANDBY))
    assert_that(
        poll_owner(owner_lease, 1.2, new_id), Equals([ReadRow(owner_lease.key)])
    )


def test_worker_leases_are_renewed_in_an_outage_but_not_after_a_pause(
    owner_lease, new_id
):
    """Guards against tasks that stop in an outage, and renewals by a paused owner."""
    acquire_ownership(owner_lease, new_id)
    assert_that(may_renew_workers(owner_lease, 50.0), Equals(False))
    (renewal,) = poll_owner(owner_lease, 50.0, new_id)
    owner_written(owner_lease, 52.0, 50.0, renewal.txn_id, None)
    assert_that(may_renew_workers(owner_lease, 52.0), Equals(True))
    assert_that(has_authority(owner_lease, 52.0), Equals(False))
