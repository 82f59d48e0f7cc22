"""Effects of routing, carried out by an entry's shell, and how an attempt ended."""

from typing import NamedTuple

from .verdicts import Verdict

__all__ = ["Dispatch", "Forward", "Outcome", "Refuse"]


class Dispatch(NamedTuple):
    """Effect: send the request to the executor; ``credit_id`` None for own slots.

    The right to the slot ends at ``send_by`` (monotonic seconds): nothing may be sent
    later, even if the process was paused since the decision.
    """

    request_id: str
    executor: str
    address: str
    credit_id: int | None
    send_by: float


class Refuse(NamedTuple):
    """Effect: answer that the request was not run."""

    request_id: str
    code: str
    message: str
    retry_after_ms: int | None


class Forward(NamedTuple):
    """Effect: send the request to an entry of another failure domain."""

    request_id: str
    failure_domain: str


class Outcome(NamedTuple):
    """How an attempt ended; ``leaving`` stops new work until ``/health`` is live."""

    verdict: Verdict
    error: str | None = None
    leaving: bool = False
    run_s: float = 0.0
