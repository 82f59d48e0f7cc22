"""Routing: admission, choice of executor, retries, spill to other failure domains.

Functions over the router's state (``router.Router``); they return effects.
"""

from . import classes, errors, slots, views
from .borrowing import IDLE_CREDIT_S, lend_first, may_reuse
from .classes import LONG, SHORT
from .queues import (
    FORWARDED,
    QUEUED,
    RUNNING,
    cancel_queued,
    discard_expired,
    expected_wait,
    note_start,
    pop_work,
    push_work,
    run_margin,
    waited_share,
)
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
    "mark_overlong",
]

# Long work goes before short work once its oldest entry waited this share of its time.
LONG_FIRST_SHARE = 0.5
# Weight of one observation in the mean run time of a class.
RUN_WEIGHT = 0.05
# Window of the retry budget, and retries allowed in it whatever the load is, so that
# the only request of a quiet minute survives an executor that is leaving.
RETRY_WINDOW_S = 10.0
MIN_RETRIES = 3
# Requests in flight to another failure domain: start value, and the pause after one
# was refused there.
SPILL_WINDOW = 4
SPILL_PAUSE_S = 1.0
# How long a sign of leaving holds for an entry that does not own the executor.
SIGNAL_S = 2.0

NEVER = float("-inf")


class SpillState:
    """Requests sent to another failure domain and how many may be there at once."""

    __slots__ = ("in_flight", "paused_until", "window")

    def __init__(self):
        self.in_flight = 0
        self.window = SPILL_WINDOW
        self.paused_until = 0.0


def _refuse(state, work, code, message, retry_after_s=None):
    state.work.pop(work.request.request_id, None)
    state.counts[code] = state.counts.get(code, 0) + 1
    after = None if retry_after_s is None else max(1, int(retry_after_s * 1e3))
    return Refuse(work.request.request_id, code, message, after)


def admit(state, now, work):
    """Queue, forward or refuse a new request; returns effects."""
    service = work.service
    queue = service.queues[work.cls]
    _count_window(service, now)[0] += 1
    state.work[work.request.request_id] = work
    remaining = work.request.deadline - now
    if remaining <= 0:
        return [_refuse(state, work, errors.DEADLINE_EXCEEDED, "deadline has passed")]
    wait = 0.0
    if not _has_slot(state, now, service, work.cls):
        wait = expected_wait(queue, now)
    if not service.live or wait > service.policy.spill_wait_s:
        target = _spill_target(service, work, now)
        if target is not None:
            return [_forward(work, target)]
    if not service.live:
        message = f"no live executor of {service.name}"
        return [_refuse(state, work, errors.NO_UPSTREAM, message, SPILL_PAUSE_S)]
    late_s = wait + run_margin(queue) - remaining
    if wait and late_s > 0:
        message = f"expected wait {wait:.3f} s exceeds the deadline"
        after = late_s
        return [_refuse(state, work, errors.OVERLOADED, message, after)]
    if queue.count >= service.policy.queue_limit:
        return [_refuse(state, work, errors.OVERLOADED, "queue is full", wait)]
    push_work(queue, work)
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
        for work in discard_expired(service.queues[cls], now):
            message = "deadline cannot be met any more"
            effects.append(_refuse(state, work, errors.DEADLINE_EXCEEDED, message))
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
        lent = lend_first(state, now, service, cls)
        if lent:
            return lent
    work = pop_work(service.queues[cls], now)
    return [] if work is None else [start(state, now, work, slot)]


def _find_slot(state, now, service, cls):
    """Return (executor, credit lease); one of them is None. None if nothing is free."""
    if views.has_authority(state.view, now):
        executor = slots.best_executor(state.slots, service.name, cls)
        if executor is not None:
            return executor, None
    credits = service.credits[cls]
    while credits:
        lease = credits.popleft()
        if now < lease.usable_until and _is_usable(state, now, lease):
            return None, lease
        state.unused.append(lease)
    return None


def _is_usable(state, now, lease):
    executor = state.slots.executors.get(lease.credit.executor)
    if executor is None or executor.address != lease.credit.address:
        return False
    # Only owners ask for the health, so what others saw holds for a time.
    signal_old = not executor.owned and now - executor.signal_at > SIGNAL_S
    return executor.listed == "live" and (executor.signal == "live" or signal_old)


def start(state, now, work, slot):
    """Start a request on a slot of ``_find_slot``; returns the Dispatch."""
    executor, lease = slot
    request_id = work.request.request_id
    work.state = RUNNING
    work.started_at = now
    work.attempts += 1
    work.credit = lease
    note_start(work.service.queues[work.cls], now)
    work.service.queues[work.cls].running += 1
    work.service.started.append((now, work, work.attempts))
    if lease is None:
        work.executor = executor
        slots.start_run(state.slots, executor, request_id, work.cls, now)
        send_by = state.view.authority_until
        return Dispatch(request_id, executor.id, executor.address, None, send_by)
    work.executor = state.slots.executors[lease.credit.executor]
    state.credits_in_use[lease.credit.credit_id] = lease
    credit = lease.credit
    return Dispatch(
        request_id,
        credit.executor,
        credit.address,
        credit.credit_id,
        lease.usable_until,
    )


