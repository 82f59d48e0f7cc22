"""When calls to the store are given up, in simulated time.

Guards against calls that wait out their limit after the store is back (trouble-3 of
nvb: nothing was recorded for 2.9 s), against answers that are lost while leaders
change (lost-writes-takeover), and against calls sent twice to a store that is slow.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from cornelward import store_calls
from cornelward.store_calls import ANSWERED, TIMED_OUT, StoreCalls

TICK_S = 0.1


def answer(calls, sent_at, taken_s, kind="commit"):
    number, _ = store_calls.start(calls, sent_at, kind)
    return store_calls.finish(calls, sent_at + taken_s, number, ANSWERED)


def test_first_answer_after_a_silence_gives_up_what_was_lost_in_it():
    calls = StoreCalls()
    lost = [store_calls.start(calls, 10.0, "commit")[0] for _ in range(5)]
    for number in lost:
        store_calls.finish(calls, 10.9, number, TIMED_OUT)
    repeated = [store_calls.start(calls, 10.9, "commit")[0] for _ in range(5)]
    assert_that(store_calls.is_probe_due(calls, 11.0, 0.25), Is(True))
    fresh, _ = store_calls.start(calls, 11.3, "commit")
    assert_that(answer(calls, 11.4, 0.005, kind="probe"), Equals(repeated))
    assert_that(fresh in calls.under_way, Is(True))
    assert_that(store_calls.is_probe_due(calls, 12.0, 0.25), Is(False))


def test_calls_that_were_lost_together_raise_the_limit_once():
    calls = StoreCalls()
    numbers = [store_calls.start(calls, 10.0, "commit")[0] for _ in range(5)]
    for number in numbers:
        store_calls.finish(calls, 10.9, number, TIMED_OUT)
    assert_that(store_calls.start(calls, 10.9, "commit")[1], Equals(1.8))


@pytest.mark.parametrize(
    ("kind", "overtaken_by", "given_up"),
    [
        ("commit", "commit", True),
        ("read", "commit", True),
        ("commit", "read", False),
        ("follow", "read", True),
    ],
)
def test_call_is_given_up_once_a_later_one_was_answered(kind, overtaken_by, given_up):
    calls = StoreCalls()
    number, _ = store_calls.start(calls, 10.0, kind, 0.4 if kind == "follow" else 0.0)
    answer(calls, 10.1, 0.005, kind=overtaken_by)
    assert_that(store_calls.overtaken(calls, 10.2), Equals([]))
    assert_that(store_calls.overtaken(calls, 10.75), Equals([number] * given_up))


@pytest.mark.parametrize("transaction_s", [0.3, 0.6])
def test_no_call_to_a_slow_store_is_given_up(transaction_s):
    # Four partitions, one transaction after another, each with a record and a batch of
    # inserts under way: an answer takes one or two transactions.
    calls = StoreCalls()
    for at in range(20):
        answer(calls, at * 0.05, 0.005)
    due = [
        (1.0 + lane * 0.02, 1.0 + (1 + lane % 2) * transaction_s) for lane in range(8)
    ]
    open_calls = {}
    now = 1.0
    for sent_at, ends_at in due:
        open_calls[store_calls.start(calls, sent_at, "commit")[0]] = ends_at
    while open_calls:
        now += TICK_S
        for number in [n for n, ends_at in open_calls.items() if ends_at <= now]:
            assert_that(
                store_calls.finish(calls, open_calls.pop(number), number, ANSWERED),
                Equals([]),
            )
        assert_that(store_calls.overtaken(calls, now), Equals([]))
        assert_that(now, LessThan(5.0))


def test_call_whose_answer_arrives_is_not_given_up_as_overtaken():
    # CONFIG: feeds of a large configuration were (issue 44).
    calls = StoreCalls()
    number, _ = store_calls.start(calls, 0.0, "follow", 1.0)
    for at in (1.0, 1.6, 2.2):
        store_calls.note_received(calls, at, number)
    later, _ = store_calls.start(calls, 2.1, "read")
    assert_that(store_calls.finish(calls, 2.2, later, ANSWERED), Equals([]))
    assert_that(
        store_calls.overtaken(calls, 2.2 + 0.9 * store_calls.STALL_S), Equals([])
    )
    assert_that(
        store_calls.overtaken(calls, 2.2 + 1.1 * store_calls.STALL_S), Equals([number])
    )


def test_size_of_an_answer_does_not_raise_the_time_limit():
    calls = StoreCalls()
    number, limit_s = store_calls.start(calls, 0.0, "read")
    store_calls.note_received(calls, 0.02, number)
    store_calls.note_received(calls, 2.0, number)
    store_calls.finish(calls, 2.0, number, ANSWERED)
    assert_that(store_calls.start(calls, 3.0, "read")[1], Equals(limit_s))
