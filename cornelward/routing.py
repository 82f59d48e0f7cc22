"""Admission, executor selection, retries and spill to other failure domains.

The functions update the router's state (``router.Router``) and return effects.
"""

from . import errors, request_classes, slots, views
from .borrowing import IDLE_CREDIT_S, lend_to_peer, may_reuse_credit
from .queues import (
    FORWARDED,
    QUEUED,
    RUNNING,
    cancel_queued,
    dequeue,
    discard_expired,
    enqueue,
    expected_wait,
    record_start,
    run_margin,
    waited_share,
)
from .request_classes import LONG, SHORT
from .routing_effects import Dispatch, Forward, Outcome, Refuse
from .verdicts import Verdict, is_retry_safe

__all__ = [
    "Dispatch",
    "Forward",
    "Outcome",
    "Refuse",
    "admit",
    "dispatch",
    "finish",
    "mark_long_requests",
]

# Long requests go before short ones once the oldest queued long request has waited
# this share of the time between its arrival and its deadline.
LONG_FIRST_SHARE = 0.5
# Weight of a new run time in the moving average of a class's run times.
MEAN_RUN_WEIGHT = 0.05
# Window of the retry budget, and the retries that are always allowed within it, so that
# a single request at low load can be retried when its executor is leaving.
RETRY_WINDOW_S = 10.0
MIN_RETRIES = 3
# Initial limit of requests in flight to another failure domain, and how long nothing is
# sent to that domain after a forwarded request failed.
INITIAL_SPILL_REQUESTS = 4
SPILL_PAUSE_S = 1.0
# How long an observed state counts for an entry that does not own the executor.
OBSERVED_STATE_TTL_S = 2.0

# Value of ``next_probe_at`` that makes the next probe due at once.
PROBE_NOW = float("-inf")


class SpillState:
    """Requests in flight to another failure domain (``in_flight``) and their limit.

    ``window`` is the limit. Nothing is sent before ``paused_until``.
    """

    __slots__ = ("in_flight", "paused_until", "window")

    def __init__(self):
        self.in_flight = 0
        self.window = INITIAL_SPILL_REQUESTS
        self.paused_until = 0.0


def _refuse(state, active, code, message, retry_after_s=None):
    state.active_requests.pop(active.request.request_id, None)
    state.refusal_counts[code] = state.refusal_counts.get(code, 0) + 1
    after = None if retry_after_s is None else max(1, int(retry_after_s * 1e3))
    return Refuse(active.request.request_id, code, message, after)


def admit(state, now, active):
    """Queue, forward or refuse a new request; returns effects."""
    service = active.service
    queue = service.queues[active.cls]
    _count_window(service, now)[0] += 1
    state.active_requests[active.request.request_id] = active
    remaining = active.request.deadline - now
    if remaining <= 0:
        return [_refuse(state, active, errors.DEADLINE_EXCEEDED, "deadline has passed")]
    wait = 0.0
    if not _has_slot(state, now, service, active.cls):
        wait = expected_wait(queue, now)
    if not service.live_executors or wait > service.policy.spill_wait_s:
        target = _spill_target(service, active, now)
        if target is not None:
            return [_forward(active, target)]
    if not service.live_executors:
        message = f"no live executor of {service.name}"
        return [_refuse(state, active, errors.NO_UPSTREAM, message, SPILL_PAUSE_S)]
    overrun_s = wait + run_margin(queue) - remaining
    if wait and overrun_s > 0:
        message = f"expected wait {wait:.3f} s exceeds the deadline"
        after = overrun_s
        return [_refuse(state, active, errors.OVERLOADED, message, after)]
    if queue.count >= service.policy.queue_limit:
        return [_refuse(state, active, errors.OVERLOADED, "queue is full", wait)]
    enqueue(queue, active)
    return dispatch(state, now, service)


def _has_slot(state, now, service, cls):
    if service.queues[cls].count:
        return False
    free = state.slots.free.get((service.name, cls), 0)
    return bool(service.credits[cls]) or (
        free > 0 and views.has_authority(state.view, now)
    )


def dispatch(state, now, service):
    """Start queued requests while slots are free; returns effects."""
    effects = []
    for cls in (SHORT, LONG):
        for active in discard_expired(service.queues[cls], now):
            message = "deadline can no longer be met"
            effects.append(_refuse(state, active, errors.DEADLINE_EXCEEDED, message))
    while True:
        for cls in _class_order(service, now):
            started = _start_next(state, now, service, cls)
            if started:
                effects += started
                break
        else:
            return effects


