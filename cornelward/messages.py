"""Typed messages between the processes of the system, and their msgpack codec.

The wire format is ``[type name, sender id, incarnation, payload]``, where the type name
is the name of the message class. Times are in seconds.
"""

import math
from typing import Any, NamedTuple

import msgspec

__all__ = [
    "MESSAGE_TYPES",
    "AdviceReply",
    "AdviceRequest",
    "CancelReply",
    "CancelRequest",
    "ClockQuery",
    "ClockReply",
    "ConfigAnnounce",
    "ConfigRequest",
    "Credit",
    "DeliveryCheck",
    "Envelope",
    "FormerLeaderQuery",
    "FormerLeaderReply",
    "Heartbeat",
    "HeartbeatAck",
    "InsertReply",
    "InsertRequest",
    "JobAccepted",
    "JobNotice",
    "LeaderBeat",
    "LeaderHello",
    "LeaderNotice",
    "LeaderResigned",
    "Leaving",
    "NodeConfigReply",
    "NodeConfigRequest",
    "NodeConfigVersion",
    "SlotGrant",
    "SlotRequest",
    "SlotReturn",
    "StartOrder",
    "StartOrders",
    "StartResults",
    "StateReply",
    "StateRequest",
    "ViewAnnounce",
    "WorkspaceCancelRequest",
    "WorkspaceStateRequest",
    "decode",
    "encode",
]


class Credit(NamedTuple):
    """Permission to start one request on an executor that another entry owns."""

    credit_id: int
    executor: str
    address: str


class Heartbeat(NamedTuple):
    """Liveness and load of an entry; ``sent_at`` is a time on the sender's clock."""

    epoch: int
    seq: int
    sent_at: float
    config_version: int
    # Service -> number of queued requests, and service -> number of free slots.
    queued: dict[str, int]
    free_slots: dict[str, int]
    # Ids of credits in use, whose slots the owner must keep reserved.
    credits: list[int]


class HeartbeatAck(NamedTuple):
    """Promise to the sender of a Heartbeat, valid for the duration of the view lease.

    Until the lease ends, the acknowledging entry does not act against that sender on a
    view with a higher epoch. ``epoch``, ``seq`` and ``sent_at`` are the heartbeat's.
    """

    epoch: int
    seq: int
    sent_at: float


class ViewAnnounce(NamedTuple):
    """A view of the entries of a failure domain.

    ``members`` maps the id of an entry to [address, incarnation].
    """

    failure_domain: str
    epoch: int
    members: dict[str, tuple[str, int]]


class Leaving(NamedTuple):
    """The sender has given up all authority and takes no further actions."""

    epoch: int


class SlotRequest(NamedTuple):
    """Asks for slots of executors that the receiver owns."""

    service: str
    cls: str
    count: int
    sent_at: float


class SlotGrant(NamedTuple):
    """Credits that are valid until ``sent_at + ttl_s`` on the requester's clock.

    ``sent_at`` is that of the SlotRequest.
    """

    service: str
    cls: str
    credits: list[Credit]
    ttl_s: float
    sent_at: float


class SlotReturn(NamedTuple):
    """The slots of these credits are free again."""

    credits: list[int]


class ConfigAnnounce(NamedTuple):
    """A configuration document with its version."""

    version: int
    document: dict[str, Any]


class ConfigRequest(NamedTuple):
    """Asks for a configuration newer than ``version``; the reply goes to ``address``.

    A new instance is not in any view yet, so the message must contain its address.
    """

    version: int
    address: str = ""


class JobNotice(NamedTuple):
    """The job inbox of a failure domain has a new row."""

    failure_domain: str
    job_id: str


class LeaderBeat(NamedTuple):
    """Heartbeat of the leader.

    ``pending`` maps each queue to the number of its jobs that have not started.
    ``store_age_s`` is the time since the leader last reached the store.
    """

    address: str
    token: int
    store_age_s: float
    pending: dict[str, int]
    # Addresses of other nodes, for nodes that cannot reach the store themselves; empty
    # if the last ones still hold.
    nodes: tuple[str, ...] = ()
    # Version of the leader's row in the store after its last renewal.
    row_version: int = 0
    # Time until the next heartbeat to this node.
    interval_s: float = 0.4
    # Whether the leader knows another node that is not weak (see LeaderHello).
    has_strong_node: bool = True


class LeaderHello(NamedTuple):
    """Tells the leader the address of a node; also the reply to a LeaderBeat.

    A node that is ``leaving`` takes on no work for the leader. A node that is ``weak``
    (little CPU or network bandwidth) is the last one to be asked to take over.
    """

    address: str
    leaving: bool = False
    weak: bool = False


class LeaderNotice(NamedTuple):
    """Names the leader to a node that sent its hello to another one.

    ``address`` and ``token`` are the leader's.
    """

    address: str
    token: int


class FormerLeaderQuery(NamedTuple):
    """Asks the process at a former leader's address to grant no more leases.

    ``token`` is that of the asking leader; the reply goes to ``address``.
    """

    address: str
    token: int


class FormerLeaderReply(NamedTuple):
    """The process at ``address`` grants no leases under a token below ``token``."""

    address: str
    token: int


class LeaderResigned(NamedTuple):
    """The leader has given up its row in the store."""

    token: int


class JobAccepted(NamedTuple):
    """A job was stored: its row has the value ``spec`` and the version ``version``."""

    version: int
    spec: bytes


class InsertRequest(NamedTuple):
    """Asks a node to store a job within ``limit_s``; the reply goes to ``address``."""

    request_number: int
    address: str
    spec: bytes
    limit_s: float


class InsertReply(NamedTuple):
    """``outcome`` is ``accepted``, ``refused`` (nothing was stored) or ``unknown``."""

    request_number: int
    outcome: str


