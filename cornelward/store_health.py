"""Core: whether this process reaches the store."""

__all__ = ["StoreHealth"]

# A single lost answer is no outage.
FAILURES = 2
# A store over its rate refuses single calls; being turned away is more than that.
REFUSALS = 3
REFUSED_S = 0.25
# Failures for this long are an outage: what was not sent yet need not be tried.
OUTAGE_S = 0.5
# Answers take some 5 ms beside the way, which is 20 ms at most.
SLOW_S = 0.12


class StoreHealth:
    """Outcomes of the calls to the store, in order."""

    def __init__(self):
        self.failures = 0
        self.refusals = 0
        self.failing_since = None
        self.is_slow = False

    def record_latency(self, taken_s):
        """Take in how long the answer to a call of any kind but a feed took."""
        self.is_slow = taken_s > SLOW_S

    def record_outcome(self, now, outcome):
        """Take in the outcome of a call: ``refused``, ``unknown`` or an answer."""
        if outcome not in ("refused", "unknown"):
            self.failures = self.refusals = 0
            self.failing_since = None
            return
        self.failures += 1
        # A store that loses answers still works; one that refuses does not.
        self.refusals = self.refusals + 1 if outcome == "refused" else 0
        if self.failing_since is None:
            self.failing_since = now

    @property
    def is_failing(self):
        """Return whether the last calls have failed."""
        return self.failures >= FAILURES

    def failing_s(self, now):
        """Return for how long calls have failed; 0.0 while they do not."""
        return now - self.failing_since if self.is_failing else 0.0

    def is_refused(self, now):
        """Return whether the store has turned this process away for a while."""
        failing_s = self.failing_s(now)
        return self.refusals >= REFUSALS and failing_s >= REFUSED_S

    def is_unavailable(self, now):
        """Return whether the store has not answered this process for a while."""
        return self.is_refused(now) or self.failing_s(now) >= OUTAGE_S
