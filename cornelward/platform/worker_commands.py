"""Orders to the platform's executors, and questions to its policy service."""

from typing import Any, NamedTuple

import msgspec

from ..workers import WorkerInfo

__all__ = [
    "PollReport",
    "WorkerCommands",
    "connect_advice",
    "connect_worker_commands",
    "decode_worker",
]

# An executor answers at once; an order without an answer by then counts as lost.
ORDER_TIMEOUT_S = 0.6
# The policy service works on one call of an instance at a time.
ADVICE_TIMEOUT_S = 3.0


class PollReport(NamedTuple):
    """What a worker lists; ``clock_s`` is its own clock."""

    clock_s: float
    born: int
    # (task, attempt, checkpoint, progress in percent)
    running: list
    # (number, task, attempt, how, checkpoint)
    ended: list


class WorkerCommands(NamedTuple):
    """Functions ``start(effect, token, on_done)``, ``stop(...)``, ``look(...)``.

    ``start`` gives ``ok``, ``unsent``, ``unknown``, ``gone`` or the worker's reason;
    ``stop`` whether it was acknowledged; ``look`` a LookReport, ``fence`` or None.
    """

    start: Any
    stop: Any
    poll: Any


def connect_worker_commands(client, now, observe):
    """Return the Orders; ``observe(operation, outcome, seconds)`` hears each call."""

    def call(operation, address, path, body, worker, timeout_s, on_done):
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
        )

    return WorkerCommands(_make_start(call), _make_stop(call), _make_look(call))


def _reason(result):
    body = result.json()
    reason = body.get("reason") if isinstance(body, dict) else None
    return reason if isinstance(reason, str) else "rejected"


def _make_start(call):
    def start(effect, token, on_done):
        run = effect.run
        body = {
            "task": run.name,
            "run": run.attempt,
            "spec": run.job.spec.payload,
            "deadline_ms": int(effect.deadline_s * 1000),
            "fencing_token": token,
        }
        if effect.ticket:
            body["ticket"] = effect.ticket
        if run.checkpoint:
            body["last_checkpoint"] = run.checkpoint

        def finish(result):
            if result.status is None:
                on_done("unknown" if result.sent else "unsent")
            elif result.status == 200:
                on_done("ok")
            elif result.status == 421:
                on_done("gone")
            elif result.status == 409:
                on_done(_reason(result))
            else:
                on_done(f"status {result.status}")

        call(
            "start",
            effect.address,
            "/run-start",
            body,
            run.worker,
            ORDER_TIMEOUT_S,
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
            # Another life of the executor holds nothing of that run.
            on_done(result.status in (200, 421))

        call(
            "stop",
            effect.address,
            "/run-stop",
            body,
            effect.worker,
            ORDER_TIMEOUT_S,
            finish,
        )

    return stop


def _make_look(call):
    def poll(effect, token, on_done):
        body = {"fencing_token": token, "last_seen": effect.last_end}
        if effect.deadline_s is not None:
            body["deadline_ms"] = int(effect.deadline_s * 1000)
        if effect.wait_s:
            body["wait_ms"] = int(effect.wait_s * 1000)

        def finish(result):
            if result.status == 409:
                on_done(_reason(result))
            else:
                on_done(_decode_report(result) if result.status == 200 else None)

        limit = effect.wait_s + ORDER_TIMEOUT_S
        call("look", effect.address, "/hold", body, effect.worker, limit, finish)

    return poll


def _decode_report(result):
    body = result.json()
    try:
        return PollReport(
            body["clock_ms"] / 1000,
            body.get("born", 0),
            [tuple(row[:4]) for row in body["running"]],
            [tuple(row[:5]) for row in body["finished"]],
        )
    except (AttributeError, KeyError, TypeError):
        return None


def connect_advice(client, addr):
    """Return ``ask(step_name, workers, on_done)``; gives [(worker, ticket)] or None."""

    def ask(step_name, workers, on_done):
        def finish(result):
            body = result.json() if result.status == 200 else None
            try:
                on_done([(worker, ticket) for worker, ticket in body["approved"]])
            except (KeyError, TypeError, ValueError):
                on_done(None)

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


def decode_worker(key, value):
    """Return the WorkerInfo in a registry entry, or None if it names no worker."""
    try:
        raw = msgspec.json.decode(value)
        capacity, labels = raw["capacity"], raw["labels"]
        if raw["state"] not in ("ready", "draining"):
            return None
        numbers = [capacity.get(k, 0) for k in ("cpu", "mem_mb", "gpu")]
        if any(type(n) is not int for n in numbers):
            return None
        texts = (raw["service"], raw["address"], raw["zone"], *labels)
        if any(type(t) is not str for t in texts):
            return None
        return WorkerInfo(
            id=key,
            service=raw["service"],
            address=raw["address"],
            failure_domain=raw["zone"],
            # The labels are the kind and the rack, in this order.
            rack=labels[1] if len(labels) > 1 else "",
            labels=tuple(labels),
            cpu=numbers[0],
            memory_mb=numbers[1],
            accelerators=numbers[2],
            draining=raw["state"] == "draining",
            leaves_in_s=float(raw.get("remaining_ms", 0)) / 1000,
            born=int(raw.get("born", 0)),
            clock_s=float(raw["clock_ms"]) / 1000,
        )
    except (msgspec.DecodeError, AttributeError, KeyError, TypeError, ValueError):
        return None
