"""I/O shell of a scheduler: calls the task core on events and performs its effects."""

from . import config_follow
from .api import serve_common_route
from .errors import NOT_FOUND, PlatformError, RequestError
from .log import get_logger
from .messages import ConfigAnnounce, ConfigRequest, JobNotice
from .rows import Conflict

__all__ = ["Scheduler", "begin_leave", "start"]

log = get_logger("scheduler")


class Scheduler:
    """State of one scheduler process.

    ``core`` is the module ``task_scheduler`` or a test double of it; ``instruments``
    are the scheduler-specific metrics.
    """

    def __init__(self, common, core, identity, rng, workers, instruments):
        self.cfg = common.cfg
        self.common = common
        self.loop = common.loop
        self.metrics = common.metrics
        self.instruments = instruments
        self.platform = common.platform
        self.workers = workers
        self.core = core
        self.identity = identity
        self.state = core.new_scheduler(common.cfg, identity, rng)
        self.follower = config_follow.ConfigFollower(
            common.cfg,
            common.platform,
            # No peers to announce versions to: only entries do so to each other. A
            # scheduler polls the platform, and asks its seeds while that is down.
            list,
            common.peers.send,
            lambda document: config_changed(self, document),
        )
        self.members_known = False
        self.leaving = False
        self.leave_by = None

    def handle(self, call):
        """Serve one HTTP request."""
        if not serve_common_route(call, self):
            text = f"no route {call.request.method} {call.request.path}"
            raise RequestError(NOT_FOUND, text)

    def on_message(self, envelope):
        """Process a message from a peer."""
        message = envelope.message
        if isinstance(message, ConfigAnnounce | ConfigRequest):
            config_follow.receive(self.follower, envelope)
        elif isinstance(message, JobNotice):
            deliver(self, self.core.notice, message.job_id)

    def is_ready(self):
        """Return whether this process is ready to own its failure domain's workers."""
        has_config = self.follower.document["version"] > 0
        return has_config and self.members_known and not self.leaving

    def dump(self):
        """Return the whole state as JSON-serializable values."""
        identity = self.identity
        return {
            "id": identity.id,
            "failure_domain": identity.failure_domain,
            "region": identity.region,
            "incarnation": identity.incarnation,
            "peer_address": identity.peer_address,
            "ready": self.is_ready(),
            "leaving": self.leaving,
            "config_version": self.follower.document["version"],
            "scheduler": self.core.dump(self.state, self.loop.now()),
        }


def deliver(scheduler, event, *args):
    """Call an event function of the core at the current time and run its effects."""
    effects = event(scheduler.state, scheduler.loop.now(), *args)
    for effect in effects:
        EFFECTS[type(effect).__name__](scheduler, effect)


def _result_or_none(result):
    """Return a platform call's result, or None when the call failed."""
    return None if isinstance(result, PlatformError) else result


def _read_row(scheduler, effect):
    sent_at = scheduler.loop.now()

    def read(row):
        deliver(
            scheduler,
            scheduler.core.row_read,
            sent_at,
            effect.key,
            _result_or_none(row),
        )

    scheduler.platform.get(effect.key, read)


def _list_rows(scheduler, effect):
    sent_at = scheduler.loop.now()

    def listed(rows):
        event = scheduler.core.rows_listed
        deliver(scheduler, event, sent_at, effect.prefix, _result_or_none(rows))

    scheduler.platform.list_rows(effect.prefix, listed)


def _txn(scheduler, effect):
    sent_at = scheduler.loop.now()

    def done(result):
        if isinstance(result, Conflict):
            log("debug", "conflict", versions=result.versions)
        event = scheduler.core.txn_done
        deliver(scheduler, event, sent_at, effect.txn_id, _result_or_none(result))

    scheduler.platform.txn(effect.checks, effect.puts, effect.deletes, done)


