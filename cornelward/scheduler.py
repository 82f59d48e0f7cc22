"""Shell of a scheduler: turns events into calls of the task core, effects into I/O.

``cornelward-scheduler SETTINGS`` exits with 0 after a graceful shutdown, with 2 when
the settings are bad and with 3 when the process could not start.
"""

from . import config_follow, task_scheduler
from .api import serve_common
from .errors import NOT_FOUND, PlatformError, RequestError
from .log import get_logger
from .messages import ConfigAnnounce, ConfigRequest, JobNotice
from .platform_client import Conflict
from .process import run_process
from .settings import SCHEDULER

__all__ = ["Scheduler", "main", "start"]

log = get_logger("scheduler")

DRAIN_CHECK_S = 0.25
MIN_WAKEUP_S = 0.01


class Scheduler:
    """State of one scheduler process."""

    def __init__(self, common, core, identity, rng, workers):
        self.cfg = common.cfg
        self.common = common
        self.core = core
        self.loop = common.loop
        self.metrics = common.metrics
        self.platform = common.platform
        self.workers = workers
        self.identity = identity
        self.state = core.new_scheduler(common.cfg, identity, rng)
        # Peer addresses of the entries in the failure domain's view.
        self.peers = []
        self.follower = config_follow.ConfigFollower(
            common.cfg,
            common.platform,
            lambda: self.peers,
            common.peers.send,
            lambda document: config_changed(self, document),
        )
        self.members_known = False
        self.leaving = False
        self.leave_by = None
        self.wakeup = None
        self.role = ""

    def handle(self, call):
        """Serve one HTTP call."""
        if not serve_common(call, self):
            text = f"no route {call.request.method} {call.request.path}"
            raise RequestError(NOT_FOUND, text)

    def on_message(self, envelope):
        """Take a message of another process."""
        message = envelope.message
        if isinstance(message, ConfigAnnounce | ConfigRequest):
            config_follow.receive(self.follower, envelope)
        elif isinstance(message, JobNotice):
            run(self, self.core.notice(self.state, self.loop.now(), message.job_id))

    def is_ready(self):
        """Return whether this process can own or take over its failure domain."""
        has_config = self.follower.document["version"] > 0
        return has_config and self.members_known and not self.leaving

    def dump(self):
        """Return the whole state, JSON-ready."""
        return {
            "id": self.identity.id,
            "incarnation": self.identity.incarnation,
            "failure_domain": self.identity.failure_domain,
            "region": self.identity.region,
            "ready": self.is_ready(),
            "leaving": self.leaving,
            "scheduler": self.core.dump(self.state, self.loop.now()),
        }


def run(scheduler, effects):
    """Carry out the core's effects in order."""
    for effect in effects:
        EFFECTS[type(effect)](scheduler, effect)
    _observe(scheduler)
    _arm_wakeup(scheduler)


def _observe(scheduler):
    role = scheduler.state.own.role
    if role != scheduler.role:
        scheduler.role = role
        epoch = scheduler.state.own.epoch
        log("info", "role_changed", role=role, epoch=epoch)


def _arm_wakeup(scheduler):
    if scheduler.wakeup is not None:
        scheduler.loop.cancel(scheduler.wakeup)
    at = scheduler.core.next_wakeup(scheduler.state)
    limit_s = scheduler.cfg["tick_s"]
    delay_s = limit_s if at is None else min(limit_s, at - scheduler.loop.now())

    def tick():
        scheduler.wakeup = None
        run(scheduler, scheduler.core.tick(scheduler.state, scheduler.loop.now()))

    delay_s = max(MIN_WAKEUP_S, delay_s)
    scheduler.wakeup = scheduler.loop.call_later(delay_s, tick)


def _read_row(scheduler, effect):
    sent_at = scheduler.loop.now()

    def done(row):
        row = None if isinstance(row, PlatformError) else row
        now = scheduler.loop.now()
        core = scheduler.core
        run(scheduler, core.row_read(scheduler.state, now, sent_at, effect.key, row))

    scheduler.platform.get(effect.key, done)


def _list_rows(scheduler, effect):
    sent_at = scheduler.loop.now()

    def done(rows):
        rows = None if isinstance(rows, PlatformError) else rows
        now = scheduler.loop.now()
        effects = scheduler.core.rows_listed(
            scheduler.state, now, sent_at, effect.prefix, rows
        )
        run(scheduler, effects)

    scheduler.platform.list_rows(effect.prefix, done)


