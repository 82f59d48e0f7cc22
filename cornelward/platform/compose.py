"""Composition root of a node on the operators' platform."""

import os
import random
import time
from typing import Any, NamedTuple

from .. import node as shell
from .. import node_cancels, node_job_states, node_jobs, node_leader, node_requests
from ..http_client import HttpClient
from ..http_memory import MemoryBudget, buffered_bytes, caller_connections
from ..http_server import HttpLimits, HttpServer
from ..leadership import step_down
from ..loop import Loop
from ..node_messages import on_message, on_silent_way
from ..node_status import new_node_metrics, serve_status
from ..peers import PeerTransport
from ..store_health import StoreHealth
from .ingress import decode_config, decode_job, find_target
from .registry_entries import decode_worker, refusal_reason
from .store import connect_store
from .worker_commands import connect_advice, connect_worker_commands

__all__ = ["NodeDependencies", "build_node"]

# Outcomes of answered calls whose duration shows how fast the store is. A feed's does
# not, because the store delays the response until a row changes.
TIMED_OUTCOMES = ("applied", "rows", "page")


# Connections kept to one worker: one for polls, the others for starts and stops.
MAX_IDLE_PER_WORKER = 3
# A worker takes a bounded number of connections, and any node may carry out starts on
# it: connections for these are closed when they were not used for this long.
RELAY_UNUSED_S = 1.5
# Connections of the load balancer, and of operators.
MAX_OWN_CONNECTIONS = 32
OWN_BUFFERED_BYTES = 8_388_608


class NodeDependencies(NamedTuple):
    """Clients, servers, decoders and functions that a node uses."""

    loop: Loop
    now: Any
    metrics: Any
    store: Any
    health: StoreHealth
    peers: PeerTransport
    callers: HttpServer
    worker_commands: Any
    # The same for start orders that this node carries out for the leader.
    relayed_commands: Any
    # Function that closes the connections of ``relayed_commands`` that are not in use.
    close_unused_connections: Any
    ask_advice: Any
    find_target: Any
    decode_config: Any
    decode_job: Any
    decode_worker: Any
    # Why a registry entry names no worker.
    refusal_reason: Any
    leader_add_job: Any
    leader_expect_job: Any
    schedule_step: Any
    leader_job_state: Any
    leader_cancel_job: Any
    set_leader_config: Any
    set_pending_counts: Any
    lose_leadership: Any
    step_down: Any
    send_hello: Any
    send_request: Any
    load_settings: Any


def _parse_address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def _answer_ready(node, call):
    ready = shell.is_ready(node)
    call.answer_json(200 if ready else 503, {"ready": ready})


def build_node(settings, loop=None, load_settings=None):
    """Return a Node whose addresses are bound; it runs when its loop runs.

    ``load_settings()`` is called after SIGHUP; by default the settings do not change.
    """
    loop = loop or Loop()
    client = HttpClient(loop)
    worker_client = HttpClient(loop, max_idle=MAX_IDLE_PER_WORKER)
    relay_client = HttpClient(loop, max_idle=MAX_IDLE_PER_WORKER)
    metrics = new_node_metrics()
    incarnation = time.time_ns() // 1_000_000
    holder = []
    peers = PeerTransport(
        loop,
        settings.peer_address,
        settings.node,
        incarnation,
        lambda envelope: on_message(holder[0], envelope),
        lambda address: on_silent_way(holder[0], address),
    )
    budget = MemoryBudget(buffered_bytes(settings.memory_mb))
    callers = HttpServer(
        loop,
        _parse_address(settings.caller_address),
        lambda call: node_jobs.handle_request(holder[0], call),
        HttpLimits(max_connections=caller_connections(settings.max_fds)),
        budget,
    )
    # The load balancer and operators are answered while callers take all memory.
    own_limits = HttpLimits(max_connections=MAX_OWN_CONNECTIONS)
    own_budget = MemoryBudget(OWN_BUFFERED_BYTES)
    HttpServer(
        loop,
        _parse_address(settings.ready_address),
        lambda call: _answer_ready(holder[0], call),
        own_limits,
        own_budget,
    )
    HttpServer(
        loop,
        _parse_address(settings.status_address),
        lambda call: serve_status(holder[0], call),
        own_limits,
        own_budget,
    )
    health = StoreHealth()

    def observe_store(operation, outcome, taken_s):
        # A call that was given up shows nothing of the store as it is now.
        if outcome != "abandoned":
            health.record_outcome(shell.clock(), outcome)
        if outcome in TIMED_OUTCOMES:
            health.record_latency(taken_s)
        metrics.observe_call(operation, outcome, taken_s)

    deps = NodeDependencies(
        loop=loop,
        now=shell.clock,
        metrics=metrics,
        store=connect_store(client, settings.store_address, shell.clock, observe_store),
        health=health,
        peers=peers,
        callers=callers,
        worker_commands=connect_worker_commands(
            worker_client, shell.clock, metrics.observe_call
        ),
        relayed_commands=connect_worker_commands(
            relay_client, shell.clock, metrics.observe_call
        ),
        close_unused_connections=lambda: relay_client.close_unused(RELAY_UNUSED_S),
        ask_advice=connect_advice(client, settings.advice_address),
        find_target=find_target,
        decode_config=decode_config,
        decode_job=decode_job,
        decode_worker=decode_worker,
        refusal_reason=refusal_reason,
        leader_add_job=node_leader.on_job_accepted,
        leader_expect_job=node_leader.expect_job,
        schedule_step=node_leader.schedule_step,
        leader_job_state=node_leader.state_of,
        leader_cancel_job=node_cancels.cancel,
        set_leader_config=node_leader.set_config,
        set_pending_counts=node_job_states.set_pending_counts,
        lose_leadership=shell.lose_leadership,
        step_down=lambda node: step_down(node.leadership, shell.clock()),
        send_hello=shell.send_hello,
        send_request=node_requests.send_request,
        load_settings=load_settings or (lambda: settings),
    )
    node = shell.Node(deps, settings, incarnation, random.Random(os.urandom(16)))
    holder.append(node)
    shell.start(node)
    return node
