"""Classifies operations as short or long by their observed run times.

Declared run times are unreliable, so each (service, operation) keeps an exponentially
decayed quantile of its observed run times. Times are in seconds.
"""

__all__ = ["LONG", "SHORT", "ClassTable", "class_of", "mean_run", "record_run_time"]

SHORT = "short"
LONG = "long"

# Quantile that is compared with the threshold. It is below 1, so that rare slow runs do
# not make an operation long.
QUANTILE = 0.9
# Relative change of the quantile estimate per observation.
QUANTILE_STEP = 0.15
# Weight of a new observation in the moving average of the run time.
MEAN_WEIGHT = 0.1
# A long operation becomes short again when its quantile is below this share of the
# threshold (hysteresis).
SHORT_AGAIN_SHARE = 0.5


class ClassTable:
    """Run time statistics: (service, operation) to ``[quantile, mean, class]``."""

    def __init__(self):
        self.operations = {}


def class_of(table, service, operation):
    """Return SHORT or LONG; an operation without observations is SHORT."""
    stats = table.operations.get((service, operation))
    return SHORT if stats is None else stats[2]


def mean_run(table, service, operation, default_s):
    """Return the mean run time of an operation, or ``default_s`` if unknown."""
    stats = table.operations.get((service, operation))
    return default_s if stats is None else stats[1]


def record_run_time(table, service, operation, run_s, threshold_s):
    """Record the run time of a request, final or so far, and update the class."""
    stats = table.operations.get((service, operation))
    if stats is None:
        cls = LONG if run_s > threshold_s else SHORT
        table.operations[service, operation] = [max(run_s, 1e-4), run_s, cls]
        return
    if run_s > stats[0]:
        stats[0] *= 1 + QUANTILE_STEP * QUANTILE
    else:
        stats[0] *= 1 - QUANTILE_STEP * (1 - QUANTILE)
    stats[1] += MEAN_WEIGHT * (run_s - stats[1])
    if stats[0] > threshold_s:
        stats[2] = LONG
    elif stats[0] < threshold_s * SHORT_AGAIN_SHARE:
        stats[2] = SHORT
