"""Orphaned slots of an executor: used by something that nobody answers for any more.

``/health`` counts what the executor runs. A request that the owner still counts may
have ended there, its answer being on the way, so it is subtracted only when its answer
is still missing ANSWER_S after the report. Short requests never are; a busy executor
would keep orphans until the longest run time. So an executor with several orphans gets
no new work for a moment, in which its short requests end.
"""

from .leases import LEASE_MARGIN_S

__all__ = ["apply_report", "begin_hold", "expire", "review"]

# An answer reaches an entry that is not paused within this time. Longer pauses than
# this minus a generous network delay are noticed, and drop the sample.
ANSWER_S = 1.5
# Longest time without new work, and the time with work between two of them.
HOLD_S = 2.0
HOLD_PAUSE_S = 10.0
# Share of the slots that must be orphaned for a hold.
HOLD_SHARE = 0.25
# A report that took longer to arrive says nothing about the delay of answers.
MAX_ROUND_TRIP_S = 0.5


def _drop_ended(executor, before, running):
    """Drop orphans from before a time of which at most ``running`` still run."""
    old = [item for item in executor.orphans if item[0] < before]
    ended = len(old) - max(0, running)
    if ended > 0:
        young = [item for item in executor.orphans if item[0] >= before]
        executor.orphans = old[ended:] + young


def apply_report(executor, now, sent_at, in_flight):
    """Take in a report: at most all that it counts are orphans."""
    _drop_ended(executor, sent_at - LEASE_MARGIN_S, in_flight)
    if not executor.orphans:
        executor.sample = None
    elif executor.sample is None and now - sent_at <= MAX_ROUND_TRIP_S:
        executor.sample = sent_at, now, in_flight


def review(executor, now):
    """Evaluate an earlier report; begin or end a hold."""
    if executor.sample is not None and now >= executor.sample[1] + ANSWER_S:
        sent_at, _, in_flight = executor.sample
        before = sent_at - LEASE_MARGIN_S
        known = sum(1 for started in executor.runs.values() if started < before)
        _drop_ended(executor, before, in_flight - known)
        executor.sample = None
    many = len(executor.orphans) >= max(1, executor.slots * HOLD_SHARE)
    if executor.on_hold:
        if not executor.orphans or now >= executor.hold_until:
            executor.on_hold = False
            executor.next_hold_at = now + HOLD_PAUSE_S
    elif many and now >= executor.next_hold_at:
        begin_hold(executor, now)


def begin_hold(executor, now):
    """Give the executor no new work for a moment."""
    executor.on_hold = True
    executor.hold_until = now + HOLD_S


def expire(executor, now):
    """Drop orphans whose longest run time has passed."""
    executor.orphans = [item for item in executor.orphans if now < item[1]]
