"""Slots between entries: credits asked for, granted, used and returned.

An entry with a queue asks the peers of its view; an owner without a queue grants
credits for free slots, at once or when a slot becomes free shortly after.
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

# A peer that has not answered a SlotRequest is asked again after this time.
ASK_AGAIN_S = 0.25
# An owner remembers a SlotRequest that it could not grant for this long. The grant
# counts from when the request was sent, so part of the credit's time must be left.
DEMAND_S = 0.4
MAX_CREDITS_ASKED = 64
# An idle credit is kept this long for the next request, unless its owner has a queue:
# without it, each borrowed slot costs three messages a request.
IDLE_CREDIT_S = 0.02


class HeldCredit(NamedTuple):
    """A credit that this entry holds; ``owner`` is (id, incarnation)."""

    credit: Credit
    owner: tuple
    usable_until: float
    idle_until: float


class PendingSlotRequest(NamedTuple):
    """A peer's wish that could not be granted yet."""

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
            effects += _ask(state, now, service, cls, wanted)
    return effects


def _ask(state, now, service, cls, wanted):
    effects = []
    peers = _peers_by_load(state, service.name)
    # What all peers together are asked for beyond the slots that they reported free.
    deficit = max(0.0, fair_share(state, service) - _running(service))
    for peer in peers:
        if wanted <= 0:
            break
        key = peer, service.name, cls
        if now < state.slot_request_retry_at.get(key, 0.0):
            continue
        state.slot_request_retry_at[key] = now + ASK_AGAIN_S
        reported = state.peer_free_slots.get((peer, service.name), 0)
        # One is only a wish for idle slots; see lend_first. A single queued request of
        # an entry below its share asks for more, or it would wait for ever.
        count = min(wanted, reported)
        if not count:
            count = 1 + math.ceil(min(wanted, deficit) / len(peers))
        message = SlotRequest(service.name, cls, count, now)
        effects.append(SendMessage(state.view.members[peer][0], message))
        wanted -= reported
    return effects


def fair_share(state, service):
    """Return an even share of the failure domain's slots for each entry."""
    return service.slots / max(len(state.view.members), 1)


def _running(service):
    return sum(queue.running for queue in service.queues.values())


def _peers_by_load(state, service):
    peers = views.other_members(state.view)
    return sorted(
        peers, key=lambda peer: -state.peer_free_slots.get((peer, service), 0)
    )


def on_request(state, now, envelope):
    """Grant credits for free slots, or remember the request; returns effects."""
    sender, incarnation, request = envelope
    member = state.view.members.get(sender)
    if member is None or member[1] != incarnation:
        return []
    service = state.services.get(request.service)
    if service is None or request.cls not in (SHORT, LONG):
        return []
    demand = PendingSlotRequest(sender, incarnation, request, now + DEMAND_S)
    spare = 0 if service.queues[request.cls].count else request.count
    granted, effects = _grant(state, now, service, demand, spare)
    if granted < request.count:
        left = request._replace(count=request.count - granted)
        key = sender, request.service, request.cls
        state.pending_slot_requests[key] = demand._replace(request=left)
    return effects


def lend_to_peer(state, now, service, cls):
    """Grant a free slot to a peer below its fair share; returns effects.

    Entries own different numbers of executors, but get about the same load. One that
    uses more than its share lends although it has a queue itself. Queue lengths are no
    measure for this: those of the last heartbeats made all owners lend to one entry.
    """
    # The free slot counts as this entry's own: with two slots and a share of 1.3, an
    # entry with one running request would otherwise never lend the other slot.
    if not state.pending_slot_requests or _running(service) + 1 <= fair_share(
        state, service
    ):
        return []
    keys = [
        key
        for key, demand in state.pending_slot_requests.items()
        if key[1:] == (service.name, cls) and demand.request.count > 1
    ]
    if not keys:
        return []
    weights = [state.pending_slot_requests[key].request.count for key in keys]
    return _serve(state, now, service, state.rng.choices(keys, weights)[0], 1)


def may_reuse_credit(state, now, service, held_credit):
    """Return whether a borrowed slot may take another request."""
    if now >= held_credit.usable_until:
        return False
    owner_queues = (
        state.peer_queue_lengths.get((held_credit.owner[0], service.name), 0) > 0
    )
    return not owner_queues or _running(service) < fair_share(state, service)


def _grant(state, now, service, demand, count):
    """Return (number granted, effects)."""
    request = demand.request
    ttl_s = min(CREDIT_TTL_S, state.view.authority_until - now)
    if ttl_s <= 0:
        return 0, []
    credits = slots.grant(
        state.slots,
        service.name,
        request.cls,
        min(count, request.count),
        (demand.peer, demand.incarnation),
        now + ttl_s,
    )
    if not credits:
        return 0, []
    message = SlotGrant(service.name, request.cls, credits, ttl_s, request.sent_at)
    address = state.view.members[demand.peer][0]
    return len(credits), [SendMessage(address, message)]


