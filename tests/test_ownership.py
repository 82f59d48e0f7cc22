"""The owner lease by single steps."""

import itertools
from functools import partial

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward.identity import Identity
from cornelward.ownership import (
    OWNER,
    STANDBY,
    Ownership,
    has_authority,
    may_renew_workers,
    owner_read,
    owner_written,
    poll_owner,
    step_down,
)
from cornelward.platform_client import Conflict, Row
from cornelward.settings import SCHEDULER
from cornelward.task_effects import ReadRow

OTHER = {"owner": "x", "address": "", "epoch": 4, "renewals": 9, "nonce": "x/1/1"}


@pytest.fixture
def own():
    return Ownership(SCHEDULER, Identity("s", 1, "fd", "r", "", ""))


@pytest.fixture
def new_id():
    return partial(next, itertools.count(1))


def take(own, new_id):
    poll_owner(own, 0.0, new_id)
    (txn,) = owner_read(own, 0.0, Row(own.key, None, 0), new_id)
    owner_written(own, 0.1, 0.0, txn.txn_id, {own.key: 1, own.fence_key: 2})
    return txn


def test_candidate_waits_for_the_lease_and_the_margin(own, new_id):
    """Guards against two owners: the row must be unchanged on the candidate's clock."""
    row = Row(own.key, OTHER, 7)
    assert_that(owner_read(own, 0.0, row, new_id), HasLength(0))
    assert_that(owner_read(own, 3.4, row, new_id), HasLength(0))
    assert_that(owner_read(own, 3.5, Row(own.key, OTHER, 8), new_id), HasLength(0))
    (txn,) = owner_read(own, 7.0, Row(own.key, OTHER, 8), new_id)
    assert_that(txn.checks, Equals([[own.key, 8]]))
    assert_that(txn.puts[0][1]["epoch"], Equals(5))


def test_authority_counts_from_sending(own, new_id):
    """Guards against authority that outlives the lease when an answer was slow."""
    take(own, new_id)
    assert_that(has_authority(own, 2.9), Equals(True))
    assert_that(has_authority(own, 3.0), Equals(False))


def test_lost_answer_of_a_renewal_is_read_back(own, new_id):
    """Guards against a renewal that applied unseen and then conflicts for ever."""
    take(own, new_id)
    (renewal,) = poll_owner(own, 1.0, new_id)
    owner_written(own, 3.0, 1.0, renewal.txn_id, None)
    row = Row(own.key, renewal.puts[0][1], 9)
    (again,) = owner_read(own, 3.1, row, new_id)
    assert_that(again.checks, Equals([[own.key, 9]]))
    assert_that(has_authority(own, 3.1), Equals(False))


def test_owner_steps_down_when_another_took_over(own, new_id):
    """Guards against a paused owner that goes on after a takeover."""
    take(own, new_id)
    (renewal,) = poll_owner(own, 9.0, new_id)
    owner_written(own, 9.1, 9.0, renewal.txn_id, Conflict({own.key: 3}))
    assert_that(own.role, Equals(OWNER))
    owner_read(own, 9.2, Row(own.key, OTHER, 3), new_id)
    assert_that(own.role, Equals(STANDBY))


def test_late_answer_of_a_renewal_does_not_make_a_standby_the_owner(own, new_id):
    """Guards against seed 3936: stepping down while a renewal was on its way."""
    take(own, new_id)
    (renewal,) = poll_owner(own, 1.0, new_id)
    step_down(own, 1.1)
    owner_written(own, 1.2, 1.0, renewal.txn_id, {own.key: 5})
    assert_that(own.role, Equals(STANDBY))
    assert_that(poll_owner(own, 1.2, new_id), Equals([ReadRow(own.key)]))


def test_worker_leases_are_renewed_in_an_outage_but_not_after_a_pause(own, new_id):
    """Guards against tasks that stop in an outage, and a paused owner's renewals."""
    take(own, new_id)
    assert_that(may_renew_workers(own, 50.0), Equals(False))
    (renewal,) = poll_owner(own, 50.0, new_id)
    owner_written(own, 52.0, 50.0, renewal.txn_id, None)
    assert_that(may_renew_workers(own, 52.0), Equals(True))
    assert_that(has_authority(own, 52.0), Equals(False))
