"""Handles callers' requests about jobs: admits calls and stores submitted jobs.

A job is accepted once its row is stored. Requests about existing jobs go to
``node_job_states``.
"""

from . import access, node_config
from .errors import (
    BAD_REQUEST,
    CONFLICT,
    NOT_FOUND,
    PLATFORM_UNAVAILABLE,
    UNAUTHORIZED,
)
from .inserts import ACCEPTED, REFUSED, TAKEN
from .log import get_logger
from .node_inserts import store_job
from .node_job_states import cancel, show, show_pending
from .node_refusals import CLOSE_CONNECTION, refuse, refuse_store_unavailable
from .staged_jobs import QUEUED, encode_spec
from .verdicts import Verdict
from .workspaces import cap_problem

__all__ = ["handle_request", "timeout_s"]

log = get_logger("node_jobs")

# Deadline of a request that sends no Deadline-Ms header, and the longest one.
DEFAULT_TIMEOUT_S = 3.0
MAX_TIMEOUT_S = 60.0
MAX_TIMEOUT_DIGITS = 12
# Characters of a path that a log line shows.
MAX_PATH_CHARS = 100
# Memory that a decoded step takes.
STEP_BYTES = 500
# Reserved for sending the response to the caller.
RESPONSE_MARGIN_S = 0.15
# RFC 9110 requires this header in a 401 response.
ASK_FOR_KEY = (("WWW-Authenticate", "Bearer"),)
# Reason of a refusal besides those of ``access``.
NO_ROUTE = "no_route"


def handle_request(node, call):
    """Handle one request of a caller."""
    if node.config is None:
        refuse(
            call,
            503,
            PLATFORM_UNAVAILABLE,
            "this node has not read its configuration yet",
        )
        return
    if node_config.is_outdated(node):
        _note_refusal(node, call, "outdated")
        text = "this node does not have the newest configuration"
        refuse(
            call, 503, PLATFORM_UNAVAILABLE, text, retry_s=0, headers=CLOSE_CONNECTION
        )
        return
    target, decision = _admit(node, call)
    if decision.refusal is None:
        _serve(node, call, target, decision)
    elif node_config.is_confirmed(node):
        _refuse_admission(node, call, decision.refusal)
    else:
        # The newest configuration may admit the call.
        node_config.confirm(node, lambda: _decide_again(node, call))


def _admit(node, call):
    """Return (Target or None, access.Decision) of a request."""
    cfg, headers = node.config, call.request.headers
    target = node.deps.find_target(cfg, headers.get("host", ""), call.request.path)
    if target is None:
        return None, access.Decision(NO_ROUTE)
    is_public = target.queue.name in cfg.public_queues
    return target, access.decide(cfg.keys, is_public, headers.get("authorization", ""))


def _decide_again(node, call):
    """Decide about a request after other nodes were asked for the configuration."""
    target, decision = _admit(node, call)
    if decision.refusal is None:
        _serve(node, call, target, decision)
    elif node_config.is_confirmed(node):
        _refuse_admission(node, call, decision.refusal)
    else:
        _note_refusal(node, call, "unconfirmed")
        text = "this node may not have the newest configuration"
        refuse(call, 503, PLATFORM_UNAVAILABLE, text, headers=CLOSE_CONNECTION)


def _note_refusal(node, call, reason):
    node.deps.metrics.refusals.labels(reason).inc()
    age = node_config.age_s(node)
    log(
        "info",
        "not_admitted",
        reason=reason,
        path=call.request.path[:MAX_PATH_CHARS],
        version=node.config.version,
        age_s=None if age is None else round(age, 2),
    )


def _refuse_admission(node, call, reason):
    _note_refusal(node, call, reason)
    if reason == NO_ROUTE:
        text = "unknown queue or invalid job id"
        refuse(call, 404, NOT_FOUND, text, retry_s=0)
    else:
        text = "the call has no key" if reason == access.KEY_MISSING else "unknown key"
        refuse(call, 401, UNAUTHORIZED, text, retry_s=0, headers=ASK_FOR_KEY)


def _serve(node, call, target, decision):
    method = call.request.method
    if not target.job_id:
        show_pending(node, call, target)
    elif method == "POST":
        _submit(node, call, target, decision.owner)
    elif method == "GET":
        show(node, call, target.job_id, decision.caller)
    elif method == "DELETE":
        cancel(node, call, target.job_id, decision.caller)
    else:
        refuse(call, 405, BAD_REQUEST, "method not allowed", retry_s=0)


def timeout_s(call):
    """Return for how many seconds the caller waits for a response."""
    text = call.request.headers.get("deadline-ms", "")
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS):
        return DEFAULT_TIMEOUT_S
    return min(MAX_TIMEOUT_S, int(text) / 1000)


# Submit


def _submit(node, call, target, owner):
    spec, problem = node.deps.decode_job(target, call.request.body)
    if spec is None:
        refuse(call, 400, BAD_REQUEST, problem, retry_s=0)
        return
    terms = node.config.workspaces.get(owner)
    problem = terms and cap_problem(spec.steps, terms, node.settings.cap_overage)
    if problem:
        refuse(call, 400, BAD_REQUEST, problem, retry_s=0)
        return
    now = node.deps.now()
    spec = spec._replace(accepted_at=node.store.clock(now) or 0.0, workspace=owner)
    deadline = now + timeout_s(call) - RESPONSE_MARGIN_S
    value = encode_spec(spec)
    if len(value) > node.settings.row_bytes:
        # It would fail the transaction of all jobs that are stored with it.
        text = f"the job takes {len(value)} bytes of {node.settings.row_bytes} at most"
        refuse(call, 413, BAD_REQUEST, text, retry_s=0)
        return
    call.hold(2 * len(value) + STEP_BYTES * len(spec.steps))
    node.peer_state.payloads.add(spec.id, spec.payload)
    store_job(
        node,
        spec,
        value,
        deadline,
        lambda outcome: _answer_submit(node, call, spec, now, outcome),
    )


def _answer_submit(node, call, spec, started_at, outcome):
    now = node.deps.now()
    node.deps.metrics.observe_request("submit", outcome, now - started_at)
    if outcome == ACCEPTED:
        call.answer_json(200, {"state": QUEUED})
        return
    if outcome == TAKEN:
        refuse(call, 409, CONFLICT, "the id is in use: choose another", retry_s=0)
        return
    log(
        "warning",
        "submit_failed",
        job=spec.id,
        outcome=outcome,
        leader=node.leadership.leader_address,
        leader_heard_s=round(now - node.leadership.leader_seen_at, 2),
        store_failing_s=round(node.health.failing_s(now), 2),
    )
    if outcome == REFUSED:
        refuse_store_unavailable(node, call)
    else:
        # The job may have been stored; the caller submits it again with the same id.
        text = "the store did not answer in time; the job may have been stored"
        refuse(call, 504, PLATFORM_UNAVAILABLE, text, verdict=Verdict.MAY_HAVE_RUN)
