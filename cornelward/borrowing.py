"""Borrowing of executor slots between entries, by credits.

An entry with queued requests asks the peers of its view for slots. An owner without
queued requests grants credits for its free slots, at once or when one becomes free
shortly after.
"""

import math
from typing import NamedTuple

from . import slots, views
from .leases import LEASE_MARGIN_S
from .messages import Credit, SlotGrant, SlotRequest, SlotReturn
from .request_classes import LONG, SHORT
from .views import CREDIT_TTL_S, SendMessage

__all__ = [
    "HeldCredit",
    "available_slots",
    "balance",
    "borrow",
    "fair_share",
    "grant_pending_requests",
    "lend_to_peer",
    "may_reuse_credit",
    "on_grant",
    "on_heartbeat_credits",
    "on_request",
    "on_return",
    "return_idle_credits",
]

# A SlotRequest that a peer has not answered is sent again after this time.
SLOT_REQUEST_RETRY_S = 0.25
# How long an owner keeps a SlotRequest that it could not grant in full. The borrower
# measures a credit's lifetime from when it sent the request, so this must be shorter
# than that lifetime.
PENDING_REQUEST_TTL_S = 0.4
MAX_CREDITS_PER_GRANT = 64
# How long an idle credit is kept for the next request, unless its owner has queued
# requests. If it were returned at once, each request on a borrowed slot would cost
# three messages.
IDLE_CREDIT_S = 0.02


class HeldCredit(NamedTuple):
    """A credit granted to this entry; ``owner`` is the granting (id, incarnation).

    Times are monotonic seconds of this entry.
    """

    credit: Credit
    owner: tuple
    usable_until: float
    idle_until: float


class PendingSlotRequest(NamedTuple):
    """The part of a peer's SlotRequest that has not been granted yet."""

    peer: str
    incarnation: int
    request: SlotRequest
    until: float


def borrow(state, now, service):
    """Ask peers for slots while requests are queued; returns effects."""
    effects = []
    for cls in (SHORT, LONG):
        wanted = service.queues[cls].count
        if wanted:
            effects += _request_slots(state, now, service, cls, wanted)
    return effects


def _request_slots(state, now, service, cls, wanted):
    effects = []
    peers = _peers_by_load(state, service.name)
    # Slots that this entry lacks to its fair share. Peers that reported no free slots
    # are asked for them, in equal parts.
    deficit = max(0.0, fair_share(state, service) - _running(service))
    for peer in peers:
        if wanted <= 0:
            break
        key = peer, service.name, cls
        if now < state.slot_request_retry_at.get(key, 0.0):
            continue
        state.slot_request_retry_at[key] = now + SLOT_REQUEST_RETRY_S
        reported = state.peer_free_slots.get((peer, service.name), 0)
        # A request for one slot is granted only from idle slots (see lend_to_peer). An
        # entry below its share therefore asks for more than one even for a single
        # queued request, which could otherwise wait forever.
        count = min(wanted, reported)
        if not count:
            count = 1 + math.ceil(min(wanted, deficit) / len(peers))
        message = SlotRequest(service.name, cls, count, now)
        effects.append(SendMessage(state.view.members[peer][0], message))
        wanted -= reported
    return effects


def fair_share(state, service):
    """Return the slots of the service in the failure domain, divided by its entries."""
    return service.slots / max(len(state.view.members), 1)


def _running(service):
    return sum(queue.running for queue in service.queues.values())


def _peers_by_load(state, service):
    peers = views.other_members(state.view)
    return sorted(
        peers, key=lambda peer: -state.peer_free_slots.get((peer, service), 0)
    )


def on_request(state, now, envelope):
    """Grant credits for free slots and keep the rest as pending; returns effects."""
    sender, incarnation, request = envelope
    member = state.view.members.get(sender)
    if member is None or member[1] != incarnation:
        return []
    service = state.services.get(request.service)
    if service is None or request.cls not in (SHORT, LONG):
        return []
    pending = PendingSlotRequest(
        sender, incarnation, request, now + PENDING_REQUEST_TTL_S
    )
    spare = 0 if service.queues[request.cls].count else request.count
    granted, effects = _grant(state, now, service, pending, spare)
    if granted < request.count:
        left = request._replace(count=request.count - granted)
        key = sender, request.service, request.cls
        state.pending_slot_requests[key] = pending._replace(request=left)
    return effects


