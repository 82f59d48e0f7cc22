"""Messages between processes over pynng: one Pull0 inbox, a Push0 outbox each peer.

Sends never block: a message that finds no connection or a full buffer is dropped, and
every protocol on top tolerates loss.
"""

import pynng
from circuits import BaseComponent, handler

from .errors import START_FAILED, CornelwardError
from .log import get_logger
from .messages import decode, encode

__all__ = ["PeerTransport"]

log = get_logger("peers")

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
SEND_BUFFER_MESSAGES = 64
# Messages handled before the loop turns to other work.
RECEIVE_BATCH = 64


class PeerTransport(BaseComponent):
    """The inbox and outboxes of one process.

    ``on_message(Envelope)`` is called for each message that decodes. Raises
    CornelwardError if the address is in use.
    """

    channel = "peers"

    def __init__(self, loop, bind, sender, incarnation, on_message):
        super().__init__(channel="peers")
        self._loop = loop
        self._sender = sender
        self._incarnation = incarnation
        self._on_message = on_message
        self._outboxes = {}
        self._inbox = pynng.Pull0(recv_buffer_size=1_024)
        try:
            self._listener = self._inbox.listen(f"tcp://{bind}")
        except pynng.exceptions.NNGException as exc:
            raise CornelwardError(f"{bind}: {exc}", START_FAILED) from exc
        self._fd = self._inbox.recv_fd
        loop.poller.addReader(self, self._fd)
        self.register(loop)

    @property
    def address(self):
        """Return "ip:port" as bound."""
        return str(self._listener.local_address)

    def send(self, addr, message):
        """Send to a peer's inbox; returns False if the message was dropped."""
        outbox = self._outboxes.get(addr) or self._connect(addr)
        try:
            outbox.send(encode(self._sender, self._incarnation, message), block=False)
        except pynng.exceptions.NNGException:
            return False
        return True

    def disconnect(self, addr):
        """Close the outbox of a peer that is gone."""
        outbox = self._outboxes.pop(addr, None)
        if outbox is not None:
            outbox.close()

    def close(self):
        """Close all sockets."""
        self._loop.poller.discard(self._fd)
        self._inbox.close()
        for addr in list(self._outboxes):
            self.disconnect(addr)

    def _connect(self, addr):
        outbox = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
        outbox.reconnect_time_min = RECONNECT_MIN_MS
        outbox.reconnect_time_max = RECONNECT_MAX_MS
        outbox.dial(f"tcp://{addr}", block=False)
        self._outboxes[addr] = outbox
        return outbox

    @handler("_read")
    def _on_read(self, fd):
        for _ in range(RECEIVE_BATCH):
            try:
                data = self._inbox.recv(block=False)
            except pynng.exceptions.NNGException:
                return
            envelope = decode(data)
            if envelope is None:
                log("warning", "unknown_message", size=len(data))
            else:
                self._on_message(envelope)
