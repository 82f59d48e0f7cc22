"""Guards against connections that together take more than a process may have."""

from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.http_memory import (
    NOTHING,
    Held,
    MemoryBudget,
    buffered_bytes,
    caller_connections,
    connection_to_replace,
)


class Holder:
    """A connection that holds ``held`` until it is given up."""

    def __init__(self, budget, held):
        self.budget = budget
        self.held = held
        self.given_up = 0
        budget.set_held(self, held)

    def give_up(self):
        self.given_up += 1
        self.budget.set_held(self, NOTHING)
        # A server accounts for a connection again while it refuses its request.
        self.budget.shed()


def test_many_connections_share_one_budget():
    budget = MemoryBudget(1_000_000)
    holders = [Holder(budget, Held(10_000)) for _ in range(200)]
    budget.shed()
    assert_that(budget.is_exceeded(), Equals(False))
    assert_that(sum(h.given_up for h in holders), Equals(113))
    assert_that(max(h.given_up for h in holders), Equals(1))


def test_largest_unfinished_request_is_given_up_first():
    budget = MemoryBudget(100_000)
    small, large = Holder(budget, Held(40_000)), Holder(budget, Held(70_000))
    budget.shed()
    assert_that((small.given_up, large.given_up), Equals((0, 1)))


def test_requests_that_a_handler_has_are_not_given_up():
    budget = MemoryBudget(100_000)
    handled, loose = Holder(budget, Held(0, 200_000)), Holder(budget, Held(5_000))
    budget.shed()
    assert_that((handled.given_up, loose.given_up), Equals((0, 1)))
    assert_that(budget.is_exceeded(), Equals(True))


def test_small_unfinished_requests_are_kept_as_they_would_make_no_room():
    budget = MemoryBudget(100_000)
    handled, small = Holder(budget, Held(0, 200_000)), Holder(budget, Held(500))
    budget.shed()
    assert_that((handled.given_up, small.given_up), Equals((0, 0)))


def test_released_bytes_are_counted_once():
    budget = MemoryBudget(1_000)
    conn = object()
    budget.set_held(conn, Held(300, 200))
    budget.set_held(conn, Held(100))
    assert_that(budget.used_bytes, Equals(100))
    budget.set_held(conn, NOTHING)
    budget.set_held(conn, NOTHING)
    assert_that(budget.used_bytes, Equals(0))


def conn(active_at, busy=False, receiving=False, served=0, closing=False):
    return SimpleNamespace(
        is_busy=busy,
        is_receiving=receiving,
        served=served,
        is_closing=closing,
        last_active_at=active_at,
    )


@pytest.mark.parametrize(
    ("conns", "expected"),
    [
        ([], None),
        ([conn(1, busy=True)], None),
        ([conn(2), conn(1)], 1),
        ([conn(1, served=1), conn(2, receiving=True)], 1),
        ([conn(1, served=1), conn(2)], 1),
        ([conn(1, served=1), conn(2, served=3, receiving=True)], 1),
        ([conn(2, served=1), conn(1, served=1), conn(0, busy=True)], 1),
        ([conn(1, receiving=True), conn(2, closing=True)], 1),
    ],
)
def test_new_connection_replaces_the_one_unfinished_for_longest(conns, expected):
    found = connection_to_replace(conns)
    assert_that(found, Equals(None if expected is None else conns[expected]))


@pytest.mark.parametrize("memory_mb", [160, 200, 300, 552])
def test_smallest_instance_has_room_for_many_of_the_largest_legal_bodies(memory_mb):
    assert buffered_bytes(memory_mb) >= 64 * 262_144
    assert buffered_bytes(memory_mb) <= memory_mb * 1_048_576 // 8


@pytest.mark.parametrize(
    ("max_fds", "expected"),
    [(10_250, 2_000), (4_200, 2_000), (3_075, 1_437), (1_638, 719), (100, 1)],
)
def test_callers_leave_descriptors_to_the_store_and_other_nodes(max_fds, expected):
    assert_that(caller_connections(max_fds), Equals(expected))
