"""Core: detects from the outcomes of calls whether this process reaches the store."""

__all__ = ["StoreHealth"]

# Consecutive failures that count as failing; a single lost response does not.
FAILING_CALLS = 2
# Consecutive refusals, and their minimum duration, after which the store counts as
# refusing this process. A store over its rate limit refuses only single calls.
REFUSING_CALLS = 3
REFUSING_S = 0.25
# Failures for this long are an outage; calls that were not sent yet are not attempted.
OUTAGE_S = 0.5
# A response that takes longer marks the store as slow. The store takes about 5 ms, and
# the network at most 20 ms.
SLOW_RESPONSE_S = 0.12


class StoreHealth:
    """Failure counts and latency of the latest calls to the store."""

    def __init__(self):
        self.failures = 0
        self.refusals = 0
        self.failing_since = None
        self.is_slow = False

    def record_latency(self, taken_s):
        """Record how long an answered call took; not for feeds, which wait."""
        self.is_slow = taken_s > SLOW_RESPONSE_S

    def record_outcome(self, now, outcome):
        """Record the outcome of a call that ended at ``now`` (seconds).

        All outcomes but ``refused`` and ``unknown`` count as answered.
        """
        if outcome not in ("refused", "unknown"):
            self.failures = self.refusals = 0
            self.failing_since = None
            return
        self.failures += 1
        # A store whose responses are lost may still work; one that refuses does not.
        self.refusals = self.refusals + 1 if outcome == "refused" else 0
        if self.failing_since is None:
            self.failing_since = now

    @property
    def is_failing(self):
        """Return whether at least ``FAILING_CALLS`` calls in a row have failed."""
        return self.failures >= FAILING_CALLS

    def failing_s(self, now):
        """Return for how many seconds calls have failed; 0.0 while they do not."""
        return now - self.failing_since if self.is_failing else 0.0

    def is_refused(self, now):
        """Return whether the store has been refusing this process's calls."""
        failing_s = self.failing_s(now)
        return self.refusals >= REFUSING_CALLS and failing_s >= REFUSING_S

    def is_unavailable(self, now):
        """Return whether the store refuses this process or calls fail for OUTAGE_S."""
        return self.is_refused(now) or self.failing_s(now) >= OUTAGE_S
