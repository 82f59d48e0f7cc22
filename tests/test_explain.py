"""Guards the history of a job from several logs, with its gaps and takeovers."""

import json

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from cornelward.explain import explain, read_events

JOB = "5c0e7a21d94b36f8"


def log_line(timestamp, event, node="n1", prefix="", **fields):
    return prefix + json.dumps(
        {"timestamp": timestamp, "message_type": event, "node": node, **fields}
    )


LINES = [
    log_line(2.0, "node_leader.start", task=f"{JOB}.0.0.1", run=1, worker="i-1"),
    log_line(1.0, "node_inserts.accepted", "n2", prefix="  12.1 edge-1 ", job=JOB),
    "not a log line",
    '{"broken": ',
    log_line(4.0, "node.leadership_claimed", "n2", token=2),
    log_line(1.5, "node_inserts.accepted", job="other"),
    log_line(9.0, "dispatch_runs.job_ended", "n2", job=JOB, outcome="completed"),
]


def test_events_of_one_job_are_printed_in_order():
    lines = explain(read_events(LINES), JOB)
    assert_that(lines[0], Contains("node_inserts.accepted"))
    assert_that(lines[-1], Contains("outcome=completed"))


def test_gaps_and_takeovers_are_marked():
    lines = explain(read_events(LINES), JOB)
    assert_that([text for text in lines if "without an event" in text], HasLength(3))
    assert_that([text for text in lines if "*" in text], HasLength(1))


def test_unknown_job_is_reported():
    assert_that(explain(read_events(LINES), "x"), Equals(["no event of job x"]))
