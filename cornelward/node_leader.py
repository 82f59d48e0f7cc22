"""The leader's part of a node: effects of the dispatcher's core, beats, questions."""

import time

from . import advising, dispatch, dispatch_runs, leadership
from .commits import Applied, Rows
from .log import get_logger
from .messages import AdviceRequest, LeaderBeat, LeaderResigned
from .staged_jobs import decode_spec

__all__ = [
    "LeaderTerm",
    "cancel",
    "close",
    "on_job_accepted",
    "on_row_renewed",
    "schedule_step",
    "send_heartbeats",
    "state_of",
]

log = get_logger("node_leader")

HEARTBEAT_INTERVAL_S = 0.3
# A node that was not heard for this long gets no questions and no beats.
NODE_TIMEOUT_S = 2.0
# Pause after a look that was not sent.
RETRY_S = 0.2
# A leader that cannot reach the store holds its workers' leases this long.
MAX_STORE_OUTAGE_S = 12.0
# A successor that has not taken over by then is not waited for: on a slow store its
# claim and its fences take some 1.5 s.
HANDOVER_TIMEOUT_S = 2.0


class LeaderTerm:
    """State of leadership; ``core`` is the Dispatcher once the rows are read."""

    def __init__(self, token, now):
        self.token = token
        self.closed = False
        self.dispatcher = None
        self.started_at = now
        # Node name -> (address, when it was heard last).
        self.nodes = {}
        # Addresses that the former leader named; beats ask them for a hello.
        self.inherited_peers = ()
        self.leaving = set()
        self.weak = set()
        # Nodes that were asked to take over, and when the last one was.
        self.handover_targets = set()
        self.successor = None
        self.handover_sent_at = None
        self.last_heartbeat_at = None
        self.store_refusing = False
        self.step_scheduled = False
        self.store_reached_at = now


def on_job_accepted(node, value, version):
    """Take in a job's row."""
    dispatcher = node.leader.dispatcher
    spec = decode_spec(value)
    if dispatcher is None:
        # The rows are being read; the feed has this one if they do not.
        return
    if spec is None:
        log("error", "job_unreadable", version=version)
        return
    now = node.deps.now()
    if spec.id not in dispatcher.jobs and spec.id not in dispatcher.finished:
        log("debug", "job_seen", job=spec.id)
    dispatch.add_accepted_job(
        dispatcher, now, spec, version, to_node_clock(node, spec.accepted_at, now)
    )
    schedule_step(node)


def to_node_clock(node, accepted_at, now):
    """Return a time of the store's clock on this node's clock."""
    store_now = node.store.clock(now)
    if not accepted_at or store_now is None:
        return now
    return now - max(0.0, store_now - accepted_at)


# Questions


def set_config(node):
    """Use the node's configuration in the core."""
    if node.leader.dispatcher is not None and node.config is not None:
        dispatch.set_queues(node.leader.dispatcher, node.config.queues)


def state_of(node, job_id):
    """Return the recorded state of a job, or None."""
    dispatcher = node.leader.dispatcher
    return dispatch.state_of(dispatcher, job_id) if dispatcher is not None else None


def cancel(node, job_id, reply):
    """Cancel a job; ``reply`` as for ``dispatch.cancel``."""
    dispatcher = node.leader.dispatcher
    if dispatcher is None:
        reply(None)
        return
    dispatch.cancel(dispatcher, node.deps.now(), job_id, reply)
    schedule_step(node)


def on_advice_reply(node, call_id, approved):
    """Take in an answer of the policy service."""
    if node.leader.dispatcher is not None:
        dispatch.on_advice_result(
            node.leader.dispatcher, node.deps.now(), call_id, approved
        )
        schedule_step(node)


def on_hello(node, name, hello):
    """Note that a node is alive."""
    part = node.leader
    part.nodes[name] = (hello.address, node.deps.now())
    if hello.leaving:
        part.leaving.add(name)
    else:
        part.leaving.discard(name)
    if hello.weak:
        part.weak.add(name)
    _use_advisers(part)


def _use_advisers(part):
    if part.dispatcher is not None:
        names = [name for name in part.nodes if name not in part.leaving]
        advising.set_nodes(part.dispatcher.advising, names)


# Effects


def schedule_step(node):
    """Run the core's systems on the next turn of the loop."""
    part = node.leader
    if part is None or part.step_scheduled or part.dispatcher is None:
        return
    part.step_scheduled = True

    def run():
        part.step_scheduled = False
        if not part.closed:
            run_step(node, part)

    node.loop.call_soon(run)


def run_step(node, part):
    """Run the core's systems and carry out the effects."""
    dispatcher = part.dispatcher
    now = node.deps.now()
    dispatch.step(dispatcher, now, time.time())
    if dispatcher.fenced_off:
        node.deps.lose_leadership(node, "a later leader has set its fence")
        return
    effects, dispatcher.effects = dispatcher.effects, []
    for effect in effects:
        EFFECTS[type(effect).__name__](node, part, effect)


def tick(node):
    """Run what is due by time."""
    part = node.leader
    now = node.deps.now()
    if (
        part.handover_sent_at is not None
        and now - part.handover_sent_at >= HANDOVER_TIMEOUT_S
    ):
        resign(node)
    if part.dispatcher is None or part.closed:
        return
    store_refusing = node.health.is_refused(now)
    if store_refusing and not part.store_refusing:
        log("warning", "store_refuses", failing_s=round(node.health.failing_s(now), 2))
    beat_due = (
        part.last_heartbeat_at is None
        or now - part.last_heartbeat_at >= HEARTBEAT_INTERVAL_S
    )
    if beat_due or store_refusing != part.store_refusing:
        # A node that reaches the store takes over as soon as it hears of it.
        part.store_refusing = store_refusing
        send_heartbeats(node, part, now)
    run_step(node, part)


