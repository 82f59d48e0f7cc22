"""Guards against lost or altered requests in an entry, and checks its operator API."""

import random

import pytest
from fixtures_entry import OBJECTS, entry_cluster, ready_entry  # noqa: F401
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsDict, Equals, HasLength

from cornelward.pending_request import ATTEMPT_SEPARATOR


def test_request_and_response_pass_through_unchanged(ready):
    cluster, _, upstream, ask = ready
    headers = (("X-Request-Id", "r1"), ("Content-Type", "text/plain"))
    result = ask("POST", "/v1/services/quotes/price", b"42", headers)
    assert_that((result.status, result.body), Equals((200, b"42")))
    assert_that(
        result.headers,
        ContainsDict(
            {"x-verdict": Equals("RAN"), "content-type": Equals("text/plain")}
        ),
    )
    ran = cluster.call(upstream, "GET", "/record").json()["ran"]
    assert_that(ran[-1][:2], Equals(["r1", "price"]))


@pytest.mark.parametrize(
    ("method", "path", "headers", "code"),
    [
        ("POST", "/v1/services/quotes/unknown", (), "not_found"),
        ("GET", "/v1/services/quotes/price", (), "not_found"),
        ("POST", "/v1/services/quotes/price", (("X-Timeout-Ms", "0"),), "bad_request"),
        ("POST", "/v1/services/quotes/price", (("X-Timeout-Ms", "x"),), "bad_request"),
        ("POST", "/v1/services/quotes/book", (), "bad_request"),
        ("PATCH", "/v1/jobs", (), "not_found"),
        ("GET", "/", (), "not_found"),
    ],
)
def test_bad_request_is_refused_as_not_run(ready, method, path, headers, code):
    *_, ask = ready
    error = ask(method, path, b"{}", headers).json()["error"]
    assert_that((error["code"], error["verdict"]), Equals((code, "NOT_RUN")))


def test_router_exception_is_answered_and_leaves_no_open_request(ready, monkeypatch):
    _, entry, _, ask = ready

    def fail(state, now, req):
        raise ValueError("broken")

    monkeypatch.setattr(entry.router, "submit", fail)
    result = ask("POST", "/v1/services/quotes/price", b"")
    error = result.json()["error"]
    response = result.status, error["code"], error["verdict"]
    assert_that(response, Equals((500, "internal", "MAY_HAVE_RUN")))
    assert_that(entry.calls, HasLength(0))


def test_repeated_job_submission_with_a_key_creates_one_job(ready):
    cluster, _, _, ask = ready
    body = {"workload": "manifests", "key": "m-1", "tasks": 2}
    first = ask("POST", "/v1/jobs", body)
    again = ask("POST", "/v1/jobs", body)
    job_id = first.json()["id"]
    assert_that((first.status, again.status), Equals((201, 200)))
    assert_that(again.json(), Equals({"id": job_id, "created": False}))
    record = ask("GET", f"/v1/jobs/{job_id}").json()
    assert_that(record["tasks"], HasLength(2))
    assert_that(record["state"], Equals("queued"))
    assert_that(ask("DELETE", f"/v1/jobs/{job_id}").status, Equals(202))
    rows = cluster.call(cluster.platform, "GET", "/table?prefix=inbox/").json()["rows"]
    assert_that(
        [row["key"] for row in rows],
        Equals([f"inbox/l1/{job_id}/cancel", f"inbox/l1/{job_id}/submit"]),
    )


def test_job_is_created_once_if_the_platform_response_is_lost(ready):
    cluster, _, _, ask = ready
    cluster.switch(cluster.platform, lose_answers=1)
    result = ask("POST", "/v1/jobs", {"workload": "manifests"})
    assert_that(result.status, Equals(201))
    rows = cluster.call(cluster.platform, "GET", "/table?prefix=jobs/").json()["rows"]
    assert_that(rows, HasLength(1))


def test_job_is_refused_as_not_run_while_the_table_is_down(ready):
    cluster, _, _, ask = ready
    cluster.switch(cluster.platform, down=True)
    error = ask("POST", "/v1/jobs", {"workload": "manifests"}).json()["error"]
    assert_that(error["code"], Equals("platform_unavailable"))


@pytest.mark.proof
def test_broken_or_raced_configuration_is_refused_whole(ready):
    _, entry, _, ask = ready
    version = entry.follower.document["version"]
    broken = [item for item in OBJECTS if item["kind"] != "policy"]
    result = ask("PUT", "/v1/config", {"parent": version, "objects": broken})
    assert_that(result.status, Equals(422))
    raced = ask("PUT", "/v1/config", {"parent": version - 1, "objects": OBJECTS})
    assert_that(raced.status, Equals(409))
    assert_that(raced.json()["error"], ContainsDict({"current": Equals(version)}))
    assert_that(ask("GET", "/v1/config").json()["version"], Equals(version))


def test_metrics_and_state_report_served_requests(ready):
    *_, ask = ready
    ask("POST", "/v1/services/quotes/price", b"1")
    text = ask("GET", "/metrics").body.decode()
    # The fixture has already sent one request.
    line = 'cornelward_requests_total{service="quotes",status="200",verdict="RAN"} 2.0'
    assert_that(text, Contains(line))
    state = ask("GET", "/state").json()
    assert_that(state, ContainsDict({"config_version": Equals(1)}))
    assert_that(ask("GET", "/readyz").status, Equals(200))
    assert_that(ask("GET", "/healthz").status, Equals(200))


@pytest.mark.proof
def test_verdicts_over_real_connections_agree_with_the_record(ready):
    """Guarantee 4 with an executor that refuses, loses answers, is slow or hangs."""
    cluster, _, upstream, _ = ready
    rng = random.Random(5)
    calls = {}
    for number in range(60):
        changes = {"refuse": rng.random() < 0.3, "dead": rng.random() < 0.1}
        changes["lose_answers"] = int(rng.random() < 0.2)
        changes["slow_ms"] = rng.choice((0, 0, 50, 2_000))
        cluster.switch(upstream, **changes)
        name = f"n{number}"
        headers = (("X-Request-Id", name), ("X-Timeout-Ms", "1000"))
        address = cluster.entries[0].identity.http_address
        path = "/v1/services/quotes/note"
        calls[name] = cluster.start_call(address, "POST", path, name.encode(), headers)
        cluster.loop.run_until(lambda name=name: calls[name], rng.choice((0.0, 0.05)))
    cluster.until(lambda: all(calls.values()))
    cluster.switch(upstream, refuse=False, dead=False, lose_answers=0, slow_ms=0)
    record = cluster.call(upstream, "GET", "/record").json()["ran"]
    ran = [item[0].split(ATTEMPT_SEPARATOR)[0] for item in record]
    verdicts_seen = []
    for name, (result,) in calls.items():
        verdict = result.headers["x-verdict"]
        assert ran.count(name) <= 1, name
        if verdict != "MAY_HAVE_RUN":
            assert_that(ran.count(name), Equals(int(verdict == "RAN")), name)
        if verdict == "RAN":
            assert_that(result.body, Equals(name.encode()))
        verdicts_seen.append(verdict)
    assert_that(set(verdicts_seen), Equals({"RAN", "NOT_RUN", "MAY_HAVE_RUN"}))
