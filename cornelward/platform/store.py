"""Client of the platform's metadata store: rows, transactions and the change feed."""

import base64
import functools
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec

from .. import store_calls
from ..commits import Applied, Refused, Rows, Unknown
from ..log import get_logger

log = get_logger("store")

__all__ = ["Changes", "HistoryLost", "Listing", "Store", "StoreRow", "connect_store"]

# Read of one small row, to learn whether a silent store answers again.
PROBE_PATH = "/rows-get?table=leader&part=&limit=1"
# Calls that take longer are logged; the store normally answers within 5 ms.
SLOW_CALL_S = 0.3
MAX_REASON_CHARS = 200


class StoreRow(NamedTuple):
    """One row; ``value`` is None if the row was removed or its value is malformed."""

    key: str
    value: bytes | None
    version: int


class Listing(NamedTuple):
    """Rows of one table and partition.

    ``version`` is the newest version in the store, ``now_s`` the time of its clock.
    """

    rows: list
    version: int
    now_s: float


class _Page(NamedTuple):
    """One page of a listing; ``more`` is true if further pages follow."""

    listing: Listing
    more: bool


class Changes(NamedTuple):
    """Rows that changed after a version, in order of their change.

    ``version`` is the version up to which the changes are complete.
    """

    rows: list
    version: int


class HistoryLost(NamedTuple):
    """The store no longer has all changes after the requested version."""


# Tables that other programs write: the workers' registry and the operators'
# configuration.
REGISTRY_TABLE = "servers"
CONFIG_TABLE = "op"
# Key of the configuration's row; other rows of that table request maintenance.
CONFIG_KEY = "config"


class Store(NamedTuple):
    """The store's operations, as functions that pass their result to ``on_done``.

    ``commit(part, expected, writes, on_done)`` gives Applied, Rows, Refused or
    Unknown; ``read(table, part, on_done, first, end)`` a Listing, Refused or Unknown;
    ``follow(table, after, wait_s, on_done)`` Changes, HistoryLost, Refused or Unknown.
    ``clock(now)`` returns the estimated time of the store's clock in seconds, or None
    before the first listing. ``watch(interval_s)`` is to be called about ten times a
    second: it gives up calls that were lost, and while the store is silent it asks each
    ``interval_s`` whether it answers again. The other fields name the tables and the
    row that other programs write.
    """

    commit: Any
    read: Any
    follow: Any
    clock: Any
    watch: Any
    registry_table: str = REGISTRY_TABLE
    config_table: str = CONFIG_TABLE
    config_key: str = CONFIG_KEY


class _Link:
    """The calls of this process to the store at ``addr``.

    ``exchanges`` maps the number of a call under way to its exchange. ``clock_s`` is
    the store's time in its last listing, and ``clock_at`` when that arrived.
    """

    __slots__ = (
        "addr",
        "calls",
        "client",
        "clock_at",
        "clock_s",
        "exchanges",
        "now",
        "observe",
    )

    def __init__(self, client, addr, now, observe):
        self.client = client
        self.addr = addr
        self.now = now
        self.observe = observe
        self.calls = store_calls.StoreCalls()
        self.exchanges = {}
        self.clock_at = self.clock_s = None


def connect_store(client, addr, now, observe):
    """Return the Store at ``addr``.

    ``observe(operation, outcome, seconds)`` is called at the end of each call with the
    time until the answer began to arrive; how long the rest takes depends on its size.
    The outcome of a call that was given up is ``abandoned``.
    """
    link = _Link(client, addr, now, observe)
    call = functools.partial(_call, link)

    def estimate_clock(at):
        return None if link.clock_at is None else link.clock_s + (at - link.clock_at)

    def watch(interval_s):
        _abandon(link, store_calls.overtaken(link.calls, now()))
        if store_calls.is_probe_due(link.calls, now(), interval_s):
            call("probe", "GET", PROBE_PATH, b"", 0.0, _convert_page, lambda page: None)

    return Store(
        _make_commit(call), _make_read(call), _make_follow(call), estimate_clock, watch
    )


def _call(link, operation, method, path, body, wait_s, convert, on_done):
    """Send a call; the store may delay its answer for ``wait_s``."""
    number, limit_s = store_calls.start(link.calls, link.now(), operation, wait_s)
    sent_at = link.now()

    def finish(result):
        outcome = _convert(result, convert)
        now = link.now()
        link.exchanges.pop(number, None)
        answered_at = link.calls.under_way[number].answered_at
        answered_s = (now if answered_at is None else answered_at) - sent_at
        if now - sent_at > wait_s + SLOW_CALL_S:
            _log_slow_call(operation, result, outcome, now - sent_at, limit_s)
        lost = store_calls.finish(link.calls, now, number, _result_kind(result))
        if result.error == "timeout":
            # The cause may affect the other idle connections too, so close them.
            link.client.close_idle(link.addr)
        if isinstance(outcome, _Page):
            link.clock_at, link.clock_s = now, outcome.listing.now_s
        link.observe(operation, _outcome_name(result, outcome), answered_s)
        try:
            _abandon(link, lost)
        finally:
            # Also after an error in the handler of a call that was given up.
            on_done(outcome)

    exchange = link.client.request(
        link.addr,
        method,
        path,
        finish,
        headers=(("Content-Type", "application/json"),) if body else (),
        body=body,
        timeout_s=limit_s,
        stall_s=store_calls.STALL_S,
        on_progress=lambda: store_calls.note_received(link.calls, link.now(), number),
    )
    if number in link.calls.under_way:
        link.exchanges[number] = exchange


