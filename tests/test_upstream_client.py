"""Guards against wrong verdicts and responses delivered to the wrong request."""

import random

import pytest
from fixtures_simulation import Simulation
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward.http_client import HttpResult
from cornelward.upstream_client import parse_attempt_result
from cornelward.verdicts import Verdict

SCHEDULES = 2_000
# The schedules are split into this many tests so that they can run on several cores.
PARTS = 8


def result(status, headers=(), error=None, sent=True):
    return HttpResult(status, dict(headers), b"body", error, sent)


@pytest.mark.parametrize(
    ("http_result", "verdict", "leaving"),
    [
        (result(None, error="connect_failed", sent=False), Verdict.NOT_RUN, True),
        (result(None, error="timeout", sent=False), Verdict.NOT_RUN, False),
        (result(None, error="closed", sent=False), Verdict.NOT_RUN, True),
        (result(None, error="closed"), Verdict.MAY_HAVE_RUN, True),
        (result(None, error="timeout"), Verdict.MAY_HAVE_RUN, False),
        (result(None, error="bad_answer"), Verdict.MAY_HAVE_RUN, False),
        (result(503, {"x-not-run": "1"}), Verdict.NOT_RUN, False),
        (result(503), Verdict.RAN, False),
        (result(200, {"x-not-run": "1"}), Verdict.RAN, False),
        (result(200, {"x-state": "leaving"}), Verdict.RAN, True),
        (result(200, {"x-request-id": "other"}), Verdict.MAY_HAVE_RUN, False),
        (
            result(503, {"x-not-run": "1", "x-request-id": "other"}),
            Verdict.MAY_HAVE_RUN,
            False,
        ),
    ],
)
def test_verdict_depends_on_bytes_sent_and_response(http_result, verdict, leaving):
    answer = parse_attempt_result(http_result, "mine")
    assert_that((answer.verdict, answer.leaving), Equals((verdict, leaving)))


def inject_faults(sim, rng):
    """Inject random faults into the network and the executors."""
    for name in sim.executors:
        sim.network.faults[name] = {
            "refused": rng.choice((0.0, 0.2)),
            "cut": rng.choice((0.0, 0.2)),
            "lost": rng.choice((0.0, 0.2)),
            "mixed": rng.choice((0.0, 0.2)),
        }
        switches = {
            "slow_ms": rng.choice((0, 0, 50, 1_500)),
            "refuse": rng.random() < 0.1,
            "leaving": rng.random() < 0.1,
            "dead": rng.random() < 0.05,
        }
        sim.send_control(name, "/switch", switches)


def run_schedule(seed, requests=14):
    rng = random.Random(seed)
    sim = Simulation(seed, entries=2)
    operation_of = {}
    for number in range(requests):
        if number % 4 == 0:
            inject_faults(sim, rng)
        operation = rng.choice(("price", "note"))
        request_id = f"{seed}-{number}"
        operation_of[request_id] = operation
        timeout_ms = rng.choice((100, 1_000, 3_000))
        call = sim.send_request(
            rng.choice(sim.entries), request_id, operation, None, timeout_ms
        )
        sim.clock.advance(rng.choice((0.0, 0.01, 0.2)))
        if rng.random() < 0.05 and not call.answered:
            call.closed = True
            if call.on_closed:
                call.on_closed()
            operation_of.pop(request_id)
    sim.clock.advance(10.0)
    return sim, operation_of


def check_schedule(sim, operation_of):
    """Check every answer against the executors' record; returns the verdicts."""
    ran = sim.run_counts()
    verdicts = []
    for request_id, operation in operation_of.items():
        answers = sim.answers[request_id]
        assert_that(answers, HasLength(1), request_id)
        status, body, verdict = answers[0]
        count = ran.get(request_id, 0)
        if verdict == "NOT_RUN":
            assert_that(count, Equals(0), request_id)
        if verdict == "RAN":
            assert_that((status, body), Equals((200, request_id.encode())))
            assert count >= 1, request_id
        if operation == "note":
            assert count <= 1, request_id
        verdicts.append(verdict)
    for entry in sim.entries:
        assert_that(entry.calls, HasLength(0))
    return verdicts


@pytest.mark.proof
@pytest.mark.parametrize("part", range(PARTS))
def test_verdicts_agree_with_the_record_of_what_ran(part):
    """Guarantees 3 and 4, and no retry of a request that may have run.

    Only idempotent requests may be retried then. Meanwhile two entries borrow and lend
    slots and learn that executors are leaving.
    """
    verdicts_seen = []
    for seed in range(part, SCHEDULES, PARTS):
        verdicts_seen += check_schedule(*run_schedule(seed))
    for verdict in Verdict:
        assert verdicts_seen.count(verdict) > SCHEDULES / PARTS, verdict
