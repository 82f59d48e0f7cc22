"""Client of the workers: lease renewals, task starts and signals.

Each call ends with ``on_done(status, body)``. ``status`` is None when no complete
response arrived, and ``body`` is None unless the response was a JSON object.
"""

from typing import Any, NamedTuple

__all__ = ["Workers", "connect_workers"]


class Workers(NamedTuple):
    """Operations on workers, as functions ``(address, body, on_done)``.

    ``renew`` renews or reads a lease, ``start`` starts a task, and ``signal`` stops,
    checkpoints or throttles a task. ``forget(address)`` closes idle connections.
    """

    renew: Any
    start: Any
    signal: Any
    forget: Any


def connect_workers(client, timeout_s, observe=None):
    """Return the Workers reached through ``client``.

    The client never retries a start: the core decides whether it may be repeated.
    ``observe(operation, outcome)`` is called after each call; the outcome is the HTTP
    status or ``failed``. ``timeout_s`` applies to each call.
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
