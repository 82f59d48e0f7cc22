"""Shell of a node: entry for callers, client of the policy service, maybe leader.

``cornelward-node`` takes the path of its settings from the environment.
"""

import time

from . import inserts, leadership, node_jobs, node_leader, node_takeover
from .commits import Applied, Refused, Rows, Unknown
from .dispatch_effects import RowWrite
from .errors import SettingsError
from .log import get_logger
from .messages import LeaderHello

__all__ = ["Node", "start"]

log = get_logger("node")

TICK_S = 0.1
# A leader of 176 workers uses 0.7 of a core and some 5 Mbit/s.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 20.0
# The store holds a feed's answer back this long; a silent connection is noticed after.
CONFIG_WAIT_S = 1.4
CONFIG_RETRY_S = 0.2
# Time for which callers may still come after SIGTERM: the balancer needs two misses.
STOP_ACCEPTING_S = 2.6
# Left of the platform's grace time at the end.
EXIT_MARGIN_S = 0.7
LEADER_KEY = ("leader", "main")
# A node that cannot reach the store for this long asks for no more callers.
UNREADY_AFTER_S = 1.0


def clock():
    """Return seconds of a steady clock that counts on while the instance sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Node:
    """State of one process; ``leader`` is the leader's part while this node leads."""

    def __init__(self, deps, settings, incarnation, rng):
        self.deps = deps
        self.settings = settings
        self.loop = deps.loop
        self.store = deps.store
        self.peers = deps.peers
        self.incarnation = incarnation
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
        self.leader = None
        self.peer_state = node_jobs.PeerState()
        self.inserts = inserts.Inserts()
        # Node name -> incarnation of the last message.
        self.incarnations = {}
        # When the last message of another node arrived.
        self.last_message_at = clock()
        self.stopping_at = None
        self.stopped = False


def start(node):
    """Start following the configuration and leadership."""
    read_config(node)
    node.loop.call_every(TICK_S, lambda: tick(node))
    node.loop.on_signal(lambda signo: begin_shutdown(node))
    node.loop.on_hangup(lambda: reload_settings(node))
    settings = node.settings
    log("info", "started", node=settings.node, callers=settings.caller_address)


