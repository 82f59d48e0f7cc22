"""Guards against wrong verdicts and repeated runs of forwarded requests."""

import random

import pytest
from fixtures_entry import OBJECTS
from fixtures_simulation import Simulation
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward import forwarding

SCHEDULES = 300
SPILLING = [dict(item) for item in OBJECTS]
SPILLING[0]["failure_domains"] = ["l1", "l2"]
SPILLING[3]["spill"] = "region"


def two_domains(seed):
    """Return (simulation, entry of l2); all executors are in l1."""
    sim = Simulation(seed, objects=SPILLING)
    other = sim.start_entry("f0", "l2")
    sim.clock.advance(8.0)
    return sim, other


def test_request_runs_in_another_failure_domain_of_the_region():
    sim, other = two_domains(1)
    sim.send_request(other, "a", "note")
    sim.send_request(other, "b", "book", "k")
    sim.clock.advance(4.0)
    assert_that(sim.answers["a"], Equals([(200, b"a", "RAN")]))
    assert_that(sim.answers["b"], Equals([(200, b"k", "RAN")]))
    assert_that(sim.run_counts(), Equals({"a": 1, "b": 1}))


def test_address_of_an_entry_outside_the_view_is_not_used():
    # The rows of replaced entries would otherwise attract attempts, which fail.
    sim, other = two_domains(1)
    for number in range(20):
        value = {"http_address": "nowhere", "incarnation": number}
        sim.txn([[f"entries/l1/gone-{number}", value]])
    found = []
    forwarding._look_up_addresses(other, "l1", found.append)
    sim.clock.advance(3.0)
    assert_that(found, Equals([["http-e0"]]))


@pytest.mark.proof
def test_forged_mark_does_not_bypass_the_key():
    """Guarantee 5: a caller that marks its request as forwarded cannot run it twice."""
    sim, _ = two_domains(1)
    entry = next(e for e in sim.entries if e.identity.id == "e0")
    sim.send_request(entry, "first", "book", "k")
    sim.clock.advance(4.0)
    forged = {"x-forwarded-domain": "l2", "x-forwarded-nonce": "0" * 24}
    sim.send_request(entry, "again", "book", "k", headers=forged)
    sim.send_request(
        entry, "other", "book", "unused", headers={"x-forwarded-domain": "l2"}
    )
    sim.clock.advance(4.0)
    assert_that(sim.run_counts(), Equals({"first": 1}))
    verdicts = [sim.answers[name][0][2] for name in ("first", "again", "other")]
    assert_that(verdicts, Equals(["RAN", "NOT_RUN", "NOT_RUN"]))


@pytest.mark.proof
def test_verdicts_of_forwarded_requests_agree_with_the_record():
    """Guarantees 3, 4 and 5 over a network that loses requests and answers."""
    verdicts_seen = []
    for seed in range(SCHEDULES):
        rng = random.Random(seed)
        sim, other = two_domains(seed)
        sim.network.faults["http-e0"] = {"refused": 0.2, "cut": 0.2, "lost": 0.2}
        for name in sim.executors:
            sim.network.faults[name] = {"refused": 0.1, "cut": 0.1, "lost": 0.1}
        for number in range(8):
            sim.send_request(
                other, f"r{number}", rng.choice(("note", "book")), f"k{number}"
            )
            sim.clock.advance(rng.choice((0.0, 0.1)))
        sim.clock.advance(10.0)
        ran = sim.run_counts()
        for request_id, answers in sim.answers.items():
            assert_that(answers, HasLength(1), request_id)
            verdict = answers[0][2]
            count = ran.get(request_id, 0)
            assert count <= 1, (seed, request_id)
            if verdict != "MAY_HAVE_RUN":
                assert_that(count, Equals(int(verdict == "RAN")), request_id)
            verdicts_seen.append(verdict)
    for verdict in ("RAN", "NOT_RUN", "MAY_HAVE_RUN"):
        assert verdicts_seen.count(verdict) > SCHEDULES / 4, verdict
