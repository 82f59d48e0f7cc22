"""Observed run times of workloads; declared ones are far from the truth."""

from collections import deque

__all__ = ["RunTimes", "expected_end", "observe_run", "typical_run_s"]

SAMPLES = 64
MIN_SAMPLES = 3
QUANTILE = 0.9
# Used for a workload without samples while no workload has any.
UNKNOWN_RUN_S = 600.0


class RunTimes:
    """The last run times of each workload, seconds."""

    def __init__(self):
        self.samples = {}
        self.quantiles = {}
        self.all = deque(maxlen=SAMPLES)


def observe_run(times, workload, run_s):
    """Take the run time of a task that succeeded."""
    times.samples.setdefault(workload, deque(maxlen=SAMPLES)).append(run_s)
    times.all.append(run_s)
    times.quantiles.pop(workload, None)
    times.quantiles.pop(None, None)


def typical_run_s(times, workload):
    """Return a high quantile of the workload's run times, or None when unknown."""
    if workload not in times.quantiles:
        samples = times.all if workload is None else times.samples.get(workload, ())
        value = None
        if len(samples) >= MIN_SAMPLES:
            ordered = sorted(samples)
            value = ordered[min(int(QUANTILE * len(ordered)), len(ordered) - 1)]
        times.quantiles[workload] = value
    return times.quantiles[workload]


def expected_end(times, workload, started_at, now):
    """Return when a running task is expected to end.

    A task beyond its workload's quantile is a straggler: it is expected to run as long
    again as it has run.
    """
    run_s = typical_run_s(times, workload)
    if run_s is None:
        run_s = typical_run_s(times, None) or UNKNOWN_RUN_S
    return started_at + max(run_s, 2 * (now - started_at))
