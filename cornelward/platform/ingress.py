"""Decodes callers' requests and the operators' configuration."""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from ..access import key_table
from ..http_call import HttpLimits
from ..log import get_logger
from ..staged_jobs import (
    MAX_AMOUNT,
    AdvicePolicy,
    JobSpec,
    Queue,
    StepSpec,
    job_problem,
)
from ..workspaces import WorkspaceTerms

__all__ = ["Config", "Target", "decode_config", "decode_job", "find_target"]

log = get_logger("ingress")

ID_DIGITS = 16
MAX_REASON_CHARS = 200
HEX = frozenset("0123456789abcdef")


Whole = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
Number = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]


class _Advice(msgspec.Struct):
    decision_ms: Number
    period_ms: Number
    valid_ms: Number


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: Annotated[int, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)] = 0
    max_attempts: Whole = 1
    stretch: Number = 1.0
    latency_slo_ms: Number = 0.0
    advice: _Advice | None = None
    public: bool = False


class _Cap(msgspec.Struct):
    cpu: Number = 0.0
    mem_mb: Number = 0.0
    gpu: Number = 0.0


class _Tenant(msgspec.Struct):
    name: str
    weight: Number = 1.0
    cap: _Cap = msgspec.field(default_factory=_Cap)
    api_keys: list[str] | None = None


Positive = Annotated[float, Meta(ge=1, le=MAX_AMOUNT)]

# Limits of the configuration: name, field of HttpLimits, and its type.
LIMITS = (
    ("max_header_bytes", "max_header_bytes", int),
    ("max_body_bytes", "max_body_bytes", int),
    ("header_timeout_ms", "header_timeout_s", lambda ms: ms / 1000),
    ("idle_timeout_ms", "idle_timeout_s", lambda ms: ms / 1000),
)


class Config(NamedTuple):
    """A configuration.

    ``routes`` holds (host, path prefix, Queue), those with the longest prefix first;
    ``queues`` maps queue names to Queues, ``workspaces`` names to WorkspaceTerms;
    ``limits`` hold for callers' requests.
    ``keys`` is the table of ``access.key_table``, None without workspaces;
    ``public_queues`` are the names of the queues that need no key.
    """

    version: int
    routes: list
    queues: dict
    limits: HttpLimits
    workspaces: dict
    keys: dict | None
    public_queues: frozenset


class Target(NamedTuple):
    """The queue and job that a request addresses.

    ``job_id`` is empty if the request addresses the queue itself.
    """

    queue: Queue
    job_id: str


