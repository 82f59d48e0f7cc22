"""Shell of a node: serves callers, calls the policy service and may be the leader.

``cornelward-node`` reads the path of its settings file from the environment.
"""

import time

from . import (
    inserts,
    leadership,
    lease_marks,
    node_cancels,
    node_config,
    node_former,
    node_handover,
    node_heartbeats,
    node_inserts,
    node_leader,
    node_leader_search,
    node_requests,
    node_takeover,
)
from .commits import Applied, Refused, Rows, Unknown
from .dispatch_effects import RowWrite
from .errors import SettingsError
from .log import get_logger
from .messages import LeaderHello

__all__ = ["Node", "start"]

log = get_logger("node")

TICK_INTERVAL_S = 0.1
# The periodic tick is logged if it runs this late.
LOGGED_LAG_S = 0.5
# A node below either limit is the last to claim leadership. The leader of 176 workers
# uses 0.7 of a core and about 5 Mbit/s.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 20.0
# New connections are accepted for this long after SIGTERM, because the load balancer
# removes an instance only after two failed health checks.
STOP_ACCEPTING_AFTER_S = 2.6
# Minimum time between two hellos to the same leader that say the same.
HELLO_INTERVAL_S = 0.7
# The process exits this long before the platform's grace period ends.
EXIT_MARGIN_S = 0.7
LEADER_KEY = ("leader", "main")
LEASE_MARK_KEY = ("leader", "leases")
# A node whose store calls have failed for this long reports itself as not ready.
UNREADY_AFTER_S = 1.0
# While the store is silent, nodes ask it at these intervals whether it answers again.
LEADER_PROBE_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 0.5


