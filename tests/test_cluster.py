"""Tests the guarantees with real processes under kills, pauses, cuts and outages.

The checks read the records of the stand-in executors: what ran, how often, and the
maximum number of requests in flight.
"""

import signal
import threading
import time
from collections import Counter

import pytest
from processes import call_json, launcher, wait_until
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

__all__ = ["launcher"]

SLOTS = 2
CALLERS = 12
SHORT_INTERVALS = {
    "config_poll_s": 0.3,
    "members_poll_s": 0.3,
    "platform_timeout_s": 0.5,
    "view_lease_s": 1.5,
    "health_poll_s": 0.3,
}
# Longer than the view lease and its margin, so that the other entries take over from a
# paused entry.
PAUSE_S = 3.0

OBJECTS = [
    {"kind": "region", "name": "coast", "failure_domains": ["c1", "c2"]},
    {"kind": "pool", "name": "desk", "region": "coast", "holds": "executors"},
    {"kind": "policy", "name": "quick", "type": "request", "max_run_ms": 4_000},
    {
        "kind": "workload",
        "name": "visits",
        "type": "request",
        "policy": "quick",
        "pool": "desk",
        "operations": [
            {"name": "confirm"},
            {"name": "show", "idempotent": True},
            {"name": "reconcile", "must_not_repeat": True},
        ],
    },
]


class Site:
    """A stand-in platform and the executor and entry processes of one region."""

    def __init__(self, launcher):
        self.launcher = launcher
        self.platform = launcher.start("standins.platform", {}).address
        self.executors = []
        self.entries = []

    def _common(self, failure_domain):
        return {
            "platform_address": self.platform,
            "region": "coast",
            "failure_domain": failure_domain,
        }

    def add_executor(self, failure_domain="c1", **changes):
        settings = self._common(failure_domain)
        settings |= {"service": "visits", "slots": SLOTS, **changes}
        program = self.launcher.start("standins.executor", settings)
        self.executors.append(program)
        return program

    def add_entry(self, failure_domain="c1", **changes):
        settings = self._common(failure_domain)
        settings |= {"peer_address": "127.0.0.1:0", **SHORT_INTERVALS, **changes}
        program = self.launcher.start("cornelward.entry", settings)
        self.entries.append(program)
        return program

    def switch(self, address, **changes):
        assert call_json(address, "POST", "/switch", changes)[0] == 200

    def publish(self, entry, parent=0, objects=OBJECTS):
        body = {"parent": parent, "objects": objects}
        return call_json(entry.address, "PUT", "/v1/config", body)

    def wait_serving(self, entry):
        """Wait until an entry answers a request with 200."""

        def serves():
            return send_request(entry, "show", {"run_ms": 0})[0] == 200

        wait_until(serves, f"{entry.folder.name} serves")

    def executor_records(self):
        return [call_json(x.address, "GET", "/record")[1] for x in self.executors]


def send_request(entry, operation, body, key=None, timeout_ms=5_000):
    """Send one request; return (status, body), (None, None) on a connection error."""
    headers = {"X-Timeout-Ms": str(timeout_ms)}
    if key:
        headers["Idempotency-Key"] = key
    path = f"/v1/services/visits/{operation}"
    try:
        return call_json(entry.address, "POST", path, body, 15.0, headers)
    except OSError:
        return None, None


def config_version(entry):
    return call_json(entry.address, "GET", "/v1/config")[1]["version"]


@pytest.fixture
def site(launcher):
    """Return a Site with two executors and one entry that serves a configuration."""
    made = Site(launcher)
    made.add_executor()
    made.add_executor()
    first = made.add_entry()
    assert made.publish(first)[0] == 200
    made.wait_serving(first)
    return made