def reload_settings(node):
    """Read the settings again; what differs is logged and used from the next start.

    Addresses, limits and bounds are bound into sockets and leases of the process.
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
    """Return whether callers should be sent here."""
    if node.config is None or node.stopping_at is not None:
        return False
    return node.health.failing_s(clock()) < UNREADY_AFTER_S


# Configuration


def read_config(node):
    """Read the whole configuration, then follow its changes."""

    def done(listing):
        if isinstance(listing, Refused | Unknown):
            node.loop.call_later(CONFIG_RETRY_S, lambda: read_config(node))
            return
        _take_config(node, listing.rows)
        follow_config(node, listing.version)

    node.store.read(node.store.config_table, "", done)


def follow_config(node, version):
    """Wait for the next change after ``version``."""

    def done(changes):
        if isinstance(changes, Refused | Unknown):
            node.loop.call_later(CONFIG_RETRY_S, lambda: read_config(node))
        elif hasattr(changes, "rows"):
            _take_config(node, changes.rows)
            follow_config(node, changes.version)
        else:
            log("warning", "config_history_lost", after=version)
            read_config(node)

    node.store.follow(node.store.config_table, version, CONFIG_WAIT_S, done)


def _take_config(node, rows):
    for row in rows:
        if row.key != node.store.config_key or row.value is None:
            continue
        cfg = node.deps.decode_config(row.value)
        if cfg is None:
            log("error", "config_unreadable", row_version=row.version)
        elif node.config is None or cfg.version > node.config.version:
            log("info", "config_in_force", version=cfg.version)
            node.config = cfg
            if node.leader is not None:
                node_leader.set_config(node)


# Leadership


def tick(node):
    """Run what is due in leadership; called ten times a second."""
    for effect in leadership.tick(node.leadership, clock()):
        carry_out(node, effect)
    if node.leader is not None:
        node_leader.tick(node)
    node_jobs.tick(node)
    _stop_when_drained(node)


def carry_out(node, effect):
    """Carry out an effect of the leadership core."""
    kind = type(effect).__name__
    if kind == "ReadLeader":
        _read_leader(node)
    elif kind == "ClaimLeadership":
        _claim(node, effect)
    else:
        _renew(node, effect)


def _read_leader(node):
    def done(listing):
        found = None
        if not isinstance(listing, Refused | Unknown):
            rows = {row.key: (row.value, row.version) for row in listing.rows}
            found = rows.get("main", (None, 0))
        before = node.leadership.leader_address
        for effect in leadership.on_row_read(node.leadership, clock(), found):
            carry_out(node, effect)
        address = node.leadership.leader_address
        if address and address != node.address:
            if address == before:
                # No beats: this connection may have gone silent.
                node.peers.forget(address)
            send_hello(node, address)

    node.store.read("leader", "", done)


def _write_leader(node, effect, done):
    expected = [(*LEADER_KEY, effect.expected)]
    value = leadership.encode_row(effect.row)
    node.store.commit("", expected, [RowWrite(*LEADER_KEY, value)], done)


def _claim(node, effect):
    def done(result):
        version = result.version if isinstance(result, Applied) else None
        if leadership.on_claim_result(node.leadership, clock(), effect.row, version):
            log("info", "leadership_claimed", token=effect.row.token)
            node_takeover.take_over(node, effect.row.token)

    _write_leader(node, effect, done)


def _renew(node, effect):
    def done(result):
        outcome, version, renewed = "failed", None, effect
        if isinstance(result, Applied):
            outcome, version = "ok", result.version
        elif isinstance(result, Rows):
            value, found = result.rows.get(LEADER_KEY, (None, 0))
            # An earlier renewal whose answer was lost may have applied.
            row = leadership.decode_row(value) if value is not None else None
            mine = row is not None and (row.node, row.incarnation) == (
                node.settings.node,
                node.incarnation,
            )
            outcome = "ok" if mine else "lost"
            version = found
            renewed = effect._replace(row=row) if mine else effect
        still = leadership.on_renewal_result(
            node.leadership, clock(), renewed, outcome, version
        )
        if not still:
            lose_leadership(node, "the row has another holder")
        elif outcome == "ok" and node.leader is not None:
            node_leader.on_row_renewed(node)

    _write_leader(node, effect, done)


def lose_leadership(node, reason):
    """Stop acting as the leader."""
    if node.leader is not None:
        log("warning", "leadership_lost", reason=reason)
        node_leader.close(node)
        node.leader = None
    if node.leadership.role != leadership.FOLLOWER:
        leadership.step_down(node.leadership, clock())


def send_hello(node, address):
    """Tell the leader where this node is and how it is."""
    leaving = node.stopping_at is not None
    hello = LeaderHello(node.address, leaving, node.is_weak)
    node.peers.send(address, hello)


# Stopping


def begin_shutdown(node):
    """Start a graceful shutdown; a second signal changes nothing."""
    if node.stopping_at is not None:
        return
    node.stopping_at = clock()
    log("info", "stopping")
    node.leadership.leaving = True
    node.deps.callers.start_draining()
    if node.leader is not None:
        node_leader.resign(node)


def _stop_when_drained(node):
    if node.stopping_at is None or node.stopped:
        return
    passed = clock() - node.stopping_at
    late = passed >= node.settings.grace_s - EXIT_MARGIN_S
    drained = passed >= STOP_ACCEPTING_S and node.deps.callers.is_drained()
    if passed >= STOP_ACCEPTING_S:
        node.deps.callers.stop_accepting()
    if late or (
        drained and node.leader is None and not node_jobs.has_open_requests(node)
    ):
        node.stopped = True
        log("info", "stopped", late=late)
        node.loop.stop()