def decode_config(value):
    """Return the Config in the operators' row, or None if the row is malformed."""
    try:
        raw = msgspec.json.decode(value)
        found = _decode_each("route", raw["routes"], _decode_route)
        routes = [(r.host, r.path_prefix, _queue_of(r)) for r in found]
        routes.sort(key=lambda route: -len(route[1]))
        named = raw.get("tenants") or ()
        tenants = _decode_each("tenant", named, _decode_tenant)
        return Config(
            msgspec.convert(raw["version"], Whole),
            routes,
            {queue.name: queue for _, _, queue in routes},
            _decode_limits(raw["limits"]),
            {t.name: _workspace_of(t) for t in tenants},
            # Calls need keys as soon as tenants are named, also if none can be read.
            key_table((k, t.name) for t in tenants for k in t.api_keys or ())
            if named
            else None,
            frozenset(r.name for r in found if r.public),
        )
    except (
        msgspec.DecodeError,
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return None


def _decode_each(kind, items, decode):
    """Return the decoded items; one that is odd is left out, and the others hold."""
    if not isinstance(items, list | tuple):
        raise TypeError(f"the configuration has no list of each {kind}")
    found = []
    for number, item in enumerate(items):
        try:
            found.append(decode(item))
        except (AttributeError, TypeError, ValueError) as exc:
            reason = str(exc)[:MAX_REASON_CHARS]
            log("error", "item_unreadable", kind=kind, number=number, reason=reason)
    return found


def _decode_limits(raw):
    """Return the HttpLimits; one that is odd has its default."""
    found = {}
    for name, field, convert in LIMITS:
        try:
            found[field] = convert(msgspec.convert(raw[name], Positive))
        except msgspec.ValidationError as exc:
            log("error", "item_unreadable", kind="limit", name=name, reason=str(exc))
    return HttpLimits(**found)


def _decode_route(raw):
    # An empty ``advice`` is none.
    fields = {
        **raw,
        "advice": raw.get("advice") or None,
        "public": bool(raw.get("public")),
    }
    return msgspec.convert(fields, _Route)


def _decode_tenant(raw):
    fields = {**raw, "cap": raw.get("cap") or {}}
    tenant = msgspec.convert(fields, _Tenant)
    key_table((key, tenant.name) for key in tenant.api_keys or ())
    return tenant


def _workspace_of(tenant):
    cap = tenant.cap
    return WorkspaceTerms(
        name=tenant.name,
        weight=tenant.weight,
        cap=(int(cap.cpu), int(cap.mem_mb), int(cap.gpu)),
    )


def _queue_of(route):
    advice = route.advice
    if advice is not None:
        advice = AdvicePolicy(
            advice.decision_ms / 1000, advice.period_ms / 1000, advice.valid_ms / 1000
        )
    return Queue(
        name=route.name,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        slo_s=route.latency_slo_ms / 1000,
        advice=advice,
    )


def find_target(cfg, host, path):
    """Return the Target of a request, or None if it addresses no queue or job.

    A port in ``host`` is ignored.
    """
    name = host.rsplit(":", 1)[0]
    for route_host, prefix, queue in cfg.routes:
        if route_host == name and path.startswith(prefix):
            rest = path[len(prefix) :]
            if not rest:
                return Target(queue, "")
            if len(rest) == ID_DIGITS and set(rest.lower()) <= HEX:
                return Target(queue, rest)
            return None
    return None


def decode_job(target, body):
    """Decode a submitted job; return (JobSpec, None), or (None, error message)."""
    try:
        raw = msgspec.json.decode(body)
        steps = tuple(_decode_step(step) for step in raw["steps"])
        spec = JobSpec(
            id=target.job_id,
            queue=target.queue,
            payload=_require_text(raw.get("spec", "")),
            steps=steps,
            occurrences=int(raw.get("times", 0)),
            # Wall-clock time of the first occurrence, in seconds.
            first_due_at=raw.get("start_at_ms", 0) / 1000,
            interval_s=raw.get("interval_ms", 0) / 1000,
        )
    except (
        msgspec.DecodeError,
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        return None, f"cannot decode the job: {exc}"[:MAX_REASON_CHARS]
    problem = job_problem(spec)
    return (None, problem) if problem else (spec, None)


def _require_text(value):
    if not isinstance(value, str):
        raise TypeError("spec, requires or affinity is not a string")
    return value


def _decode_step(raw):
    return StepSpec(
        count=int(raw["count"]),
        cpu=int(raw.get("cpu", 0)),
        memory_mb=int(raw.get("mem_mb", 0)),
        accelerators=int(raw.get("gpu", 0)),
        estimate_s=raw.get("estimate_ms", 0) / 1000,
        after=tuple(int(number) for number in raw.get("after", ())),
        gang=bool(raw.get("gang", False)),
        one_rack=bool(raw.get("tightly_coupled", False)),
        label=_require_text(raw.get("requires", "")),
        near_rack=_require_text(raw.get("affinity", "")),
        max_per_worker=int(raw.get("anti_affinity", 0)),
        speculative=bool(raw.get("speculative", False)),
        long_running=bool(raw.get("runs_forever", False)),
        checkpoints=bool(raw.get("checkpoints", False)),
        backfill=bool(raw.get("fills", False)),
    )