def _count_window(service, now):
    """Return the present window's [requests, retries]."""
    half = RETRY_WINDOW_S / 2
    if now - service.window_at >= half:
        recent = now - service.window_at < RETRY_WINDOW_S
        service.previous = service.window if recent else [0, 0]
        service.window = [0, 0]
        service.window_at = now
    return service.window


def _take_retry(service, now):
    window = _count_window(service, now)
    requests = window[0] + service.previous[0]
    retries = window[1] + service.previous[1]
    if retries >= max(MIN_RETRIES, service.policy.retry_budget * requests):
        return False
    window[1] += 1
    return True


def finish(state, now, work, outcome):
    """End an attempt; returns (retried, effects)."""
    service = work.service
    if work.state is FORWARDED:
        _end_forward(work, now, outcome)
    else:
        _end_attempt(state, now, work, outcome)
    effects = []
    retried = False
    if outcome.verdict is not Verdict.RAN:
        retried, effects = _retry(state, now, work, outcome)
    if not retried:
        state.work.pop(work.request.request_id, None)
    return retried, effects + dispatch(state, now, service)


def _end_attempt(state, now, work, outcome):
    service, executor = work.service, work.executor
    queue = service.queues[work.cls]
    queue.running -= 1
    orphan = None
    if outcome.verdict is Verdict.MAY_HAVE_RUN:
        orphan = work.started_at, now + service.policy.max_run_s
    _note_signal(state, now, executor, outcome)
    if work.credit is not None:
        _end_credit(state, now, work, orphan)
    else:
        slots.end_run(state.slots, executor, work.request.request_id, orphan)
    if outcome.verdict is Verdict.RAN:
        _observe(state, work, outcome.run_s or now - work.started_at)


def _note_signal(state, now, executor, outcome):
    if outcome.leaving:
        slots.note_signal(state.slots, executor, "leaving", now)
        executor.probe_at = NEVER


def _end_credit(state, now, work, orphan):
    lease = work.credit
    work.credit = None
    state.credits_in_use.pop(lease.credit.credit_id, None)
    if orphan is not None:
        # Neither returned nor reported: the owner counts the slot as an orphan.
        return
    if may_reuse(state, now, work.service, lease):
        idle_until = min(lease.usable_until, now + IDLE_CREDIT_S)
        lease = lease._replace(idle_until=idle_until)
        work.service.credits[work.cls].appendleft(lease)
    else:
        state.unused.append(lease)


def _observe(state, work, run_s):
    request, service = work.request, work.service
    queue = service.queues[work.cls]
    if queue.mean_run_s is None:
        queue.mean_run_s = run_s
    else:
        queue.mean_run_s += RUN_WEIGHT * (run_s - queue.mean_run_s)
    threshold_s = service.policy.long_threshold_s
    classes.observe(
        state.classes, request.service, request.operation, run_s, threshold_s
    )


def _retry(state, now, work, outcome):
    service, request = work.service, work.request
    if not is_retry_safe(outcome.verdict, request.idempotent):
        return False, []
    if now >= request.deadline or not service.live or not _take_retry(service, now):
        return False, []
    if outcome.verdict is Verdict.NOT_RUN:
        push_work(service.queues[work.cls], work, front=True)
        return True, []
    # It may have run, so it cannot wait in a queue that might refuse it as NOT_RUN.
    slot = _find_slot(state, now, service, work.cls)
    if slot is None:
        return False, []
    return True, [start(state, now, work, slot)]


def mark_overlong(state, now, service):
    """Count running short requests above the threshold as long."""
    limit = now - service.policy.long_threshold_s
    while service.started and service.started[0][0] < limit:
        _, work, attempt = service.started.popleft()
        if work.state is not RUNNING or work.attempts != attempt or work.cls == LONG:
            continue
        if state.work.get(work.request.request_id) is not work:
            continue
        service.queues[SHORT].running -= 1
        work.cls = LONG
        service.queues[LONG].running += 1
        if work.credit is None:
            slots.mark_long(state.slots, work.executor, work.request.request_id)
        request, policy = work.request, service.policy
        run_s = now - work.started_at
        classes.observe(
            state.classes,
            request.service,
            request.operation,
            run_s,
            policy.long_threshold_s,
        )


def _spill_target(service, work, now):
    if work.request.forwarded or work.attempts:
        return None
    own_region, elsewhere = service.domains
    reach = {"none": (), "region": (own_region,), "all": (own_region, elsewhere)}
    for domains in reach[service.policy.spill]:
        for domain in domains:
            spill = service.spill.setdefault(domain, SpillState())
            if spill.in_flight < spill.window and now >= spill.paused_until:
                return domain
    return None


def _forward(work, domain):
    work.state = FORWARDED
    work.target = domain
    work.attempts += 1
    work.service.spill[domain].in_flight += 1
    return Forward(work.request.request_id, domain)


def _end_forward(work, now, outcome):
    spill = work.service.spill[work.target]
    spill.in_flight -= 1
    if outcome.verdict is Verdict.RAN:
        spill.window += 1
    else:
        spill.window = max(1, spill.window // 2)
        spill.paused_until = now + SPILL_PAUSE_S


def cancel(state, now, request_id):
    """Drop a queued request whose caller went away; returns effects."""
    work = state.work.get(request_id)
    if work is not None and work.state is QUEUED:
        cancel_queued(work.service.queues[work.cls], work)
        del state.work[request_id]
    return []
