"""Guards the table protocol: conditional writes, lost answers, cut domains, paging."""

from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance, MatchesStructure

from cornelward.errors import PlatformError
from cornelward.http_client import HttpClient
from cornelward.http_server import HttpServer
from cornelward.loop import Loop
from cornelward.platform_client import Conflict, connect_platform
from standins import platform

CALL_TIMEOUT_S = 0.2
LIMIT_S = 30


@pytest.fixture
def ask():
    """Return ``ask(operation, *args, cut_domain)`` against a fresh stand-in."""
    loop = Loop()
    handle, _ = platform.build(loop, {})
    server = HttpServer(loop, ("127.0.0.1", 0), handle)
    client = HttpClient(loop)

    def run(start):
        results = []
        start(results.append)
        assert loop.run_until(lambda: results, LIMIT_S)
        return results[0]

    def ask(operation, *args, failure_domain="a"):
        plat = connect_platform(client, server.address, failure_domain, CALL_TIMEOUT_S)
        return run(lambda done: getattr(plat, operation)(*args, done))

    def post(path, value):
        run(
            lambda done: client.request_json(
                server.address, "POST", path, done, value=value, timeout_s=5
            )
        )

    ask.post = post
    ask.switch = lambda **changes: post("/switch", changes)
    ask.run, ask.client, ask.address = run, client, server.address
    yield ask
    server.server.close()


def test_insert_if_absent_applies_once(ask):
    first = ask("txn", [["k", 0]], [["k", {"by": 1}]], [])
    second = ask("txn", [["k", 0]], [["k", {"by": 2}]], [])
    assert_that(second, Equals(Conflict({"k": first["k"]})))
    assert_that(ask("get", "k").value, Equals({"by": 1}))


def test_refused_transaction_changes_nothing(ask):
    ask("txn", [], [["a", 1]], [])
    ask("txn", [["a", 0]], [["a", 2], ["b", 2]], [])
    assert_that(ask("get", "a").value, Equals(1))
    assert_that(ask("get", "b").version, Equals(0))


def test_lost_answer_is_unknown_and_can_be_read_back(ask):
    ask.switch(lose_answers=1)
    result = ask("txn", [["k", 0]], [["k", "nonce"]], [])
    assert_that(result, IsInstance(PlatformError))
    assert_that(result, MatchesStructure.byEquality(applied=None))
    assert_that(ask("get", "k").value, Equals("nonce"))


def test_cut_domain_gets_no_answer_while_others_do(ask):
    ask.switch(cut=["b"])
    assert_that(ask("get", "k", failure_domain="b"), IsInstance(PlatformError))
    assert_that(ask("get", "k", failure_domain="a").version, Equals(0))


def test_listing_follows_pages(ask):
    keys = [f"p/{i:04}" for i in range(1_100)]
    ask("txn", [], [[key, 1] for key in keys] + [["q", 1]], [])
    assert_that([row.key for row in ask("list_rows", "p/")], Equals(keys))


def test_deleted_row_does_not_get_an_old_version_again(ask):
    first = ask("txn", [], [["k", 1]], [])["k"]
    ask("txn", [], [], ["k"])
    second = ask("txn", [["k", 0]], [["k", 1]], [])["k"]
    assert_that(second > first, Equals(True))


def test_unchanged_membership_list_is_not_sent_again_and_a_changed_one_is(ask):
    statuses = []

    def request(addr, method, path, on_done, **options):
        def finish(result):
            statuses.append(result.status)
            on_done(result)

        ask.client.request(addr, method, path, finish, **options)

    counting = SimpleNamespace(request=request)
    plat = connect_platform(counting, ask.address, "a", CALL_TIMEOUT_S)
    for state in ("live", "live", "leaving"):
        instance = {"id": "w1", "kind": "worker", "state": state}
        ask.post("/members", instance)
        assert_that(ask.run(plat.members), Equals([instance]))
    assert_that(statuses, Equals([200, 304, 200]))