def _class_order(service, now):
    short, long = service.queues[SHORT], service.queues[LONG]
    if not long.count:
        return (SHORT,) if short.count else ()
    if not short.count:
        return (LONG,)
    if waited_share(long, now) > LONG_FIRST_SHARE:
        return (LONG, SHORT)
    return (SHORT, LONG)


def _start_next(state, now, service, cls):
    slot = _find_slot(state, now, service, cls)
    if slot is None:
        return []
    if slot[0] is not None:
        lent = lend_to_peer(state, now, service, cls)
        if lent:
            return lent
    active = dequeue(service.queues[cls], now)
    return [] if active is None else [start(state, now, active, slot)]


def _find_slot(state, now, service, cls):
    """Find a free slot for a request of the class.

    Returns (executor, None) for a slot of an owned executor, (None, HeldCredit) for a
    borrowed slot, and None if no slot is free.
    """
    if views.has_authority(state.view, now):
        executor = slots.best_executor(state.slots, service.name, cls)
        if executor is not None:
            return executor, None
    credits = service.credits[cls]
    while credits:
        held_credit = credits.popleft()
        if now < held_credit.usable_until and _is_usable(state, now, held_credit):
            return None, held_credit
        state.credits_to_return.append(held_credit)
    return None


def _is_usable(state, now, held_credit):
    executor = state.slots.executors.get(held_credit.credit.executor)
    if executor is None or executor.address != held_credit.credit.address:
        return False
    # Only the owner probes an executor, so another entry does not learn of a recovery:
    # it ignores an observed state that is too old.
    observation_expired = (
        not executor.owned and now - executor.observed_at > OBSERVED_STATE_TTL_S
    )
    return executor.listed_state == "live" and (
        executor.observed_state == "live" or observation_expired
    )


def start(state, now, active, slot):
    """Start a request on a slot that ``_find_slot`` returned; returns the Dispatch."""
    executor, held_credit = slot
    request_id = active.request.request_id
    active.state = RUNNING
    active.started_at = now
    active.attempts += 1
    active.held_credit = held_credit
    record_start(active.service.queues[active.cls], now)
    active.service.queues[active.cls].running += 1
    active.service.recent_starts.append((now, active, active.attempts))
    if held_credit is None:
        active.executor = executor
        slots.start_run(state.slots, executor, request_id, active.cls, now)
        send_by = state.view.authority_until
        return Dispatch(request_id, executor.id, executor.address, None, send_by)
    active.executor = state.slots.executors[held_credit.credit.executor]
    state.credits_in_use[held_credit.credit.credit_id] = held_credit
    credit = held_credit.credit
    return Dispatch(
        request_id,
        credit.executor,
        credit.address,
        credit.credit_id,
        held_credit.usable_until,
    )


def _count_window(service, now):
    """Return [requests, retries] of the current half of the retry window.

    Half a window after its start a new half begins, and the old one becomes
    ``previous_window``.
    """
    half = RETRY_WINDOW_S / 2
    if now - service.window_start_at >= half:
        recent = now - service.window_start_at < RETRY_WINDOW_S
        service.previous_window = service.window if recent else [0, 0]
        service.window = [0, 0]
        service.window_start_at = now
    return service.window


def _take_retry(service, now):
    window = _count_window(service, now)
    requests = window[0] + service.previous_window[0]
    retries = window[1] + service.previous_window[1]
    if retries >= max(MIN_RETRIES, service.policy.retry_budget * requests):
        return False
    window[1] += 1
    return True


def finish(state, now, active, outcome):
    """End an attempt and retry the request if possible; returns (retried, effects)."""
    service = active.service
    if active.state is FORWARDED:
        _end_forward(active, now, outcome)
    else:
        _end_attempt(state, now, active, outcome)
    effects = []
    retried = False
    if outcome.verdict is not Verdict.RAN:
        retried, effects = _retry(state, now, active, outcome)
    if not retried:
        state.active_requests.pop(active.request.request_id, None)
    return retried, effects + dispatch(state, now, service)


def _end_attempt(state, now, active, outcome):
    service, executor = active.service, active.executor
    queue = service.queues[active.cls]
    queue.running -= 1
    orphan = None
    if outcome.verdict is Verdict.MAY_HAVE_RUN:
        orphan = active.started_at, now + service.policy.max_run_s
    _record_leaving(state, now, executor, outcome)
    if active.held_credit is not None:
        _release_credit(state, now, active, orphan)
    else:
        slots.end_run(state.slots, executor, active.request.request_id, orphan)
    if outcome.verdict is Verdict.RAN:
        _record_run_time(state, active, outcome.run_s or now - active.started_at)


