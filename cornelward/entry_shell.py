"""I/O layer of an entry.

Passes events to the router, which does no I/O, and executes the effects that the router
returns.
"""

from typing import NamedTuple

from . import config_follow, forwarding, idempotency, request_flow
from .entry_metrics import new_entry_instruments
from .errors import PlatformError
from .log import get_logger
from .messages import ConfigAnnounce, ConfigRequest, Heartbeat
from .objects import index_objects
from .rows import Conflict

__all__ = ["Entry", "OperationSpec", "begin_shutdown", "start"]

log = get_logger("entry")

DRAIN_CHECK_S = 0.25
NONCE_BITS = 96


class OperationSpec(NamedTuple):
    """Settings of one operation of a service, read from the configuration."""

    idempotent: bool
    must_not_repeat: bool
    deadline_ms: int


class Entry:
    """State of one entry process."""

    def __init__(self, common, router, identity, rng, upstream):
        self.cfg = common.cfg
        self.common = common
        self.loop = common.loop
        self.metrics = common.metrics
        self.instruments = new_entry_instruments(common.metrics.registry)
        self.platform = common.platform
        self.client = common.client
        self.upstream = upstream
        self.router = router
        self.identity = identity
        self.rng = rng
        self.state = router.new_router(common.cfg, identity, rng)
        self.idempotency = idempotency.IdempotencyTable(identity.id)
        self.directory = forwarding.Directory()
        self.follower = config_follow.ConfigFollower(
            common.cfg,
            common.platform,
            lambda: peer_addresses(self),
            self.send,
            lambda document: config_changed(self, document),
        )
        self.handle = None
        # Request id to PendingRequest, for every request without a response yet.
        self.calls = {}
        self.operations = {}
        self.index = index_objects([])
        self.members_known = False
        self.leaving = False
        self.shutdown_deadline = None
        self.open_view_writes = 0
        self._last_id = 0

    def next_request_id(self):
        """Return a request id that is unique in the cell."""
        self._last_id += 1
        return f"{self.identity.id}-{self.identity.incarnation}-{self._last_id}"

    def new_nonce(self):
        """Return a random hexadecimal string that identifies one write."""
        return f"{self.rng.getrandbits(NONCE_BITS):0{NONCE_BITS // 4}x}"

    def send(self, address, message):
        """Send a message to a peer; delivery is not guaranteed."""
        self.common.peers.send(address, message)

    def on_message(self, envelope):
        """Handle a message from a peer."""
        message = envelope.message
        if isinstance(message, ConfigAnnounce | ConfigRequest | Heartbeat):
            config_follow.receive(self.follower, envelope)
        now = self.loop.now()
        execute(self, self.router.receive(self.state, now, envelope))

    def forward(self, failure_domain, pending, on_done):
        """Send a request to an entry of another failure domain."""
        forwarding.forward(self, failure_domain, pending, on_done)

    def execute_other_effect(self, effect):
        """Execute an effect that does not belong to a single request."""
        EFFECTS[type(effect).__name__](self, effect)

    def is_ready(self):
        """Return whether the load balancer should route callers to this entry."""
        has_config = self.follower.document["version"] > 0
        return has_config and self.members_known and not self.leaving

    def status(self):
        """Return a summary for operators."""
        return {
            "id": self.identity.id,
            "failure_domain": self.identity.failure_domain,
            "region": self.identity.region,
            "ready": self.is_ready(),
            "leaving": self.leaving,
            "config_version": self.follower.document["version"],
            "open_requests": len(self.calls),
        }

    def dump(self):
        """Return the whole state in JSON-ready form."""
        return {
            **self.status(),
            "incarnation": self.identity.incarnation,
            "peer_address": self.identity.peer_address,
            "keyed": idempotency.dump(self.idempotency),
            "router": self.router.dump(self.state, self.loop.now()),
        }


def execute(entry, effects):
    """Execute the router's effects."""
    request_flow.execute_effects(entry, effects)


def peer_addresses(entry):
    """Return the peer addresses of the other entries in the view."""
    own = entry.identity.peer_address
    return [address for address in entry.directory.peers if address != own]


def start(entry):
    """Start the timers and publish the HTTP address.

    Called once, before the loop runs.
    """
    loop, cfg = entry.loop, entry.cfg
    entry.follower.address = entry.identity.peer_address
    config_follow.start(entry.follower, loop)
    poll_members(entry)
    loop.call_every(cfg["members_poll_s"], lambda: poll_members(entry))
    forwarding.publish(entry)
    tick(entry)
    loop.on_signal(lambda signo: begin_shutdown(entry))
    log("info", "started", http=entry.identity.http_address)


