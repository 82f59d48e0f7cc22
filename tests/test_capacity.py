"""Tests of worker capacity: the indexes, allocations and the order of candidates."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cornelward.capacity import (
    Resources,
    Worker,
    WorkerTable,
    add_allocation,
    candidates,
    fits,
    release_allocations,
    set_usage,
    update_indexes,
)

VECTORS = st.builds(
    Resources,
    st.sampled_from([0.0, 0.25, 0.5, 1.0, 1.75, 2.0, 3.5, 8.0, 70.0]),
    st.sampled_from([0.0, 100.0, 1_000.0, 4_000.0]),
    st.sampled_from([0.0, 0.0, 1.0, 2.0]),
)


def make_table(capacities):
    table = WorkerTable()
    for number, capacity in enumerate(capacities):
        worker = Worker(f"w{number}", "", None, capacity)
        worker.accepts = True
        table.by_id[worker.id] = worker
        update_indexes(table, worker)
    return table


@settings(derandomize=True, deadline=None)
@given(st.lists(VECTORS, min_size=1, max_size=30), VECTORS)
def test_index_finds_every_worker_that_fits(capacities, demand):
    """A worker missed by the search would leave a task waiting despite free room."""
    table = make_table(capacities)
    found = {
        w.id for w in candidates(table, table.free, demand) if fits(demand, w.free)
    }
    expected = {w.id for w in table.by_id.values() if fits(demand, w.capacity)}
    assert_that(found, Equals(expected))


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(VECTORS, VECTORS), max_size=12))
def test_release_returns_all_allocated_capacity(tasks):
    """A wrong release would leak capacity, and reported usage must never add any."""
    table = make_table([Resources(8.0, 8_000.0, 2.0)])
    worker = table.by_id["w0"]
    for number, (declared, used) in enumerate(tasks):
        add_allocation(table, worker, number, declared, preemptible=number % 2 == 0)
        before = worker.free
        set_usage(table, worker, number, used)
        assert_that(fits(worker.free, before), Equals(True))
    release_allocations(table, worker, list(range(len(tasks))))
    assert_that(worker.free, Equals(worker.capacity))
    assert_that(worker.evictable, Equals(worker.capacity))


def test_first_candidate_has_the_least_free_capacity():
    """Batch tasks must not fragment an empty worker while a fuller one fits them."""
    table = make_table([Resources(32.0, 9.0, 0.0), Resources(4.0, 9.0, 0.0)])
    first = next(candidates(table, table.free, Resources(2.0, 1.0, 0.0)))
    assert_that(first.id, Equals("w1"))
    assert_that(table.examined, LessThan(2))
