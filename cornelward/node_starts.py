"""Start orders of the leading node: sent directly, or by the node that has the payload.

A leader whose process was paused holds its start orders back until it has renewed its
row: another node may have taken over meanwhile.
"""

from . import dispatch, dispatch_runs, peer_clocks
from .log import get_logger
from .messages import StartOrder, StartOrders, StartResults
from .start_relay import digest_of, is_worth_relaying
from .workers import SENT

__all__ = [
    "confirm_term",
    "execute_starts",
    "give_up_relayed",
    "note_step",
    "on_start_orders",
    "on_start_results",
    "release_held_starts",
]

log = get_logger("node_starts")

# A process that did nothing for this long was paused, and what it is about to do may be
# outdated. Nodes tick ten times a second.
PAUSED_AFTER_S = 1.0
# Starts are held back while the registry was not read for so long: the capacity of a
# worker may have shrunk. A worker takes up to about two seconds to show that.
MAX_REGISTRY_AGE_S = 2.2
# Starts are held back while changes of the jobs were not seen for so long: jobs may
# have been cancelled in the store, and callers are told so at once.
MAX_JOBS_AGE_S = 2.2
# A relayed start without a result after this time counts as unanswered.
RELAY_TIMEOUT_S = 1.1
# The results of one batch of orders that arrive within this time share a message.
RESULTS_DELAY_S = 0.02


# On the leader


def note_step(node, term):
    """Notice that the process was paused; returns whether starts are held back."""
    now = node.deps.now()
    if now - term.stepped_at > PAUSED_AFTER_S:
        log("warning", "resumed", paused_s=round(now - term.stepped_at, 2))
        term.unconfirmed_since = now
        # The row is renewed at the next tick.
        node.leadership.last_request_at = None
    term.stepped_at = now
    return term.unconfirmed_since is not None


def confirm_term(node, term):
    """End the hold of a pause, if the row was renewed since."""
    sent_at = node.leadership.last_request_at
    if term.unconfirmed_since is None:
        return
    if sent_at is not None and sent_at >= term.unconfirmed_since:
        term.unconfirmed_since = None
        release_held_starts(node, term)


def _may_start(node, term):
    return _hold_reason(node, term) is None


def _hold_reason(node, term):
    """Return why starts are held back, or None."""
    now = node.deps.now()
    if term.unconfirmed_since is not None:
        return "paused"
    if now - term.registry_asked_at > MAX_REGISTRY_AGE_S:
        return "registry"
    if now - term.jobs_seen_until > MAX_JOBS_AGE_S:
        return "jobs"
    return None


def release_held_starts(node, term):
    """Send the starts held back that are still valid, if starts may be sent."""
    if term.held_starts and _may_start(node, term):
        held, term.held_starts = term.held_starts, []
        now = node.deps.now()
        starts = dispatch.recheck_starts(term.dispatcher, now, held)
        execute_starts(node, term, starts)


def execute_starts(node, term, effects):
    """Carry out the Start effects, or hold them back.

    They are held back until the term is confirmed, the registry has been read and all
    changes of the jobs have been seen.
    """
    reason = _hold_reason(node, term)
    if reason is not None:
        if effects and not term.held_starts:
            log("info", "starts_held", why=reason)
        term.held_starts += effects
        return
    batches = {}
    for effect in effects:
        batches.setdefault(effect.run.job.spec.id, []).append(effect)
    for batch in batches.values():
        job = batch[0].run.job
        if _can_relay(node, job.entry) and is_worth_relaying(
            len(batch), len(job.spec.payload)
        ):
            _relay(node, term, job.entry, batch)
        else:
            for effect in batch:
                _start(node, term, effect)


def _can_relay(node, address):
    return address in node.peer_state.peers and not node.peers.is_silent(address)


def _order_of(effect):
    run = effect.run
    return StartOrder(
        run.worker,
        effect.address,
        run.name,
        run.attempt,
        effect.deadline_s,
        effect.ticket,
        run.checkpoint,
        effect.send_by,
    )


def _log_start(run, by):
    log("info", "start", task=run.name, run=run.attempt, worker=run.worker, by=by)


