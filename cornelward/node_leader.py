"""Work of the leading node: dispatcher effects, heartbeats, requests of other nodes."""

import collections
import time

from . import (
    access,
    dispatch,
    dispatch_runs,
    heartbeats,
    node_former,
    node_handover,
    node_heartbeats,
    node_starts,
)
from .dispatch_crashes import GONE
from .dispatch_effects import Start
from .log import get_logger
from .messages import AdviceRequest
from .staged_jobs import decode_spec

__all__ = [
    "LeaderTerm",
    "close",
    "on_job_accepted",
    "schedule_step",
    "state_of",
]

log = get_logger("node_leader")


class LeaderTerm:
    """State of one term as leader, identified by its fencing token.

    ``dispatcher`` is None until the takeover has read the rows of the store.
    """

    def __init__(self, token, now):
        self.token = token
        self.closed = False
        self.dispatcher = None
        self.started_at = now
        # Node name -> (address, time of its last hello; None for this node).
        self.nodes = {}
        # Addresses that the former leader reported. They get heartbeats for the first
        # NODE_TIMEOUT_S of the term, so that they answer with a hello.
        self.inherited_peers = ()
        self.leaving = set()
        self.weak = set()
        # Addresses of nodes that were asked to take over.
        self.handover_targets = set()
        self.successor = None
        # When a weak node asks a strong one to take over.
        self.yield_at = now + node_handover.YIELD_AFTER_S
        # When the successor was asked.
        self.handover_sent_at = None
        self.beats = heartbeats.Beats()
        # Whether the store refuses this node, so that another may take over.
        self.store_refusing = False
        self.step_scheduled = False
        # Whether a step is scheduled for the end of the planner's pause.
        self.plan_scheduled = False
        # When the process at the former leader's address is asked again whether that
        # has ended, and when it was known to have.
        self.ask_former_at = now
        self.former_ended_at = None
        # Ids of the jobs whose rows cannot be read; they are left alone.
        self.unreadable_jobs = set()
        # Id of a registry entry that names no worker -> why.
        self.refused_entries = {}
        self.former_leases_expired = False
        # When the latest answered read of the registry was sent.
        self.registry_asked_at = now
        # All changes of the jobs up to this time were seen, cancels among them.
        self.jobs_seen_until = now
        # (when it was sent, its version in the store) of the renewals of the leader's
        # row that are newer than the changes seen.
        self.renewals = collections.deque()
        # When the last step ran, and since when the process may have been replaced as
        # the leader without noticing; Start effects are held back meanwhile.
        self.stepped_at = now
        self.unconfirmed_since = None
        self.held_starts = []
        # (worker, task, attempt) -> (Start effect that another node carries out, the
        # address of that node).
        self.relayed_starts = {}
        # Function that ends a cancel -> OpenCancel; see ``node_cancels``.
        self.open_cancels = {}


def on_job_accepted(node, value, version, entry=None):
    """Add a job to the dispatcher; ``value`` and ``version`` are those of its row.

    ``entry`` is the address of the node that accepted it, if another one did.
    """
    dispatcher = node.leader.dispatcher
    spec = decode_spec(value)
    if dispatcher is None:
        # The takeover is still reading rows. The feed delivers this one if the takeover
        # misses it.
        return
    if spec is None or spec.id in node.leader.unreadable_jobs:
        log("error", "job_unreadable", version=version)
        return
    now = node.deps.now()
    if spec.id not in dispatcher.jobs and spec.id not in dispatcher.finished:
        log("debug", "job_seen", job=spec.id)
    dispatch.add_accepted_job(
        dispatcher,
        now,
        spec,
        version,
        to_node_clock(node, spec.accepted_at, now),
        entry,
    )
    schedule_step(node)


def expect_job(node, spec):
    """Ask for advice about a job that is being stored."""
    dispatcher = node.leader.dispatcher
    if dispatcher is not None and not node.health.is_slow:
        dispatch.expect_job(dispatcher, node.deps.now(), spec)
        schedule_step(node)


def to_node_clock(node, accepted_at, now):
    """Convert a time of the store's clock to this node's clock.

    Returns ``now`` if the time or the store's clock is not known.
    """
    store_now = node.store.clock(now)
    if not accepted_at or store_now is None:
        return now
    return now - max(0.0, store_now - accepted_at)


# Requests of other nodes


def set_config(node):
    """Pass the node's configured queues and workspaces to the dispatcher."""
    cfg, dispatcher = node.config, node.leader.dispatcher
    if dispatcher is not None and cfg is not None:
        dispatch.set_config(dispatcher, cfg.queues, cfg.workspaces)


def state_of(node, job_id, caller=None):
    """Return the recorded state of a job, or None if it is not known.

    It is "" for a job that ``caller`` may not see (``access.may_see``).
    """
    dispatcher = node.leader.dispatcher
    if dispatcher is None:
        return None
    if not access.may_see(dispatch.owner_of(dispatcher, job_id), caller):
        return ""
    return dispatch.state_of(dispatcher, job_id)


def on_advice_reply(node, call_id, approved):
    """Process advice of the policy service that another node requested."""
    if node.leader.dispatcher is not None:
        dispatch.on_advice_result(
            node.leader.dispatcher, node.deps.now(), call_id, approved
        )
        schedule_step(node)


