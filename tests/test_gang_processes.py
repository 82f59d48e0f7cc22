"""Node processes and gangs of which several members fail in one run.

Guards against a job shown as failed although it had attempts left (issue 54).
"""

import signal

import pytest
from fixtures_gang_processes import end_members, start_gangs
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

__all__ = ["start_gangs"]

JOB = "5c0e7a21d94b36f8"
MEMBERS = 4
# A worker holds one member of this size.
BIG_CPU = 9_000
GAPS_S = (0.0, 0.02, 0.2)


def assert_attempts_used(gangs):
    """Check that each job has failed after exactly its attempts."""
    gangs.wait_ended()
    assert_that(gangs.faults(), Equals([]))
    for job_id, attempts in gangs.jobs.items():
        assert_that(gangs.states[job_id], Equals("failed"))
        assert_that(len(gangs.failed_runs(job_id)), Equals(attempts), job_id)


def test_members_that_fail_together_use_one_attempt(start_gangs):
    gangs = start_gangs(nodes=2)
    number = 0
    for attempts in (1, 2, 3):
        for count, failed in ((2, 2), (4, 2), (8, 1), (8, 8)):
            for gap_s in GAPS_S:
                hows = ["failed"] * failed + ["broken"] * (count - failed)

                def script(attempt, members, hows=hows, gap_s=gap_s):
                    end_members(gangs.loop, gangs.shuffled(members), hows, gap_s)

                number += 1
                gangs.submit(f"{number:016x}", count, attempts, script)
    assert_attempts_used(gangs)


@pytest.mark.parametrize("signo", [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize("cpu", [500, BIG_CPU], ids=["one worker", "apart"])
def test_successor_reads_another_end_of_a_run_that_counted(start_gangs, signo, cpu):
    gangs = start_gangs(seed=2)

    def script(attempt, members):
        gap_s = GAPS_S[attempt % len(GAPS_S)]
        end_members(gangs.loop, members, ["failed"] * MEMBERS, gap_s)
        gangs.loop.call_later(gap_s / 2, lambda: gangs.replace_leader(signo))

    gangs.submit(JOB, MEMBERS, 3, script, cpu)
    assert_attempts_used(gangs)
    assert_that(len(gangs.replaced), GreaterThan(1))


@pytest.mark.parametrize("replaced", [False, True], ids=["one leader", "replaced"])
def test_end_that_is_listed_after_the_next_run_began_counts_once(start_gangs, replaced):
    # A member's worker is cut off as the run fails; its list comes beside the next run.
    gangs = start_gangs(nodes=3 if replaced else 1, seed=3)
    cut = []

    def script(attempt, members):
        if attempt == 1:
            cut.append(members[0][0])
            cut[0].silent = True
            end_members(gangs.loop, members, ["failed"] * 3 + ["broken"])
            return
        if cut[0].silent:
            cut[0].silent = False
            if replaced:
                gangs.loop.call_later(0.05, gangs.replace_leader)
        hows = ["failed", "failed", "broken", "broken"]
        gangs.loop.call_later(0.5, lambda: end_members(gangs.loop, members, hows))

    gangs.submit(JOB, MEMBERS, 3, script, BIG_CPU)
    assert_attempts_used(gangs)
    assert_that(cut[0].silent, Equals(False))
    assert_that(len(gangs.replaced), Equals(int(replaced)))


def test_run_that_fails_as_a_rack_is_lost_counts_once(start_gangs):
    gangs = start_gangs(nodes=2, seed=4)
    lost = []

    def script(attempt, members):
        members = gangs.shuffled(members)
        end_members(gangs.loop, members, ["failed"] * 4 + ["broken"] * 4)
        if not lost:
            gangs.loop.call_later(0.03, lambda: lost.append(gangs.crash_rack(members)))

    gangs.submit(JOB, 8, 3, script, cpu=5_000)
    gangs.wait_ended()
    assert_that(gangs.faults(), Equals([]))
    assert_that(gangs.states[JOB], Equals("failed"))
    assert_that(len(lost), Equals(1))