def _abandon(link, numbers):
    for number in numbers:
        if number in link.exchanges:
            link.client.abandon(link.exchanges[number])


def _outcome_name(result, outcome):
    if result.error == "abandoned":
        return "abandoned"
    return type(outcome).__name__.strip("_").lower()


def _log_slow_call(operation, result, outcome, taken_s, limit_s):
    log(
        "warning",
        "slow_call",
        operation=operation,
        outcome=_outcome_name(result, outcome),
        taken_s=round(taken_s, 2),
        limit_s=round(limit_s, 2),
        received=result.received,
    )


def _result_kind(result):
    if result.error == "timeout":
        return store_calls.TIMED_OUT
    answered = result.status in (200, 410, 412)
    return store_calls.ANSWERED if answered else store_calls.FAILED


def _convert(result, convert):
    """Return the decoded response, Refused (nothing was done) or Unknown."""
    if result.status is None:
        kind = Unknown if result.sent else Refused
        return kind(result.error)
    if result.status in (429, 503):
        return Refused(f"status {result.status}")
    try:
        return convert(result)
    except Exception as exc:
        # Without a result, what asked would wait for ever.
        reason = repr(exc)[:MAX_REASON_CHARS]
        log("warning", "answer_unreadable", status=result.status, reason=reason)
        return Unknown(f"status {result.status}: {reason}")


def _whole(value):
    if type(value) is not int:
        raise TypeError("a version is no whole number")
    return value


def _row(raw):
    value, key = None, raw["key"]
    if not isinstance(key, str):
        raise TypeError("a key is no text")
    if not raw.get("deleted"):
        try:
            value = base64.b64decode(raw["value"], validate=True)
        except (KeyError, TypeError, ValueError) as exc:
            log("warning", "value_unreadable", key=key, reason=repr(exc))
    return StoreRow(key, value, _whole(raw["row_version"]))


def _make_commit(call):
    def convert(result):
        body = result.json()
        if result.status == 200:
            return Applied(_whole(body["row_version"]))
        if result.status == 412:
            found = [(raw["table"], _row(raw)) for raw in body["rows"]]
            return Rows({(t, row.key): (row.value, row.version) for t, row in found})
        return Unknown(f"status {result.status}")

    def commit(part, expected, writes, on_done):
        def name(table, key):
            return {"table": table, "part": part, "key": key}

        body = {
            "expected_revision": [
                name(table, key) | {"row_version": version}
                for table, key, version in expected
            ],
            "writes": [
                name(w.table, w.key) | {"value": base64.b64encode(w.value).decode()}
                for w in writes
                if w.value is not None
            ],
            "remove": [name(w.table, w.key) for w in writes if w.value is None],
        }
        data = msgspec.json.encode(body)
        call("commit", "POST", "/rows-tx", data, 0.0, convert, on_done)

    return commit


def _convert_page(result):
    body = result.json()
    if result.status != 200:
        return Unknown(f"status {result.status}")
    rows, more = [_row(raw) for raw in body["rows"]], bool(body.get("has_more"))
    if more and not rows:
        raise ValueError("a page without rows is not the last one")
    version, now_s = _whole(body["row_version"]), body["now_ms"] / 1000
    return _Page(Listing(rows, version, now_s), more)


def _make_read(call):
    def read(table, part, on_done, first="", end="", found=None):
        def finish(page):
            if not isinstance(page, _Page):
                on_done(page)
                return
            listing = page.listing
            if found is not None:
                # Keep the first page's version: the feed from that version on contains
                # the rows that change while the other pages are read.
                listing = found._replace(rows=found.rows + listing.rows)
            if page.more:
                after = listing.rows[-1].key + "\0"
                read(table, part, on_done, after, end, listing)
            else:
                on_done(listing)

        query = {"table": table, "part": part}
        if first:
            query["from"] = first
        if end:
            query["to"] = end
        path = f"/rows-get?{urlencode(query)}"
        call("read", "GET", path, b"", 0.0, _convert_page, finish)

    return read


def _make_follow(call):
    def convert(result):
        if result.status == 410:
            return HistoryLost()
        body = result.json()
        if result.status != 200:
            return Unknown(f"status {result.status}")
        rows = [_row(raw) for raw in body["rows"]]
        return Changes(rows, _whole(body["row_version"]))

    def follow(table, after, wait_s, on_done):
        query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        path = f"/rows-feed?{urlencode(query)}"
        call("follow", "GET", path, b"", wait_s, convert, on_done)

    return follow