class StateRequest(NamedTuple):
    """Asks for the state of a job; the reply goes to ``address``."""

    request_number: int
    address: str
    job_id: str


class StateReply(NamedTuple):
    """The recorded state of a job, or None if the leader does not know it."""

    request_number: int
    state: str | None


class CancelRequest(NamedTuple):
    """Asks to cancel a job; the reply goes to ``address``."""

    request_number: int
    address: str
    job_id: str


class CancelReply(NamedTuple):
    """Result of a CancelRequest.

    ``cancelled`` is True once the cancellation is recorded, False if the job has ended
    and None if neither is known.
    """

    request_number: int
    cancelled: bool | None


class WorkspaceStateRequest(NamedTuple):
    """A StateRequest for a caller that may see the jobs of ``workspace``."""

    request_number: int
    address: str
    job_id: str
    workspace: str


class WorkspaceCancelRequest(NamedTuple):
    """A CancelRequest for a caller that may cancel the jobs of ``workspace``."""

    request_number: int
    address: str
    job_id: str
    workspace: str


class NodeConfigVersion(NamedTuple):
    """Version of the configuration in force at the node at ``address``.

    ``age_s`` is the time since it was known to be the newest; None if it never was.
    """

    address: str
    version: int
    age_s: float | None


class NodeConfigRequest(NamedTuple):
    """Asks for the configuration if it is newer than ``version``.

    ``sent_at`` is a time on the sender's clock. The reply goes to ``address``. The
    sender has the first ``offset`` bytes of the document of ``partial_version``.
    """

    address: str
    version: int
    sent_at: float
    partial_version: int = 0
    offset: int = 0


class NodeConfigReply(NamedTuple):
    """The replying node's version and its age, and a part of the document if newer.

    ``sent_at`` is that of the NodeConfigRequest; ``age_s`` as in NodeConfigVersion.
    ``part`` is the compressed part from ``offset`` on of a document of ``size`` bytes,
    empty if the version is not newer.
    """

    address: str
    version: int
    age_s: float | None
    sent_at: float
    part: bytes
    offset: int = 0
    size: int = 0


class AdviceRequest(NamedTuple):
    """Asks a node to ask the policy service which workers may run a step."""

    address: str
    token: int
    call_id: int
    step_name: str
    workers: list[str]


class AdviceReply(NamedTuple):
    """Approved (worker, ticket) pairs; None if the policy service did not respond."""

    token: int
    call_id: int
    approved: list[tuple[str, str]] | None


class StartOrder(NamedTuple):
    """An order to start an attempt of a task on a worker at ``address``.

    ``deadline_s`` is the end of the worker's lease, on the worker's clock. ``ticket``
    and ``checkpoint`` are empty if there is none. It must not be sent to the worker
    after ``send_by``, on the leader's clock.
    """

    worker: str
    address: str
    task: str
    attempt: int
    deadline_s: float
    ticket: str
    checkpoint: str
    send_by: float = math.inf


class StartOrders(NamedTuple):
    """Asks the node that accepted a job to start some of its tasks.

    ``token`` is the leader's fencing token; the results go to ``address``.
    ``payload_digest`` is that of the stored job's payload.
    """

    address: str
    token: int
    job_id: str
    orders: list[StartOrder]
    payload_digest: int


class StartResults(NamedTuple):
    """What became of start orders: (worker, task, attempt, answer) of each."""

    token: int
    results: list[tuple[str, str, int, str]]


class ClockQuery(NamedTuple):
    """Asks what the receiver's clock shows; the reply goes to ``address``.

    ``sent_at`` is a time on the sender's clock.
    """

    address: str
    sent_at: float


class ClockReply(NamedTuple):
    """What the sender's clock shows; ``sent_at`` is that of the ClockQuery."""

    sent_at: float
    clock: float


class DeliveryCheck(NamedTuple):
    """Asks whether the messages before it arrived, or confirms that they did.

    ``question`` is a number for the receiver to confirm, in a message to ``address``,
    and ``confirmed`` one that the receiver asked; 0 if there is none. ``is_repeated``
    says that an earlier question was not confirmed.
    """

    address: str
    question: int
    is_repeated: bool
    confirmed: int


class Envelope(NamedTuple):
    """A decoded message with the id and incarnation of its sender."""

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
        ClockQuery,
        ClockReply,
        ConfigAnnounce,
        ConfigRequest,
        DeliveryCheck,
        FormerLeaderQuery,
        FormerLeaderReply,
        Heartbeat,
        HeartbeatAck,
        InsertReply,
        InsertRequest,
        JobAccepted,
        JobNotice,
        LeaderBeat,
        LeaderHello,
        LeaderNotice,
        LeaderResigned,
        Leaving,
        NodeConfigReply,
        NodeConfigRequest,
        NodeConfigVersion,
        SlotGrant,
        SlotRequest,
        SlotReturn,
        StartOrders,
        StartResults,
        StateReply,
        StateRequest,
        ViewAnnounce,
        WorkspaceCancelRequest,
        WorkspaceStateRequest,
    )
}

_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(tuple[str, str, int, msgspec.Raw])
_payload_decoders = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in MESSAGE_TYPES.items()
}


def encode(sender, incarnation, message):
    """Return ``message`` in the wire format, as bytes."""
    return _encoder.encode((type(message).__name__, sender, incarnation, message))


def decode(data):
    """Return the Envelope in ``data``, or None if malformed or of an unknown type."""
    try:
        name, sender, incarnation, payload = _frame_decoder.decode(data)
        message = _payload_decoders[name].decode(payload)
    except (msgspec.DecodeError, KeyError, RecursionError):
        return None
    return Envelope(sender, incarnation, message)
