"""Store and workers of a simulated cell (``fixtures_dispatch.Sim``)."""

from typing import NamedTuple

from cornelward.commits import Applied, Refused, Rows, Unknown
from cornelward.job_records import decode_outcome
from cornelward.staged_jobs import FAILED
from standins.crash_rules import ENTRY_EXPIRES_S

__all__ = [
    "CALL_TIMEOUT_S",
    "LONGEST_LEASE_S",
    "STOP_S",
    "FakeWorker",
    "Report",
    "Store",
]

LONGEST_LEASE_S = 10.0
STOP_S = 0.3
# A call without a response fails after this time.
CALL_TIMEOUT_S = 0.6
# A worker lists at most this many ended runs at a time.
LISTED_ENDS = 500
# Result of a poll of a worker that was replaced at its address.
GONE_POLL = "gone"


class Report(NamedTuple):
    """A worker's response to a poll."""

    clock_s: float
    born: int
    running: list
    ended: list


class Store:
    """Rows with versions.

    ``lost_share`` is the share of responses that are lost, ``delay_s`` the time that a
    transaction takes, and the time of its response.
    """

    def __init__(self, sim):
        self.sim = sim
        self.rows = {}
        self.version = 0
        self.down = False
        self.lost_share = 0.0
        self.delay_s = 0.01

    def put(self, part, table, key, value):
        self.version += 1
        self.rows[part, table, key] = (value, self.version)
        return self.version

    def commit(self, part, expected, writes):
        found = {(t, k): self.rows.get((part, t, k), (None, 0)) for t, k, _ in expected}
        if any(found[t, k][1] != version for t, k, version in expected):
            return Rows(found)
        self.version += 1
        for write in writes:
            if write.table == "done" and decode_outcome(write.value)[0] == FAILED:
                self.sim.crashes.on_job_failed(write.key)
            if write.value is None:
                self.rows.pop((part, write.table, write.key), None)
            else:
                row = (write.value, self.version)
                self.rows[part, write.table, write.key] = row
        return Applied(self.version)

    def call(self, part, expected, writes, on_done):
        sim = self.sim
        if self.down:
            sim.after(0.01, lambda: on_done(Refused("down")))
            return
        lost = sim.rng.random() < self.lost_share
        if lost and sim.rng.random() < 0.5:
            # The transaction applies late, if its conditions still hold then.
            late = sim.rng.uniform(1, 6)
            sim.after(late, lambda: self.commit(part, expected, writes))
            sim.after(CALL_TIMEOUT_S, lambda: on_done(Unknown("timeout")))
            return

        def apply():
            result = self.commit(part, expected, writes)
            if lost:
                sim.after(CALL_TIMEOUT_S, lambda: on_done(Unknown("timeout")))
            else:
                sim.after(self.delay_s, lambda: on_done(result))

        sim.after(self.delay_s, apply)


