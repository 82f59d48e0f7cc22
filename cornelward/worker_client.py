"""Client of the workers: lease renewals, task starts and signals.

Each call ends at ``on_done(status, body)``; ``status`` is None when no whole answer
arrived, and ``body`` is None unless the answer was a JSON object.
"""

from typing import Any, NamedTuple

__all__ = ["Workers", "connect_workers"]


class Workers(NamedTuple):
    """The workers' operations, as functions ``(address, body, on_done)``.

    ``renew`` renews or reads a lease, ``start`` starts a task, ``signal`` stops,
    checkpoints or throttles one. ``forget(address)`` closes idle connections.
    """

    renew: Any
    start: Any
    signal: Any
    forget: Any


def connect_workers(client, timeout_s, observe=None):
    """Return the Workers reached through ``client``.

    A start is never sent twice here: whether it may be repeated is decided by the core.
    ``observe(operation, outcome)`` is told of each call; the outcome is the status or
    ``failed``.
    """

    def make(operation, path):
        def call(address, body, on_done):
            def finish(result):
                answer = result.json() if result.status is not None else None
                if observe is not None:
                    observe(operation, str(result.status or "failed"))
                on_done(result.status, answer if isinstance(answer, dict) else None)

            client.request_json(
                address, "POST", path, finish, value=body, timeout_s=timeout_s
            )

        return call

    return Workers(
        renew=make("renew", "/lease"),
        start=make("start", "/tasks"),
        signal=make("signal", "/tasks/signal"),
        forget=client.close_idle,
    )
