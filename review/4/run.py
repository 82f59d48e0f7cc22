"""Case 4: cancels that clients send to a leader that hands over after SIGTERM.

The leader's process is stopped (SIGTERM) and started again. Clients cancel jobs at its
address around that time. A job whose cancel was not answered within ``ack_ms`` must be
gone by ``cancel_ms`` + ``stop_ms`` after that.
"""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import ACK_S, BROKEN, CANCEL_S, HELD, lasting_job, main  # noqa: E402

NODES, WORKERS, JOBS = 3, 8, 80
STOP_S = 0.4
# The cancels are sent one after the other at this interval; the SIGTERM comes before
# the cancel with this number.
INTERVAL_S, SIGTERM_AT = 0.004, 10
# How long a client waits for the answer to a cancel: longer than ``ack_ms``.
PATIENCE_S = 5.0


class Cancel:
    """A client's cancel of one job: when it was sent and answered, and the status."""

    def __init__(self, job_id):
        self.job_id = job_id
        self.sent_at = self.answered_at = self.status = None

    @property
    def is_acknowledged(self):
        return self.status is not None and (
            self.status // 100 == 2 or self.status == 410
        )


def submit_jobs(site):
    """Hand in the jobs and wait until each runs; returns their ids."""
    ids = [f"{number:016x}" for number in range(1, JOBS + 1)]
    answers = []
    for number, job_id in enumerate(ids):
        node = site.nodes[number % NODES]
        site.call(
            node,
            "POST",
            job_id,
            lambda status, _: answers.append(status),
            lasting_job(),
        )
    site.wait(lambda: len(answers) == JOBS, "answers to the submissions", 10.0)
    if set(answers) != {200}:
        raise TimeoutError(f"submissions were answered {answers}")
    site.wait(lambda: all(map(site.running_on, ids)), "all jobs to run", 20.0)
    # All machines are in touch.
    site.pause(3.0)
    return ids


def send_cancel(site, node, job_id):
    cancel = Cancel(job_id)
    cancel.sent_at = time.monotonic()

    def on_answer(status, body):
        cancel.status, cancel.answered_at = status, time.monotonic()

    site.call(node, "DELETE", job_id, on_answer, deadline_s=PATIENCE_S)
    return cancel


def play(site, with_trouble):
    """Return HELD or BROKEN."""
    ids = submit_jobs(site)
    leader = site.await_leader()
    cancels = []
    for number, job_id in enumerate(ids):
        if number == SIGTERM_AT and with_trouble:
            site.note(f"SIGTERM to {leader.name}, which leads")
            leader.send_signal(signal.SIGTERM)
        cancels.append(send_cancel(site, leader, job_id))
        site.pause(INTERVAL_S)
    if with_trouble:
        site.wait(leader.has_exited, "the end of the process", 10.0)
        site.note(f"{leader.name} has ended with {leader.process.returncode}")
        leader.start()
        site.wait(lambda: site.is_ready(leader), "the new process", 10.0)
    site.wait(
        lambda: all(c.answered_at for c in cancels), "the cancels", PATIENCE_S + 2
    )
    site.pause(
        max(0.0, cancels[-1].sent_at + ACK_S + CANCEL_S + STOP_S - time.monotonic())
    )
    # A margin, so that no disruption is near.
    site.pause(5.0)
    return judge(site, cancels)


def judge(site, cancels):
    """Return BROKEN if a task of a cancelled job is still at work."""
    broken = False
    for cancel in cancels:
        runs = site.running_on(cancel.job_id)
        if not runs:
            continue
        broken = True
        age_s = time.monotonic() - cancel.sent_at
        answer = (
            cancel.status if cancel.is_acknowledged else f"no ack ({cancel.status})"
        )
        site.note(f"UNASKED: {runs} at work {age_s:.1f} s after the cancel: {answer}")
        status, body = site.ask(site.nodes[0], "GET", cancel.job_id)
        site.note(f"state of {cancel.job_id}: {status} {body}")
    acked = sum(cancel.is_acknowledged for cancel in cancels)
    site.note(f"{acked} of {len(cancels)} cancels acknowledged; broken: {broken}")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    raise SystemExit(main(FOLDER, play, NODES, WORKERS))
