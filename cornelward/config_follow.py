"""Keeps a process on the newest version of the configuration.

The row with the newest version number (the head) is polled. A process that adopts a
newer document announces it to the peers of its failure domain. While the platform does
not answer, the peers and the seed addresses of the settings are asked for a newer one.
"""

from . import config
from .confirmed_writes import confirmed_txn
from .errors import (
    BAD_REQUEST,
    PLATFORM_UNAVAILABLE,
    ConfigConflictError,
    CornelwardError,
    PlatformError,
)
from .log import get_logger
from .messages import ConfigAnnounce, ConfigRequest
from .rows import Conflict
from .verdicts import Verdict

__all__ = ["ConfigFollower", "poll", "publish", "receive", "start"]

log = get_logger("config_follow")


class ConfigFollower:
    """The document in force, and the sources of newer ones.

    ``peers()`` returns the peer addresses of the failure domain's entries;
    ``send(address, message)`` sends a message to one of them;
    ``on_change(document)`` is called after each adoption.
    """

    def __init__(self, cfg, platform, peers, send, on_change):
        self.document = config.EMPTY
        self.cfg = cfg
        self.platform = platform
        self.peers = peers
        # Peer address of this process, to which replies to a ConfigRequest are sent. It
        # is set once that address is bound.
        self.address = ""
        self.send = send
        self.on_change = on_change
        self.polling = False


def start(follower, loop):
    """Poll now and then every ``config_poll_s`` seconds."""
    poll(follower)
    loop.call_every(follower.cfg["config_poll_s"], lambda: poll(follower))


def poll(follower):
    """Read the head and fetch its document if it is newer than the one in force.

    Does nothing while an earlier poll is in progress.
    """
    if follower.polling:
        return
    follower.polling = True

    def head_read(row):
        # Reset before the row is read: an exception from a malformed row must not stop
        # later polls.
        follower.polling = False
        if isinstance(row, PlatformError):
            _ask_peers(follower)
            return
        version = row.value["version"] if row.version else 0
        if version > follower.document["version"]:
            follower.polling = True
            follower.platform.get(config.doc_key(version), document_read)

    def document_read(row):
        follower.polling = False
        if isinstance(row, PlatformError):
            _ask_peers(follower)
        elif row.version:
            _adopt(follower, row.value)

    follower.platform.get(config.HEAD_KEY, head_read)


def receive(follower, envelope):
    """Handle a ConfigAnnounce, a ConfigRequest or the version in a heartbeat."""
    message = envelope.message
    if isinstance(message, ConfigAnnounce):
        _adopt(follower, message.document)
    elif isinstance(message, ConfigRequest):
        document = follower.document
        if message.address and document["version"] > message.version:
            announce = ConfigAnnounce(document["version"], document)
            follower.send(message.address, announce)
    elif message.config_version > follower.document["version"]:
        poll(follower)


def publish(follower, parent, objects, nonce, on_done):
    """Publish ``objects`` as the version that follows ``parent``.

    ``nonce`` identifies this publication, so that a lost response can be resolved by
    reading the document. ``on_done`` gets the document or a CornelwardError.
    """

    def head_read(row):
        if isinstance(row, PlatformError):
            text = "cannot read the current configuration version; nothing was changed"
            on_done(CornelwardError(text, PLATFORM_UNAVAILABLE, Verdict.NOT_RUN))
            return
        head = row.value["version"] if row.version else 0
        try:
            document = config.next_document(head, parent, objects)
        except CornelwardError as exc:
            on_done(exc)
            return
        _write(follower, row, {**document, "nonce": nonce}, on_done)

    if not isinstance(parent, int) or isinstance(parent, bool):
        text = "parent: expected the version number of the configuration in force"
        on_done(CornelwardError(text, BAD_REQUEST, Verdict.NOT_RUN))
        return
    follower.platform.get(config.HEAD_KEY, head_read)


def _write(follower, head_row, document, on_done):
    version = document["version"]
    doc_key = config.doc_key(version)

    def written(result):
        if isinstance(result, PlatformError):
            verdict = Verdict.NOT_RUN if result.applied is False else None
            verdict = verdict or Verdict.MAY_HAVE_RUN
            on_done(CornelwardError(result.message, PLATFORM_UNAVAILABLE, verdict))
        elif isinstance(result, Conflict):
            _report_conflict(follower, version, on_done)
        else:
            log("info", "published", version=version)
            _adopt(follower, document)
            on_done(document)

    confirmed_txn(
        follower.platform,
        [[config.HEAD_KEY, head_row.version], [doc_key, 0]],
        [[config.HEAD_KEY, {"version": version}], [doc_key, document]],
        doc_key,
        lambda row: row.value.get("nonce") == document["nonce"],
        written,
    )


def _report_conflict(follower, version, on_done):
    def head_read(row):
        known = not isinstance(row, PlatformError) and row.version
        on_done(ConfigConflictError(row.value["version"] if known else version))

    follower.platform.get(config.HEAD_KEY, head_read)


def _adopt(follower, candidate):
    adopted = config.adopt(follower.document, candidate)
    if adopted is follower.document:
        return
    follower.document = adopted
    log("info", "adopted", version=adopted["version"])
    announce = ConfigAnnounce(adopted["version"], adopted)
    for address in follower.peers():
        follower.send(address, announce)
    follower.on_change(adopted)


def _ask_peers(follower):
    """Ask the peers and the seed addresses for a newer document."""
    request = ConfigRequest(follower.document["version"], follower.address)
    for address in {*follower.peers(), *follower.cfg["seeds"]}:
        if address != follower.address:
            follower.send(address, request)