def lend_to_peer(state, now, service, cls):
    """Grant one free slot to a peer although this entry has queued requests.

    Entries own different numbers of executors but receive about the same load, so an
    entry that uses more than its fair share lends to a peer that asked for more than
    one slot, as entries below their fair share do. Peers are not chosen by the queue
    lengths of their last heartbeats: that made all owners lend to the same entry.
    Returns effects.
    """
    # The free slot counts as used by this entry. Otherwise, with two slots and a share
    # of 1.3, an entry with one running request would never lend the other slot.
    if not state.pending_slot_requests or _running(service) + 1 <= fair_share(
        state, service
    ):
        return []
    keys = [
        key
        for key, pending in state.pending_slot_requests.items()
        if key[1:] == (service.name, cls) and pending.request.count > 1
    ]
    if not keys:
        return []
    weights = [state.pending_slot_requests[key].request.count for key in keys]
    return _grant_pending(state, now, service, state.rng.choices(keys, weights)[0], 1)


def may_reuse_credit(state, now, service, held_credit):
    """Return whether another request may be started on a borrowed slot."""
    if now >= held_credit.usable_until:
        return False
    owner_queues = (
        state.peer_queue_lengths.get((held_credit.owner[0], service.name), 0) > 0
    )
    return not owner_queues or _running(service) < fair_share(state, service)


def _grant(state, now, service, pending, count):
    """Grant up to ``count`` credits to a peer; returns (number granted, effects)."""
    request = pending.request
    ttl_s = min(CREDIT_TTL_S, state.view.authority_until - now)
    if ttl_s <= 0:
        return 0, []
    credits = slots.grant(
        state.slots,
        service.name,
        request.cls,
        min(count, request.count),
        (pending.peer, pending.incarnation),
        now + ttl_s,
    )
    if not credits:
        return 0, []
    message = SlotGrant(service.name, request.cls, credits, ttl_s, request.sent_at)
    address = state.view.members[pending.peer][0]
    return len(credits), [SendMessage(address, message)]


def grant_pending_requests(state, now, service):
    """Grant slots that became free to pending requests of peers; returns effects."""
    effects = []
    for cls in (SHORT, LONG):
        if service.queues[cls].count or not state.slots.free.get((service.name, cls)):
            continue
        for key in [
            key for key in state.pending_slot_requests if key[1:] == (service.name, cls)
        ]:
            effects += _grant_pending(state, now, service, key, MAX_CREDITS_PER_GRANT)
    return effects


def _grant_pending(state, now, service, key, count):
    pending = state.pending_slot_requests[key]
    member = state.view.members.get(pending.peer)
    if now >= pending.until or member is None or member[1] != pending.incarnation:
        del state.pending_slot_requests[key]
        return []
    granted, effects = _grant(state, now, service, pending, count)
    count = pending.request.count - granted
    if count <= 0:
        del state.pending_slot_requests[key]
    elif granted:
        request = pending.request._replace(count=count)
        state.pending_slot_requests[key] = pending._replace(request=request)
    return effects


def on_grant(state, now, envelope):
    """Store granted credits, ignoring duplicates; the caller must then dispatch."""
    sender, incarnation, grant = envelope
    service = state.services.get(grant.service)
    usable_until = grant.sent_at + min(grant.ttl_s, CREDIT_TTL_S)
    if service is None or grant.cls not in (SHORT, LONG):
        return
    state.slot_request_retry_at.pop((sender, grant.service, grant.cls), None)
    if now >= usable_until:
        # Expired credits are not returned: the message may be a late duplicate, and the
        # return would free a slot that a request is using.
        return
    idle_until = min(usable_until, now + IDLE_CREDIT_S)
    for credit in grant.credits:
        key = sender, incarnation, credit.credit_id
        if key not in state.seen_credits:
            state.seen_credits[key] = usable_until
            held_credit = HeldCredit(
                credit, (sender, incarnation), usable_until, idle_until
            )
            service.credits[grant.cls].appendleft(held_credit)


