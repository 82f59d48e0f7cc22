"""Keeps a node on the newest configuration: from the store's feed, or from other nodes.

A node that the store refuses, does not answer or gives old rows learns the version from
messages of others and asks one of them for the document. While neither its feed nor
another node confirms the version, it asks the others in turn, whoever leads.
"""

import collections

from . import access, config_sync, document_transfer, node_requests, store_calls
from .commits import Refused, Unknown
from .log import get_logger
from .messages import NodeConfigReply, NodeConfigRequest, NodeConfigVersion

__all__ = [
    "age_s",
    "confirm",
    "feed_age_s",
    "is_confirmed",
    "is_outdated",
    "on_reply",
    "on_request",
    "on_version",
    "start",
    "tick",
    "version_message",
]

log = get_logger("node_config")

# Long-poll time of the configuration feed: the store waits this long for a change. A
# dead connection is only noticed after that, and a version is confirmed as often.
LONG_POLL_S = 1.0
RETRY_S = 0.2
# Pauses after the first lost histories in a row, and after all later ones: a read costs
# the whole document.
LOST_HISTORY_PAUSES_S = (0.2, 0.4, 0.8, 1.6)
# A caller's refusal waits this long for what another node knows.
CONFIRM_S = 0.3
# A new version is announced again after these times: a message may be lost, and
# heartbeats may be as rare as one in 1.5 s.
REPEATED_AFTER_S = (0.4, 0.8)
# A refusal is given without a question if the configuration was confirmed within this
# part of the time within which a new one has to be in force. A node that has known of a
# newer one for as long serves nothing by its own.
CONFIRMED_PART = 0.5
# Number of the latest questions to other nodes whose answers count.
QUESTIONS_KEPT = 32


class ConfigState:
    """The configuration's bytes as read, and the questions about it under way.

    ``outgoing`` sends them to other nodes, ``partial`` is what another node has sent
    of a newer configuration.
    ``waiting`` holds the functions to call once the question to other nodes is
    answered, or at the time ``answer_by``; ``asked_at`` the times of the latest ones.
    ``fed_at`` is when the store last answered the feed (at first, when the process
    began). ``reported_confirmed`` is what the log last said of the confirmation.
    ``failed_calls`` and ``lost_histories`` count since the last answer of the feed.
    """

    def __init__(self, now):
        self.outgoing = document_transfer.Outgoing(b"")
        self.partial = None
        self.sync = config_sync.ConfigSync(now)
        self.waiting = []
        self.answer_by = None
        self.asked_at = collections.deque(maxlen=QUESTIONS_KEPT)
        self.fed_at = now
        self.failed_calls = self.lost_histories = 0
        self.reported_confirmed = True


def start(node):
    """Read the configuration table, then follow its changes."""
    _read(node)


def _read(node):
    def done(listing):
        if isinstance(listing, Refused | Unknown):
            node.loop.call_later(RETRY_S, lambda: _read(node))
            return
        node.config_state.fed_at = node.deps.now()
        # The listing may have been of old rows: what follows it is asked for at once.
        _follow(node, listing.version, wait_s=0.0)
        _apply_rows(node, listing.rows)

    node.store.read(node.store.config_table, "", done)


def _follow(node, version, wait_s=LONG_POLL_S):
    """Wait for configuration changes after ``version``, and apply them."""
    sent_at = node.deps.now()

    def done(changes):
        state = node.config_state
        if isinstance(changes, Refused | Unknown):
            _retry_feed(node, version)
        elif hasattr(changes, "rows"):
            sync, now = state.sync, node.deps.now()
            state.fed_at = now
            state.failed_calls = state.lost_histories = 0
            # Before the rows are used, as an error there must not end the feed.
            _follow(node, changes.version)
            _apply_rows(node, changes.rows)
            at = store_calls.true_as_of(now, sent_at, wait_s, not changes.rows)
            config_sync.note_confirmed(sync, sync.version, at)
        else:
            log("warning", "history_lost", after=version)
            # A store that also reads old rows would lose their history again at once.
            number = min(state.lost_histories, len(LOST_HISTORY_PAUSES_S) - 1)
            state.lost_histories += 1
            node.loop.call_later(LOST_HISTORY_PAUSES_S[number], lambda: _read(node))

    node.store.follow(node.store.config_table, version, wait_s, done)


