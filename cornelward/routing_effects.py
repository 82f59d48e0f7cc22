"""Effects of routing, which the entry's shell executes, and the outcome of attempts."""

from typing import NamedTuple

from .verdicts import Verdict

__all__ = ["Dispatch", "Forward", "Outcome", "Refuse"]


class Dispatch(NamedTuple):
    """Effect: send the request to the executor.

    ``credit_id`` is None for a slot of an owned executor. The slot is reserved only
    until ``send_by`` (monotonic seconds): the request must not be sent later, even if
    the process was paused after the decision.
    """

    request_id: str
    executor: str
    address: str
    credit_id: int | None
    send_by: float


class Refuse(NamedTuple):
    """Effect: tell the caller that the request was not run."""

    request_id: str
    code: str
    message: str
    retry_after_ms: int | None


class Forward(NamedTuple):
    """Effect: send the request to an entry of another failure domain."""

    request_id: str
    failure_domain: str


class Outcome(NamedTuple):
    """Outcome of an attempt; ``run_s`` is the run time, 0 if unknown.

    ``leaving`` says that the executor is shutting down: it gets no new requests until
    ``/health`` reports it live.
    """

    verdict: Verdict
    error: str | None = None
    leaving: bool = False
    run_s: float = 0.0
