"""Requests sent to entries of other failure domains over their public HTTP interface.

Each entry publishes its HTTP address in a row ``entries/<fd>/<id>``: views hold the
addresses of the inboxes only. A row may outlive its entry, so that only rows of the
view's members count; an attempt that cannot connect gives ``NOT_RUN``.
"""

from . import idempotency
from .errors import DEADLINE_EXCEEDED, NO_UPSTREAM, UPSTREAM_FAILED, PlatformError
from .pending_request import FORWARDED_HEADER, FORWARDED_NONCE_HEADER
from .upstream_client import AttemptResult, parse_attempt_result
from .verdicts import Verdict

__all__ = ["Directory", "forward", "publish", "withdraw"]

# Entries change rarely; a list this old costs at most a failed attempt.
DIRECTORY_TTL_S = 5.0


class Directory:
    """Known addresses: peers of the own view, HTTP addresses of other domains."""

    def __init__(self):
        self.peers = []
        # Failure domain to (time read, list of addresses).
        self.entries = {}
        # Failure domain to callbacks that wait for the list.
        self.waiting = {}


def _row_key(entry):
    return f"entries/{entry.identity.failure_domain}/{entry.identity.id}"


def publish(entry):
    """Write the own HTTP address; tried again until it succeeds."""
    value = {
        "http_address": entry.identity.http_address,
        "incarnation": entry.identity.incarnation,
    }

    def written(result):
        if isinstance(result, PlatformError) and not entry.leaving:
            entry.loop.call_later(DIRECTORY_TTL_S, lambda: publish(entry))

    entry.platform.txn([], [[_row_key(entry), value]], [], written)


def withdraw(entry, on_done):
    """Delete the own row; ``on_done()`` is called whether or not that worked."""
    entry.platform.txn([], [], [_row_key(entry)], lambda result: on_done())


def _lookup(entry, failure_domain, on_done):
    """Give the HTTP addresses of a failure domain's entries."""
    directory = entry.directory
    known = directory.entries.get(failure_domain)
    if known is not None and entry.loop.now() - known[0] < DIRECTORY_TTL_S:
        on_done(known[1])
        return
    waiting = directory.waiting.setdefault(failure_domain, [])
    waiting.append(on_done)
    if len(waiting) > 1:
        return

    def finish(addresses):
        directory.entries[failure_domain] = entry.loop.now(), addresses
        for callback in directory.waiting.pop(failure_domain):
            callback(addresses)

    def listed(rows):
        if isinstance(rows, PlatformError):
            finish(known[1] if known is not None else [])
            return
        view_key = f"views/{failure_domain}"
        entry.platform.get(view_key, lambda view: finish(_members(rows, view)))

    entry.platform.list_rows(f"entries/{failure_domain}/", listed)


def _members(rows, view):
    """Return the addresses of the rows whose entries are in the view."""
    known = not isinstance(view, PlatformError) and view.version
    members = view.value["members"] if known else {}
    return [
        row.value["http_address"]
        for row in rows
        if not known
        or members.get(row.key.rpartition("/")[2], {}).get("incarnation")
        == row.value["incarnation"]
    ]


def parse_forwarded_result(result, request_id):
    """Return the AttemptResult of another entry's HttpResult; its verdict counts."""
    answer = parse_attempt_result(result, request_id)
    verdict = Verdict.__members__.get(result.headers.get("x-verdict"))
    if result.status is None or verdict is Verdict.RAN:
        return answer._replace(leaving=False)
    if verdict is None:
        verdict = Verdict.MAY_HAVE_RUN
    code = DEADLINE_EXCEEDED if result.status == 504 else UPSTREAM_FAILED
    text = f"another failure domain answered {result.status}"
    return AttemptResult(verdict, code, text, False)


def _proof(entry, pending):
    """Return the header that shows the receiver who holds the request's key."""
    if pending.key is None:
        return ()
    return (
        (FORWARDED_NONCE_HEADER, idempotency.nonce_of(entry.idempotency, pending.key)),
    )


def forward(entry, failure_domain, pending, on_done):
    """Send a request to one entry of a failure domain; gives an AttemptResult."""

    def send(addresses):
        left_s = pending.deadline - entry.loop.now()
        if not addresses or left_s <= 0:
            text = f"no entry of {failure_domain} can be reached"
            answer = AttemptResult(Verdict.NOT_RUN, NO_UPSTREAM, text, False)
            # A retry within the same turn would try the same list again at once.
            entry.loop.call_soon(lambda: on_done(answer))
            return
        attempt_id = pending.next_attempt_id()
        entry.client.request(
            entry.rng.choice(addresses),
            "POST",
            f"/v1/services/{pending.service}/{pending.operation}",
            lambda result: on_done(parse_forwarded_result(result, attempt_id)),
            headers=(
                ("X-Request-Id", attempt_id),
                ("X-Timeout-Ms", str(max(1, int(left_s * 1000)))),
                (FORWARDED_HEADER, entry.identity.failure_domain),
                *_proof(entry, pending),
                *pending.headers,
            ),
            body=pending.call.request.body,
            timeout_s=left_s,
        )

    _lookup(entry, failure_domain, send)
