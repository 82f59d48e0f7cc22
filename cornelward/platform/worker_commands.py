"""Client of the workers (the platform's executors) and of the policy service."""

import collections
import math
import time
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from ..http_client import HttpResult
from ..log import get_logger
from .registry_entries import MAX_NUMBER

__all__ = [
    "PollReport",
    "WorkerCommands",
    "connect_advice",
    "connect_worker_commands",
]

log = get_logger("worker_commands")

# An executor responds without delay; a command without a response within this time
# counts as lost.
COMMAND_TIMEOUT_S = 0.6
# Starts and stops sent to one worker at the same time.
MAX_PARALLEL_COMMANDS = 2
# A command that waited longer for its turn is not sent.
MAX_QUEUED_S = 1.0
# The policy service handles one call of an instance at a time.
ADVICE_TIMEOUT_S = 3.0

# Checkpoints are kept in records, whose rows are limited. They have 16 characters.
MAX_TEXT = 1_000
Whole = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Percent = Annotated[float, Meta(ge=0, le=1_000)]
Text = Annotated[str, Meta(max_length=MAX_TEXT)]


class PollReport(NamedTuple):
    """Runs that a worker reports; ``clock_s`` is the time of its own clock in seconds.

    ``born`` changes when the worker restarts.
    """

    clock_s: Seconds
    born: Whole
    # Task, attempt, checkpoint, progress in percent.
    running: list[tuple[Text, Whole, Text, Percent]]
    # Number, task, attempt, how the run ended, checkpoint.
    ended: list[tuple[Whole, Text, Whole, Text, Text]]


class WorkerCommands(NamedTuple):
    """Functions ``start``, ``stop`` and ``poll``.

    ``start(order, payload, token, send_by, on_done)`` takes a StartOrder and the time
    by which it has to be sent, ``stop(effect, token, on_done)`` and ``poll(effect,
    token, on_done)`` an effect. ``token`` is the leader's fencing token. ``on_done``
    gets the result:

    - ``start``: ``ok``, ``unsent`` (the command was not sent), ``too_late`` (nor was
      it, as ``send_by`` was over), ``unknown`` (there was no response), ``gone`` (the
      executor has restarted), ``status N`` for another HTTP status, or the reason of
      the rejection;
    - ``stop``: whether the stop was acknowledged;
    - ``poll``: a PollReport, ``gone``, ``fence`` for an outdated token, or None if the
      call failed.

    ``on_done`` is called exactly once; a command that cannot be sent has failed.
    """

    start: Any
    stop: Any
    poll: Any


class _CommandQueue:
    """Commands to one worker: the number of those sent, and those that wait."""

    __slots__ = ("sent", "waiting")

    def __init__(self):
        self.sent = 0
        self.waiting = collections.deque()


def _limit_parallel(call, now):
    """Return ``call`` with at most MAX_PARALLEL_COMMANDS at a time to one address.

    A worker closes connections beyond its limit, and those of instances that lost power
    stay open for a while: a step with many tasks on it must not open one for each. A
    command that waited too long is not sent, as its sender may lead no more; nor is one
    whose ``send_by``, the last argument but one, is over.
    """
    queues = {}

    def send(queue, operation, address, *args):
        *rest, on_done = args

        def done(result):
            queue.sent -= 1
            send_next(queue, address)
            on_done(result)

        queue.sent += 1
        call(operation, address, *rest, done)

    def send_next(queue, address):
        while queue.waiting:
            queued_at, args = queue.waiting.popleft()
            if now() - queued_at <= MAX_QUEUED_S:
                send(queue, *args)
                return
            args[-1](HttpResult(None, {}, b"", "queued", False))
        if not queue.sent:
            queues.pop(address, None)

    def limited(operation, address, *args):
        queue = queues.setdefault(address, _CommandQueue())
        if queue.sent < MAX_PARALLEL_COMMANDS:
            send(queue, operation, address, *args)
        else:
            queue.waiting.append((now(), (operation, address, *args)))

    return limited


def connect_worker_commands(client, now, observe):
    """Return the WorkerCommands.

    ``observe(operation, outcome, seconds)`` is called at the end of each command.
    """

    def call(operation, address, path, body, worker, timeout_s, send_by, on_done):
        sent_at = now()

        def finish(result):
            if result.error == "timeout":
                client.close_idle(address)
            observe(operation, str(result.status or result.error), now() - sent_at)
            on_done(result)

        headers = [("Content-Type", "application/json")]
        if worker:
            headers.append(("Expect-Instance", worker))
        client.request_json(
            address,
            "POST",
            path,
            finish,
            value=body,
            headers=headers,
            timeout_s=timeout_s,
            # The client counts on another clock.
            send_by=time.monotonic() + send_by - sent_at,
        )

    limited = _limit_parallel(call, now)
    return WorkerCommands(
        _never_raise(_make_start(limited), "unsent"),
        _never_raise(_make_stop(limited), False),
        _never_raise(_make_poll(call), None),
    )