class LoadGenerator:
    """Threads that each send one request after another until ``stop``.

    ``answers`` lists (request body, status, answer body).
    """

    def __init__(self, entries, operation, run_ms):
        self.answers = []
        self.running = True
        self.threads = [
            threading.Thread(
                target=self._call,
                args=(entries[n % len(entries)], operation, run_ms, n),
            )
            for n in range(CALLERS)
        ]
        for thread in self.threads:
            thread.start()

    def _call(self, entry, operation, run_ms, caller):
        sent = 0
        while self.running and sent < 5_000:
            sent += 1
            body = {"run_ms": run_ms, "caller": caller, "number": sent}
            self.answers.append((body, *send_request(entry, operation, body)))
            if self.answers[-1][1] != 200:
                time.sleep(0.05)

    def wait_answers(self, count):
        """Wait until ``count`` more requests were answered with 200."""
        target = self.answered() + count
        wait_until(lambda: self.answered() >= target, f"{count} more answers")

    def answered(self):
        return sum(status == 200 for _, status, _ in list(self.answers))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()
        return self.answers


@pytest.mark.proof
def test_slots_hold_while_entries_pause_die_and_join(site):
    """Guards against an executor that gets more requests in flight than it has slots.

    Slots move between entries while one is paused beyond its view lease, resumed and
    killed, and while another one joins.
    """
    site.add_entry()
    first, second = site.entries
    site.wait_serving(second)
    load = LoadGenerator([first, second], "show", 30)
    load.wait_answers(20)
    second.signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    load.wait_answers(20)
    second.signal(signal.SIGCONT)
    load.wait_answers(20)
    third = site.add_entry()
    site.wait_serving(third)
    second.kill()
    load.wait_answers(20)
    site.wait_serving(third)
    load.stop()
    for record in site.executor_records():
        assert_that(record["max_in_flight"], LessThan(SLOTS + 1))


@pytest.mark.proof
def test_each_caller_gets_the_answer_to_its_own_request(site):
    """Guards against answers that reach the wrong caller while an entry is paused."""
    second = site.add_entry()
    site.wait_serving(second)
    load = LoadGenerator([site.entries[0], second], "show", 5)
    load.wait_answers(100)
    second.signal(signal.SIGSTOP)
    time.sleep(0.5)
    second.signal(signal.SIGCONT)
    load.wait_answers(100)
    wrong = [
        (sent, answer)
        for sent, status, answer in load.stop()
        if status == 200 and answer != sent
    ]
    assert_that(wrong, Equals([]))


@pytest.mark.proof
def test_refused_as_not_run_never_reached_an_executor(site):
    """Guards against NOT_RUN for requests that ran.

    The executors are overloaded, and one of them is paused.
    """
    paused = site.add_executor()
    load = LoadGenerator([site.entries[0]], "confirm", 60)
    load.wait_answers(20)
    paused.signal(signal.SIGSTOP)
    time.sleep(1.0)
    paused.signal(signal.SIGCONT)
    answers = load.stop()
    served = sum(status == 200 for _, status, _ in answers)
    unknown = sum(
        (answer or {}).get("error", {}).get("verdict") != "NOT_RUN"
        for _, status, answer in answers
        if status != 200
    )
    ran = sum(
        operation == "confirm"
        for record in site.executor_records()
        for _, operation, _ in record["ran"]
    )
    # Each run belongs to a request that was answered with 200 or not with NOT_RUN.
    assert_that(ran <= served + unknown, Equals(True))
    assert_that(ran >= served, Equals(True))


