"""The request core of an entry: a state machine that turns events into effects.

It performs no I/O: time, the random source and messages are passed in. ``now`` is
monotonic seconds. Every event function returns a list of effects, except ``complete``,
which returns ``(retried, effects)``.
"""

from . import borrowing, catalog, errors, routing, slots, views
from .identity import Identity
from .messages import (
    Heartbeat,
    HeartbeatAck,
    Leaving,
    SlotGrant,
    SlotRequest,
    SlotReturn,
    ViewAnnounce,
)
from .queues import ActiveRequest, Policy, Request
from .request_classes import ClassTable, class_of
from .router_dump import dump
from .routing import Dispatch, Forward, Outcome, Refuse
from .slots import Probe, SlotTable
from .views import ReadView, SendMessage, View, WriteView

__all__ = [
    "Dispatch",
    "Forward",
    "Identity",
    "Outcome",
    "Probe",
    "ReadView",
    "Refuse",
    "Request",
    "Router",
    "SendMessage",
    "WriteView",
    "cancel",
    "complete",
    "dump",
    "handle_health_report",
    "handle_view_read",
    "handle_view_written",
    "is_drained",
    "new_router",
    "next_wakeup",
    "receive",
    "start_draining",
    "submit",
    "tick",
    "update_config",
    "update_members",
]

# A longer gap between events than this many tick intervals counts as a pause of this
# process.
PAUSE_TICKS = 4
# Reads of the view per view lease, so that one lost read does not end the authority.
READS_PER_LEASE = 3
# Credit ids contain the incarnation, so that a return addressed to an earlier process
# with the same entry id frees no slot of this one.
CREDIT_ID_BITS = 32
INCARNATION_MASK = (1 << 30) - 1


class Router:
    """State of the request core."""

    def __init__(self, cfg, identity, rng):
        self.cfg = cfg
        self.identity = identity
        self.rng = rng
        self.view = View(identity, cfg["view_lease_s"], cfg["isolated_takeover_s"])
        credit_id_base = (identity.incarnation & INCARNATION_MASK) << CREDIT_ID_BITS
        self.slots = SlotTable(credit_id_base + 1)
        self.request_classes = ClassTable()
        self.services = {}
        self.config_version = 0
        self.objects = []
        self.instances = []
        # Request id to ActiveRequest (queued, running or forwarded).
        self.active_requests = {}
        self.credits_in_use = {}
        self.credits_to_return = []
        self.seen_credits = {}
        self.slot_request_retry_at = {}
        self.pending_slot_requests = {}
        # (entry, service) to the number in the entry's last heartbeat.
        self.peer_free_slots = {}
        self.peer_queue_lengths = {}
        self.refusal_counts = {}
        self.seq = 0
        self.next_heartbeat_at = float("-inf")
        self.next_view_read_at = float("-inf")
        self.last_event_at = None
        self.draining = False
        self.departed = False
        self.pending_write = None


def new_router(cfg, identity, rng):
    """Return the state at start; ``cfg`` is the entry's settings."""
    return Router(cfg, identity, rng)


def _observe_clock(state, now):
    """Detect a pause of this process, during which it received no messages of peers.

    After a pause, the silence of the peers must not count against them.
    """
    if state.last_event_at is not None:
        gap_s = now - state.last_event_at
        if gap_s > PAUSE_TICKS * state.cfg["tick_s"]:
            views.discount_pause(state.view, gap_s)
            slots.forget_samples(state.slots)
            state.next_view_read_at = now
    state.last_event_at = now
    views.refresh_authority(state.view, now)


# Requests


def submit(state, now, request):
    """Admit a request: queue, start, forward or refuse it.

    Exactly one Dispatch, Forward or Refuse results, now or from a later event.
    """
    service = state.services.get(request.service)
    if service is None:
        message = f"no service {request.service}"
        return [Refuse(request.request_id, errors.NOT_FOUND, message, None)]
    if state.draining:
        message = "the entry is shutting down"
        return [Refuse(request.request_id, errors.SHUTTING_DOWN, message, 0)]
    cls = class_of(state.request_classes, request.service, request.operation)
    active = ActiveRequest(request, service, cls, now)
    effects = routing.admit(state, now, active)
    return effects + borrowing.balance(state, now, service)


