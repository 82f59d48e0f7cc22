"""Core: by when a job should end, although the declared run times may be far off.

Planning order follows these deadlines. On the large site estimates of wide gangs are
off by a factor of two and more either way; jobs that were taken for late although they
could still be on time waited behind all others.
"""

import math

from .staged_jobs import critical_path_s

__all__ = ["RunTimes", "deadline_of", "expected_run_s", "observe_run"]

# Workers in the advice call of each step that an objective allows time for.
OBJECTIVE_WORKERS = 30
# Weight of the latest run in the mean of a queue.
RUN_WEIGHT = 0.1
# Runs of a queue before its mean counts.
MIN_RUNS = 10
# Weight of the latest run in the variances of a queue, and runs before these count.
SPREAD_WEIGHT = 0.005
MIN_SPREAD_RUNS = 50


class RunTimes:
    """Mean logarithm of the run times of each queue, and number of runs.

    ``spreads`` holds (variance of the logarithms, variance of the estimates' errors) of
    the queues whose tasks have estimates.
    """

    def __init__(self):
        self.by_queue = {}
        self.spreads = {}


def observe_run(run_times, queue, run_s, estimate_s=0.0):
    """Record the time that a task of a queue ran until it succeeded, in seconds."""
    if run_s <= 0:
        return
    length = math.log(run_s)
    mean, count = run_times.by_queue.get(queue, (length, 0))
    weight = max(RUN_WEIGHT, 1 / (count + 1))
    if estimate_s > 0:
        error = length - math.log(estimate_s)
        spread, errors = run_times.spreads.get(queue, (0.0, 0.0))
        weight_of_spread = max(SPREAD_WEIGHT, 1 / (count + 1))
        spread += weight_of_spread * ((length - mean) ** 2 - spread)
        errors += weight_of_spread * (error**2 - errors)
        run_times.spreads[queue] = (spread, errors)
    mean += weight * (length - mean)
    run_times.by_queue[queue] = (mean, count + 1)


def expected_run_s(run_times, queue, estimate_s):
    """Return the run time to expect of a task: between its estimate and the mean."""
    mean, count = run_times.by_queue.get(queue, (0.0, 0))
    if count < MIN_RUNS:
        return estimate_s
    if estimate_s <= 0:
        return math.exp(mean)
    weight = _estimate_weight(run_times, queue, count)
    return math.exp(weight * math.log(estimate_s) + (1 - weight) * mean)


def _estimate_weight(run_times, queue, count):
    """Return the weight of an estimate against the queue's mean.

    One that is off by more than run times differ says less than the mean: it gets the
    weight that gives the smallest error.
    """
    spread, errors = run_times.spreads.get(queue, (0.0, 0.0))
    if count < MIN_SPREAD_RUNS or errors <= spread:
        return 0.5
    return spread / (spread + errors)


def deadline_of(spec, accepted_at, run_times):
    """Return the time by which a job should end.

    That is its objective after its acceptance: ``slo_s`` and ``stretch`` times the
    critical path, in which each step takes one advice call.
    """
    queue, advice = spec.queue, spec.queue.advice
    call_s = 0.0
    if advice is not None:
        call_s = advice.decision_s + OBJECTIVE_WORKERS * advice.per_worker_s
    steps = [
        step._replace(
            estimate_s=call_s + expected_run_s(run_times, queue.name, step.estimate_s)
        )
        for step in spec.steps
    ]
    return accepted_at + queue.slo_s + queue.stretch * critical_path_s(steps)
