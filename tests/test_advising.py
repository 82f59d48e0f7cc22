"""Advice tickets: used only while valid, also when the store records starts slowly."""

import pytest
from fixtures_dispatch import make_worker
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward import advising, dispatch, dispatch_plan
from cornelward.commits import PARTITIONS, Applied
from cornelward.dispatch_effects import AskAdvice, Commit, Start
from cornelward.staged_jobs import AdvicePolicy, JobSpec, Queue, StepSpec

VALID_S = 2.5
CFG = {
    "lease_s": 6.0,
    "stop_s": 0.3,
    "longest_lease_s": 10.0,
    "unknown_lease_s": 23.0,
}


@pytest.fixture
def dispatcher():
    """Return a Dispatcher with one worker that is approved for a job's only step."""
    state = dispatch.Dispatcher(1, dict.fromkeys(PARTITIONS, 1), CFG, 0.0)
    dispatch.update_workers(state, 0.0, [make_worker("w0")], complete=True)
    state.workers["w0"].answered_at = 0.0
    advising.set_nodes(state.advising, ["n0"])
    queue = Queue("q", "svc", 1, 4, 2.0, 1.0, AdvicePolicy(0.02, 0.001, VALID_S))
    step = StepSpec(1, 1_000, 100, estimate_s=1.0)
    dispatch.add_accepted_job(state, 0.0, JobSpec("a" * 16, queue, "", (step,)), 1, 0.0)
    approve_worker(state, 0.0)
    return state


def step_effects(state, now, kind):
    """Run a dispatcher step and return its effects of one class."""
    dispatch.step(state, now, now)
    effects, state.effects = state.effects, []
    return [effect for effect in effects if isinstance(effect, kind)]


def approve_worker(state, now):
    """Answer the advice call with an approval of the worker."""
    asked = step_effects(state, now, AskAdvice)
    assert_that(asked, HasLength(1))
    dispatch.on_advice_result(state, now, asked[0].call_id, [("w0", f"t{now}")])


def record_start(state, sent_at, now):
    """Commit the record of a start at ``sent_at``; the commit applies at ``now``."""
    commit = step_effects(state, sent_at, Commit)[0]
    dispatch.on_commit_result(state, now, commit.part, Applied(7))


def test_ticket_that_expired_while_the_start_was_recorded_is_not_sent(dispatcher):
    # With a slow store, 263 starts were rejected because their tickets had expired.
    record_start(dispatcher, 0.1, 0.1 + VALID_S)
    assert_that(step_effects(dispatcher, 0.1 + VALID_S, Start), Equals([]))
    assert_that(dispatcher.workers["w0"].runs, Equals({}))


def test_valid_ticket_is_sent(dispatcher):
    record_start(dispatcher, 0.1, 1.0)
    started = step_effects(dispatcher, 1.0, Start)
    assert_that([start.ticket for start in started], Equals(["t0.0"]))


def test_ticket_is_renewed_if_it_would_expire_on_a_slow_store(dispatcher):
    dispatcher.commit_time_s = 0.6
    job = dispatcher.jobs["a" * 16]
    late = (
        VALID_S
        - advising.TICKET_MARGIN_S
        - dispatch_plan.record_time_s(dispatcher)
        + 0.01
    )
    dispatcher.needs_plan = True
    assert_that(step_effects(dispatcher, late, AskAdvice), HasLength(1))
    assert_that(job.started, Equals(False))


def test_ticket_is_used_for_half_its_validity_on_any_slow_store(dispatcher):
    dispatcher.commit_time_s = 5.0
    dispatcher.needs_plan = True
    assert_that(step_effects(dispatcher, VALID_S / 4, Commit), HasLength(1))