def _report(node, term, run, answer):
    if term.closed:
        return
    now = node.deps.now()
    dispatch_runs.on_start_result(term.dispatcher, now, run, answer)
    node.deps.schedule_step(node)


def _on_answer(node, term, effect, answer):
    """Take the answer to a start; one that was too late waits for its worker."""
    if answer == "too_late" and not term.closed:
        dispatch.retry_late_start(term.dispatcher, effect.run, effect.ticket)
        node.deps.schedule_step(node)
    else:
        _report(node, term, effect.run, answer)


def _start(node, term, effect):
    def done(answer):
        _on_answer(node, term, effect, answer)

    _log_start(effect.run, node.settings.node)
    payload = effect.run.job.spec.payload
    node.deps.worker_commands.start(
        _order_of(effect), payload, term.token, effect.send_by, done
    )


def _relay(node, term, address, batch):
    orders = [_order_of(effect) for effect in batch]
    keys = [(o.worker, o.task, o.attempt) for o in orders]
    spec = batch[0].run.job.spec
    digest = digest_of(spec.payload)
    message = StartOrders(node.address, term.token, spec.id, orders, digest)
    if not node.peers.send(address, message):
        for effect in batch:
            _start(node, term, effect)
        return
    for key, effect in zip(keys, batch, strict=True):
        _log_start(effect.run, address)
        term.relayed_starts[key] = (effect, address)
    node.loop.call_later(RELAY_TIMEOUT_S, lambda: _give_up(node, term, keys))


def give_up_relayed(node, term, address):
    """Take the starts handed to the node at ``address`` for unanswered."""
    _give_up(
        node,
        term,
        [key for key, (_, entry) in term.relayed_starts.items() if entry == address],
    )


def _give_up(node, term, keys):
    for key in keys:
        effect, _ = term.relayed_starts.pop(key, (None, None))
        if effect is not None:
            # The next attempts must not go the way that gave no answer.
            effect.run.job.entry = None
            _report(node, term, effect.run, "unknown")


def on_start_results(node, term, message):
    """Take the results of relayed starts; what was not sent is sent directly."""
    for worker, task, attempt, answer in message.results:
        key = (worker, task, attempt)
        effect, _ = term.relayed_starts.pop(key, (None, None))
        if effect is None or term.closed:
            continue
        if answer == "unsent" and effect.run.state == SENT:
            # That node does not keep the payload, or cannot tell who leads.
            effect.run.job.entry = None
            execute_starts(node, term, [effect])
        else:
            _on_answer(node, term, effect, answer)


# On the node that accepted the job


def on_start_orders(node, envelope, message):
    """Carry out the leader's start orders, unless they may be outdated.

    Each is sent only while the leader's clock certainly shows no more than its
    ``send_by``: the orders may have been under way for long.
    """
    now = node.deps.now()
    leader_clock = peer_clocks.latest(
        node.peer_state.clocks, now, envelope.sender, envelope.incarnation
    )
    payload = node.peer_state.payloads.get(message.job_id)
    if payload is not None and digest_of(payload) != message.payload_digest:
        # A later submission of the same id had another payload.
        payload = None
    known_token = node.leadership.heartbeat_token or 0
    paused = now - node.ticked_at > PAUSED_AFTER_S
    if payload is None or paused or leader_clock is None or message.token < known_token:
        log(
            "info",
            "orders_not_sent",
            job=message.job_id,
            token=message.token,
            paused=paused,
            clock_known=leader_clock is not None,
        )
        results = [(o.worker, o.task, o.attempt, "unsent") for o in message.orders]
        node.peers.send(message.address, StartResults(message.token, results))
        return
    results = []

    def send_results():
        answered = list(results)
        results.clear()
        if answered:
            node.peers.send(message.address, StartResults(message.token, answered))

    def done(order, answer):
        if not results:
            node.loop.call_later(RESULTS_DELAY_S, send_results)
        results.append((order.worker, order.task, order.attempt, answer))

    for order in message.orders:
        node.deps.relayed_commands.start(
            order,
            payload,
            message.token,
            now + order.send_by - leader_clock,
            lambda answer, o=order: done(o, answer),
        )
