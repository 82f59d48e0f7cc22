"""Message transport between processes over pynng.

Each process has one Pull0 socket as inbox and one Push0 socket as outbox per peer.
Sending never blocks: a message is dropped if there is no connection or if the send
buffer is full. Every protocol that uses the transport tolerates lost messages.

A connection that went silent is found and replaced as ``delivery`` decides. The
messages on it are lost.
"""

import pynng
from circuits import BaseComponent, handler

from . import delivery
from .errors import START_FAILED, CornelwardError
from .log import get_logger
from .messages import DeliveryCheck, decode, encode

__all__ = ["PeerTransport"]

log = get_logger("peers")

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
SEND_BUFFER_MESSAGES = 64
# What is due to one peer within this time is sent in one DeliveryCheck.
CHECK_DELAY_S = 0.02
# Numbers of questions that a process may use in each millisecond of its life.
QUESTIONS_PER_MS = 1_000
# Messages that the inbox holds, and the most that are handled before the loop handles
# other events: a leader's iteration may be long, and all who wait are served in each.
INBOX_MESSAGES = 1_024


class PeerTransport(BaseComponent):
    """The inbox and outboxes of one process.

    ``on_message(Envelope)`` is called for each message of a known type; other messages
    are logged and ignored. Raises CornelwardError if it cannot listen on ``bind``.

    With ``on_silent(addr)``, the delivery of messages is checked: it is called when a
    peer's confirmation is missing, after the connection was replaced. ``reply_address``
    is where others reach the inbox, by default ``bind``. Checks of others are always
    confirmed.
    """

    channel = "peers"

    def __init__(
        self,
        loop,
        bind,
        sender,
        incarnation,
        on_message,
        on_silent=None,
        reply_address=None,
    ):
        super().__init__(channel="peers")
        self._loop = loop
        self._sender = sender
        self._incarnation = incarnation
        self._on_message = on_message
        self._on_silent = on_silent
        self._outboxes = {}
        # Addresses that cannot be dialled, which were logged.
        self._unusable = set()
        self._inbox = pynng.Pull0(recv_buffer_size=INBOX_MESSAGES)
        try:
            self._listener = self._inbox.listen(f"tcp://{bind}")
        except pynng.exceptions.NNGException as exc:
            raise CornelwardError(f"{bind}: {exc}", START_FAILED) from exc
        self._fd = self._inbox.recv_fd
        self._deliveries = delivery.Deliveries(
            loop.now(),
            reply_address or self.address,
            max(1, incarnation) * QUESTIONS_PER_MS,
        )
        # Addresses to which a DeliveryCheck is to be sent within CHECK_DELAY_S.
        self._due = set()
        self._closed = False
        loop.poller.addReader(self, self._fd)
        self.register(loop)
        if on_silent is not None:
            loop.call_every(delivery.CHECK_INTERVAL_S, self._check)

    @property
    def address(self):
        """Return the bound address as "ip:port"."""
        return str(self._listener.local_address)

    def send(self, addr, message):
        """Send to the inbox at ``addr``; return False if the message was dropped."""
        return self._send_data(addr, encode(self._sender, self._incarnation, message))

    def send_all(self, addrs, message):
        """Send one message to several inboxes; it is encoded once."""
        data = encode(self._sender, self._incarnation, message)
        for addr in addrs:
            self._send_data(addr, data)

    def is_silent(self, addr):
        """Return whether messages to ``addr`` are known not to arrive."""
        return delivery.is_silent(self._deliveries, addr)

    def _send_data(self, addr, data):
        if self._on_silent is not None and delivery.note_sent(
            self._deliveries, self._loop.now(), addr
        ):
            self._schedule_check(addr)
        return self._put(addr, data)

    def _put(self, addr, data):
        try:
            outbox = self._outboxes.get(addr) or self._connect(addr)
            outbox.send(data, block=False)
        except pynng.exceptions.NNGException:
            return False
        return True

    def disconnect(self, addr):
        """Close the outbox to an address that is no longer used."""
        delivery.forget(self._deliveries, addr)
        self._close_outbox(addr)

    def _close_outbox(self, addr):
        outbox = self._outboxes.pop(addr, None)
        if outbox is not None:
            outbox.close()

    def close(self):
        """Close all sockets."""
        self._closed = True
        self._loop.poller.discard(self._fd)
        self._inbox.close()
        for addr in list(self._outboxes):
            self.disconnect(addr)

    def _connect(self, addr):
        outbox = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
        outbox.reconnect_time_min = RECONNECT_MIN_MS
        outbox.reconnect_time_max = RECONNECT_MAX_MS
        try:
            outbox.dial(f"tcp://{addr}", block=False)
        except pynng.exceptions.NNGException as exc:
            outbox.close()
            if addr not in self._unusable:
                self._unusable.add(addr)
                log("warning", "address_unusable", address=addr, reason=str(exc))
            raise
        self._outboxes[addr] = outbox
        return outbox

    def _schedule_check(self, addr):
        """Send a DeliveryCheck soon; questions and confirmations may share it."""
        if not self._due:
            self._loop.call_later(CHECK_DELAY_S, self._send_checks)
        self._due.add(addr)

    def _send_checks(self):
        due, self._due = self._due, set()
        if not self._closed:
            for addr in due:
                self._send_check(addr)

    def _send_check(self, addr):
        message = delivery.take_message(self._deliveries, self._loop.now(), addr)
        if message is not None:
            self._put(addr, encode(self._sender, self._incarnation, message))

    def _check(self):
        if self._closed:
            return
        late, due, unused = delivery.check(self._deliveries, self._loop.now())
        for addr in unused:
            self._close_outbox(addr)
        for addr, failures in late:
            if failures == 1:
                log("warning", "way_silent", address=addr)
            self._close_outbox(addr)
            self._send_check(addr)
            self._on_silent(addr)
        for addr in due:
            self._send_check(addr)

    def _on_check(self, message):
        addr, proved = delivery.on_check(self._deliveries, self._loop.now(), message)
        if proved is not None:
            log("info", "way_proved", address=proved)
        if addr is not None:
            self._schedule_check(addr)

    @handler("_read")
    def _on_read(self, fd):
        for _ in range(INBOX_MESSAGES):
            try:
                data = self._inbox.recv(block=False)
            except pynng.exceptions.NNGException:
                return
            envelope = decode(data)
            if envelope is None:
                log("warning", "unknown_message", size=len(data))
            elif isinstance(envelope.message, DeliveryCheck):
                self._on_check(envelope.message)
            else:
                self._on_message(envelope)