def complete(state, now, request_id, outcome):
    """End an attempt; returns (retried, effects).

    The shell answers the caller unless ``retried``.
    """
    active = state.active_requests.get(request_id)
    if active is None or active.state not in (routing.RUNNING, routing.FORWARDED):
        return False, []
    retried, effects = routing.finish(state, now, active, outcome)
    effects += borrowing.balance(state, now, active.service)
    return retried, effects + _finish_draining(state, now)


def cancel(state, now, request_id):
    """Remove a request whose caller disconnected before it was dispatched."""
    return routing.cancel(state, now, request_id)


def _dispatch_and_balance(state, now, service):
    return routing.dispatch(state, now, service) + borrowing.balance(
        state, now, service
    )


# Messages


def receive(state, now, envelope):
    """Handle a message of a peer; messages of types not handled here are ignored."""
    _observe_clock(state, now)
    handle = _RECEIVERS.get(type(envelope.message))
    if handle is None or envelope.sender == state.identity.id:
        return []
    return handle(state, now, envelope)


def _on_heartbeat(state, now, envelope):
    message = envelope.message
    effects = views.on_heartbeat(state.view, now, envelope)
    member = state.view.members.get(envelope.sender)
    if member is None or member[1] != envelope.incarnation:
        return effects
    for service in state.services:
        key = envelope.sender, service
        state.peer_free_slots[key] = message.free_slots.get(service, 0)
        state.peer_queue_lengths[key] = message.queued.get(service, 0)
    borrowing.on_heartbeat_credits(state, now, envelope)
    catalog.refresh_claim_times(state)
    return effects


def _on_ack(state, now, envelope):
    views.on_ack(state.view, now, envelope)
    catalog.refresh_claim_times(state)
    return []


def _on_announce(state, now, envelope):
    message = envelope.message
    if message.failure_domain != state.identity.failure_domain:
        return []
    if not views.adopt(state.view, now, message.epoch, message.members):
        return []
    return _view_adopted(state, now) + [ReadView()]


def _on_leaving(state, now, envelope):
    effects = views.on_leaving(state.view, now, envelope)
    catalog.refresh_claim_times(state)
    return effects


def _on_slot_grant(state, now, envelope):
    borrowing.on_grant(state, now, envelope)
    service = state.services.get(envelope.message.service)
    return [] if service is None else _dispatch_and_balance(state, now, service)


def _on_slot_return(state, now, envelope):
    effects = []
    for name in sorted(borrowing.on_return(state, envelope)):
        if name in state.services:
            effects += _dispatch_and_balance(state, now, state.services[name])
    return effects


_RECEIVERS = {
    Heartbeat: _on_heartbeat,
    HeartbeatAck: _on_ack,
    Leaving: _on_leaving,
    SlotGrant: _on_slot_grant,
    SlotRequest: borrowing.on_request,
    SlotReturn: _on_slot_return,
    ViewAnnounce: _on_announce,
}


# View


def handle_view_read(state, now, sent_at, row):
    """Handle the result of ReadView; ``row`` is None if the read failed."""
    _observe_clock(state, now)
    effects = []
    if views.on_read(state.view, now, sent_at, row):
        effects += _view_adopted(state, now)
    return effects + _reconcile(state, now) + _dispatch_and_balance_all(state, now)


def handle_view_written(state, now, sent_at, result):
    """Handle the result of WriteView: the version, a Conflict, or None if unknown."""
    _observe_clock(state, now)
    value, state.pending_write = state.pending_write, None
    if value is None:
        return []
    adopted, effects = views.on_written(state.view, now, sent_at, result, value)
    if adopted:
        effects = _view_adopted(state, now) + effects
    return effects + _dispatch_and_balance_all(state, now)