class FakeWorker:
    """A worker that follows the platform's protocol.

    ``silent`` makes it unreachable for all; ``late_share`` is the share of requests
    that it carries out only after their calls have failed. ``life`` counts its crashes,
    and ``down`` is true after one until the worker is back. If it is back under a new
    id, this one is ``gone``, and its address is that of ``successor``. With
    ``keeps_last_end``, an acknowledged number also covers the ends up to it that come
    later in that life.
    """

    def __init__(self, sim, info, drift=0.0):
        self.sim = sim
        self.info = info
        self.drift = drift
        self.silent = False
        # Until when nobody reaches the worker; see ``cut_off``.
        self.cut_until = 0.0
        self.late_share = 0.0
        # Tokens of the leaders that do not reach the worker.
        self.cut_from = set()
        self.keeps_last_end = False
        self.life = 0
        self.down = self.gone = False
        self.successor = None
        self.restart(info.born)

    def restart(self, born):
        """Restart the worker, which loses its state."""
        if self.running_at_restart():
            self.sim.crashes.on_crash(self)
        self.info = self.info._replace(born=born)
        self.started_at = self.sim.now
        # [(since, cpu)]
        self.capacities = [(self.sim.now, self.info.cpu)]
        self.token = 0
        self.running = {}
        # Run -> its start and how long it will last, where that is known.
        self.spans = {}
        self.closed_attempts = {}
        self.ended = []
        # Numbers of ended runs that became void because the lease ran out meanwhile.
        self.void_ends = set()
        self.number = 0
        # Highest number acknowledged in this life.
        self.acknowledged = 0
        self.deadline = 0.0

    def running_at_restart(self):
        """Return the runs that a restart breaks; none at the first start."""
        return getattr(self, "running", {})

    def crash(self, back_s, new_id=None):
        """Lose all runs and answer nothing for ``back_s``.

        Then the worker is back, under ``new_id`` at the same address if that is given.
        """
        if self.down or self.gone:
            return
        self._sweep()
        self.sim.crashes.on_crash(self)
        self.running = {}
        self.life += 1
        self.down = True
        life = self.life

        def expire():
            if self.life == life and (self.down or self.gone):
                self.sim.set_listed(self.info.id, False)

        def come_back():
            self.down = False
            if new_id is None:
                self.restart(self.info.born + 1)
            else:
                self.gone = True
                info = self.info._replace(id=new_id, born=self.info.born + 1)
                self.sim.add_worker(info)
                self.successor = self.sim.workers[new_id]
                self.successor.late_share = self.late_share
            self.sim.set_listed(new_id or self.info.id, True)

        self.sim.after(ENTRY_EXPIRES_S, expire)
        self.sim.after(back_s, come_back)

    def resize(self, cpu):
        """Change the capacity of the running worker."""
        self.info = self.info._replace(cpu=cpu)
        self.capacities.append((self.sim.now, cpu))
        if self.info.id in self.sim.listed and not self.down:
            self.sim.set_listed(self.info.id, True)

    def is_silent(self):
        """Return whether nothing answers at the worker's address."""
        replaced = self.successor is not None and self.successor.is_silent()
        is_cut = self.sim.now < self.cut_until
        return self.silent or is_cut or self.down or replaced

    def cut_off(self, seconds):
        """Let nobody reach the worker for ``seconds``."""
        self.cut_until = max(self.cut_until, self.sim.now + seconds)

    @property
    def clock(self):
        return 100.0 + (self.sim.now - self.started_at) * (1 - self.drift)

    def _sweep(self):
        if self.clock > self.deadline:
            for key in list(self.running):
                self.end(key, "lapsed")
            self.void_ends.update(entry[0] for entry in self.ended)

    def end(self, key, how):
        """End a run and add it to the list of ended runs."""
        step = self.running.pop(key, None)
        if step is None:
            return
        self.closed_attempts[key[0]] = max(self.closed_attempts.get(key[0], 0), key[1])
        self.number += 1
        saved = "" if how == "done" else self.sim.checkpoints.save(key, step)
        entry = (self.number, *key, how, saved)
        self.sim.on_run_ended(self, key, how)
        if self.keeps_last_end and self.number <= self.acknowledged:
            self.sim.on_end_acknowledged(entry)
        else:
            self.ended.append(entry)

    def start(self, effect, token):
        if self.gone:
            return "gone"
        self._sweep()
        run = effect.run
        if token < self.token:
            return "fence"
        self.token = token
        if effect.deadline_s < self.clock:
            return "late"
        self.deadline = max(
            self.deadline, min(effect.deadline_s, self.clock + LONGEST_LEASE_S)
        )
        key = (run.name, run.attempt)
        if key in self.running:
            return "ok"
        if run.attempt <= self.closed_attempts.get(run.name, 0):
            return "old"
        self.running[key] = run.step
        self.sim.on_run_started(self, key, run)
        return "ok"

    def stop(self, effect, token):
        if self.gone:
            return True
        self._sweep()
        if token < self.token:
            return False
        self.token = token
        key = (effect.name, effect.attempt)
        self.closed_attempts[effect.name] = max(
            self.closed_attempts.get(effect.name, 0), effect.attempt
        )
        if key in self.running:
            self.sim.after(STOP_S, lambda: self.end(key, "stopped"))
        return True

    def _progress(self, key):
        """Return the progress of a run in percent."""
        began, run_s = self.spans.get(key, (self.sim.now, 1.0))
        return min(99, int(100 * (self.sim.now - began) / max(run_s, 0.001)))

    def poll(self, effect, token):
        if self.gone:
            return GONE_POLL
        self._sweep()
        if token < self.token:
            return "fence"
        self.token = token
        if effect.deadline_s is not None:
            self.deadline = max(
                self.deadline, min(effect.deadline_s, self.clock + LONGEST_LEASE_S)
            )
        for entry in self.ended:
            if entry[0] <= effect.last_end and entry[0] not in self.void_ends:
                self.sim.on_end_acknowledged(entry)
        self.acknowledged = max(self.acknowledged, effect.last_end)
        self.ended = [e for e in self.ended if e[0] > effect.last_end]
        return self.report()

    def report(self):
        """Return a Report of the present state."""
        self._sweep()
        running = [(*key, "", self._progress(key)) for key in self.running]
        listed = self.ended[:LISTED_ENDS]
        return Report(self.clock, self.info.born, running, listed)