def tick(entry):
    """Run the router's tick and schedule the next one.

    The next tick follows when the router asks for it, and after at most ``tick_s``.
    """
    now = entry.loop.now()
    try:
        execute(entry, entry.router.tick(entry.state, now))
        request_flow.idempotency_tick(entry, now)
        entry.metrics.open_requests.set(len(entry.calls))
    finally:
        max_delay_s = entry.cfg["tick_s"]
        wakeup = entry.router.next_wakeup(entry.state)
        delay_s = (
            max_delay_s if wakeup is None else min(max_delay_s, max(0.01, wakeup - now))
        )
        due = now + delay_s
        entry.loop.call_later(delay_s, lambda: _on_tick_due(entry, due))


def _on_tick_due(entry, due):
    entry.instruments.observe_lag(max(0.0, entry.loop.now() - due))
    tick(entry)


def poll_members(entry):
    """Read the platform's list of instances."""

    def read(instances):
        if isinstance(instances, PlatformError):
            return
        entry.members_known = True
        now = entry.loop.now()
        execute(entry, entry.router.update_members(entry.state, now, instances))

    entry.platform.members(read)


def config_changed(entry, document):
    """Apply a newly adopted configuration document."""
    objects = document["objects"]
    entry.index = index_objects(objects)
    entry.operations = read_operations(entry.index)
    entry.metrics.config_version.set(document["version"])
    now = entry.loop.now()
    execute(
        entry,
        entry.router.update_config(entry.state, now, document["version"], objects),
    )


def read_operations(index):
    """Return ``{(service, operation): OperationSpec}`` of a configuration."""
    specs = {}
    for workload in index["workload"].values():
        if workload["type"] != "request":
            continue
        deadline_ms = index["policy"][workload["policy"]]["deadline_ms"]
        for item in workload["operations"]:
            spec = OperationSpec(
                item["idempotent"], item["must_not_repeat"], deadline_ms
            )
            specs[workload["name"], item["name"]] = spec
    return specs


def _read_view(entry, effect):
    sent_at = entry.loop.now()
    domain = entry.identity.failure_domain

    def read(row):
        row = None if isinstance(row, PlatformError) else row
        if row is not None and row.version:
            members = row.value["members"].values()
            entry.directory.peers = [member["address"] for member in members]
        now = entry.loop.now()
        execute(entry, entry.router.handle_view_read(entry.state, now, sent_at, row))

    entry.platform.get(f"views/{domain}", read)


def _write_view(entry, effect):
    sent_at = entry.loop.now()
    key = f"views/{entry.identity.failure_domain}"
    entry.open_view_writes += 1

    def on_written(result):
        entry.open_view_writes -= 1
        if isinstance(result, dict):
            result = result[key]
        elif not isinstance(result, Conflict):
            result = None
        now = entry.loop.now()
        execute(
            entry, entry.router.handle_view_written(entry.state, now, sent_at, result)
        )

    checks = [[key, effect.expected_version]]
    entry.platform.txn(checks, [[key, effect.value]], [], on_written)


def _probe_executor(entry, effect):
    sent_at = entry.loop.now()

    def done(report):
        now = entry.loop.now()
        effects = entry.router.handle_health_report(
            entry.state, now, effect.executor, sent_at, report
        )
        execute(entry, effects)

    entry.upstream.health(effect.address, done)


EFFECTS = {
    "ReadView": _read_view,
    "WriteView": _write_view,
    "Probe": _probe_executor,
    "SendMessage": lambda entry, effect: entry.send(effect.address, effect.message),
}


def begin_shutdown(entry):
    """Start a graceful shutdown; a second signal has no further effect."""
    if entry.leaving:
        return
    entry.leaving = True
    entry.shutdown_deadline = entry.loop.now() + entry.cfg["shutdown_timeout_s"]
    entry.common.server.start_draining()
    log("info", "leaving", open_requests=len(entry.calls))
    _drain(entry)


def _drain(entry):
    """Wait until all accepted requests have their responses, or until the deadline.

    The entry then stops accepting, deletes its address row and stops.
    """
    timed_out = entry.loop.now() >= entry.shutdown_deadline
    if timed_out:
        log("warning", "shutdown_timeout", open_requests=len(entry.calls))
    if timed_out or _is_drained(entry):
        entry.common.server.stop_accepting()
        forwarding.withdraw(entry, lambda: _stop(entry))
        return
    entry.loop.call_later(DRAIN_CHECK_S, lambda: _drain(entry))


def _is_drained(entry):
    if entry.calls or entry.idempotency.by_key or entry.common.server.open_calls():
        return False
    execute(entry, entry.router.start_draining(entry.state, entry.loop.now()))
    return entry.router.is_drained(entry.state) and not entry.open_view_writes


def _stop(entry):
    """Stop the loop once all responses have been written to their sockets."""
    timed_out = entry.loop.now() >= entry.shutdown_deadline
    if timed_out or entry.common.server.is_drained():
        log("info", "stopped")
        entry.loop.stop()
        return
    entry.loop.call_later(DRAIN_CHECK_S, lambda: _stop(entry))
