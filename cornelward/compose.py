"""Composition root: builds an entry or a scheduler process from its settings.

``build_common_components`` builds what both have; ``build_entry`` adds the parts that
serve requests, ``build_scheduler`` those that schedule tasks.
"""

import os
import random
import time
from typing import NamedTuple

from . import entry_shell, router, scheduler_shell, task_scheduler
from .api import make_http_handler
from .entry_metrics import add_entry_collector
from .errors import START_FAILED, CornelwardError
from .http_client import HttpClient
from .http_memory import MemoryBudget, least_buffered_bytes
from .http_server import HttpLimits, HttpServer
from .identity import Identity
from .loop import Loop
from .metrics import new_metrics
from .peers import PeerTransport
from .platform_client import connect_platform
from .scheduler_metrics import add_collector, new_instruments
from .upstream_client import connect_upstream
from .worker_client import connect_workers

__all__ = [
    "CommonComponents",
    "build_common_components",
    "build_entry",
    "build_scheduler",
]


class CommonComponents(NamedTuple):
    """Components of every process; ``incarnation`` grows with each start."""

    cfg: dict
    loop: Loop
    metrics: object
    client: HttpClient
    platform: object
    peers: PeerTransport
    server: HttpServer
    incarnation: int


def parse_address(text):
    """Return (ip, port) of "ip:port"."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def build_common_components(cfg, handle, on_message, loop=None):
    """Return the CommonComponents, with both servers bound.

    ``handle(call)`` serves HTTP requests, ``on_message(envelope)`` receives messages;
    neither is called before the loop runs. Raises CornelwardError if an address cannot
    be bound.
    """
    loop = loop or Loop()
    metrics = new_metrics()
    client = HttpClient(loop)
    platform = connect_platform(
        client,
        cfg["platform_address"],
        cfg["failure_domain"],
        cfg["platform_timeout_s"],
        metrics.observe_platform,
    )
    # Milliseconds suffice: incarnations of an id are only compared by order, and a
    # restart takes longer than 1 ms.
    incarnation = time.time_ns() // 1_000_000
    server = _bind_server(cfg, loop, handle)
    peers = _bind_peers(cfg, loop, incarnation, on_message)
    return CommonComponents(
        cfg, loop, metrics, client, platform, peers, server, incarnation
    )


def _bind_server(cfg, loop, handle):
    limits = HttpLimits(
        max_header_bytes=cfg["max_header_bytes"],
        max_header_fields=cfg["max_header_fields"],
        max_body_bytes=cfg["max_body_bytes"],
        max_connections=cfg["max_connections"],
        idle_timeout_s=cfg["idle_timeout_s"],
        header_timeout_s=cfg["receive_timeout_s"],
        receive_timeout_s=cfg["receive_timeout_s"],
    )
    least = least_buffered_bytes(cfg["max_body_bytes"])
    budget = MemoryBudget(max(cfg["max_buffered_bytes"], least))
    try:
        return HttpServer(
            loop, parse_address(cfg["http_address"]), handle, limits, budget
        )
    except OSError as exc:
        raise _start_failed("http_address", cfg, exc.strerror) from exc


def _bind_peers(cfg, loop, incarnation, on_message):
    try:
        return PeerTransport(
            loop, cfg["peer_address"], cfg["id"], incarnation, on_message
        )
    except Exception as exc:
        raise _start_failed("peer_address", cfg, str(exc)) from exc


def _start_failed(key, cfg, reason):
    return CornelwardError(f"{key} {cfg[key]}: {reason}", START_FAILED)


def _build_with_holder(holder, cfg, loop):
    """Return the CommonComponents for a process that does not exist yet.

    Requests and messages go to ``holder[0]``, which must be set before the loop runs.
    """
    return build_common_components(
        cfg,
        lambda call: holder[0].handle(call),
        lambda envelope: holder[0].on_message(envelope),
        loop,
    )


def _make_identity(common):
    cfg = common.cfg
    return Identity(
        cfg["id"],
        common.incarnation,
        cfg["failure_domain"],
        cfg["region"],
        common.peers.address,
        common.server.address,
    )


def build_entry(cfg, loop=None, core=router):
    """Return an entry whose addresses are bound; it runs when its loop runs."""
    holder = []
    common = _build_with_holder(holder, cfg, loop)
    identity = _make_identity(common)
    rng = random.Random(os.urandom(16))
    upstream = connect_upstream(common.client)
    entry = entry_shell.Entry(common, core, identity, rng, upstream)
    entry.handle = make_http_handler(entry)
    holder.append(entry)
    if core is router:
        add_entry_collector(
            common.metrics.registry,
            lambda: router.dump(entry.state, common.loop.now()),
        )
    entry_shell.start(entry)
    return entry


def build_scheduler(cfg, loop=None, core=task_scheduler):
    """Return a scheduler whose addresses are bound; it runs when its loop runs."""
    holder = []
    common = _build_with_holder(holder, cfg, loop)
    registry = common.metrics.registry
    instruments = new_instruments(registry)
    # The renewal interval is the time limit of a call: a later response is superseded
    # by that of the next renewal.
    workers = connect_workers(
        common.client, cfg["worker_renew_s"], instruments.observe_worker
    )
    rng = random.Random(os.urandom(16))
    scheduler = scheduler_shell.Scheduler(
        common, core, _make_identity(common), rng, workers, instruments
    )
    if core is task_scheduler:
        add_collector(registry, scheduler.state, common.loop.now)
    holder.append(scheduler)
    scheduler_shell.start(scheduler)
    return scheduler