def on_hello(node, name, hello):
    """Record the address and the flags that a node sent in its hello."""
    term = node.leader
    is_new = name not in term.nodes and hello.address not in term.inherited_peers
    term.nodes[name] = (hello.address, node.deps.now())
    if hello.leaving:
        term.leaving.add(name)
    else:
        term.leaving.discard(name)
    if hello.weak:
        term.weak.add(name)
    node_heartbeats.update_advice_nodes(node, term)
    if is_new:
        node_heartbeats.send_first_heartbeat(node, term, hello.address)


# Effects of the dispatcher


def schedule_step(node):
    """Run a dispatcher step in the next loop iteration, at most one at a time."""
    term = node.leader
    if term is None or term.step_scheduled or term.dispatcher is None:
        return
    term.step_scheduled = True

    def run():
        term.step_scheduled = False
        if not term.closed:
            run_step(node, term)

    node.loop.call_soon(run)


def run_step(node, term):
    """Run a dispatcher step and execute its effects."""
    dispatcher = term.dispatcher
    now = node.deps.now()
    dispatch.confirm_lead(dispatcher, node.leadership.confirmed_at)
    dispatch.step(dispatcher, now, time.time())
    if dispatcher.fenced_off:
        node.deps.lose_leadership(node, "a later leader has fenced off this one")
        return
    node_starts.note_step(node, term)
    effects, dispatcher.effects = dispatcher.effects, []
    starts = []
    for effect in effects:
        if isinstance(effect, Start):
            starts.append(effect)
        else:
            _execute(node, term, effect)
    node_starts.execute_starts(node, term, starts)
    if dispatcher.needs_plan and not term.plan_scheduled:
        term.plan_scheduled = True
        pause_s = max(0.0, dispatcher.plan_at - now)
        node.loop.call_later(pause_s, lambda: _run_planned_step(node, term))


def _execute(node, term, effect):
    """Carry out one effect; an unexpected error must not stop those after it."""
    try:
        EFFECTS[type(effect).__name__](node, term, effect)
    except Exception as exc:
        name = type(effect).__name__
        log("error", "effect_failed", effect=name, reason=repr(exc))


def _run_planned_step(node, term):
    term.plan_scheduled = False
    if not term.closed:
        schedule_step(node)


def tick(node):
    """Run the periodic work of the leader: handover, heartbeats, dispatcher step."""
    term = node.leader
    now = node.deps.now()
    node_handover.tick(node, term, now)
    if term.closed:
        return
    # A takeover may take longer than what counts as a pause of the process.
    node_starts.note_step(node, term)
    node_former.tick(node, term, now)
    if term.dispatcher is None:
        return
    store_refusing = node.health.is_refused(now)
    if store_refusing and not term.store_refusing:
        log("warning", "store_refuses", failing_s=round(node.health.failing_s(now), 2))
    # A change is reported at once: a node that reaches the store takes over as soon as
    # it learns that this one is refused.
    changed = store_refusing != term.store_refusing
    term.store_refusing = store_refusing
    node_heartbeats.send_heartbeats(node, term, now, urgent=changed)
    run_step(node, term)


def _commit(node, term, effect):
    def done(result):
        if term.closed:
            return
        dispatch.on_commit_result(term.dispatcher, node.deps.now(), effect.part, result)
        schedule_step(node)

    node.store.commit(effect.part, effect.expected, effect.writes, done)


def _stop(node, term, effect):
    def done(acknowledged):
        if term.closed:
            return
        dispatch_runs.on_stop_result(
            term.dispatcher,
            node.deps.now(),
            effect.worker,
            effect.name,
            effect.attempt,
            acknowledged,
        )
        schedule_step(node)

    log("info", "stop", task=effect.name, run=effect.attempt, worker=effect.worker)
    node.deps.worker_commands.stop(effect, term.token, done)


def _poll(node, term, effect):
    sent_at = node.deps.now()

    def done(report):
        if term.closed:
            return
        if report not in (None, GONE) and not hasattr(report, "running"):
            node.deps.lose_leadership(
                node, f"a worker refused a poll of this leader: {report}"
            )
            return
        now = node.deps.now()
        dispatch_runs.on_poll_result(
            term.dispatcher, now, effect.worker, sent_at, report
        )
        schedule_step(node)

    node.deps.worker_commands.poll(effect, term.token, done)


def _ask_advice(node, term, effect):
    def done(approved):
        if not term.closed:
            dispatch.on_advice_result(
                term.dispatcher, node.deps.now(), effect.call_id, approved
            )
            schedule_step(node)

    # A node may have been forgotten since the call was planned for it.
    if effect.node == node.settings.node or effect.node not in term.nodes:
        node.deps.ask_advice(effect.step_name, effect.workers, done)
        return
    address = term.nodes[effect.node][0]
    request = AdviceRequest(
        node.address, term.token, effect.call_id, effect.step_name, effect.workers
    )
    node.peers.send(address, request)


def _reply(node, term, effect):
    effect.reply(effect.value)


EFFECTS = {
    "Commit": _commit,
    "Stop": _stop,
    "Poll": _poll,
    "AskAdvice": _ask_advice,
    "Reply": _reply,
}


# End of the term


def close(node):
    """End the term: answers that still arrive are ignored."""
    node.leader.closed = True
