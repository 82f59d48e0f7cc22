"""Group commit of accepted jobs: one true outcome each, and no collapse when slow."""

import heapq
import itertools
import random

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from cornelward import inserts
from cornelward.commits import Applied, Refused, Rows, Unknown, partition_of
from cornelward.inserts import ACCEPTED, REFUSED, UNKNOWN, Insert, Inserts

# Load of the store on a slow day: a transaction takes 60 times 5 ms, a partition does
# one after another and turns away what would wait more than a second.
SLOW_TXN_S = 0.3
LONGEST_QUEUE_S = 1.0
ARRIVALS_S = 0.025
JOBS = 200
CALLER_WAITS_S = 2.85


def new_insert(seen, job_id="a" * 16, deadline=10.0, value=b"v"):
    return Insert(job_id, value, deadline, lambda *outcome: seen.append(outcome))


def start(insert):
    state = Inserts()
    inserts.add(state, insert)
    assert_that(inserts.flush(state), HasLength(1))
    return state


def test_stored_job_is_accepted_with_its_version():
    seen = []
    state = start(new_insert(seen))
    inserts.handle_result(state, 0.0, partition_of("a" * 16), Applied(7))
    assert_that(seen, Equals([(ACCEPTED, 7)]))


def test_refusal_is_passed_on_only_if_nothing_may_be_stored():
    seen = []
    part = partition_of("a" * 16)
    state = start(new_insert(seen))
    assert_that(
        inserts.handle_result(state, 0.0, part, Unknown("timeout")), Equals(True)
    )
    # The first try may still apply, so the second one's refusal settles nothing.
    assert_that(inserts.handle_result(state, 0.5, part, Refused("429")), Equals(True))
    assert_that(seen, Equals([]))
    inserts.handle_result(state, 11.0, part, Refused("429"))
    assert_that(seen, Equals([(UNKNOWN, None)]))
    seen.clear()
    state = start(new_insert(seen))
    inserts.handle_result(state, 0.0, part, Refused("503"), store_refusing=True)
    assert_that(seen, Equals([(REFUSED, None)]))


def test_busy_partition_is_asked_again_until_the_caller_leaves():
    seen = []
    part = partition_of("a" * 16)
    state = start(new_insert(seen))
    assert_that(inserts.handle_result(state, 1.0, part, Refused("429")), Equals(True))
    assert_that(seen, Equals([]))
    assert_that(inserts.handle_result(state, 10.0, part, Refused("429")), Equals(False))
    assert_that(seen, Equals([(REFUSED, None)]))


def test_row_that_is_there_counts_as_accepted():
    part, key = partition_of("a" * 16), ("jobs", "a" * 16)
    for value, expected in ((b"v", 5), (b"other", None)):
        seen = []
        state = start(new_insert(seen))
        inserts.handle_result(state, 0.0, part, Rows({key: (value, 5)}))
        assert_that(seen, Equals([(ACCEPTED, expected)]))


def test_job_beside_a_repeated_one_goes_into_the_next_batch():
    part = "p0"
    ids = [i for i in (f"{n:016x}" for n in range(40)) if partition_of(i) == part][:2]
    seen = {i: [] for i in ids}
    state = Inserts()
    for job_id in ids:
        inserts.add(state, new_insert(seen[job_id], job_id))
    inserts.flush(state)
    inserts.handle_result(state, 0.0, part, Rows({("jobs", ids[0]): (b"x", 3)}))
    assert_that(seen[ids[0]], Equals([(ACCEPTED, None)]))
    assert_that(inserts.flush(state), HasLength(1))
    inserts.handle_result(state, 0.0, part, Applied(9))
    assert_that(seen[ids[1]], Equals([(ACCEPTED, 9)]))


class SlowPartition:
    """One transaction after another, each slow; a long queue is turned away."""

    def __init__(self):
        self.free_at = 0.0

    def commit(self, now):
        """Return (time of the answer, whether it applied)."""
        if self.free_at - now > LONGEST_QUEUE_S:
            return now, False
        self.free_at = max(now, self.free_at) + SLOW_TXN_S
        return self.free_at, True


def arrivals(seed):
    rng = random.Random(seed)
    return list(
        itertools.accumulate(rng.expovariate(1 / ARRIVALS_S) for _ in range(JOBS))
    )


def accepted_alone(seed):
    """Return the share accepted when each job is a transaction of its own."""
    slow = SlowPartition()
    answers = [(at, *slow.commit(at)) for at in arrivals(seed)]
    served = [1 for at, end, ok in answers if ok and end - at <= CALLER_WAITS_S]
    return len(served) / JOBS


def accepted_in_groups(seed):
    """Return the share accepted in time by the module's policy."""
    slow, state, served = SlowPartition(), Inserts(), []
    ids = [
        i for i in (f"{n:016x}" for n in range(4 * 4 * JOBS)) if partition_of(i) == "p0"
    ]
    order = itertools.count()
    clock = [0.0]
    events = [(at, next(order), ids[i]) for i, at in enumerate(arrivals(seed))]
    heapq.heapify(events)

    def send(now):
        for _ in inserts.flush(state):
            end, ok = slow.commit(now)
            result = Applied(1) if ok else Refused("429")
            heapq.heappush(events, (end, next(order), result))

    while events:
        now, _, event = heapq.heappop(events)
        if isinstance(event, str):

            def settled(outcome, version, now=now):
                if outcome == ACCEPTED and clock[0] - now <= CALLER_WAITS_S:
                    served.append(1)

            inserts.add(state, Insert(event, b"v", now + CALLER_WAITS_S, settled))
        else:
            clock[0] = now
            inserts.handle_result(state, now, "p0", event)
        send(now)
    return len(served) / JOBS


def test_slow_store_takes_all_jobs_in_groups_but_few_alone():
    for seed in range(5):
        assert_that(accepted_alone(seed), LessThan(0.3))
        assert_that(accepted_in_groups(seed), GreaterThan(0.95))
