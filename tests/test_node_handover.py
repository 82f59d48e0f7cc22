"""Input of callers while the leader hands over after SIGTERM.

Guards against tasks that run on after their cancel, jobs that are accepted and never
start, and jobs that are refused and start: whatever the store does meanwhile.
"""

import pytest
from fixtures_node import cluster
from testtools.assertions import assert_that
from testtools.matchers import Equals, Not

from cornelward import node as shell

__all__ = ["cluster"]

JOBS = 12
STEPS = [{"count": 1, "cpu": 100, "mem_mb": 64, "runs_forever": True}]
INTERVAL_S = 0.02
# The shutdown begins after this many calls of each kind, the next signal later.
FIRST_SIGNAL, SECOND_SIGNAL = 3, 8
# Callers wait for longer than the process goes on after the signal.
PATIENCE_S = 8.0
OUTAGE_S = 2.0


def job_ids(letter):
    return [f"{letter}{number:015x}" for number in range(JOBS)]


def begin_fault(cluster, fault):
    """Let the store be slow or down for a while, or lose answers."""
    store = cluster.platform.store
    if fault == "slow":
        store.slow_s = 0.3
    elif fault == "answers lost":
        store.lose_answer_rate = 0.3
    elif fault == "down":
        store.down = True
        cluster.loop.call_later(OUTAGE_S, lambda: setattr(store, "down", False))


def end_fault(cluster):
    store = cluster.platform.store
    store.slow_s, store.lose_answer_rate, store.down = 0.0, 0.0, False


def send(cluster, node, method, job_id, answers):
    """Send a call whose status goes to ``answers[job_id]``."""
    body = b"" if method == "DELETE" else cluster.encode_job(STEPS)
    cluster.client.request(
        node.settings.caller_address,
        method,
        f"/jobs/{job_id}",
        lambda result: answers.__setitem__(job_id, result.status),
        headers=(("Host", "jobs.example"),),
        body=body,
        timeout_s=PATIENCE_S,
    )


def hand_over(cluster, fault, cancelled, added):
    """Send calls to the leader around its SIGTERM; returns their statuses by job."""
    leader, answers = cluster.leader(), {}
    for number in range(JOBS):
        at = number * INTERVAL_S
        for method, job_id in (("DELETE", cancelled[number]), ("POST", added[number])):
            cluster.loop.call_later(
                at, lambda m=method, j=job_id: send(cluster, leader, m, j, answers)
            )
    begin_fault(cluster, fault)
    for number in (FIRST_SIGNAL, SECOND_SIGNAL):
        cluster.loop.call_later(
            number * INTERVAL_S, lambda: shell.begin_shutdown(leader)
        )
    cluster.wait(lambda: len(answers) == 2 * JOBS)
    end_fault(cluster)
    cluster.nodes.remove(leader)
    cluster.wait(lambda: cluster.leader() is not None)
    return answers


def repeat_cancels(cluster, answers, cancelled):
    """Repeat the cancels that were not acknowledged, as callers do."""
    for job_id in cancelled:
        while answers[job_id] not in (200, 410):
            result = cluster.call(cluster.nodes[0], "DELETE", f"/jobs/{job_id}")
            answers[job_id] = result.status


def jobs_at_work(cluster):
    runs = (key for w in cluster.platform.workers.values() for key in w.running)
    return {name.partition(".")[0] for name, _ in runs}


@pytest.mark.parametrize("fault", ["", "slow", "answers lost", "down"])
def test_calls_to_a_leader_that_hands_over_take_effect_once_or_not_at_all(
    cluster, fault
):
    cancelled, added = job_ids("a"), job_ids("b")
    cluster.start(nodes=3, run_s=3_600.0)
    for job_id in cancelled:
        assert_that(cluster.submit(cluster.nodes[0], job_id, STEPS), Equals(200))
    cluster.wait(lambda: jobs_at_work(cluster) == set(cancelled))
    answers = hand_over(cluster, fault, cancelled, added)
    assert_that(set(answers.values()) & {None}, Equals(set()))
    accepted = {job_id for job_id in added if answers[job_id] == 200}
    refused = {job_id for job_id in added if answers[job_id] in (429, 503)}
    repeat_cancels(cluster, answers, cancelled)
    cluster.wait(
        lambda: (
            accepted <= jobs_at_work(cluster)
            and not jobs_at_work(cluster) & set(cancelled)
        )
    )
    started = {task.partition(".")[0] for _, task, _ in cluster.platform.starts}
    assert_that(refused & started, Equals(set()))
    if not fault:
        assert_that(accepted, Not(Equals(set())))
    assert_that(cluster.platform.violations, Equals([]))
