"""Core: how fast workers are, learned from the progress of their runs.

The logarithm of a run's length is the base of its step plus the slowness of its worker
plus noise. Callers' estimates only serve as a first guess of the base, so that a wrong
one does not make the workers of its job look slow or fast.
"""

import math
from typing import NamedTuple

from .objectives import expected_run_s
from .staged_jobs import critical_path_s

__all__ = [
    "Speed",
    "are_uneven",
    "observe_end",
    "observe_progress",
    "patience_of",
    "slowness_rank",
]

# Progress in percent by which a run must have grown for another observation.
MIN_PROGRESS = 20.0
# Variances of logarithms: of workers that are not known, of tasks of one step, and of a
# step's length around that which its queue suggests.
UNKNOWN_VARIANCE = 0.25
TASK_VARIANCE = 0.05
STEP_VARIANCE = 0.5
# By how much a worker's variance grows in a second, as its speed may change.
VARIANCE_PER_S = 0.01
# An observation counts as at most this many standard deviations off.
MAX_DEVIATIONS = 2.0
# Speeds differ if the slowest and the fastest sixth of the workers do by this factor.
UNEVEN_FACTOR = 1.5
# Fewer known workers do not show whether speeds differ.
MIN_KNOWN_WORKERS = 6
# Workers whose logarithms differ by less than this are of like speed.
RANK_WIDTH = 0.25
# Share of the time to its deadline that a step may plan to use; the rest is for waits.
PATIENCE_SHARE = 0.6
# A worker is known once its variance is below this.
KNOWN_VARIANCE = 0.15


class Speed(NamedTuple):
    """Logarithm of a worker's slowness: mean, variance and time of the estimate."""

    mean: float = 0.0
    variance: float = UNKNOWN_VARIANCE
    at: float = 0.0


def observe_progress(run_times, now, worker, run, progress):
    """Learn from the progress of a run, in percent, as a poll lists it.

    ``run.rated`` is the (time, progress) from which the next observation counts. Gangs
    go at the pace of their slowest member, tasks away from their data at another one.
    """
    step = run.step
    away = step.near_rack and step.near_rack != worker.info.rack
    if step.long_running or step.gang or away:
        return
    if run.rated is None:
        # The first report of an adopted run; others begin with their confirmed start.
        run.rated = (now, progress)
        return
    since, before = run.rated
    gained = progress - before
    if gained < MIN_PROGRESS or now <= since:
        return
    run.rated = (now, progress)
    _observe(run_times, now, worker, run, (now - since) * 100.0 / gained)


def observe_end(run_times, now, worker, run):
    """Learn from the end of a run that succeeded."""
    if run.rated is not None:
        observe_progress(run_times, now, worker, run, 100.0)


def _observe(run_times, now, worker, run, total_s):
    """Update the worker's speed and the step's base from the length of a run."""
    speed = _aged(worker.speed, now)
    length = math.log(total_s)
    base, base_variance = _step_base(run_times, run)
    variance = TASK_VARIANCE + base_variance
    off = length - base - speed.mean
    limit = MAX_DEVIATIONS * math.sqrt(variance + speed.variance)
    gain = speed.variance / (speed.variance + variance)
    mean = speed.mean + gain * max(-limit, min(limit, off))
    worker.speed = Speed(mean, (1 - gain) * speed.variance, now)
    count, total = run.job.step_lengths.get(run.task.key[:2], (0, 0.0))
    run.job.step_lengths[run.task.key[:2]] = (count + 1, total + length - mean)


def _aged(speed, now):
    variance = speed.variance + VARIANCE_PER_S * max(0.0, now - speed.at)
    return speed._replace(variance=min(UNKNOWN_VARIANCE, variance))


def _step_base(run_times, run):
    """Return mean and variance of the logarithm of the step's length."""
    queue, estimate_s = run.job.spec.queue.name, run.step.estimate_s
    guess = math.log(max(0.001, expected_run_s(run_times, queue, estimate_s)))
    count, total = run.job.step_lengths.get(run.task.key[:2], (0, 0.0))
    if not count:
        return guess, STEP_VARIANCE
    seen_variance = (TASK_VARIANCE + KNOWN_VARIANCE) / count
    weight = STEP_VARIANCE / (STEP_VARIANCE + seen_variance)
    mean = guess + weight * (total / count - guess)
    return mean, weight * seen_variance


def slowness_rank(worker, typical, patience):
    """Return the rank of a worker for a step; the lowest is preferred.

    ``typical`` is the median of the logarithms. Of the workers on which a run lasts at
    most ``patience`` times as long as on a typical one, the slowest come first, so that
    the fast ones stay free for work in a hurry; then the others, the fastest first.
    """
    slowness = worker.speed.mean - typical
    rank = round(slowness / RANK_WIDTH)
    if patience > 0 and slowness <= math.log(patience):
        return False, -rank
    return True, rank


def patience_of(now, job, key, run_times):
    """Return how many times its typical length a step may last, 0 if it is in a hurry.

    Urgent steps and gangs are: a gang waits for its slowest member.
    """
    queue, step = job.spec.queue, job.spec.steps[key[1]]
    if queue.priority == 0 or step.gang or step.long_running:
        return 0.0
    lengths = [
        s._replace(estimate_s=expected_run_s(run_times, queue.name, s.estimate_s))
        for s in job.spec.steps
    ]
    remaining_s = critical_path_s(lengths, key[1])
    left_s = PATIENCE_SHARE * (job.deadline - now)
    return left_s / remaining_s if left_s > remaining_s > 0 else 0.0


def are_uneven(speeds):
    """Return (whether known speeds differ, median of the logarithms)."""
    means = sorted(s.mean for s in speeds if s.variance < KNOWN_VARIANCE)
    if not means:
        return False, 0.0
    sixth = len(means) // 6
    differ = means[-1 - sixth] - means[sixth] > math.log(UNEVEN_FACTOR)
    return differ and len(means) >= MIN_KNOWN_WORKERS, means[len(means) // 2]