def _retry_feed(node, version):
    """Follow from the same version again after a failed call; read after the next one.

    A read costs the whole document, and is needed only if the feed alone fails.
    """
    state = node.config_state
    state.failed_calls += 1
    if state.failed_calls % 2:
        node.loop.call_later(RETRY_S, lambda: _follow(node, version, wait_s=0.0))
    else:
        node.loop.call_later(RETRY_S, lambda: _read(node))


def _apply_rows(node, rows):
    for row in rows:
        if row.key == node.store.config_key and row.value is not None:
            _adopt(node, row.value, "store")


def _adopt(node, value, source):
    """Put the document in force if it is valid and newer; return whether it is."""
    state = node.config_state
    cfg = node.deps.decode_config(value)
    if cfg is None:
        log("error", "unreadable", source=source)
        return False
    if node.config is not None and cfg.version <= node.config.version:
        return False
    before = node.config.keys if node.config is not None else None
    behind_s = config_sync.behind_s(state.sync, node.deps.now())
    log(
        "info",
        "in_force",
        version=cfg.version,
        source=source,
        size=len(value),
        behind_s=round(behind_s, 2),
    )
    for workspace, mark in access.withdrawn(before, cfg.keys):
        log("info", "key_withdrawn", workspace=workspace, key=mark)
    node.config, state.outgoing = cfg, document_transfer.Outgoing(value)
    node.deps.callers.set_limits(cfg.limits)
    if state.partial is not None and state.partial.version <= cfg.version:
        state.partial = None
    config_sync.note_adopted(state.sync, cfg.version)
    if node.leader is not None:
        node.deps.set_leader_config(node)
    _announce(node)
    for delay_s in REPEATED_AFTER_S:
        node.loop.call_later(delay_s, lambda: _announce_again(node, cfg.version))
    return True


# Messages


def version_message(node):
    """Return the NodeConfigVersion of this node."""
    sync = node.config_state.sync
    return NodeConfigVersion(node.address, sync.version, age_s(node))


def age_s(node):
    """Return how long ago the version was confirmed; None if it never was."""
    confirmed_at = node.config_state.sync.confirmed_at
    return None if confirmed_at is None else node.deps.now() - confirmed_at


def feed_age_s(node):
    """Return how long ago the store last answered this node's feed."""
    return node.deps.now() - node.config_state.fed_at


def _announce(node):
    """Tell the leader about a new version, or everybody if this node leads."""
    if node.leader is not None:
        node.peers.send_all(node.peer_state.peers, version_message(node))
    elif node.leadership.leader_address:
        node.peers.send(node.leadership.leader_address, version_message(node))


def _announce_again(node, version):
    if node.config_state.sync.version == version and not node.stopped:
        _announce(node)


def on_version(node, envelope, message):
    """Handle the version that another node has in force."""
    sync, now = node.config_state.sync, node.deps.now()
    if message.version < sync.version:
        node.peers.send(message.address, version_message(node))
        return
    config_sync.note_heard(sync, now, message.address, message.version, node.rng)


def on_request(node, envelope, message):
    """Send a part of the document to a node that has an older one."""
    state = node.config_state
    version, size = state.sync.version, len(state.outgoing.document)
    offset = message.offset if message.partial_version == version else 0
    part = b""
    if version > message.version and 0 <= offset < size:
        part = state.outgoing.part(offset)
    reply = NodeConfigReply(
        node.address, version, age_s(node), message.sent_at, part, offset, size
    )
    node.peers.send(message.address, reply)


