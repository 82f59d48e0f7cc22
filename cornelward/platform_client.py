"""Client of the platform: transactional table, object store, membership.

Results are passed to ``on_done``. A failure is a PlatformError whose ``applied`` is
None if the call was a write that may have taken effect, otherwise False.
"""

from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec

from .errors import PlatformError
from .rows import Conflict, Row

__all__ = ["Conflict", "Platform", "Row", "connect_platform"]

PAGE_ROWS = 500


class Platform(NamedTuple):
    """The platform's operations, as functions that pass their result to ``on_done``.

    ``get(key, on_done)`` gives a Row, ``list_rows(prefix, on_done)`` a list of Rows,
    ``txn(checks, puts, deletes, on_done)`` a dict of versions or a Conflict,
    ``members(on_done)`` a list of dicts, ``put_object(key, body, on_done)`` True,
    ``get_object(key, on_done)`` bytes or None if there is no such object. Each gives a
    PlatformError on failure.
    """

    get: Any
    list_rows: Any
    txn: Any
    members: Any
    put_object: Any
    get_object: Any


def connect_platform(client, addr, failure_domain, timeout_s, observe=None):
    """Return the Platform at ``addr``.

    A call is given up after ``timeout_s`` without a byte of its response. Documents,
    objects and pages have no limit on their size.

    ``observe(operation, outcome)`` is called at the end of each call; outcomes are
    ``ok``, ``conflict`` and ``failed``.
    """
    call = _make_call(client, addr, failure_domain, timeout_s, observe)
    return Platform(
        get=_make_get(call),
        list_rows=_make_list_rows(call),
        txn=_make_txn(call),
        members=_make_members(call),
        put_object=_make_put_object(call),
        get_object=_make_get_object(call),
    )


def _make_call(client, addr, failure_domain, timeout_s, observe):
    domain = (("X-Failure-Domain", failure_domain),)

    def call(
        operation, method, path, convert, on_done, body=b"", write=False, headers=()
    ):
        def finish(result):
            outcome = _convert(result, convert)
            if outcome is None:
                applied = None if write and result.sent else False
                reason = result.error or f"status {result.status}"
                outcome = PlatformError(f"platform {operation}: {reason}", applied)
            if observe is not None:
                observe(operation, _outcome_label(outcome))
            on_done(outcome)

        client.request(
            addr,
            method,
            path,
            finish,
            headers=(*domain, *headers),
            body=body,
            timeout_s=timeout_s,
            stall_s=timeout_s,
        )

    return call


def _convert(result, convert):
    """Return the decoded response, or None if the call failed."""
    if result.status is None:
        return None
    try:
        return convert(result)
    except (AttributeError, KeyError, TypeError):
        return None


def _make_get(call):
    def get(key, on_done):
        def convert(result):
            if result.status not in (200, 404):
                return None
            body = result.json()
            return Row(key, body.get("value"), body["version"])

        call("get", "GET", f"/table/{quote(key)}", convert, on_done)

    return get


def _make_list_rows(call):
    def convert(result):
        return result.json() if result.status == 200 else None

    def list_rows(prefix, on_done, after="", rows=()):
        def finish(page):
            if isinstance(page, PlatformError):
                on_done(page)
                return
            found = [*rows, *(Row(**row) for row in page["rows"])]
            if page["more"]:
                list_rows(prefix, on_done, found[-1].key, found)
            else:
                on_done(found)

        path = f"/table?prefix={quote(prefix)}&limit={PAGE_ROWS}&after={quote(after)}"
        call("list", "GET", path, convert, finish)

    return list_rows


def _make_txn(call):
    def convert(result):
        if result.status == 200:
            return result.json()["versions"]
        if result.status == 409:
            return Conflict(result.json()["conflicts"])
        return None

    def txn(checks, puts, deletes, on_done):
        body = msgspec.json.encode({"checks": checks, "puts": puts, "deletes": deletes})
        call("txn", "POST", "/txn", convert, on_done, body, write=True)

    return txn


def _make_members(call):
    # The list of 1,000 instances has about 190 KB and is read every second. With the
    # ETag of the last list in the request, an unchanged list is not sent again.
    etag, instances = None, None

    def convert(result):
        nonlocal etag, instances
        if result.status == 304 and etag is not None:
            return instances
        if result.status != 200:
            return None
        instances = result.json()["instances"]
        etag = result.headers.get("etag")
        return instances

    def members(on_done):
        headers = () if etag is None else (("If-None-Match", etag),)
        call("members", "GET", "/members", convert, on_done, headers=headers)

    return members


def _make_put_object(call):
    def convert(result):
        return True if result.status == 200 else None

    def put_object(key, body, on_done):
        path = f"/objects/{quote(key)}"
        call("put_object", "PUT", path, convert, on_done, body, write=True)

    return put_object


def _make_get_object(call):
    def convert(result):
        return result if result.status in (200, 404) else None

    def get_object(key, on_done):
        def finish(result):
            if not isinstance(result, PlatformError):
                result = result.body if result.status == 200 else None
            on_done(result)

        call("get_object", "GET", f"/objects/{quote(key)}", convert, finish)

    return get_object


def _outcome_label(outcome):
    if isinstance(outcome, PlatformError):
        return "failed"
    return "conflict" if isinstance(outcome, Conflict) else "ok"
