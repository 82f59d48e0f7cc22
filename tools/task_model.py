"""Models of the platform table and of workers, for replays in virtual time.

Of a command, a model worker checks only the epoch and the lease.
"""

import itertools

from cornelward.platform_client import Conflict, Row

__all__ = ["Faults", "ModelTable", "ModelWorker"]


class Faults:
    """Fault probabilities of a call; all are zero by default.

    ``late`` is the probability that a request or an answer is delayed by up to
    ``late_s`` seconds.
    """

    def __init__(self, lose_request=0.0, lose_answer=0.0, late=0.0, late_s=4.0):
        self.lose_request = lose_request
        self.lose_answer = lose_answer
        self.late = late
        self.late_s = late_s


class ModelTable:
    """An in-memory transactional table with row versions.

    ``operations`` counts the calls; the replay increments it. While ``down`` is set,
    the replay lets the schedulers' calls fail. ``on_put(key, value)`` is called before
    each row is written.
    """

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
        """Apply puts and deletes if every (key, version) of ``checks`` is current.

        Returns the new versions by key, or a Conflict with the versions found.
        """
        changed = {
            k: self.get(k).version for k, v in checks if self.get(k).version != v
        }
        if changed:
            return Conflict(changed)
        for key in deletes:
            self.rows.pop(key, None)
        for key, value in puts:
            self.on_put(key, value)
            self.rows[key] = (value, next(self.versions))
        return {key: self.rows[key][1] for key, _ in puts}


class ModelWorker:
    """A worker that checks only the epoch and the lease of a command.

    ``clock_s`` is the offset of its clock from virtual time in seconds. While
    ``fail_all`` is set, every task that it starts fails. Usage is reported once a task
    has run for ``usage_lag_s`` seconds.
    """

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
        """Return this worker's entry in the member list of the platform."""
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
