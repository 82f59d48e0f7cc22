"""Effects of the dispatcher's core, carried out in order by the leader's shell."""

from typing import Any, NamedTuple

__all__ = ["AskAdvice", "Commit", "Poll", "Reply", "Start", "Stop"]


class RowWrite(NamedTuple):
    """One change of the store; ``value`` None removes the row."""

    table: str
    key: str
    value: bytes | None


class Commit(NamedTuple):
    """A transaction on one partition; ``expected`` is a list of (table, key, version).

    The answer goes to ``commits.finish``.
    """

    part: str
    expected: list
    writes: list


class Start(NamedTuple):
    """Order to start ``run``; ``deadline_s`` is on the worker's clock."""

    run: Any
    address: str
    deadline_s: float
    ticket: str


class Stop(NamedTuple):
    """Order to stop an attempt of a task, known or not."""

    worker: str
    address: str
    name: str
    attempt: int


class Poll(NamedTuple):
    """Extend a lease and list runs and ends; ``deadline_s`` None only looks.

    ``wait_s`` is how long the worker may hold the answer back until a run ends.
    """

    worker: str
    address: str
    deadline_s: float | None
    last_end: int
    wait_s: float


class AskAdvice(NamedTuple):
    """Ask the policy service through ``node`` on which workers a step may run."""

    node: str
    call_id: int
    step_name: str
    workers: list


class Reply(NamedTuple):
    """Answer a question about a job: ``reply(value)``."""

    reply: Any
    value: Any
