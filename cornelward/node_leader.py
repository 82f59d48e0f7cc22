"""The leader's part of a node: effects of the dispatcher's core, beats, questions."""

import time

from . import advising, dispatch, dispatch_runs, leadership
from .commits import Applied, Rows
from .log import get_logger
from .messages import AdviceRequest, LeaderBeat, LeaderResigned
from .staged_jobs import decode_spec

__all__ = [
    "LeaderPart",
    "ask_step",
    "beat",
    "cancel",
    "close",
    "job_accepted",
    "row_renewed",
    "state_of",
]

log = get_logger("node_leader")

BEAT_S = 0.3
# A node that was not heard for this long gets no questions and no beats.
NODE_SILENT_S = 2.0
# Pause after a look that was not sent.
RETRY_S = 0.2
# A leader that cannot reach the store holds its workers' leases this long.
HOLD_WITHOUT_STORE_S = 12.0
# A successor that has not taken over by then is not waited for: on a slow store its
# claim and its fences take some 1.5 s.
HANDOVER_S = 2.0


class LeaderPart:
    """State of leadership; ``core`` is the Dispatcher once the rows are read."""

    def __init__(self, token, now):
        self.token = token
        self.closed = False
        self.core = None
        self.begun_at = now
        # Node name -> (address, when it was heard last).
        self.nodes = {}
        # Addresses that the former leader named; beats ask them for a hello.
        self.introduced = ()
        self.leaving = set()
        self.weak = set()
        # Nodes that were asked to take over, and when the last one was.
        self.asked = set()
        self.successor = None
        self.asked_at = None
        self.beat_at = None
        self.yielding = False
        self.step_asked = False
        self.store_ok_at = now


def job_accepted(node, value, version):
    """Take in a job's row."""
    core = node.leader.core
    spec = decode_spec(value)
    if core is None:
        # The rows are being read; the feed has this one if they do not.
        return
    if spec is None:
        log("error", "job_unreadable", version=version)
        return
    now = node.parts.now()
    if spec.id not in core.jobs and spec.id not in core.finished:
        log("debug", "job_seen", job=spec.id)
    dispatch.add_accepted_job(
        core, now, spec, version, local_time(node, spec.accepted_at, now)
    )
    ask_step(node)


def local_time(node, accepted_at, now):
    """Return a time of the store's clock on this node's clock."""
    store_now = node.store.clock(now)
    if not accepted_at or store_now is None:
        return now
    return now - max(0.0, store_now - accepted_at)


# Questions


def set_config(node):
    """Use the node's configuration in the core."""
    if node.leader.core is not None and node.config is not None:
        dispatch.set_queues(node.leader.core, node.config.queues)


def state_of(node, job_id):
    """Return the recorded state of a job, or None."""
    core = node.leader.core
    return dispatch.state_of(core, job_id) if core is not None else None


def cancel(node, job_id, reply):
    """Cancel a job; ``reply`` as for ``dispatch.cancel``."""
    core = node.leader.core
    if core is None:
        reply(None)
        return
    dispatch.cancel(core, node.parts.now(), job_id, reply)
    ask_step(node)


def on_advice_result(node, call_id, approved):
    """Take in an answer of the policy service."""
    if node.leader.core is not None:
        dispatch.on_advice_result(node.leader.core, node.parts.now(), call_id, approved)
        ask_step(node)


def node_heard(node, name, hello):
    """Note that a node is alive."""
    part = node.leader
    part.nodes[name] = (hello.address, node.parts.now())
    if hello.leaving:
        part.leaving.add(name)
    else:
        part.leaving.discard(name)
    if hello.weak:
        part.weak.add(name)
    _use_advisers(part)


def _use_advisers(part):
    if part.core is not None:
        names = [name for name in part.nodes if name not in part.leaving]
        advising.set_nodes(part.core.advising, names)


# Effects


def ask_step(node):
    """Run the core's systems on the next turn of the loop."""
    part = node.leader
    if part is None or part.step_asked or part.core is None:
        return
    part.step_asked = True

    def run():
        part.step_asked = False
        if not part.closed:
            run_step(node, part)

    node.loop.call_soon(run)


def run_step(node, part):
    """Run the core's systems and carry out the effects."""
    core = part.core
    now = node.parts.now()
    dispatch.step(core, now, time.time())
    if core.fenced_off:
        node.parts.lose_leadership(node, "a later leader has set its fence")
        return
    effects, core.effects = core.effects, []
    for effect in effects:
        EFFECTS[type(effect).__name__](node, part, effect)


