"""The request core of an entry: events in, effects out.

Pure: time, the random source and messages are arguments. ``now`` is monotonic seconds.
Every event returns a list of effects, except ``complete``, which returns
``(retried, effects)``.
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

# A gap between ticks of this many intervals is a pause of this process.
PAUSE_TICKS = 4
# Reads of the view within one view lease: a lost one must not end the authority.
READS_PER_LEASE = 3
# Credit ids carry the incarnation, so that a return meant for an earlier process with
# the same id frees nothing.
CREDIT_ID_BITS = 32
INCARNATION_MASK = (1 << 30) - 1


class Router:
    """State of the request core."""

    def __init__(self, cfg, identity, rng):
        self.cfg = cfg
        self.identity = identity
        self.rng = rng
        self.view = View(identity, cfg["view_lease_s"], cfg["isolated_takeover_s"])
        first = (identity.incarnation & INCARNATION_MASK) << CREDIT_ID_BITS
        self.slots = SlotTable(first + 1)
        self.request_classes = ClassTable()
        self.services = {}
        self.config_version = 0
        self.objects = []
        self.instances = []
        # Request id to Work: queued, running or forwarded.
        self.active_requests = {}
        self.credits_in_use = {}
        self.credits_to_return = []
        self.seen_credits = {}
        self.slot_request_retry_at = {}
        self.pending_slot_requests = {}
        self.peer_free_slots = {}  # (entry, service) to its last heartbeat's figure
        self.peer_queue_lengths = {}
        self.refusal_counts = {}
        self.seq = 0
        self.heartbeat_at = float("-inf")
        self.read_at = float("-inf")
        self.last_seen = None
        self.draining = False
        self.announced = False
        self.pending_write = None


def new_router(cfg, identity, rng):
    """Return the state at start; ``cfg`` is the entry's settings."""
    return Router(cfg, identity, rng)


def _observe_clock(state, now):
    """Note a pause: others seem silent then, but it was this process that slept."""
    if state.last_seen is not None:
        gap_s = now - state.last_seen
        if gap_s > PAUSE_TICKS * state.cfg["tick_s"]:
            views.discount_pause(state.view, gap_s)
            slots.forget_samples(state.slots)
            state.read_at = now
    state.last_seen = now
    views.refresh_authority(state.view, now)


# Requests


def submit(state, now, request):
    """Admit a request; exactly one Dispatch, Forward or Refuse follows in time."""
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

    The caller is answered by the shell unless ``retried``.
    """
    active = state.active_requests.get(request_id)
    if active is None or active.state not in (routing.RUNNING, routing.FORWARDED):
        return False, []
    retried, effects = routing.finish(state, now, active, outcome)
    effects += borrowing.balance(state, now, active.service)
    return retried, effects + _depart(state, now)


def cancel(state, now, request_id):
    """Drop a request whose caller went away before dispatch."""
    return routing.cancel(state, now, request_id)


def _run_service(state, now, service):
    return routing.dispatch(state, now, service) + borrowing.balance(
        state, now, service
    )


# Messages


def receive(state, now, envelope):
    """Handle a message of a peer; other message types are ignored."""
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
    return [] if service is None else _run_service(state, now, service)


def _on_slot_return(state, now, envelope):
    effects = []
    for name in sorted(borrowing.on_return(state, envelope)):
        if name in state.services:
            effects += _run_service(state, now, state.services[name])
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
    """Handle the answer to ReadView, None when the table failed."""
    _observe_clock(state, now)
    effects = []
    if views.on_read(state.view, now, sent_at, row):
        effects += _view_adopted(state, now)
    return effects + _reconcile(state, now) + _run_all(state, now)


def handle_view_written(state, now, sent_at, result):
    """Handle the result of WriteView: version, Conflict, or None when unknown."""
    _observe_clock(state, now)
    value, state.pending_write = state.pending_write, None
    if value is None:
        return []
    adopted, effects = views.on_written(state.view, now, sent_at, result, value)
    if adopted:
        effects = _view_adopted(state, now) + effects
    return effects + _run_all(state, now)


def _reconcile(state, now):
    if state.pending_write is not None:
        # Its result could not be told from that of a second write.
        return []
    write = views.reconcile(state.view, now)
    if write is None:
        return []
    state.pending_write = write.value
    return [write]


def _view_adopted(state, now):
    """Move executors to their owners of the new view and tell the members."""
    catalog.assign_executors(state)
    borrowing.orphan_credits_of_departed(state, now)
    borrowing.forget_departed_peers(state)
    state.heartbeat_at = now
    return views.broadcast(state.view, views.announcement(state.view))


# Platform


def update_members(state, now, instances):
    """Take in the platform's list of instances."""
    catalog.update_executors(state, instances)
    return _run_all(state, now)


def update_config(state, now, version, objects):
    """Put a newer configuration in force; an older one is ignored."""
    if version <= state.config_version:
        return []
    effects = catalog.update_services(state, version, objects)
    return effects + _run_all(state, now)


def handle_health_report(state, now, executor, sent_at, report):
    """Handle the answer of ``/health``, None when there was none."""
    known = state.slots.executors.get(executor)
    if known is None:
        return []
    service = state.services.get(known.service)
    until = now + (service.policy if service else Policy()).max_run_s
    if report is not None and not isinstance(report.get("in_flight"), int):
        report = None
    slots.apply_health(state.slots, known, now, sent_at, report, until)
    return [] if service is None else _run_service(state, now, service)


# Time


def tick(state, now):
    """Handle deadlines, heartbeats, probes and view reads."""
    _observe_clock(state, now)
    effects = []
    if now >= state.read_at:
        state.read_at = now + state.cfg["view_lease_s"] / READS_PER_LEASE
        effects.append(ReadView())
    if now >= state.heartbeat_at:
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
    return effects + _run_all(state, now) + _depart(state, now)


def _run_all(state, now):
    effects = []
    for service in state.services.values():
        effects += _run_service(state, now, service)
    return effects


def _heartbeats(state, now):
    state.heartbeat_at = now + state.cfg["heartbeat_s"]
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
    """Return when ``tick`` has to run next, in monotonic seconds."""
    claims = [
        max(executor.claim_at, executor.next_probe_at)
        for executor in state.slots.owned.values()
        if not executor.ready and executor.claim_at is not None
    ]
    returns = borrowing.next_return(state)
    return min(state.heartbeat_at, state.read_at, returns, *claims)


# Shutdown


def start_draining(state, now):
    """Start a graceful shutdown: nothing new is admitted."""
    state.draining = True
    return _depart(state, now)


def is_drained(state):
    """Return whether all requests ended and authority was given up."""
    return state.announced


def _depart(state, now):
    if not state.draining or state.active_requests or state.announced:
        return []
    state.announced = True
    views.start_leaving(state.view)
    effects = views.broadcast(state.view, Leaving(state.view.epoch))
    return effects + _reconcile(state, now)