@pytest.mark.proof
def test_key_at_two_entries_with_lost_answers_runs_at_most_once(site):
    """Guards against two runs of a key that was sent to two entries at once.

    The table loses answers of their writes, so that an entry does not know whether it
    recorded the key.
    """
    second = site.add_entry()
    site.wait_serving(second)
    entries = site.entries
    answers = []

    def send(entry, key):
        answers.append((key, *send_request(entry, "reconcile", {"k": key}, key)))

    for number in range(12):
        if number % 3 == 0:
            site.switch(site.platform, lose_answers=1)
        threads = [
            threading.Thread(target=send, args=(entry, f"k{number}"))
            for entry in entries
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    ran = sum(
        operation == "reconcile"
        for record in site.executor_records()
        for _, operation, _ in record["ran"]
    )
    done = {key for key, status, _ in answers if status == 200}
    refused = Counter(
        key
        for key, status, answer in answers
        if status != 200 and answer["error"]["verdict"] == "NOT_RUN"
    )
    assert_that(ran <= 12, Equals(True))
    assert_that(len(done) <= ran, Equals(True))
    # No key that was answered with 200 was refused as NOT_RUN by both entries.
    assert_that([key for key in done if refused[key] == 2], Equals([]))
    # A key that both entries refused as NOT_RUN did not run.
    assert_that(ran <= 12 - sum(n == 2 for n in refused.values()), Equals(True))


@pytest.mark.proof
def test_domain_cut_from_the_platform_serves_and_refuses_keys(site):
    """Guards against an outage of a domain that the platform does not answer.

    Unkeyed requests are served for longer than every lease; keyed ones are refused as
    NOT_RUN, and accepted again once the platform answers.
    """
    second = site.add_entry()
    site.wait_serving(second)
    site.switch(site.platform, cut=["c1"])
    time.sleep(PAUSE_S)
    for entry in site.entries:
        assert_that(send_request(entry, "show", {"n": 1}), Equals((200, {"n": 1})))
    status, answer = send_request(second, "reconcile", {}, "cut-key")
    assert_that(status, Equals(503))
    assert_that(answer["error"]["verdict"], Equals("NOT_RUN"))
    site.switch(site.platform, cut=[])
    # An entry accepts a key that it could not record only after it has resolved it.
    wait_until(
        lambda: send_request(second, "reconcile", {}, "cut-key")[0] == 200,
        "the key is accepted",
    )


@pytest.mark.proof
def test_entry_started_during_an_outage_takes_the_newest_version(site):
    """Guards against an entry without a configuration if it starts in an outage.

    It takes the configuration from a peer, and no entry goes back to an older version.
    """
    first = site.entries[0]
    assert_that(site.publish(first, 1)[1], Equals({"version": 2}))
    seed = call_json(first.address, "GET", "/state")[1]["peer_address"]
    site.switch(site.platform, down=True)
    joined = site.add_entry(seeds=[seed])
    wait_until(lambda: config_version(joined) == 2, "the new entry has version 2")
    site.switch(site.platform, down=False)
    assert_that(site.publish(joined, 2)[1], Equals({"version": 3}))
    seen = {first: [], joined: []}

    def all_have_version_3():
        for entry, versions in seen.items():
            versions.append(config_version(entry))
        return all(versions[-1] == 3 for versions in seen.values())

    wait_until(all_have_version_3, "all entries have version 3")
    for versions in seen.values():
        assert_that(versions, Equals(sorted(versions)))


@pytest.mark.proof
def test_racing_operators_get_one_success_and_conflicts(site):
    """Guards against lost or merged changes when operators publish from one parent."""
    second = site.add_entry()
    wait_until(lambda: config_version(second) == 1, "the second entry has version 1")
    results = []
    threads = [
        threading.Thread(target=lambda e=entry: results.append(site.publish(e, 1)))
        for entry in site.entries * 4
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(status for status, _ in results)
    assert_that(statuses, Equals([200] + [409] * 7))
    conflicts = [answer["error"] for status, answer in results if status == 409]
    assert_that({error["current"] for error in conflicts}, Equals({2}))


@pytest.mark.proof
def test_leaving_executor_gets_no_new_work(site):
    """Guards against new requests to a leaving executor, from any entry."""
    second = site.add_entry()
    site.wait_serving(second)
    leaving = site.executors[0]
    site.switch(leaving.address, leaving=True)

    def all_know_leaving():
        return all(
            leaving.settings["id"] not in usable_executors(entry)
            for entry in site.entries
        )

    wait_until(all_know_leaving, "all entries know that the executor is leaving")
    before = len(site.executor_records()[0]["ran"])
    load = LoadGenerator(site.entries, "show", 5)
    load.wait_answers(100)
    load.stop()
    assert_that(len(site.executor_records()[0]["ran"]), Equals(before))


def usable_executors(entry):
    """Return the ids of the executors to which an entry may send requests."""
    executors = call_json(entry.address, "GET", "/state")[1]["router"]["executors"]
    return {
        executor
        for executor, report in executors.items()
        if (report["state"], report["signal"]) == ("live", "live")
    }
