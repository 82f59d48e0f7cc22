"""Effects that the dispatcher emits; the leader's shell carries them out in order."""

from typing import Any, NamedTuple

__all__ = ["AskAdvice", "Commit", "Poll", "Reply", "Start", "Stop"]


class RowWrite(NamedTuple):
    """One change to a row of the store; a ``value`` of None deletes the row."""

    table: str
    key: str
    value: bytes | None


class Commit(NamedTuple):
    """A transaction on one partition, conditional on the versions of rows.

    ``expected`` is a list of (table, key, version). The result goes to
    ``dispatch.on_commit_result``.
    """

    part: str
    expected: list
    writes: list


class Start(NamedTuple):
    """Request to start ``run``.

    ``deadline_s`` is the end of the worker's lease, on the worker's clock. After
    ``send_by``, on this node's clock, the worker may have restarted unseen.
    """

    run: Any
    address: str
    deadline_s: float
    ticket: str
    send_by: float


class Stop(NamedTuple):
    """Request to stop an attempt of a task, which this leader need not have started."""

    worker: str
    address: str
    name: str
    attempt: int


class Poll(NamedTuple):
    """Request for a worker's runs and ended runs, which may also extend its lease.

    ``deadline_s`` is the new end of the lease on the worker's clock; with None the
    lease is not extended. ``last_end`` acknowledges the ends up to that number.
    ``wait_s`` is how long the worker may delay its response until a run ends (long
    polling).
    """

    worker: str
    address: str
    deadline_s: float | None
    last_end: int
    wait_s: float


class AskAdvice(NamedTuple):
    """Request to the policy service, through ``node``: which workers may run a step."""

    node: str
    call_id: int
    step_name: str
    workers: list


class Reply(NamedTuple):
    """Response to a request about a job: calls ``reply(value)``."""

    reply: Any
    value: Any
