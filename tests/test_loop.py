"""Guards the timers of the loop: order, cancellation, repetition after a failure."""

import threading
import time

import pytest
from circuits import BaseComponent, handler
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.loop import Loop

WAIT_LIMIT_S = 30


@pytest.fixture
def loop():
    return Loop()


def test_timers_run_in_order_of_their_due_times(loop):
    ran = []
    loop.call_later(0.02, lambda: ran.append("late"))
    loop.call_later(0.01, lambda: ran.append("early"))
    assert loop.run_until(lambda: len(ran) == 2, WAIT_LIMIT_S)
    assert_that(ran, Equals(["early", "late"]))


def test_cancelled_timer_does_not_run(loop):
    ran = []
    timer = loop.call_later(0.01, lambda: ran.append("cancelled"))
    loop.cancel(timer)
    loop.cancel(timer)
    loop.call_later(0.02, lambda: ran.append("kept"))
    assert loop.run_until(lambda: ran, WAIT_LIMIT_S)
    assert_that(ran, Equals(["kept"]))


def test_repeated_call_continues_after_an_exception(loop, capsys):
    ran = []

    def fail():
        ran.append(1)
        raise ValueError("first run fails")

    loop.call_every(0.01, fail)
    assert_that(loop.run_until(lambda: len(ran) >= 3, WAIT_LIMIT_S), Equals(True))


def test_due_timer_runs_without_another_event(loop):
    """Guards against a poller that waits for input although a timer is due."""
    ran = []

    def step():
        ran.append(1)
        if len(ran) == 3:
            loop.stop()
        else:
            loop.call_later(0.01, step)

    loop.call_later(0.01, step)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    thread.join(WAIT_LIMIT_S)
    assert_that(len(ran), Equals(3))


def test_timer_cancelled_while_it_is_due_does_not_run(loop):
    # Guards against the timeout of a completed request, which was cancelled in the
    # iteration in which it was due, closing the connection of the next request.
    ran, timers = [], []
    loop.call_later(0.01, lambda: loop.cancel(timers[0]))
    timers.append(loop.call_later(0.01, lambda: ran.append("cancelled")))
    loop.call_later(0.02, lambda: ran.append("kept"))
    loop.run_until(lambda: False, 0.0)
    time.sleep(0.015)
    assert loop.run_until(lambda: ran, WAIT_LIMIT_S)
    assert_that(ran, Equals(["kept"]))


def test_cancelled_timers_are_removed_before_they_are_due(loop):
    # Guards against the deadlines of completed requests staying in memory until they
    # are due.
    kept = loop.call_later(3_600, lambda: None)
    for _ in range(20_000):
        loop.cancel(loop.call_later(3_600, lambda: None))
    assert len(loop._timers) < 3_000
    assert kept in loop._timers


class WaitRecorder(BaseComponent):
    """Records the wait time that the poller is given in each iteration."""

    channel = "loop"

    def __init__(self):
        super().__init__(channel="loop")
        self.waits = []

    # The poller's own handler has priority -9.
    @handler("generate_events", priority=-8)
    def _on_generate_events(self, event):
        self.waits.append(event.time_left)


def test_due_timer_does_not_wait_for_the_next_timer_or_input(loop):
    recorder = WaitRecorder().register(loop)
    assert loop.run_until(lambda: recorder.waits, WAIT_LIMIT_S)
    while len(loop):
        loop.flush()
    recorder.waits.clear()
    loop.call_later(0, lambda: None)
    loop.tick(0.05)
    assert_that(recorder.waits, Equals([0]))