def on_row_renewed(node):
    """Tell the version at once: followers that know it need not watch the row."""
    part = node.leader
    if part.dispatcher is not None and not part.closed:
        send_heartbeats(node, part, node.deps.now())


def send_heartbeats(node, part, now):
    """Tell every node that this one leads, and how it is."""
    part.last_heartbeat_at = now
    for name, (address, heard_at) in list(part.nodes.items()):
        if heard_at is not None and now - heard_at > NODE_TIMEOUT_S:
            del part.nodes[name]
            node.peers.forget(address)
    _use_advisers(part)
    pending = dispatch.pending_by_queue(part.dispatcher)
    node.deps.set_pending_counts(node, pending)
    known = {address for address, _ in part.nodes.values()}
    if now - part.started_at < NODE_TIMEOUT_S:
        known.update(part.inherited_peers)
    addresses = tuple(sorted(known))
    node.peer_state.peers = [a for a in addresses if a != node.address]
    store_age_s = now - node.leadership.renewed_at
    if part.store_refusing:
        store_age_s = max(store_age_s, leadership.STORE_STALE_S)
    for address in node.peer_state.peers:
        # The successor keeps trying until it has the row, whatever becomes of a claim.
        yields = address == part.successor
        age_s = leadership.STORE_STALE_S if yields else store_age_s
        version = node.leadership.version
        message = LeaderBeat(
            node.address, part.token, age_s, pending, addresses, version
        )
        node.peers.send(address, message)


def _commit(node, part, effect):
    def done(result):
        if part.closed:
            return
        if isinstance(result, Applied | Rows):
            part.store_reached_at = node.deps.now()
        dispatch.on_commit_result(part.dispatcher, node.deps.now(), effect.part, result)
        schedule_step(node)

    node.store.commit(effect.part, effect.expected, effect.writes, done)


def _may_order(node, part):
    """Return whether this leader may still extend leases."""
    silent_s = node.deps.now() - max(part.store_reached_at, node.leadership.renewed_at)
    return silent_s < MAX_STORE_OUTAGE_S


def _start(node, part, effect):
    def done(answer):
        if part.closed:
            return
        now = node.deps.now()
        dispatch_runs.on_start_result(part.dispatcher, now, effect.run, answer)
        schedule_step(node)

    run = effect.run
    log("info", "start", task=run.name, run=run.attempt, worker=run.worker)
    node.deps.orders.start(effect, part.token, done)


def _stop(node, part, effect):
    def done(acknowledged):
        if part.closed:
            return
        dispatch_runs.on_stop_result(
            part.dispatcher,
            node.deps.now(),
            effect.worker,
            effect.name,
            effect.attempt,
            acknowledged,
        )

    log("info", "stop", task=effect.name, run=effect.attempt, worker=effect.worker)
    node.deps.orders.stop(effect, part.token, done)


def _poll(node, part, effect):
    sent_at = node.deps.now()

    def done(report):
        if part.closed:
            return
        if report is not None and not hasattr(report, "running"):
            node.deps.lose_leadership(node, f"a worker answered {report}")
            return
        now = node.deps.now()
        dispatch_runs.on_poll_result(
            part.dispatcher, now, effect.worker, sent_at, report
        )
        schedule_step(node)

    if not _may_order(node, part):
        log("warning", "lease_not_extended", worker=effect.worker)
        node.loop.call_later(RETRY_S, lambda: done(None))
        return
    node.deps.orders.look(effect, part.token, done)


def _ask_advice(node, part, effect):
    def done(approved):
        if not part.closed:
            dispatch.on_advice_result(
                part.dispatcher, node.deps.now(), effect.call_id, approved
            )
            schedule_step(node)

    if effect.node == node.settings.node:
        node.deps.ask_advice(effect.step_name, effect.workers, done)
        return
    address = part.nodes[effect.node][0]
    request = AdviceRequest(
        node.address, part.token, effect.call_id, effect.step_name, effect.workers
    )
    node.peers.send(address, request)


def _reply(node, part, effect):
    effect.reply(effect.value)


EFFECTS = {
    "Commit": _commit,
    "Start": _start,
    "Stop": _stop,
    "Poll": _poll,
    "AskAdvice": _ask_advice,
    "Reply": _reply,
}


# End of leadership


def close(node):
    """Stop acting: answers that still arrive are dropped."""
    node.leader.closed = True


def resign(node):
    """Let another node take over; this one goes on until it is fenced off.

    One successor at a time is told: all of them would claim at once.
    """
    part = node.leader
    now = node.deps.now()
    part.handover_sent_at = now
    others = sorted(
        (name not in part.weak, heard_at, address)
        for name, (address, heard_at) in part.nodes.items()
        if name != node.settings.node
        and name not in part.leaving
        and address not in part.handover_targets
    )
    if not others:
        log("warning", "resigned", successor=None)
        node.deps.lose_leadership(node, "no node to hand over to")
        return
    _, _, address = others[-1]
    part.handover_targets.add(address)
    part.successor = address
    log("info", "resigning", successor=address)
    node.peers.send(address, LeaderResigned(part.token))