def _reconcile(state, now):
    if state.pending_write is not None:
        # A second write is not sent: its result could not be distinguished from that of
        # the pending one.
        return []
    write = views.reconcile(state.view, now)
    if write is None:
        return []
    state.pending_write = write.value
    return [write]


def _view_adopted(state, now):
    """Reassign executors to their owners in the new view and announce the view."""
    catalog.assign_executors(state)
    borrowing.orphan_credits_of_departed(state, now)
    borrowing.forget_departed_peers(state)
    state.next_heartbeat_at = now
    return views.broadcast(state.view, views.announcement(state.view))


# Platform


def update_members(state, now, instances):
    """Apply the platform's list of instances."""
    catalog.update_executors(state, instances)
    return _dispatch_and_balance_all(state, now)


def update_config(state, now, version, objects):
    """Apply a configuration if its version is newer than the current one."""
    if version <= state.config_version:
        return []
    effects = catalog.update_services(state, version, objects)
    return effects + _dispatch_and_balance_all(state, now)


def handle_health_report(state, now, executor, sent_at, report):
    """Handle a ``/health`` report; ``report`` is None if there was no answer."""
    known = state.slots.executors.get(executor)
    if known is None:
        return []
    service = state.services.get(known.service)
    until = now + (service.policy if service else Policy()).max_run_s
    if report is not None and not isinstance(report.get("in_flight"), int):
        report = None
    slots.apply_health(state.slots, known, now, sent_at, report, until)
    return [] if service is None else _dispatch_and_balance(state, now, service)


# Time


def tick(state, now):
    """Handle what is due by time: deadlines, heartbeats, probes and view reads."""
    _observe_clock(state, now)
    effects = []
    if now >= state.next_view_read_at:
        state.next_view_read_at = now + state.cfg["view_lease_s"] / READS_PER_LEASE
        effects.append(ReadView())
    if now >= state.next_heartbeat_at:
        effects += _heartbeats(state, now)
    catalog.refresh_claim_times(state)
    for executor in state.slots.owned.values():
        slots.review_orphans(state.slots, executor, now)
    borrowing.orphan_credits_of_departed(state, now)
    borrowing.forget_expired_credits(state, now)
    for service in state.services.values():
        routing.mark_long_requests(state, now, service)
        borrowing.mark_long_credits(state, now, service)
    if views.is_member(state.view):
        effects += slots.due_probes(state.slots, now, state.cfg["health_poll_s"])
    return (
        effects + _dispatch_and_balance_all(state, now) + _finish_draining(state, now)
    )


def _dispatch_and_balance_all(state, now):
    effects = []
    for service in state.services.values():
        effects += _dispatch_and_balance(state, now, service)
    return effects


def _heartbeats(state, now):
    state.next_heartbeat_at = now + state.cfg["heartbeat_s"]
    state.seq += 1
    message = Heartbeat(
        state.view.epoch,
        state.seq,
        now,
        state.config_version,
        {name: _queued(service) for name, service in state.services.items()},
        {name: borrowing.available_slots(state, now, name) for name in state.services},
        list(state.credits_in_use),
    )
    return views.broadcast(state.view, message)


def _queued(service):
    return sum(queue.count for queue in service.queues.values())


def next_wakeup(state):
    """Return when ``tick`` must run next, in monotonic seconds."""
    claims = [
        max(executor.claim_at, executor.next_probe_at)
        for executor in state.slots.owned.values()
        if not executor.ready and executor.claim_at is not None
    ]
    returns = borrowing.next_return(state)
    return min(state.next_heartbeat_at, state.next_view_read_at, returns, *claims)


# Shutdown


def start_draining(state, now):
    """Start a graceful shutdown: new requests are refused."""
    state.draining = True
    return _finish_draining(state, now)


def is_drained(state):
    """Return whether all requests have ended and the authority was given up."""
    return state.departed


def _finish_draining(state, now):
    if not state.draining or state.active_requests or state.departed:
        return []
    state.departed = True
    views.start_leaving(state.view)
    effects = views.broadcast(state.view, Leaving(state.view.epoch))
    return effects + _reconcile(state, now)