def _record_leaving(state, now, executor, outcome):
    if outcome.leaving:
        slots.record_observed_state(state.slots, executor, "leaving", now)
        executor.next_probe_at = PROBE_NOW


def _release_credit(state, now, active, orphan):
    held_credit = active.held_credit
    active.held_credit = None
    state.credits_in_use.pop(held_credit.credit.credit_id, None)
    if orphan is not None:
        # The request may still run. The credit is neither returned nor reported in
        # heartbeats, so its owner counts the slot as orphaned once it expires.
        return
    if may_reuse_credit(state, now, active.service, held_credit):
        idle_until = min(held_credit.usable_until, now + IDLE_CREDIT_S)
        held_credit = held_credit._replace(idle_until=idle_until)
        active.service.credits[active.cls].appendleft(held_credit)
    else:
        state.credits_to_return.append(held_credit)


def _record_run_time(state, active, run_s):
    request, service = active.request, active.service
    queue = service.queues[active.cls]
    if queue.mean_run_s is None:
        queue.mean_run_s = run_s
    else:
        queue.mean_run_s += MEAN_RUN_WEIGHT * (run_s - queue.mean_run_s)
    threshold_s = service.policy.long_threshold_s
    request_classes.record_run_time(
        state.request_classes, request.service, request.operation, run_s, threshold_s
    )


def _retry(state, now, active, outcome):
    service, request = active.service, active.request
    if not is_retry_safe(outcome.verdict, request.idempotent):
        return False, []
    if (
        now >= request.deadline
        or not service.live_executors
        or not _take_retry(service, now)
    ):
        return False, []
    if outcome.verdict is Verdict.NOT_RUN:
        enqueue(service.queues[active.cls], active, front=True)
        return True, []
    # The request may have run. It must not be queued again, because the queue could
    # refuse it, which would tell the caller that it did not run.
    slot = _find_slot(state, now, service, active.cls)
    if slot is None:
        return False, []
    return True, [start(state, now, active, slot)]


def mark_long_requests(state, now, service):
    """Reclassify short requests as long once they run longer than the threshold."""
    limit = now - service.policy.long_threshold_s
    while service.recent_starts and service.recent_starts[0][0] < limit:
        _, active, attempt = service.recent_starts.popleft()
        if (
            active.state is not RUNNING
            or active.attempts != attempt
            or active.cls == LONG
        ):
            continue
        if state.active_requests.get(active.request.request_id) is not active:
            continue
        service.queues[SHORT].running -= 1
        active.cls = LONG
        service.queues[LONG].running += 1
        if active.held_credit is None:
            slots.mark_long(state.slots, active.executor, active.request.request_id)
        request, policy = active.request, service.policy
        run_s = now - active.started_at
        request_classes.record_run_time(
            state.request_classes,
            request.service,
            request.operation,
            run_s,
            policy.long_threshold_s,
        )


def _spill_target(service, active, now):
    if active.request.forwarded or active.attempts:
        return None
    own_region, elsewhere = service.spill_domains
    reach = {"none": (), "region": (own_region,), "all": (own_region, elsewhere)}
    for spill_domains in reach[service.policy.spill]:
        for domain in spill_domains:
            spill = service.spill.setdefault(domain, SpillState())
            if spill.in_flight < spill.window and now >= spill.paused_until:
                return domain
    return None


def _forward(active, domain):
    active.state = FORWARDED
    active.target = domain
    active.attempts += 1
    active.service.spill[domain].in_flight += 1
    return Forward(active.request.request_id, domain)


def _end_forward(active, now, outcome):
    spill = active.service.spill[active.target]
    spill.in_flight -= 1
    if outcome.verdict is Verdict.RAN:
        spill.window += 1
    else:
        spill.window = max(1, spill.window // 2)
        spill.paused_until = now + SPILL_PAUSE_S


def cancel(state, now, request_id):
    """Remove a request from its queue after its caller disconnected; returns effects.

    Requests that are running or forwarded are not affected.
    """
    active = state.active_requests.get(request_id)
    if active is not None and active.state is QUEUED:
        cancel_queued(active.service.queues[active.cls], active)
        del state.active_requests[request_id]
    return []