def on_reply(node, envelope, message):
    """Adopt another node's document, and answer the callers that wait for it."""
    sync, now = node.config_state.sync, node.deps.now()
    if message.sent_at not in node.config_state.asked_at:
        # Asked by a former process, whose clock may have been another.
        node_requests.drop_reply(envelope, "not_asked")
        return
    if message.part:
        _receive_part(node, envelope.sender, message)
    elif message.version <= sync.version:
        config_sync.note_lacking(sync, now)
    config_sync.note_heard(sync, now, message.address, message.version, node.rng)
    if message.age_s is not None and message.version == sync.version:
        at = message.sent_at - message.age_s
        config_sync.note_confirmed(sync, message.version, at)
    if is_confirmed(node):
        _end_waiting(node)


def _receive_part(node, sender, message):
    """Adopt the document if this part completes it, or ask for the next one."""
    state = node.config_state
    if message.version <= state.sync.version:
        return
    try:
        state.partial, has_grown = document_transfer.add_part(
            state.partial, message.version, message.offset, message.size, message.part
        )
    except ValueError as exc:
        log("error", "part_unreadable", source=sender, reason=str(exc))
        return
    partial = state.partial
    if not has_grown:
        return
    if len(partial.data) < partial.size:
        config_sync.note_progress(state.sync, node.deps.now(), message.address)
        _ask(node, message.address)
        return
    state.partial = None
    _adopt(node, bytes(partial.data), sender)


def is_confirmed(node):
    """Return whether the configuration was the newest until a moment ago."""
    limit_s = CONFIRMED_PART * node.settings.config_apply_s
    return config_sync.is_confirmed(node.config_state.sync, node.deps.now(), limit_s)


def is_outdated(node):
    """Return whether this node has long lacked a newer configuration."""
    limit_s = CONFIRMED_PART * node.settings.config_apply_s
    return config_sync.is_outdated(node.config_state.sync, node.deps.now(), limit_s)


def confirm(node, on_done):
    """Ask other nodes for the newest version; ``on_done()`` within ``CONFIRM_S``."""
    state = node.config_state
    state.waiting.append(on_done)
    if state.answer_by is None:
        state.answer_by = node.deps.now() + CONFIRM_S
        for address in _addresses_to_ask(node):
            _ask(node, address)


def _addresses_to_ask(node):
    """Return the leader's address and that of one other node."""
    leader = node.leadership.leader_address
    others = [a for a in _others(node) if a != leader]
    found = [leader] if leader and leader != node.address else []
    return [*found, node.rng.choice(others)] if others else found


def _others(node):
    return [a for a in node.peer_state.peers if a != node.address]


def _ask(node, address):
    state, now = node.config_state, node.deps.now()
    version = state.sync.version
    state.asked_at.append(now)
    missing = document_transfer.next_offset(state.partial, version)
    node.peers.send(address, NodeConfigRequest(node.address, version, now, *missing))


def _end_waiting(node):
    state = node.config_state
    waiting, state.waiting, state.answer_by = state.waiting, [], None
    for on_done in waiting:
        on_done()


def _report_confirmation(node):
    """Log when the confirmation gets too old for refusals, and when it is renewed."""
    state, is_recent = node.config_state, is_confirmed(node)
    if is_recent == state.reported_confirmed:
        return
    state.reported_confirmed = is_recent
    if is_recent:
        log("info", "confirmed", version=state.sync.version)
        return
    age, heard_at = age_s(node), node.leadership.leader_seen_at
    log(
        "warning",
        "unconfirmed",
        version=state.sync.version,
        heard_version=state.sync.heard_version,
        age_s=None if age is None else round(age, 2),
        feed_age_s=round(feed_age_s(node), 2),
        leader=node.leadership.leader_address,
        leader_heard_s=round(node.deps.now() - heard_at, 2),
    )


def tick(node):
    """Ask for a newer document if one is due, and end the callers' wait."""
    state, now = node.config_state, node.deps.now()
    address = config_sync.ask_due(state.sync, now, _others(node), node.rng)
    if address is not None:
        _ask(node, address)
    if state.answer_by is not None and now >= state.answer_by:
        _end_waiting(node)
    _report_confirmation(node)
