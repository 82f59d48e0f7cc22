"""Orphaned slots: slots of an executor whose request is unknown and may still run.

``/health`` reports how many requests the executor runs. Requests that the owner knows
to run are subtracted to find out how many orphans have ended. Such a request may have
ended on the executor with its answer still on the way, so it is subtracted only if its
answer is still missing MAX_ANSWER_DELAY_S after the report. Short requests end earlier
and are never subtracted: on a busy executor, orphans would last until the maximum run
time. Therefore an executor with many orphans is put on hold: it gets no new requests
for a short time, in which its short requests end.
"""

from .leases import LEASE_MARGIN_S

__all__ = ["apply_report", "begin_hold", "expire", "review"]

# An answer reaches an entry that is not paused within this time. Pauses longer than
# this time minus a generous network delay are detected, and the sampled report is then
# discarded.
MAX_ANSWER_DELAY_S = 1.5
# Longest duration of a hold, and the time between the end of one and the next.
MAX_HOLD_S = 2.0
MIN_HOLD_GAP_S = 10.0
# Share of an executor's slots that must be orphaned for a hold to begin.
HOLD_SHARE = 0.25
# Reports with a longer round trip are not sampled: they say nothing about the delay of
# answers.
MAX_ROUND_TRIP_S = 0.5


def _drop_ended(executor, before, running):
    """Drop orphans older than ``before``, except ``running`` that may still run."""
    old = [item for item in executor.orphans if item[0] < before]
    ended_count = len(old) - max(0, running)
    if ended_count > 0:
        newer = [item for item in executor.orphans if item[0] >= before]
        executor.orphans = old[ended_count:] + newer


def apply_report(executor, now, sent_at, in_flight):
    """Drop the orphans that a report rules out, and sample the report.

    Each request that the report counts could be an orphan.
    """
    _drop_ended(executor, sent_at - LEASE_MARGIN_S, in_flight)
    if not executor.orphans:
        executor.sample = None
    elif executor.sample is None and now - sent_at <= MAX_ROUND_TRIP_S:
        executor.sample = sent_at, now, in_flight


def review(executor, now):
    """Evaluate the sampled report once answers had time to arrive; update the hold."""
    if executor.sample is not None and now >= executor.sample[1] + MAX_ANSWER_DELAY_S:
        sent_at, _, in_flight = executor.sample
        before = sent_at - LEASE_MARGIN_S
        still_counted = sum(1 for started in executor.runs.values() if started < before)
        _drop_ended(executor, before, in_flight - still_counted)
        executor.sample = None
    enough_orphans = len(executor.orphans) >= max(1, executor.slots * HOLD_SHARE)
    if executor.on_hold:
        if not executor.orphans or now >= executor.hold_until:
            executor.on_hold = False
            executor.next_hold_at = now + MIN_HOLD_GAP_S
    elif enough_orphans and now >= executor.next_hold_at:
        begin_hold(executor, now)


def begin_hold(executor, now):
    """Stop new requests to the executor for at most MAX_HOLD_S."""
    executor.on_hold = True
    executor.hold_until = now + MAX_HOLD_S


def expire(executor, now):
    """Drop orphans whose maximum run time has passed."""
    executor.orphans = [item for item in executor.orphans if now < item[1]]
