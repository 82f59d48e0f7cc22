"""Metrics and state dump of a node, for operators.

Serves ``/metrics`` in the Prometheus text format and ``/state`` as JSON.
"""

import math
from collections import Counter as Counts
from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, exposition

from . import config_sync, node_config, overload, waits
from .dispatch import pending_by_queue
from .lease_grants import lease_end

__all__ = ["NodeMetrics", "dump", "new_node_metrics", "serve_status"]

# From a fast answer of the store (5 ms) to a submission that waits until its deadline.
BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 3, 10)


class NodeMetrics(NamedTuple):
    """Prometheus instruments; ``observe_*`` take (operation, outcome, seconds)."""

    registry: CollectorRegistry
    observe_call: object
    observe_request: object
    gauges: dict
    # Requests that were not admitted, by reason.
    refusals: Counter


def new_node_metrics():
    """Return a NodeMetrics on a new registry."""
    registry = CollectorRegistry()

    def observer(name, what):
        count = Counter(
            f"cornelward_node_{name}",
            f"{what}, by operation and outcome.",
            ["operation", "outcome"],
            registry=registry,
        )
        took = Histogram(
            f"cornelward_node_{name}_seconds",
            f"Time that {what.lower()} took, by operation.",
            ["operation"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        # labels() takes a lock and builds a key on each call: cache its results.
        children = {}

        def observe(operation, outcome, taken_s):
            key = operation, outcome
            pair = children.get(key)
            if pair is None:
                pair = children[key] = count.labels(*key), took.labels(operation)
            pair[0].inc()
            pair[1].observe(taken_s)

        return observe

    gauges = {
        name: Gauge(f"cornelward_node_{name}", text, registry=registry)
        for name, text in (
            (
                "config_version",
                "Version of the active configuration; 0 if there is none.",
            ),
            (
                "config_age_seconds",
                "Seconds since the configuration was confirmed as the newest one.",
            ),
            (
                "config_behind_seconds",
                "Seconds since a newer configuration is known; 0 if none is.",
            ),
            (
                "config_feed_age_seconds",
                "Seconds since the store answered the feed of the configuration.",
            ),
            (
                "loop_lag_seconds",
                "How late the periodic work ran at most since the last scrape.",
            ),
            (
                "caller_connections",
                "Open connections of callers.",
            ),
            (
                "buffered_bytes",
                "Memory that connections take, of the budget for all of them.",
            ),
            ("leads", "1 while this node is the leader, else 0."),
            (
                "leader_token",
                "Fencing token of this node as leader; 0 while it does not lead.",
            ),
            ("jobs", "Jobs that have not ended, on the leader."),
            ("pending_jobs", "Jobs without a started task, on the leader."),
            ("workers", "Workers known to the leader."),
            ("runs", "Task runs on workers, on the leader."),
            (
                "crashed_runs",
                "Runs lost in crashes of workers, in this term of the leader.",
            ),
            (
                "jobs_failed_by_crashes",
                "Jobs failed as workers crash under their tasks, in this term.",
            ),
            (
                "longest_wait_seconds",
                "How long the task that waits longest for a start has waited.",
            ),
            (
                "late_jobs",
                "Waiting jobs that can not end on time, on the leader.",
            ),
            (
                "expired_jobs",
                "Waiting jobs whose last useful moment can not be met, on the leader.",
            ),
            (
                "paced_tasks",
                "Tasks that the latest planning pass held back for more urgent work.",
            ),
            (
                "store_failing_seconds",
                "Seconds since the store stopped answering; 0 while it answers.",
            ),
        )
    }
    return NodeMetrics(
        registry,
        observer("calls", "Calls to store and workers"),
        observer("requests", "Requests of callers"),
        gauges,
        Counter(
            "cornelward_node_refusals",
            "Requests that were not admitted, by reason.",
            ["reason"],
            registry=registry,
        ),
    )


def serve_status(node, call):
    """Handle one request of an operator."""
    path = call.request.path
    if path == "/metrics":
        _refresh(node)
        body = exposition.generate_latest(node.deps.metrics.registry)
        call.answer(200, body, exposition.CONTENT_TYPE_LATEST)
    elif path == "/state":
        call.answer_json(200, dump(node))
    else:
        call.answer_json(404, {"paths": ["/metrics", "/state"]})


def _refresh(node):
    gauges = node.deps.metrics.gauges
    dispatcher = node.leader.dispatcher if node.leader is not None else None
    gauges["config_version"].set(node.config.version if node.config else 0)
    age_s = node_config.age_s(node)
    gauges["config_age_seconds"].set(math.inf if age_s is None else age_s)
    behind_s = config_sync.behind_s(node.config_state.sync, node.deps.now())
    gauges["config_behind_seconds"].set(behind_s)
    gauges["config_feed_age_seconds"].set(node_config.feed_age_s(node))
    gauges["loop_lag_seconds"].set(node.longest_lag_s)
    node.longest_lag_s = 0.0
    callers = node.deps.callers
    gauges["caller_connections"].set(callers.open_connections())
    gauges["buffered_bytes"].set(callers.buffered_bytes())
    gauges["leads"].set(dispatcher is not None)
    gauges["leader_token"].set(node.leader.token if dispatcher else 0)
    gauges["jobs"].set(len(dispatcher.jobs) if dispatcher else 0)
    pending = sum(pending_by_queue(dispatcher).values()) if dispatcher else 0
    gauges["pending_jobs"].set(pending)
    gauges["workers"].set(len(dispatcher.workers) if dispatcher else 0)
    runs = sum(len(w.runs) for w in dispatcher.workers.values()) if dispatcher else 0
    gauges["runs"].set(runs)
    gauges["crashed_runs"].set(dispatcher.crashed_runs if dispatcher else 0)
    failed = dispatcher.jobs_failed_by_crashes if dispatcher else 0
    gauges["jobs_failed_by_crashes"].set(failed)
    jobs = dispatcher.jobs.values() if dispatcher else ()
    longest_s = waits.longest_wait_s(jobs, node.deps.now())
    gauges["longest_wait_seconds"].set(longest_s)
    tiers, paced = _pressure(dispatcher)
    gauges["late_jobs"].set(tiers["late"])
    gauges["expired_jobs"].set(tiers["expired"])
    gauges["paced_tasks"].set(paced)
    gauges["store_failing_seconds"].set(node.health.failing_s(node.deps.now()))


def _pressure(dispatcher):
    """Return ({tier: waiting jobs}, paced tasks); zeros without overload control."""
    if dispatcher is None or dispatcher.pacing is None:
        return dict.fromkeys(overload.TIERS, 0), 0
    tiers = overload.count_by_tier(dispatcher.queue_index.queues)
    return tiers, dispatcher.pacing.paced_tasks


def dump(node):
    """Return the node's state as JSON types; the leader adds workers and jobs."""
    now, state = node.deps.now(), node.leadership
    result = {
        "node": node.settings.node,
        "failure_domain": node.settings.failure_domain,
        "incarnation": node.incarnation,
        "config_version": node.config.version if node.config else 0,
        "stopping": node.stopping_at is not None,
        "role": state.role,
        "leader": state.leader_address,
        "leader_heard_s": round(now - state.leader_seen_at, 3),
        "store_failing_s": round(node.health.failing_s(now), 3),
        "peers": node.peer_state.peers,
    }
    dispatcher = node.leader.dispatcher if node.leader is not None else None
    if dispatcher is not None:
        result["token"] = node.leader.token
        result["planned_s_ago"] = round(now - dispatcher.planned_at, 3)
        former_end = dispatcher.former_leases_end_at
        result["workers"] = [
            _worker(w, now, former_end) for w in dispatcher.workers.values()
        ]
        tiers, paced = _pressure(dispatcher)
        result["waiting_jobs"], result["paced_tasks"] = tiers, paced
        result["jobs"] = [_job(j, now) for j in dispatcher.jobs.values()]
        result["workspaces"] = _workspaces(dispatcher)
    return result


def _worker(worker, now, former_leases_end_at):
    info = worker.info
    return {
        "id": info.id,
        "listed": worker.registered,
        "draining": info.draining,
        "used": worker.used,
        "cpu": info.cpu,
        "memory_mb": info.memory_mb,
        "lease_left_s": round(lease_end(worker, former_leases_end_at) - now, 3),
        "looks_failed": worker.failed_polls,
        "avoided_s": round(max(0.0, worker.avoid_until - now), 3),
        "pace": round(worker.slowness, 2),
        "runs": [
            {"task": r.name, "attempt": r.attempt, "state": r.state}
            for r in worker.runs.values()
        ],
    }


def _workspaces(dispatcher):
    """Return, by workspace, what runs and waits, and the terms that it has."""
    waiting = Counts(
        job.spec.workspace
        for job in dispatcher.jobs.values()
        if job.account is not None and job.outcome is None and not job.run_seen
    )
    return {
        name: {
            "runs": account.runs,
            "used": account.used,
            "waiting_jobs": waiting[name],
            "cap": account.terms.cap,
            "weight": account.terms.weight,
            "beyond_rate": account.beyond_rate,
        }
        for name, account in dispatcher.accounts.items()
    }


def _job(job, now):
    return {
        "id": job.spec.id,
        "queue": job.spec.queue.name,
        "state": job.recorded_state,
        "age_s": round(now - job.accepted_at, 3),
        "objective_left_s": round(job.deadline - now, 3),
        "done": sum(t.state == "done" for tasks in job.tasks.values() for t in tasks),
        "tasks": sum(len(tasks) for tasks in job.tasks.values()),
        "workspace": job.spec.workspace,
        "cap_problem": job.cap_problem,
        "waits": [
            {"step": list(key), "waited_s": round(waited_s, 3), "why": why}
            for key, waited_s, why in waits.waiting_steps(job, now)
        ],
    }