def return_idle_credits(state, now, service):
    """Return to their owners the credits that are no longer kept; returns effects."""
    for credits in service.credits.values():
        # The credit that expires first is at the right end.
        while credits and not _keep_credit(state, now, service, credits[-1]):
            state.credits_to_return.append(credits.pop())
    by_owner = {}
    for held_credit in state.credits_to_return:
        by_owner.setdefault(held_credit.owner, []).append(held_credit.credit.credit_id)
    state.credits_to_return.clear()
    effects = []
    for (owner, incarnation), credit_ids in by_owner.items():
        member = state.view.members.get(owner)
        if member is not None and member[1] == incarnation:
            effects.append(SendMessage(member[0], SlotReturn(credit_ids)))
    return effects


def _keep_credit(state, now, service, held_credit):
    return now < held_credit.idle_until and not state.peer_queue_lengths.get(
        (held_credit.owner[0], service.name)
    )


def next_return(state):
    """Return when the next idle credit is to be returned, in monotonic seconds."""
    return min(
        (
            credits[-1].idle_until
            for service in state.services.values()
            for credits in service.credits.values()
            if credits
        ),
        default=float("inf"),
    )


def forget_expired_credits(state, now):
    """Forget the ids of expired credits, which are kept to detect duplicates."""
    old = [key for key, until in state.seen_credits.items() if now >= until]
    for key in old:
        del state.seen_credits[key]


def forget_departed_peers(state):
    """Remove the load reports and slot requests of entries outside the view."""
    for table in (
        state.peer_free_slots,
        state.peer_queue_lengths,
        state.slot_request_retry_at,
        state.pending_slot_requests,
    ):
        for key in [key for key in table if key[0] not in state.view.members]:
            del table[key]


def on_return(state, envelope):
    """Free the slots of returned credits; returns the names of their services."""
    services = set()
    for credit_id in envelope.message.credits:
        credit = state.slots.credits.get(credit_id)
        if credit is None or credit.borrower != envelope[:2]:
            continue
        executor = slots.return_credit(state.slots, credit_id)
        services.add(executor.service)
    return services


def on_heartbeat_credits(state, now, envelope):
    """Record which credits the sender uses; expired unused ones become orphans.

    If an expired credit is not reported in use, either the message that returned it
    was lost or its request may still run. ``/health`` reports show which.
    """
    borrower = envelope[:2]
    in_use = set(envelope.message.credits)
    for credit_id, credit in list(state.slots.credits.items()):
        if credit.borrower[0] != borrower[0]:
            continue
        if credit.borrower == borrower and credit_id in in_use:
            credit.in_use_at = credit.in_use_at or now
        elif now > credit.usable_until + LEASE_MARGIN_S:
            orphan_credit(state, now, credit_id)


def orphan_credit(state, now, credit_id):
    """Remove a credit whose use is unknown, and keep its slot as orphaned."""
    credit = state.slots.credits[credit_id]
    executor = credit.executor
    service = state.services.get(executor.service)
    max_run_s = service.policy.max_run_s if service else 0.0
    # A request on this credit cannot have started after the credit expired.
    since = credit.usable_until
    slots.return_credit(state.slots, credit_id, (since, now + max_run_s))


def orphan_credits_of_departed(state, now):
    """Keep the slots of expired credits of entries outside the view as orphaned."""
    for credit_id, credit in list(state.slots.credits.items()):
        member = state.view.members.get(credit.borrower[0])
        departed = member is None or member[1] != credit.borrower[1]
        if departed and now > credit.usable_until + LEASE_MARGIN_S:
            orphan_credit(state, now, credit_id)


def mark_long_credits(state, now, service):
    """Count credits in use for longer than the threshold as long requests."""
    limit = now - service.policy.long_threshold_s
    for credit_id, credit in state.slots.credits.items():
        if credit.executor.service != service.name or credit.in_use_at is None:
            continue
        if credit.in_use_at < limit:
            slots.mark_long(state.slots, credit.executor, credit_id)


def available_slots(state, now, service_name):
    """Return how many slots this entry may use or grant now, 0 without authority."""
    if not views.has_authority(state.view, now):
        return 0
    return state.slots.free.get((service_name, SHORT), 0)


def balance(state, now, service):
    """Borrow, grant and return slots after a state change; returns effects."""
    effects = []
    if service.queues[SHORT].count or service.queues[LONG].count:
        effects += borrow(state, now, service)
    if state.pending_slot_requests:
        effects += grant_pending_requests(state, now, service)
    effects += return_idle_credits(state, now, service)
    return effects