def _renew_worker(scheduler, effect):
    sent_at = scheduler.loop.now()

    def done(status, body):
        event = scheduler.core.lease_reply
        deliver(scheduler, event, sent_at, effect.worker, status, body)

    scheduler.workers.renew(effect.address, effect.body, done)


def _start_task(scheduler, effect):
    sent_at = scheduler.loop.now()
    task, attempt = effect.body["task"], effect.body["attempt"]

    def done(status, body):
        event = scheduler.core.start_reply
        deliver(scheduler, event, sent_at, effect.worker, task, attempt, status, body)

    # The authority may expire while a batch of effects runs. A start command must not
    # be sent after that; the core is told that there was no answer.
    if not scheduler.core.may_send(scheduler.state, sent_at):
        log("warning", "start_withheld", task=task, attempt=attempt)
        scheduler.loop.call_soon(lambda: done(None, None))
        return
    log("debug", "start_sent", task=task, attempt=attempt, worker=effect.worker)
    scheduler.workers.start(effect.address, effect.body, done)


def _signal_task(scheduler, effect):
    scheduler.workers.signal(effect.address, effect.body, lambda status, body: None)


EFFECTS = {
    "ReadRow": _read_row,
    "ListRows": _list_rows,
    "Txn": _txn,
    "RenewWorker": _renew_worker,
    "StartTask": _start_task,
    "SignalTask": _signal_task,
}


def start(scheduler):
    """Start the timers; called once, before the loop runs."""
    loop, cfg = scheduler.loop, scheduler.cfg
    scheduler.follower.address = scheduler.identity.peer_address
    config_follow.start(scheduler.follower, loop)
    poll_members(scheduler)
    loop.call_every(cfg["members_poll_s"], lambda: poll_members(scheduler))
    schedule_tick(scheduler)
    loop.on_signal(lambda signo: begin_leave(scheduler))
    log("info", "started", http=scheduler.identity.http_address)


def schedule_tick(scheduler):
    """Run the core's tick every ``tick_s``.

    Work of the core that becomes due between two ticks waits for the next one: the
    renewals of 137 workers would otherwise wake the process about 70 times a second.
    """
    due = scheduler.loop.now() + scheduler.cfg["tick_s"]

    def tick():
        scheduler.instruments.observe_lag(scheduler.loop.now() - due)
        try:
            deliver(scheduler, scheduler.core.tick)
        finally:
            schedule_tick(scheduler)

    scheduler.loop.call_later(scheduler.cfg["tick_s"], tick)


def poll_members(scheduler):
    """Read the platform's list of instances; a failed read keeps the last list."""

    def read(instances):
        if isinstance(instances, PlatformError):
            return
        scheduler.members_known = True
        deliver(scheduler, scheduler.core.update_members, instances)

    scheduler.platform.members(read)


def config_changed(scheduler, document):
    """Apply a configuration document that the follower adopted."""
    version = document["version"]
    scheduler.metrics.config_version.set(version)
    deliver(scheduler, scheduler.core.update_config, version, document["objects"])


def begin_leave(scheduler):
    """Start a graceful shutdown; further calls have no effect."""
    if scheduler.leaving:
        return
    scheduler.leaving = True
    now = scheduler.loop.now()
    scheduler.leave_by = now + scheduler.cfg["shutdown_timeout_s"]
    log("info", "leaving")
    deliver(scheduler, scheduler.core.leave)
    _finish_leave(scheduler)


def _finish_leave(scheduler):
    """Stop when the core has released the owner row, or at the shutdown time-out."""
    late = scheduler.loop.now() >= scheduler.leave_by
    if late or scheduler.core.has_left(scheduler.state):
        if late:
            log("warning", "shutdown_timeout")
        log("info", "stopped")
        scheduler.common.server.stop_accepting()
        scheduler.loop.stop()
        return
    scheduler.loop.call_later(scheduler.cfg["tick_s"], lambda: _finish_leave(scheduler))