def clock():
    """Return seconds of a monotonic clock that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Node:
    """State of one node process.

    ``leader`` is the LeaderTerm while this node leads, else None. ``deps`` holds the
    clients, servers and decoders that the node uses.
    """

    def __init__(self, deps, settings, incarnation, rng):
        self.deps = deps
        self.settings = settings
        self.loop = deps.loop
        self.store = deps.store
        self.peers = deps.peers
        self.incarnation = incarnation
        self.began_at = clock()
        self.rng = rng
        self.address = settings.peer_address
        self.is_weak = (
            settings.cores < LEADER_CORES or settings.link_mbps < LEADER_LINK_MBPS
        )
        self.leadership = leadership.Leadership(
            settings.node, incarnation, self.address, clock(), rng, self.is_weak
        )
        self.health = deps.health
        self.config = None
        self.config_state = node_config.ConfigState(clock())
        self.leader = None
        self.peer_state = node_requests.PeerState(rng)
        self.inserts = inserts.Inserts()
        # Node name -> incarnation in its last message.
        self.incarnations = {}
        # (leader's token, its address, whether this node is leaving) of the last hello.
        self.last_hello = None
        self.last_hello_at = 0.0
        # When this node last sent a hello in search of the leader.
        self.searched_at = 0.0
        # When the last message from another node arrived.
        self.last_message_at = clock()
        self.ticked_at = clock()
        # How late the periodic tick ran at most since the metric was last read.
        self.longest_lag_s = 0.0
        self.stopping_at = None
        self.stopped = False


def start(node):
    """Read the configuration and start the periodic tick and the signal handlers."""
    node_config.start(node)
    node.loop.call_every(TICK_INTERVAL_S, lambda: tick(node))
    node.loop.on_signal(lambda signo: begin_shutdown(node))
    node.loop.on_hangup(lambda: reload_settings(node))
    settings = node.settings
    log("info", "started", node=settings.node, callers=settings.caller_address)


def reload_settings(node):
    """Read the settings again and log the names of those that changed.

    Changes take effect at the next start, because sockets and leases of the running
    process already depend on the addresses, limits and bounds.
    """
    try:
        settings = node.deps.load_settings()
    except SettingsError as exc:
        log("error", "settings_unreadable", reason=exc.message)
        return
    changed = [
        name
        for name, old, new in zip(
            settings._fields, node.settings, settings, strict=True
        )
        if old != new
    ]
    log("info", "reloaded", changed=changed)


def is_ready(node):
    """Return whether the load balancer should send callers to this node.

    A node stays ready in a store outage that its leader sees, too: other nodes would
    serve no better, and if none were ready, callers would find no connection. A node
    that lacks a newer configuration refuses calls that another node can serve.
    """
    if node.config is None or node.stopping_at is not None:
        return False
    if node_config.is_outdated(node):
        return False
    now = clock()
    if node.health.failing_s(now) < UNREADY_AFTER_S:
        return True
    if node_inserts.is_isolated(node, now):
        return False
    return node.leader is not None or leadership.reports_outage(node.leadership, now)


# Leadership


def tick(node):
    """Run the periodic work of the node; called ten times a second."""
    _measure_lag(node)
    node_config.tick(node)
    leads = node.leader is not None
    node.store.watch(LEADER_PROBE_INTERVAL_S if leads else PROBE_INTERVAL_S)
    node_inserts.tick(node)
    node_former.prepare_mark(node)
    for effect in leadership.tick(node.leadership, clock()):
        execute(node, effect)
    if node.leader is not None:
        node_cancels.tick(node.leader, clock())
        node_leader.tick(node)
    node_leader_search.tick(node)
    node_requests.tick(node)
    node.deps.close_unused_connections()
    node.ticked_at = clock()
    _stop_when_drained(node)


def _measure_lag(node):
    lag_s = clock() - node.ticked_at - TICK_INTERVAL_S
    node.longest_lag_s = max(node.longest_lag_s, lag_s)
    if lag_s >= LOGGED_LAG_S:
        log("warning", "loop_late", late_s=round(lag_s, 2))


def execute(node, effect):
    """Execute an effect of the leadership core."""
    kind = type(effect).__name__
    if kind == "ReadLeader":
        _read_leader(node)
    elif kind == "ClaimLeadership":
        _claim(node, effect)
    else:
        _renew(node, effect)


def _read_leader(node):
    def done(listing):
        found, mark_data = None, None
        if not isinstance(listing, Refused | Unknown):
            rows = {row.key: (row.value, row.version) for row in listing.rows}
            found = rows.get(LEADER_KEY[1], (None, 0))
            mark_data, _ = rows.get(LEASE_MARK_KEY[1], (None, 0))
        state = node.leadership
        for effect in leadership.on_row_read(state, clock(), found, mark_data):
            execute(node, effect)
        address = node.leadership.leader_address
        if address and address != node.address:
            send_hello(node, address)

    node.store.read("leader", "", done)


def _write_leader(node, effect, mark, done):
    expected = [(*LEADER_KEY, effect.expected)]
    writes = [RowWrite(*LEADER_KEY, leadership.encode_row(effect.row))]
    if mark is not None:
        mark_data = lease_marks.encode_mark(mark)
        writes.append(RowWrite(*LEASE_MARK_KEY, mark_data))
    node.store.commit("", expected, writes, done)


def _claim(node, effect):
    def done(result):
        version = result.version if isinstance(result, Applied) else None
        if leadership.on_claim_result(node.leadership, clock(), effect.row, version):
            log("info", "leadership_claimed", token=effect.row.token)
            node_takeover.take_over(node, effect.row.token)

    mark = lease_marks.claim_mark(node.leadership, effect.row)
    _write_leader(node, effect, mark, done)


def _renew(node, effect):
    def done(result):
        outcome, version, renewed = "failed", None, effect
        if isinstance(result, Applied):
            outcome, version = "ok", result.version
        elif isinstance(result, Rows):
            value, found = result.rows.get(LEADER_KEY, (None, 0))
            # An earlier renewal whose answer was lost may have applied.
            row = leadership.decode_row(value) if value is not None else None
            is_own = row is not None and (row.node, row.incarnation) == (
                node.settings.node,
                node.incarnation,
            )
            outcome = "held" if is_own else "lost"
            version = found
            renewed = effect._replace(row=row, mark=None) if is_own else effect
        if isinstance(result, Applied):
            node_former.on_renewal_applied(node, effect)
        still_leads = leadership.on_renewal_result(
            node.leadership, clock(), renewed, outcome, version
        )
        if not still_leads:
            lose_leadership(node, "another node holds the leader row")
        elif outcome in ("ok", "held") and node.leader is not None:
            node_heartbeats.on_row_renewed(node)

    _write_leader(node, effect, effect.mark, done)


def lose_leadership(node, reason):
    """Stop acting as the leader; what callers wait for is given back to their nodes."""
    term = node.leader
    if term is not None:
        log("warning", "leadership_lost", reason=reason)
        node_leader.close(node)
        node.leader = None
    if node.leadership.role != leadership.FOLLOWER:
        leadership.step_down(node.leadership, clock())
    if term is not None:
        node_cancels.give_back_all(term)


def send_hello(node, address):
    """Send the leader this node's address and whether it is leaving or weak."""
    leaving = node.stopping_at is not None
    hello = LeaderHello(node.address, leaving, node.is_weak)
    node.peers.send(address, hello)


def answer_heartbeat(node, heartbeat):
    """Send the leader a hello, unless it got the same one a moment ago."""
    now = clock()
    said = (heartbeat.token, heartbeat.address, node.stopping_at is not None)
    if said == node.last_hello and now - node.last_hello_at < HELLO_INTERVAL_S:
        return
    node.last_hello, node.last_hello_at = said, now
    send_hello(node, heartbeat.address)


# Stopping


def begin_shutdown(node):
    """Start a graceful shutdown; further signals have no effect."""
    if node.stopping_at is not None:
        return
    node.stopping_at = clock()
    log("info", "stopping")
    node.leadership.leaving = True
    node.deps.callers.start_draining()
    if node.leader is not None:
        node_handover.resign(node)


def _stop_when_drained(node):
    if node.stopping_at is None or node.stopped:
        return
    elapsed_s = clock() - node.stopping_at
    late = elapsed_s >= node.settings.grace_s - EXIT_MARGIN_S
    drained = elapsed_s >= STOP_ACCEPTING_AFTER_S and node.deps.callers.is_drained()
    if elapsed_s >= STOP_ACCEPTING_AFTER_S:
        node.deps.callers.stop_accepting()
    if late or (
        drained and node.leader is None and not node_requests.has_open_requests(node)
    ):
        node.stopped = True
        log("info", "stopped", late=late)
        node.loop.stop()
