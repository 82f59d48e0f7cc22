"""Model of the table and of workers, for replays in virtual time.

The worker checks nothing but the epoch and the lease of a command.
"""

import itertools

from cornelward.platform_client import Conflict, Row

__all__ = ["Faults", "ModelTable", "ModelWorker"]


class Faults:
    """Probabilities of faults of each call; all zero by default."""

    def __init__(self, lose_request=0.0, lose_answer=0.0, late=0.0, late_s=4.0):
        self.lose_request = lose_request
        self.lose_answer = lose_answer
        self.late = late
        self.late_s = late_s


class ModelTable:
    """Transactional table; ``down`` makes every call fail."""

    def __init__(self):
        self.rows = {}
        self.down = False
        self.operations = 0
        self.on_put = lambda key, value: None
        self.versions = itertools.count(1)

    def get(self, key):
        value, version = self.rows.get(key, (None, 0))
        return Row(key, value, version)

    def list_rows(self, prefix):
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.get(key) for key in keys]

    def txn(self, checks, puts, deletes):
        bad = {k: self.get(k).version for k, v in checks if self.get(k).version != v}
        if bad:
            return Conflict(bad)
        for key in deletes:
            self.rows.pop(key, None)
        for key, value in puts:
            self.on_put(key, value)
            self.rows[key] = (value, next(self.versions))
        return {key: self.rows[key][1] for key, _ in puts}


class ModelWorker:
    """A worker that checks only the epoch and the lease of a command."""

    def __init__(self, worker_id, rack, capacity, clock_s=0.0):
        self.id = worker_id
        self.rack = rack
        self.capacity = capacity
        self.clock_s = clock_s
        self.epoch = 0
        self.lease_until_ms = 0
        self.running = {}
        self.finished = {}
        self.dead = False
        self.state = "live"
        self.fail_all = False
        self.usage_lag_s = 2.0

    def clock_ms(self, now):
        return int((now + self.clock_s) * 1000)

    def member(self, failure_domain):
        return {
            "id": self.id,
            "kind": "worker",
            "service": None,
            "failure_domain": failure_domain,
            "region": "r",
            "address": f"{self.id}:1",
            "state": self.state,
            "rack": self.rack,
            **self.capacity,
        }