def grant_pending_requests(state, now, service):
    """Grant slots that became free to peers that asked before; returns effects."""
    effects = []
    for cls in (SHORT, LONG):
        if service.queues[cls].count or not state.slots.free.get((service.name, cls)):
            continue
        for key in [
            key for key in state.pending_slot_requests if key[1:] == (service.name, cls)
        ]:
            effects += _serve(state, now, service, key, MAX_CREDITS_ASKED)
    return effects


def _serve(state, now, service, key, count):
    demand = state.pending_slot_requests[key]
    member = state.view.members.get(demand.peer)
    if now >= demand.until or member is None or member[1] != demand.incarnation:
        del state.pending_slot_requests[key]
        return []
    granted, effects = _grant(state, now, service, demand, count)
    count = demand.request.count - granted
    if count <= 0:
        del state.pending_slot_requests[key]
    elif granted:
        request = demand.request._replace(count=count)
        state.pending_slot_requests[key] = demand._replace(request=request)
    return effects


def on_grant(state, now, envelope):
    """Take in credits, each once; the caller dispatches then."""
    sender, incarnation, grant = envelope
    service = state.services.get(grant.service)
    usable_until = grant.sent_at + min(grant.ttl_s, CREDIT_TTL_S)
    if service is None or grant.cls not in (SHORT, LONG):
        return
    state.slot_request_retry_at.pop((sender, grant.service, grant.cls), None)
    if now >= usable_until:
        # Not returned: it may be a duplicate of a credit that is in use.
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
    """Return credits that were idle for their time; returns effects."""
    for credits in service.credits.values():
        # The oldest is at the right.
        while credits and not _keeps(state, now, service, credits[-1]):
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


def _keeps(state, now, service, held_credit):
    return now < held_credit.idle_until and not state.peer_queue_lengths.get(
        (held_credit.owner[0], service.name)
    )


def next_return(state):
    """Return when the next idle credit is due, in monotonic seconds."""
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
    """Forget credits whose time is over."""
    old = [key for key, until in state.seen_credits.items() if now >= until]
    for key in old:
        del state.seen_credits[key]


def forget_departed_peers(state):
    """Forget what entries outside the view reported and asked for."""
    for table in (
        state.peer_free_slots,
        state.peer_queue_lengths,
        state.slot_request_retry_at,
        state.pending_slot_requests,
    ):
        for key in [key for key in table if key[0] not in state.view.members]:
            del table[key]


def on_return(state, envelope):
    """Free the slots of returned credits; returns the services concerned."""
    services = set()
    for credit_id in envelope.message.credits:
        credit = state.slots.credits.get(credit_id)
        if credit is None or credit.borrower != envelope[:2]:
            continue
        executor = slots.return_credit(state.slots, credit_id)
        services.add(executor.service)
    return services


def on_heartbeat_credits(state, now, envelope):
    """Note which credits the sender uses; lost ones become orphans.

    A credit whose time is over and that is not in use was returned in a message that
    was lost, or its request may still run: ``/health`` tells.
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
    """Keep the slot of a credit that nobody answers for as an orphan."""
    credit = state.slots.credits[credit_id]
    executor = credit.executor
    service = state.services.get(executor.service)
    max_run_s = service.policy.max_run_s if service else 0.0
    # Its request cannot have started after the credit's time.
    since = credit.usable_until
    slots.return_credit(state.slots, credit_id, (since, now + max_run_s))


def orphan_credits_of_departed(state, now):
    """Orphan the credits of entries that are not in the view; returns nothing."""
    for credit_id, credit in list(state.slots.credits.items()):
        member = state.view.members.get(credit.borrower[0])
        gone = member is None or member[1] != credit.borrower[1]
        if gone and now > credit.usable_until + LEASE_MARGIN_S:
            orphan_credit(state, now, credit_id)


def mark_long_credits(state, now, service):
    """Count credits that have been used beyond the threshold as long."""
    limit = now - service.policy.long_threshold_s
    for credit_id, credit in state.slots.credits.items():
        if credit.executor.service != service.name or credit.in_use_at is None:
            continue
        if credit.in_use_at < limit:
            slots.mark_long(state.slots, credit.executor, credit_id)


def available_slots(state, now, service_name):
    """Return how many slots this entry may use or grant now."""
    if not views.has_authority(state.view, now):
        return 0
    return state.slots.free.get((service_name, SHORT), 0)


def balance(state, now, service):
    """Borrow, lend and return slots after a change; returns effects."""
    effects = []
    if service.queues[SHORT].count or service.queues[LONG].count:
        effects += borrow(state, now, service)
    if state.pending_slot_requests:
        effects += grant_pending_requests(state, now, service)
    effects += return_idle_credits(state, now, service)
    return effects
