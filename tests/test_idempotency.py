"""Guards against running the request of an idempotency key more than once."""

import random

import pytest
from fixtures_simulation import Simulation
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward import idempotency
from cornelward.errors import PlatformError
from cornelward.platform_client import Row
from cornelward.verdicts import Verdict

SCHEDULES = 1_000
# The schedules are split into this many tests so that they can run on several cores.
PARTS = 8


@pytest.fixture
def sim():
    return Simulation(1, entries=2)


def verdicts(sim, request_id):
    return [answer[2] for answer in sim.answers[request_id]]


def count_runs(sim, prefix=""):
    return sum(
        count for name, count in sim.run_counts().items() if name.startswith(prefix)
    )


def read_key_row(sim, key):
    found = []
    sim.entries[-1].platform.get(f"requests/quotes/{key}", found.append)
    sim.clock.advance(3.0)
    return found[0].value if found[0].version else None


def test_later_callers_get_the_stored_answer(sim):
    sim.send_request(sim.entries[0], "a", "book", "k")
    sim.clock.advance(3.0)
    for entry in sim.entries:
        sim.send_request(entry, f"b-{entry.identity.id}", "book", "k")
    sim.clock.advance(3.0)
    for name in ("a", "b-e0", "b-e1"):
        assert_that(sim.answers[name][0], Equals((200, b"k", "RAN")))
    assert_that(count_runs(sim), Equals(1))


def test_concurrent_requests_at_two_entries_run_once(sim):
    for name in sim.executors:
        sim.send_control(name, "/switch", {"slow_ms": 1_500})
    for entry in sim.entries:
        for number in range(2):
            name = f"{entry.identity.id}-{number}"
            sim.send_request(entry, name, "book", "k", timeout_ms=10_000)
    sim.clock.advance(8.0)
    assert_that(count_runs(sim), Equals(1))
    verdicts_seen = sorted(
        verdicts(sim, f"e{n}-{m}")[0] for n in (0, 1) for m in (0, 1)
    )
    assert_that(verdicts_seen, Equals(["MAY_HAVE_RUN"] * 2 + ["RAN"] * 2))


def test_same_key_for_another_request_is_refused(sim):
    sim.send_request(sim.entries[0], "a", "book", "k")
    sim.clock.advance(3.0)
    sim.entries[0].operations["quotes", "hold"] = sim.entries[0].operations[
        "quotes", "book"
    ]
    sim.send_request(sim.entries[0], "b", "hold", "k")
    sim.clock.advance(3.0)
    assert_that(sim.answers["b"][0][0], Equals(409))
    assert_that(verdicts(sim, "b"), Equals(["NOT_RUN"]))


def test_request_runs_once_if_the_response_to_its_insert_is_lost(sim):
    sim.send_control("platform", "/switch", {"lose_answers": 1})
    sim.send_request(sim.entries[0], "a", "book", "k", timeout_ms=10_000)
    sim.clock.advance(8.0)
    assert_that(verdicts(sim, "a"), Equals(["RAN"]))
    assert_that(count_runs(sim), Equals(1))


def test_insert_that_cannot_be_read_back_is_refused_and_released(sim):
    sim.send_control("platform", "/switch", {"lose_answers": 1})
    sim.send_request(sim.entries[0], "a", "book", "k", timeout_ms=10_000)
    sim.clock.advance(1.0)
    sim.send_control("platform", "/switch", {"down": True})
    sim.clock.advance(5.0)
    assert_that(verdicts(sim, "a"), Equals(["NOT_RUN"]))
    sim.send_control("platform", "/switch", {"down": False})
    sim.clock.advance(5.0)
    assert_that(read_key_row(sim, "k")["state"], Equals("not_run"))
    sim.send_request(sim.entries[1], "b", "book", "k")
    sim.clock.advance(3.0)
    assert_that(verdicts(sim, "b"), Equals(["RAN"]))
    assert_that(sim.run_counts(), Equals({"b": 1}))


