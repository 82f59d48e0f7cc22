"""Keeps a process at the newest configuration.

The head is polled; a newer document is announced to the peers of the failure domain.
While the platform does not answer, peers and the seeds of the settings are asked.
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
    """The document in force and where to look for newer ones.

    ``peers()`` returns the addresses of the failure domain's entries;
    ``on_change(document)`` is called after each adoption.
    """

    def __init__(self, cfg, platform, peers, send, on_change):
        self.document = config.EMPTY
        self.cfg = cfg
        self.platform = platform
        self.peers = peers
        # Set once the inbox is bound; replies to a ConfigRequest go there.
        self.address = ""
        self.send = send
        self.on_change = on_change
        self.polling = False


def start(follower, loop):
    """Poll now and every ``config_poll_s``."""
    poll(follower)
    loop.call_every(follower.cfg["config_poll_s"], lambda: poll(follower))


def poll(follower):
    """Read the head; fetch the document if it is newer."""
    if follower.polling:
        return
    follower.polling = True

    def head_read(row):
        # First of all, so that a row of the wrong form does not end the polling.
        follower.polling = False
        if isinstance(row, PlatformError):
            _ask(follower)
            return
        version = row.value["version"] if row.version else 0
        if version > follower.document["version"]:
            follower.polling = True
            follower.platform.get(config.doc_key(version), document_read)

    def document_read(row):
        follower.polling = False
        if isinstance(row, PlatformError):
            _ask(follower)
        elif row.version:
            _adopt(follower, row.value)

    follower.platform.get(config.HEAD_KEY, head_read)


def receive(follower, envelope):
    """Handle ConfigAnnounce, ConfigRequest and the version in a heartbeat."""
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
    """Publish a new version; ``on_done`` gets the document or a CornelwardError."""

    def head_read(row):
        if isinstance(row, PlatformError):
            text = "the configuration could not be read; nothing was changed"
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
        text = "parent: expected the number of the version in force"
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


def _ask(follower):
    """Ask those who may know a newer version than the platform can tell now."""
    request = ConfigRequest(follower.document["version"], follower.address)
    for address in {*follower.peers(), *follower.cfg["seeds"]}:
        if address != follower.address:
            follower.send(address, request)
