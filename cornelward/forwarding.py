"""Forwards requests to entries of other failure domains over their HTTP interface.

Each entry publishes its HTTP address in the row ``entries/<fd>/<id>``, because views
hold the addresses for peer messages only. A row may outlive its entry, so only rows of
members of the view are used; an attempt that cannot connect gives ``NOT_RUN``.
"""

from . import idempotency
from .errors import DEADLINE_EXCEEDED, NO_UPSTREAM, UPSTREAM_FAILED, PlatformError
from .pending_request import FORWARDED_HEADER, FORWARDED_NONCE_HEADER
from .upstream_client import AttemptResult, parse_attempt_result
from .verdicts import Verdict

__all__ = ["Directory", "forward", "publish", "withdraw"]

# Maximum age of a cached address list, and interval between attempts to publish the own
# address. Entries change rarely, and a stale list costs at most one failed attempt.
DIRECTORY_TTL_S = 5.0


class Directory:
    """Cached addresses: peers of the own view, and HTTP addresses of other domains."""

    def __init__(self):
        self.peers = []
        # Failure domain to (time of the read, list of HTTP addresses).
        self.entries = {}
        # Failure domain to the callbacks of look-ups in progress.
        self.waiting = {}


def _row_key(entry):
    return f"entries/{entry.identity.failure_domain}/{entry.identity.id}"


def publish(entry):
    """Write the row with the own HTTP address; failed writes are repeated."""
    value = {
        "http_address": entry.identity.http_address,
        "incarnation": entry.identity.incarnation,
    }

    def written(result):
        if isinstance(result, PlatformError) and not entry.leaving:
            entry.loop.call_later(DIRECTORY_TTL_S, lambda: publish(entry))

    entry.platform.txn([], [[_row_key(entry), value]], [], written)


def withdraw(entry, on_done):
    """Delete the own row; calls ``on_done()`` whether or not the delete succeeded."""
    entry.platform.txn([], [], [_row_key(entry)], lambda result: on_done())


def _look_up_addresses(entry, failure_domain, on_done):
    """Call ``on_done(addresses)`` with the HTTP addresses of a domain's entries.

    If the read fails, the addresses of the last successful read are used, if any.
    """
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
        entry.platform.get(view_key, lambda view: finish(_member_addresses(rows, view)))

    entry.platform.list_rows(f"entries/{failure_domain}/", listed)


def _member_addresses(rows, view):
    """Return the addresses of the rows whose entries are members of the view.

    ``view`` is the row ``views/<fd>``; if it cannot be read, all rows are used.
    """
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
    """Return the AttemptResult of a forwarded request.

    The verdict is the one in the other entry's response; MAY_HAVE_RUN if it has none.
    """
    answer = parse_attempt_result(result, request_id)
    verdict = Verdict.__members__.get(result.headers.get("x-verdict"))
    if result.status is None or verdict is Verdict.RAN:
        return answer._replace(leaving=False)
    if verdict is None:
        verdict = Verdict.MAY_HAVE_RUN
    code = DEADLINE_EXCEEDED if result.status == 504 else UPSTREAM_FAILED
    text = f"an entry of another failure domain answered with status {result.status}"
    return AttemptResult(verdict, code, text, False)


def _nonce_header(entry, pending):
    """Return the headers that prove that this entry holds the request's key."""
    if pending.key is None:
        return ()
    return (
        (FORWARDED_NONCE_HEADER, idempotency.nonce_of(entry.idempotency, pending.key)),
    )


def forward(entry, failure_domain, pending, on_done):
    """Send a request to a random entry of a failure domain.

    Calls ``on_done`` with an AttemptResult, NOT_RUN if no entry is known.
    """

    def send(addresses):
        left_s = pending.deadline - entry.loop.now()
        if not addresses or left_s <= 0:
            text = f"no entry of {failure_domain} can be reached"
            answer = AttemptResult(Verdict.NOT_RUN, NO_UPSTREAM, text, False)
            # The result is deferred to the next turn of the event loop: a retry within
            # this turn would use the same address list again at once.
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
                *_nonce_header(entry, pending),
                *pending.headers,
            ),
            body=pending.call.request.body,
            timeout_s=left_s,
        )

    _look_up_addresses(entry, failure_domain, send)