def tick(node):
    """Run what is due by time."""
    part = node.leader
    now = node.parts.now()
    if part.asked_at is not None and now - part.asked_at >= HANDOVER_S:
        resign(node)
    if part.core is None or part.closed:
        return
    yielding = node.health.is_refused(now)
    if yielding and not part.yielding:
        log("warning", "store_refuses", failing_s=round(node.health.failing_s(now), 2))
    beat_due = part.beat_at is None or now - part.beat_at >= BEAT_S
    if beat_due or yielding != part.yielding:
        # A node that reaches the store takes over as soon as it hears of it.
        part.yielding = yielding
        beat(node, part, now)
    run_step(node, part)


def row_renewed(node):
    """Tell the version at once: followers that know it need not watch the row."""
    part = node.leader
    if part.core is not None and not part.closed:
        beat(node, part, node.parts.now())


def beat(node, part, now):
    """Tell every node that this one leads, and how it is."""
    part.beat_at = now
    for name, (address, heard_at) in list(part.nodes.items()):
        if heard_at is not None and now - heard_at > NODE_SILENT_S:
            del part.nodes[name]
            node.peers.forget(address)
    _use_advisers(part)
    pending = dispatch.pending_by_queue(part.core)
    node.parts.note_pending(node, pending)
    known = {address for address, _ in part.nodes.values()}
    if now - part.begun_at < NODE_SILENT_S:
        known.update(part.introduced)
    addresses = tuple(sorted(known))
    node.intake.peers = [a for a in addresses if a != node.address]
    store_age_s = now - node.leadership.renewed_at
    if part.yielding:
        store_age_s = max(store_age_s, leadership.STORE_AGE_S)
    for address in node.intake.peers:
        # The successor keeps trying until it has the row, whatever becomes of a claim.
        yields = address == part.successor
        age_s = leadership.STORE_AGE_S if yields else store_age_s
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
            part.store_ok_at = node.parts.now()
        dispatch.on_commit_result(part.core, node.parts.now(), effect.part, result)
        ask_step(node)

    node.store.commit(effect.part, effect.expected, effect.writes, done)


def _may_order(node, part):
    """Return whether this leader may still extend leases."""
    silent_s = node.parts.now() - max(part.store_ok_at, node.leadership.renewed_at)
    return silent_s < HOLD_WITHOUT_STORE_S


def _start(node, part, effect):
    def done(answer):
        if part.closed:
            return
        now = node.parts.now()
        dispatch_runs.on_start_result(part.core, now, effect.run, answer)
        ask_step(node)

    run = effect.run
    log("info", "start", task=run.name, run=run.attempt, worker=run.worker)
    node.parts.orders.start(effect, part.token, done)


def _stop(node, part, effect):
    def done(acknowledged):
        if part.closed:
            return
        dispatch_runs.on_stop_result(
            part.core,
            node.parts.now(),
            effect.worker,
            effect.name,
            effect.attempt,
            acknowledged,
        )

    log("info", "stop", task=effect.name, run=effect.attempt, worker=effect.worker)
    node.parts.orders.stop(effect, part.token, done)


def _poll(node, part, effect):
    sent_at = node.parts.now()

    def done(report):
        if part.closed:
            return
        if report is not None and not hasattr(report, "running"):
            node.parts.lose_leadership(node, f"a worker answered {report}")
            return
        now = node.parts.now()
        dispatch_runs.on_poll_result(part.core, now, effect.worker, sent_at, report)
        ask_step(node)

    if not _may_order(node, part):
        log("warning", "lease_not_extended", worker=effect.worker)
        node.loop.call_later(RETRY_S, lambda: done(None))
        return
    node.parts.orders.look(effect, part.token, done)


def _ask_advice(node, part, effect):
    def done(approved):
        if not part.closed:
            dispatch.on_advice_result(
                part.core, node.parts.now(), effect.call_id, approved
            )
            ask_step(node)

    if effect.node == node.settings.node:
        node.parts.ask_advice(effect.step_name, effect.workers, done)
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
    now = node.parts.now()
    part.asked_at = now
    others = sorted(
        (name not in part.weak, heard_at, address)
        for name, (address, heard_at) in part.nodes.items()
        if name != node.settings.node
        and name not in part.leaving
        and address not in part.asked
    )
    if not others:
        log("warning", "resigned", successor=None)
        node.parts.lose_leadership(node, "no node to hand over to")
        return
    _, _, address = others[-1]
    part.asked.add(address)
    part.successor = address
    log("info", "resigning", successor=address)
    node.peers.send(address, LeaderResigned(part.token))