def test_table_down_before_dispatch_refuses_as_not_run(sim):
    sim.send_control("platform", "/switch", {"down": True})
    sim.send_request(sim.entries[0], "a", "book", "k")
    sim.clock.advance(3.0)
    assert_that(verdicts(sim, "a"), Equals(["NOT_RUN"]))
    assert_that(count_runs(sim), Equals(0))


def test_table_down_after_dispatch_stores_the_answer_later(sim):
    for name in sim.executors:
        sim.send_control(name, "/switch", {"slow_ms": 1_500})
    sim.send_request(sim.entries[0], "a", "book", "k", timeout_ms=10_000)
    sim.clock.advance(1.4)
    sim.send_control("platform", "/switch", {"down": True})
    sim.clock.advance(3.0)
    assert_that(verdicts(sim, "a"), Equals(["RAN"]))
    sim.send_control("platform", "/switch", {"down": False})
    sim.clock.advance(4.0)
    sim.send_request(sim.entries[1], "b", "book", "k")
    sim.clock.advance(3.0)
    assert_that(verdicts(sim, "b"), Equals(["RAN"]))
    assert_that(count_runs(sim), Equals(1))


def test_key_of_a_crashed_entry_is_answered_may_have_run(sim):
    for name in sim.executors:
        sim.send_control(name, "/switch", {"slow_ms": 1_000})
    sim.send_request(sim.entries[0], "a", "book", "k")
    sim.clock.advance(0.9)
    sim.entries[0].loop.dead = True
    sim.start_entry("e0")
    sim.clock.advance(3.0)
    for entry in sim.entries:
        sim.send_request(entry, f"b-{entry.identity.id}", "book", "k")
    sim.clock.advance(3.0)
    assert_that(verdicts(sim, "b-e0"), Equals(["MAY_HAVE_RUN"]))
    assert_that(verdicts(sim, "b-e1"), Equals(["MAY_HAVE_RUN"]))
    assert_that(count_runs(sim), Equals(1))


def test_key_is_released_if_the_executors_refuse_the_request(sim):
    for name in sim.executors:
        sim.send_control(name, "/switch", {"refuse": True})
    sim.send_request(sim.entries[0], "a", "book", "k", timeout_ms=10_000)
    sim.clock.advance(12.0)
    assert_that(verdicts(sim, "a"), Equals(["NOT_RUN"]))
    for name in sim.executors:
        sim.send_control(name, "/switch", {"refuse": False})
    sim.send_request(sim.entries[1], "b", "book", "k")
    sim.clock.advance(3.0)
    assert_that(verdicts(sim, "b"), Equals(["RAN"]))


def inject_faults(sim, rng):
    """Inject random faults into the platform, executors and entries."""
    sim.network.faults["platform"] = {
        "refused": rng.choice((0.0, 0.3)),
        "cut": rng.choice((0.0, 0.2)),
        "lost": rng.choice((0.0, 0.4)),
    }
    slow_ms = rng.choice((0, 0, 100, 3_000))
    down = rng.random() < 0.2
    sim.send_control("platform", "/switch", {"slow_ms": slow_ms, "down": down})
    for name in sim.executors:
        sim.network.faults[name] = {
            "refused": rng.choice((0.0, 0.3)),
            "lost": rng.choice((0.0, 0.2)),
        }
        changes = {"refuse": rng.random() < 0.2, "slow_ms": rng.choice((0, 50, 1_000))}
        sim.send_control(name, "/switch", changes)
    entry = rng.choice(sim.entries)
    if rng.random() < 0.3:
        entry.loop.dead = True
        sim.start_entry(entry.identity.id)
    elif rng.random() < 0.3:
        entry.loop.paused_until = sim.clock.time + rng.choice((1.0, 4.0))


def clear_faults(sim):
    """Clear all faults and wait until retries have finished."""
    sim.network.faults.clear()
    sim.send_control("platform", "/switch", {"slow_ms": 0, "down": False})
    for name in sim.executors:
        sim.send_control(name, "/switch", {"refuse": False, "slow_ms": 0})
    sim.clock.advance(20.0)


