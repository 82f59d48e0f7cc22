"""Admission, order of requests, retries and spill of one entry."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from cornelward import errors, router
from cornelward.verdicts import Verdict
from tests.fixtures_router import finish, instance, ready_router, submit

NO_RESERVED_SLOTS = {"reserved_short_slots": 0}


def fill_all_slots(state, now=0.0, operation="op"):
    """Start requests on all eight slots."""
    for index in range(8):
        submit(state, now, f"busy{index}", operation)


def effect_names(effects):
    return [type(effect).__name__ for effect in effects]


def test_request_whose_wait_exceeds_its_deadline_is_refused_at_once():
    state = ready_router()
    submit(state, 0, "first")
    finish(state, 0.4, "first", run_s=0.4)
    fill_all_slots(state, 0.4)
    assert_that(submit(state, 0.5, "patient", deadline=9.0), Equals([]))
    (refusal,) = submit(state, 0.5, "hurried", deadline=0.9)
    assert_that(refusal.code, Equals(errors.OVERLOADED))
    assert_that(refusal.retry_after_ms is not None, Is(True))


def test_expired_request_is_dropped_before_dispatch():
    state = ready_router()
    fill_all_slots(state)
    submit(state, 0, "expires", deadline=1.0)
    submit(state, 0, "lives", deadline=2.5)
    _, effects = finish(state, 1.5, "busy0")
    assert_that(effect_names(effects), Equals(["Refuse", "Dispatch"]))
    assert_that([e.request_id for e in effects], Equals(["expires", "lives"]))


def test_newest_is_served_first_under_overload():
    """Guards against serving only requests that are about to expire."""
    state = ready_router()
    fill_all_slots(state)
    submit(state, 0, "old", deadline=3.0)
    submit(state, 2.0, "new", deadline=5.0)
    _, effects = finish(state, 2.75, "busy0")
    assert_that(effects[0].request_id, Equals("new"))


def test_queue_is_bounded():
    state = ready_router({"queue_limit": 2})
    fill_all_slots(state)
    for name in "ab":
        assert_that(submit(state, 0, name), Equals([]))
    assert_that(submit(state, 0, "c")[0].code, Equals(errors.OVERLOADED))


def test_running_request_above_the_threshold_counts_as_long_at_once():
    state = ready_router({"reserved_short_slots": 2})
    fill_all_slots(state, operation="slow")
    router.tick(state, 0.6)
    # The operation is long now, and two slots of each executor are reserved for short
    # requests: no further long request may start.
    finish(state, 0.7, "busy0", run_s=0.7)
    assert_that(submit(state, 0.7, "more", "slow"), Equals([]))
    assert_that(effect_names(submit(state, 0.7, "quick", "op")), Equals(["Dispatch"]))


def test_long_work_is_not_starved_by_short_work():
    state = ready_router(NO_RESERVED_SLOTS, executors=1)
    submit(state, 0, "x", "slow")
    finish(state, 1, "x", run_s=1.0)
    for index in range(4):
        submit(state, 1, f"busy{index}")
    submit(state, 1.0, "long", "slow", deadline=2.9)
    for index in range(20):
        submit(state, 1.0, f"short{index}", deadline=10.0)
    _, effects = finish(state, 2.2, "busy0")
    assert_that(effects[0].request_id, Equals("long"))


@pytest.mark.proof
def test_only_work_that_may_be_repeated_is_retried():
    state = ready_router()
    for name, verdict, idempotent, expected in (
        ("a", Verdict.MAY_HAVE_RUN, False, False),
        ("b", Verdict.MAY_HAVE_RUN, True, True),
        ("c", Verdict.NOT_RUN, False, True),
        ("d", Verdict.RAN, True, False),
    ):
        submit(state, 0, name, idempotent=idempotent)
        retried, effects = finish(state, 0.1, name, verdict)
        assert_that((name, retried), Equals((name, expected)))
        assert_that("Dispatch" in effect_names(effects), Is(expected))


@pytest.mark.proof
def test_request_that_may_have_run_is_never_refused():
    """Guards against answering NOT_RUN when the retry finds no free slot."""
    state = ready_router()
    fill_all_slots(state)
    submit(state, 0, "queued")
    state.active_requests["busy0"].request = state.active_requests[
        "busy0"
    ].request._replace(idempotent=True)
    retried, effects = finish(state, 0.1, "busy0", Verdict.MAY_HAVE_RUN)
    assert_that((retried, effect_names(effects)), Equals((False, [])))


def test_retries_stay_within_the_budget():
    state = ready_router({"retry_budget": 0.1})
    retries = 0
    for index in range(200):
        submit(state, 0, str(index))
        retried, _ = finish(state, 0.01, str(index), Verdict.NOT_RUN)
        retries += retried
        if retried:
            finish(state, 0.01, str(index))
    assert_that(retries, Equals(20))


@pytest.mark.proof
@pytest.mark.parametrize("source", ["answer", "health", "membership"])
def test_leaving_executor_gets_no_new_request(source):
    state = ready_router()
    first = submit(state, 0, "a")[0].executor
    if source == "answer":
        finish(state, 0.1, "a", leaving=True)
    elif source == "health":
        router.handle_health_report(
            state, 0.1, first, 0.1, {"state": "leaving", "in_flight": 1}
        )
    else:
        listed = [instance(f"x{index}") for index in range(2)]
        listed = [
            {**item, "state": "leaving"} if item["id"] == first else item
            for item in listed
        ]
        router.update_members(state, 0.1, listed)
    used = {submit(state, 0.2, str(index))[0].executor for index in range(4)}
    assert_that(used, Equals({"x0", "x1"} - {first}))


@pytest.mark.parametrize(
    "spill, expected",
    [("none", None), ("region", "fd2"), ("all", "fd2")],
)
def test_spill_goes_where_the_policy_allows(spill, expected):
    state = ready_router({"spill": spill})
    router.update_members(state, 0, [])
    (effect,) = submit(state, 0, "a")
    if expected is None:
        assert_that(effect.code, Equals(errors.NO_UPSTREAM))
    else:
        assert_that(effect, Equals(router.Forward("a", expected)))
    (effect,) = submit(state, 0, "b", forwarded=True)
    assert_that(effect.code, Equals(errors.NO_UPSTREAM))


def test_spill_uses_other_regions_only_when_the_own_region_is_full():
    state = ready_router({"spill": "all"})
    router.update_members(state, 0, [])
    domains = [submit(state, 0, str(i))[0].failure_domain for i in range(6)]
    assert_that(domains, Equals(["fd2"] * 4 + ["fd3"] * 2))


def test_refused_forward_is_retried_in_the_own_failure_domain():
    state = ready_router({"spill": "region"})
    router.update_members(state, 0, [])
    submit(state, 0, "a")
    router.update_members(state, 0, [instance("x0"), instance("x1")])
    for name in ("x0", "x1"):
        router.handle_health_report(
            state, 0, name, 0, {"state": "live", "in_flight": 0}
        )
    retried, effects = finish(state, 0.1, "a", Verdict.NOT_RUN)
    assert_that((retried, effect_names(effects)), Equals((True, ["Dispatch"])))


def test_cancelled_request_is_not_dispatched():
    state = ready_router()
    fill_all_slots(state)
    submit(state, 0, "gone")
    router.cancel(state, 0.1, "gone")
    _, effects = finish(state, 0.2, "busy0")
    assert_that(effects, Equals([]))
    assert_that(
        router.dump(state, 0.2)["services"]["quotes"]["queued"]["short"], Equals(0)
    )