def _never_raise(command, failure):
    """Return ``command`` with an error while it is made as the result ``failure``."""

    def run(*args):
        *rest, on_done = args
        ended = []

        def end(result):
            if not ended:
                ended.append(True)
                on_done(result)

        try:
            command(*rest, end)
        except Exception as exc:
            log("error", "command_not_sent", reason=repr(exc)[:MAX_TEXT])
            end(failure)

    return run


def _rejection_reason(result):
    body = result.json()
    reason = body.get("reason") if isinstance(body, dict) else None
    return reason[:MAX_TEXT] if isinstance(reason, str) else "rejected"


def _make_start(call):
    def start(order, payload, token, send_by, on_done):
        body = {
            "task": order.task,
            "run": order.attempt,
            "spec": payload,
            "deadline_ms": int(order.deadline_s * 1000),
            "fencing_token": token,
        }
        if order.ticket:
            body["ticket"] = order.ticket
        if order.checkpoint:
            body["last_checkpoint"] = order.checkpoint

        def finish(result):
            if result.error == "too_late":
                on_done("too_late")
            elif result.status is None:
                on_done("unknown" if result.sent else "unsent")
            elif result.status == 200:
                on_done("ok")
            elif result.status == 421:
                on_done("gone")
            elif result.status == 409:
                on_done(_rejection_reason(result))
            else:
                on_done(f"status {result.status}")

        call(
            "start",
            order.address,
            "/run-start",
            body,
            order.worker,
            COMMAND_TIMEOUT_S,
            send_by,
            finish,
        )

    return start


def _make_stop(call):
    def stop(effect, token, on_done):
        body = {
            "task": effect.name,
            "run": effect.attempt,
            "fencing_token": token,
        }

        def finish(result):
            # 421: the executor has restarted, so it no longer has that run.
            on_done(result.status in (200, 421))

        call(
            "stop",
            effect.address,
            "/run-stop",
            body,
            effect.worker,
            COMMAND_TIMEOUT_S,
            math.inf,
            finish,
        )

    return stop


def _make_poll(call):
    def poll(effect, token, on_done):
        body = {"fencing_token": token, "last_seen": effect.last_end}
        if effect.deadline_s is not None:
            body["deadline_ms"] = int(effect.deadline_s * 1000)
        if effect.wait_s:
            body["wait_ms"] = int(effect.wait_s * 1000)

        def finish(result):
            if result.status == 409:
                # Another reason is not the leader's concern: the call has failed.
                reason = _rejection_reason(result)
                on_done(reason if reason == "fence" else None)
            elif result.status == 421:
                on_done("gone")
            else:
                on_done(_decode_report(result) if result.status == 200 else None)

        timeout_s = effect.wait_s + COMMAND_TIMEOUT_S
        call(
            "look",
            effect.address,
            "/hold",
            body,
            effect.worker,
            timeout_s,
            math.inf,
            finish,
        )

    return poll


def _decode_report(result):
    try:
        body = result.json()
        return msgspec.convert(
            (
                body["clock_ms"] / 1000,
                body.get("born", 0),
                [row[:4] for row in body["running"]],
                [row[:5] for row in body["finished"]],
            ),
            PollReport,
        )
    except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as exc:
        log("warning", "report_unreadable", reason=repr(exc)[:MAX_TEXT])
        return None


def connect_advice(client, addr):
    """Return ``ask(step_name, workers, on_done)``, a call of the policy service.

    ``on_done`` gets the approved workers as [(worker, ticket)], or None if the call
    failed.
    """

    def ask(step_name, workers, on_done):
        def finish(result):
            if result.error == "timeout":
                client.close_idle(addr)
            on_done(_decode_advice(result) if result.status == 200 else None)

        client.request_json(
            addr,
            "POST",
            "/advise",
            finish,
            value={"step": step_name, "workers": workers},
            headers=(("Content-Type", "application/json"),),
            timeout_s=ADVICE_TIMEOUT_S,
        )

    return ask


def _decode_advice(result):
    try:
        return msgspec.convert(result.json()["approved"], list[tuple[Text, Text]])
    except (LookupError, TypeError, ValueError) as exc:
        log("warning", "advice_unreadable", reason=repr(exc)[:MAX_TEXT])
        return None
