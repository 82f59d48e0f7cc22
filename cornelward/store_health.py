"""Core: whether this process reaches the store."""

__all__ = ["StoreHealth"]

# A single lost answer is no outage.
FAILURES = 2


class StoreHealth:
    """Outcomes of the calls to the store, in order."""

    def __init__(self):
        self.failures = 0
        self.failing_since = None

    def note(self, now, reached):
        """Take in the outcome of a call."""
        if reached:
            self.failures = 0
            self.failing_since = None
            return
        self.failures += 1
        if self.failing_since is None:
            self.failing_since = now

    @property
    def is_failing(self):
        """Return whether the last calls have failed."""
        return self.failures >= FAILURES

    def failing_s(self, now):
        """Return for how long calls have failed; 0.0 while they do not."""
        return now - self.failing_since if self.is_failing else 0.0
