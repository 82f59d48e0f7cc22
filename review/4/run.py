"""Case 4: executors crash one after the other under a task that is to last.

Each time the task is at work, its executor crashes and is back two seconds later. The
job, none of whose runs has ended as ``failed``, must not be shown as failed.
"""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BROKEN, HELD, lasting_job, main  # noqa: E402

JOB = "00c0ffee00c0ffee"
WORKERS = 8
CRASHES = 4
# How long the task works before its executor crashes, and how long that is down.
WORK_S, DOWN_S = 8.0, 2.0


def play(site, with_trouble):
    """Return HELD or BROKEN."""
    status, _ = site.ask(site.nodes[0], "POST", JOB, lasting_job())
    if status != 200:
        raise TimeoutError("the job was not accepted")
    for number in range(CRASHES):
        site.wait(lambda: site.running_on(JOB), f"run {number + 1}", 20.0)
        site.pause(WORK_S)
        if with_trouble:
            worker_id, task, run = site.running_on(JOB)[0]
            site.note(f"{worker_id} crashes under {task} run {run}")
            site.cell.workers[worker_id].crash(DOWN_S)
        if state_of(site) == "failed":
            break
    # The lease of a lost executor is 6 s; the rule asks for another run within 9 s.
    site.pause(12.0)
    state = state_of(site)
    ends = [how for _, how in site.ends if how == "failed"]
    site.note(
        f"state {state}, running {site.running_on(JOB)}, ends failed: {len(ends)}"
    )
    return HELD if state == "running" and site.running_on(JOB) else BROKEN


def state_of(site):
    status, body = site.ask(site.nodes[0], "GET", JOB)
    return body.get("state") if status == 200 else None


def play_and_note_ends(site, with_trouble):
    """Play, with the ends that executors list in the record."""
    site.ends = []
    before = site.cell.on_run_ended

    def on_run_ended(worker, key, outcome, end):
        site.ends.append((key, outcome))
        site.note(f"{worker.id} ends {key[0]} run {key[1]}: {outcome}")
        before(worker, key, outcome, end)

    site.cell.on_run_ended = on_run_ended
    return play(site, with_trouble)


if __name__ == "__main__":
    raise SystemExit(main(FOLDER, play_and_note_ends, nodes=2, workers=WORKERS))
