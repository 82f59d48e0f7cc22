"""Typed messages between the system's processes, and their msgpack codec.

On the wire: ``[type name, sender id, incarnation, payload]``. Times in seconds.
"""

from typing import Any, NamedTuple

import msgspec

__all__ = [
    "MESSAGE_TYPES",
    "AdviceReply",
    "AdviceRequest",
    "CancelReply",
    "CancelRequest",
    "ConfigAnnounce",
    "ConfigRequest",
    "Credit",
    "Envelope",
    "Heartbeat",
    "HeartbeatAck",
    "InsertReply",
    "InsertRequest",
    "JobAccepted",
    "JobNotice",
    "LeaderBeat",
    "LeaderHello",
    "LeaderResigned",
    "Leaving",
    "SlotGrant",
    "SlotRequest",
    "SlotReturn",
    "StateReply",
    "StateRequest",
    "ViewAnnounce",
    "decode",
    "encode",
]


class Credit(NamedTuple):
    """Permission to start one request on an executor of another entry."""

    credit_id: int
    executor: str
    address: str


class Heartbeat(NamedTuple):
    """Liveness and load of an entry; ``sent_at`` is on the sender's clock."""

    epoch: int
    seq: int
    sent_at: float
    config_version: int
    # Requests queued and slots free, by service.
    queued: dict[str, int]
    free_slots: dict[str, int]
    # Credits still in use, which the owner must keep reserved.
    credits: list[int]


class HeartbeatAck(NamedTuple):
    """Promise not to act on a higher view against the sender for the view lease."""

    epoch: int
    seq: int
    sent_at: float


class ViewAnnounce(NamedTuple):
    """A view of a failure domain's entries: member id to [address, incarnation]."""

    failure_domain: str
    epoch: int
    members: dict[str, tuple[str, int]]


class Leaving(NamedTuple):
    """The sender gives up all authority and will not act again."""

    epoch: int


class SlotRequest(NamedTuple):
    """Wants slots of executors that the receiver owns."""

    service: str
    cls: str
    count: int
    sent_at: float


class SlotGrant(NamedTuple):
    """Credits usable until ``sent_at + ttl_s`` on the asker's clock."""

    service: str
    cls: str
    credits: list[Credit]
    ttl_s: float
    sent_at: float


class SlotReturn(NamedTuple):
    """Slots of these credits are free again."""

    credits: list[int]


class ConfigAnnounce(NamedTuple):
    """A configuration document with its number."""

    version: int
    document: dict[str, Any]


class ConfigRequest(NamedTuple):
    """Asks for a configuration above ``version``; the answer goes to ``address``.

    A new instance is in nobody's view yet, so that its address must be in the message.
    """

    version: int
    address: str = ""


class JobNotice(NamedTuple):
    """The inbox of a failure domain has a new row."""

    failure_domain: str
    job_id: str


class LeaderBeat(NamedTuple):
    """The leader is alive; ``pending`` counts jobs that have not begun, by queue.

    ``store_age_s`` is how long ago the leader last reached the store.
    """

    address: str
    token: int
    store_age_s: float
    pending: dict[str, int]
    # Addresses of all nodes, for those that cannot reach the store themselves.
    nodes: tuple[str, ...] = ()
    # Version of the leader's row after its last renewal.
    row_version: int = 0


class LeaderHello(NamedTuple):
    """A node tells the leader where it is; also the answer to a beat.

    A node that is ``leaving`` takes on nothing for the leader; one that is ``weak``
    is asked last to take over.
    """

    address: str
    leaving: bool = False
    weak: bool = False


class LeaderResigned(NamedTuple):
    """The leader has given up its row."""

    token: int


class JobAccepted(NamedTuple):
    """A job was stored: its row's value and version."""

    version: int
    spec: bytes


class InsertRequest(NamedTuple):
    """Asks a node to store a job, within ``limit_s``."""

    request_number: int
    address: str
    spec: bytes
    limit_s: float


class InsertReply(NamedTuple):
    """``accepted``, ``refused`` (nothing was done) or ``unknown``."""

    request_number: int
    outcome: str


class StateRequest(NamedTuple):
    """Asks for the state of a job; ``address`` is where the reply goes."""

    request_number: int
    address: str
    job_id: str


class StateReply(NamedTuple):
    """The recorded state of a job, or None if the leader does not know it."""

    request_number: int
    state: str | None


class CancelRequest(NamedTuple):
    """Asks to cancel a job."""

    request_number: int
    address: str
    job_id: str


class CancelReply(NamedTuple):
    """True once the cancel is recorded, False if the job is over, None if unknown."""

    request_number: int
    cancelled: bool | None


class AdviceRequest(NamedTuple):
    """Asks a node to ask the policy service on which workers a step may run."""

    address: str
    token: int
    call_id: int
    step_name: str
    workers: list[str]


class AdviceReply(NamedTuple):
    """Approved workers with their tickets, or None if there was no answer."""

    token: int
    call_id: int
    approved: list[tuple[str, str]] | None


class Envelope(NamedTuple):
    """A decoded message with its sender."""

    sender: str
    incarnation: int
    message: Any


MESSAGE_TYPES = {
    cls.__name__: cls
    for cls in (
        AdviceReply,
        AdviceRequest,
        CancelReply,
        CancelRequest,
        ConfigAnnounce,
        ConfigRequest,
        Heartbeat,
        HeartbeatAck,
        InsertReply,
        InsertRequest,
        JobAccepted,
        JobNotice,
        LeaderBeat,
        LeaderHello,
        LeaderResigned,
        Leaving,
        SlotGrant,
        SlotRequest,
        SlotReturn,
        StateReply,
        StateRequest,
        ViewAnnounce,
    )
}

_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(tuple[str, str, int, msgspec.Raw])
_payload_decoders = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in MESSAGE_TYPES.items()
}


def encode(sender, incarnation, message):
    """Return the bytes of ``message``."""
    return _encoder.encode((type(message).__name__, sender, incarnation, message))


def decode(data):
    """Return the Envelope in ``data``, or None if it is not a known message."""
    try:
        name, sender, incarnation, payload = _frame_decoder.decode(data)
        message = _payload_decoders[name].decode(payload)
    except (msgspec.DecodeError, KeyError):
        return None
    return Envelope(sender, incarnation, message)