def _txn(scheduler, effect):
    sent_at = scheduler.loop.now()

    def done(result):
        if not isinstance(result, dict | Conflict):
            result = None
        now = scheduler.loop.now()
        effects = scheduler.core.txn_done(
            scheduler.state, now, sent_at, effect.txn_id, result
        )
        run(scheduler, effects)

    scheduler.platform.txn(effect.checks, effect.puts, effect.deletes, done)


def _renew_worker(scheduler, effect):
    sent_at = scheduler.loop.now()

    def done(status, body):
        now = scheduler.loop.now()
        effects = scheduler.core.lease_reply(
            scheduler.state, now, sent_at, effect.worker, status, body
        )
        run(scheduler, effects)

    scheduler.workers.renew(effect.address, effect.body, done)


def _start_task(scheduler, effect):
    sent_at = scheduler.loop.now()
    task, attempt = effect.body["task"], effect.body["attempt"]

    def done(status, body):
        now = scheduler.loop.now()
        effects = scheduler.core.start_reply(
            scheduler.state, now, sent_at, effect.worker, task, attempt, status, body
        )
        run(scheduler, effects)

    if not scheduler.core.may_send(scheduler.state, sent_at):
        # The lease ended since the core decided; the task stays ``starting`` and the
        # worker's next report settles it.
        scheduler.loop.call_soon(lambda: done(None, None))
        return
    log("info", "task_start", task=task, attempt=attempt, worker=effect.worker)
    scheduler.workers.start(effect.address, effect.body, done)


def _signal_task(scheduler, effect):
    scheduler.workers.signal(effect.address, effect.body, lambda status, body: None)


EFFECTS = {
    task_scheduler.ReadRow: _read_row,
    task_scheduler.ListRows: _list_rows,
    task_scheduler.Txn: _txn,
    task_scheduler.RenewWorker: _renew_worker,
    task_scheduler.StartTask: _start_task,
    task_scheduler.SignalTask: _signal_task,
}


def start(scheduler):
    """Start the timers; called once, before the loop runs."""
    loop, cfg = scheduler.loop, scheduler.cfg
    scheduler.follower.address = scheduler.identity.peer_address
    config_follow.start(scheduler.follower, loop)
    poll_members(scheduler)
    loop.call_every(cfg["members_poll_s"], lambda: poll_members(scheduler))
    run(scheduler, scheduler.core.tick(scheduler.state, loop.now()))
    loop.on_signal(lambda signo: begin_leave(scheduler))
    log("info", "started", http=scheduler.identity.http_address)


def poll_members(scheduler):
    """Read the platform's list of instances, and the entries to ask in an outage."""

    def read(instances):
        if isinstance(instances, PlatformError):
            return
        scheduler.members_known = True
        now = scheduler.loop.now()
        core = scheduler.core
        run(scheduler, core.update_members(scheduler.state, now, instances))

    def view_read(row):
        if not isinstance(row, PlatformError) and row.version:
            members = row.value["members"].values()
            scheduler.peers = [member["address"] for member in members]

    scheduler.platform.members(read)
    if not scheduler.peers:
        domain = scheduler.identity.failure_domain
        scheduler.platform.get(f"views/{domain}", view_read)


def config_changed(scheduler, document):
    """Put an adopted configuration in force."""
    version, objects = document["version"], document["objects"]
    scheduler.metrics.config_version.set(version)
    now = scheduler.loop.now()
    core = scheduler.core
    run(scheduler, core.update_config(scheduler.state, now, version, objects))


def begin_leave(scheduler):
    """Start a graceful shutdown; running tasks stay under their leases."""
    if scheduler.leaving:
        return
    scheduler.leaving = True
    scheduler.leave_by = scheduler.loop.now() + scheduler.cfg["shutdown_timeout_s"]
    log("info", "leaving")
    run(scheduler, scheduler.core.leave(scheduler.state, scheduler.loop.now()))
    _drain(scheduler)


def _drain(scheduler):
    late = scheduler.loop.now() >= scheduler.leave_by
    if late or scheduler.core.has_left(scheduler.state):
        log("warning" if late else "info", "stopped", timeout=late)
        scheduler.loop.stop()
        return
    scheduler.loop.call_later(DRAIN_CHECK_S, lambda: _drain(scheduler))


def main(argv=None):
    """Run a scheduler until a signal; returns the exit code."""
    # The composition root imports this module.
    from .compose import build_scheduler

    return run_process(
        "cornelward-scheduler", SCHEDULER, build_scheduler, __doc__, argv
    )


if __name__ == "__main__":
    raise SystemExit(main())
