"""Table protocol of the platform.

Guards against conditional writes that apply twice or despite a conflict, lost responses
that are reported as failures, and rows missing from paged listings.
"""

import random
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
from standins.proxy import Proxy

CALL_TIMEOUT_S = 0.2
RUN_LIMIT_S = 30


@pytest.fixture
def call():
    """Return ``call(operation, *args, failure_domain)`` for a new stand-in platform.

    ``call.switch(**changes)`` sets its faults, ``call.post(path, value)`` sends a
    request to it, and ``call.run(start)`` returns what ``start(on_done)`` passes to
    ``on_done``.
    """
    loop = Loop()
    handle, _ = platform.build(loop, {})
    server = HttpServer(loop, ("127.0.0.1", 0), handle)
    client = HttpClient(loop)

    def run(start):
        results = []
        start(results.append)
        assert loop.run_until(lambda: results, RUN_LIMIT_S)
        return results[0]

    def call(operation, *args, failure_domain="a"):
        operations = connect_platform(
            client, server.address, failure_domain, CALL_TIMEOUT_S
        )
        return run(lambda done: getattr(operations, operation)(*args, done))

    def post(path, value):
        run(
            lambda done: client.request_json(
                server.address, "POST", path, done, value=value, timeout_s=5
            )
        )

    call.post = post
    call.switch = lambda **changes: post("/switch", changes)
    call.run, call.client, call.address = run, client, server.address
    call.loop = loop
    yield call
    server.server.close()


def test_insert_if_absent_applies_once(call):
    first = call("txn", [["k", 0]], [["k", {"by": 1}]], [])
    second = call("txn", [["k", 0]], [["k", {"by": 2}]], [])
    assert_that(second, Equals(Conflict({"k": first["k"]})))
    assert_that(call("get", "k").value, Equals({"by": 1}))


def test_refused_transaction_changes_nothing(call):
    call("txn", [], [["a", 1]], [])
    call("txn", [["a", 0]], [["a", 2], ["b", 2]], [])
    assert_that(call("get", "a").value, Equals(1))
    assert_that(call("get", "b").version, Equals(0))


def test_lost_response_of_a_write_is_unknown_and_the_write_can_be_read(call):
    call.switch(lose_answers=1)
    result = call("txn", [["k", 0]], [["k", "nonce"]], [])
    assert_that(result, IsInstance(PlatformError))
    assert_that(result, MatchesStructure.byEquality(applied=None))
    assert_that(call("get", "k").value, Equals("nonce"))


def test_isolated_failure_domain_gets_no_response_while_others_do(call):
    call.switch(cut=["b"])
    assert_that(call("get", "k", failure_domain="b"), IsInstance(PlatformError))
    assert_that(call("get", "k", failure_domain="a").version, Equals(0))


def test_listing_contains_the_rows_of_all_pages(call):
    keys = [f"p/{i:04}" for i in range(1_100)]
    call("txn", [], [[key, 1] for key in keys] + [["q", 1]], [])
    assert_that([row.key for row in call("list_rows", "p/")], Equals(keys))


def test_recreated_row_does_not_get_an_old_version(call):
    first = call("txn", [], [["k", 1]], [])["k"]
    call("txn", [], [], ["k"])
    second = call("txn", [["k", 0]], [["k", 1]], [])["k"]
    assert_that(second > first, Equals(True))


def test_object_of_any_size_arrives_over_a_slow_link(call):
    # It was given up after the time limit of the call, whatever had arrived by then.
    body = random.Random(1).randbytes(100_000)
    call("put_object", "large", body)
    proxy = Proxy(call.loop, call.address)
    proxy.bytes_per_s = 2 * len(body)
    operations = connect_platform(call.client, proxy.address, "a", CALL_TIMEOUT_S)
    found = call.run(lambda done: operations.get_object("large", done))
    assert_that(found == body, Equals(True))


def test_membership_list_is_sent_again_only_if_it_changed(call):
    statuses = []

    def request(addr, method, path, on_done, **options):
        def finish(result):
            statuses.append(result.status)
            on_done(result)

        call.client.request(addr, method, path, finish, **options)

    recording_client = SimpleNamespace(request=request)
    operations = connect_platform(recording_client, call.address, "a", CALL_TIMEOUT_S)
    for state in ("live", "live", "leaving"):
        instance = {"id": "w1", "kind": "worker", "state": state}
        call.post("/members", instance)
        assert_that(call.run(operations.members), Equals([instance]))
    assert_that(statuses, Equals([200, 304, 200]))