def run_schedule(seed, requests=16, keys=4):
    """Run callers that use a few keys at random entries.

    Returns the simulation and a dict of request id to key.
    """
    rng = random.Random(seed)
    sim = Simulation(seed, entries=2)
    key_of = {}
    for number in range(requests):
        if rng.random() < 0.4:
            inject_faults(sim, rng)
        key = f"k{rng.randrange(keys)}"
        request_id = f"r{number}"
        key_of[request_id] = key
        timeout_ms = rng.choice((200, 2_000, 8_000))
        sim.send_request(rng.choice(sim.entries), request_id, "book", key, timeout_ms)
        sim.clock.advance(rng.choice((0.0, 0.005, 0.4, 2.0)))
    clear_faults(sim)
    for key in sorted(set(key_of.values())):
        for entry in sim.entries:
            request_id = f"last-{key}-{entry.identity.id}"
            key_of[request_id] = key
            sim.send_request(entry, request_id, "book", key)
            sim.clock.advance(3.0)
    return sim, key_of


def check_schedule(sim, key_of):
    """Check every answer against the record of what ran; returns the verdicts."""
    ran = sim.run_counts()
    runs = dict.fromkeys(key_of.values(), 0)
    for request_id, count in ran.items():
        runs[key_of[request_id]] += count
    verdicts_seen = []
    for request_id, key in key_of.items():
        assert runs[key] <= 1, (key, ran)
        answers = sim.answers[request_id]
        assert len(answers) <= 1, request_id
        if not answers:
            # The entry was killed before it could answer.
            continue
        status, body, verdict = answers[0]
        if verdict == "NOT_RUN":
            assert_that(ran.get(request_id, 0), Equals(0), request_id)
        if verdict == "RAN":
            assert_that((status, body), Equals((200, key.encode())), request_id)
            assert_that(runs[key], Equals(1), request_id)
        verdicts_seen.append(verdict)
    for entry in sim.entries:
        assert_that(entry.calls, HasLength(0))
        assert_that(entry.idempotency.by_key, HasLength(0))
    return verdicts_seen


@pytest.mark.proof
@pytest.mark.parametrize("part", range(PARTS))
def test_keys_run_at_most_once_over_seeded_schedules(part):
    """Guarantee 5 with two entries that crash and pause, and a faulty table."""
    verdicts_seen = []
    for seed in range(part, SCHEDULES, PARTS):
        verdicts_seen += check_schedule(*run_schedule(seed))
    for verdict in ("RAN", "NOT_RUN", "MAY_HAVE_RUN"):
        assert verdicts_seen.count(verdict) > SCHEDULES / PARTS, verdict


@pytest.mark.proof
@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(0, 2**32), st.integers(1, 3), st.integers(1, 24))
def test_keys_run_at_most_once_for_any_mix_of_callers(seed, keys, requests):
    check_schedule(*run_schedule(seed, requests, keys))


def test_delayed_insert_cannot_take_a_released_key():
    # Without the row that the release writes, an insert that is applied later would
    # block the key for ever.
    table = idempotency.IdempotencyTable("e1")
    unknown = PlatformError("timeout", applied=None)
    effects = idempotency.begin(table, 0.0, "k", "r", "digest", "nonce")
    while isinstance(effects[0], idempotency.WriteRow):
        assert_that(effects[0].version, Equals(0))
        effects = idempotency.on_written(table, 0.0, "k", "nonce", unknown)
        effects = idempotency.on_read(table, 0.0, "k", "nonce", Row("k", None, 0))
    assert_that(effects[0].verdict, Equals(Verdict.NOT_RUN))
    idempotency.tick(table, 5.0)
    (write,) = idempotency.on_read(table, 5.0, "k", "nonce", Row("k", None, 0))
    assert_that((write.version, write.value["state"]), Equals((0, "not_run")))
    idempotency.on_written(table, 5.0, "k", "nonce", {"k": 1})
    assert_that(table.by_key, HasLength(0))
