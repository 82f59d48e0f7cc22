"""Case 3: answers to the requests of a killed process reach the process after it.

The leader's machine freezes for less than a second. Meanwhile another node's process
is killed and started again. Clients ask both processes of that node for states of jobs:
the former one for jobs that have completed, the new one for jobs that are to last.
"""

import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BROKEN, HELD, lasting_job, main  # noqa: E402

NODES, WORKERS, JOBS = 6, 8, 30
# Each round has a node of its own to ask, as a process numbers its requests from 1.
# Where processes start slowly, another node may take over before the freeze ends; the
# last round is played after the other nodes were stopped.
ROUNDS, ROUNDS_WITH_ALL = 4, 3
SHORT_RUN_S, LONG_RUN_S = 0.2, 3_600.0
# From the start of the freeze to the kill, from the readiness of the new process to the
# first question to it, and from that to the end of the freeze.
KILLED_AFTER_S, ASKED_AFTER_S, THAWED_AFTER_S = 0.02, 0.12, 0.06
LEADER_ROW = ("leader", "", "main")


def short_job():
    """Return the body of a job that completes at once."""
    return {"spec": "review", "steps": [{"count": 1, "cpu": 500, "mem_mb": 256}]}


def submit(site, node, ids, body):
    """Hand in jobs at a node."""
    answers = []
    for job_id in ids:
        site.call(node, "POST", job_id, lambda status, _: answers.append(status), body)
    site.wait(lambda: len(answers) == len(ids), "answers to the submissions", 10.0)
    if set(answers) != {200}:
        raise TimeoutError(f"submissions were answered {answers}")


def ask_states(site, node, ids):
    """Ask a node for the states of jobs; returns the dict of the answers to come."""
    found = {}
    for job_id in ids:

        def on_answer(status, body, job_id=job_id):
            found[job_id] = body.get("state") if status == 200 else status

        site.call(node, "GET", job_id, on_answer)
    return found


def wait_for_renewal(site):
    """Wait until the leader has renewed its row, as for ``node_freeze`` ``renewed``."""
    rows = site.cell.store.rows
    _, version = rows[LEADER_ROW]
    site.wait(lambda: rows[LEADER_ROW][1] != version, "a renewal", 5.0)
    site.pause(0.01)


def play(site, with_trouble):
    """Return HELD or BROKEN."""
    short = [f"a{number:015x}" for number in range(JOBS)]
    lasting = [f"b{number:015x}" for number in range(JOBS)]
    leader = site.await_leader()
    site.cell.run_s = SHORT_RUN_S
    submit(site, leader, short, short_job())
    site.pause(2.0)
    site.cell.run_s = LONG_RUN_S
    submit(site, leader, lasting, lasting_job())
    site.wait(lambda: all(map(site.running_on, lasting)), "all jobs to run", 20.0)
    asked, broken = [], 0
    for number in range(ROUNDS):
        if number == ROUNDS_WITH_ALL and with_trouble:
            stop_others(site, asked)
        site.pause(4.0)
        leader = site.await_leader()
        entry = next(n for n in site.nodes if n is not leader and n not in asked)
        asked.append(entry)
        site.note(f"round {number + 1}: {leader.name} leads, {entry.name} is asked")
        broken = play_round(site, with_trouble, (leader, entry), short, lasting)
        if broken:
            break
    return BROKEN if broken else HELD


def stop_others(site, asked):
    """Stop all nodes but the leader and one that was not asked: nobody takes over."""
    leader = site.await_leader()
    entry = next(n for n in site.nodes if n is not leader and n not in asked)
    for node in [n for n in site.nodes if n not in (leader, entry)]:
        site.note(f"SIGTERM to {node.name}")
        node.send_signal(signal.SIGTERM)
        site.wait(node.has_exited, "the end of the process", 10.0)
        site.nodes.remove(node)


def play_round(site, with_trouble, nodes, short, lasting):
    """Ask both processes of one node; returns the number of wrong answers."""
    leader, entry = nodes
    if with_trouble:
        wait_for_renewal(site)
        site.note(f"{leader.name} freezes")
        leader.send_signal(signal.SIGSTOP)
    ask_states(site, entry, short)
    site.pause(KILLED_AFTER_S)
    if with_trouble:
        site.note(f"the process of {entry.name} is killed and started again")
        entry.send_signal(signal.SIGKILL)
        entry.process.wait()
        entry.start()
        site.wait(lambda: site.is_ready(entry), "the new process", 10.0)
        site.pause(ASKED_AFTER_S)
    found = ask_states(site, entry, lasting)
    site.pause(THAWED_AFTER_S)
    if with_trouble:
        site.note(f"{leader.name} goes on")
        leader.send_signal(signal.SIGCONT)
    site.wait(lambda: len(found) == JOBS, "the answers", 10.0)
    site.pause(3.0)
    later = ask_states(site, entry, lasting)
    site.wait(lambda: len(later) == JOBS, "the later answers", 10.0)
    return count_wrong(site, lasting, found, later)


def count_wrong(site, lasting, found, later):
    """Return how many answers show a job as completed whose task is at work."""
    wrong = 0
    for job_id in lasting:
        runs = site.running_on(job_id)
        for when, answer in (("first", found[job_id]), ("3 s later", later[job_id])):
            if answer == "completed" and runs:
                wrong += 1
                site.note(
                    f"MIXED: {job_id} shown as completed ({when}), at work: {runs}"
                )
    site.note(f"{wrong} of {2 * JOBS} answers wrong")
    return wrong


if __name__ == "__main__":
    raise SystemExit(main(FOLDER, play, NODES, WORKERS))
