"""Client of the platform's metadata store: rows, transactions and the change feed."""

import base64
import binascii
import collections
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec

from ..commits import Applied, Refused, Rows, Unknown
from ..log import get_logger

log = get_logger("store")

__all__ = ["Changes", "HistoryLost", "Listing", "Store", "StoreRow", "connect_store"]

# A call times out after this many times the longest duration of the last ANSWERS_KEPT
# answered calls: soon enough that a lost response does not block the node for long,
# late enough that a slow store does not get the same call twice.
TIMEOUT_FACTOR = 4
TIMEOUT_MIN_S = 0.9
TIMEOUT_MAX_S = 3.0
ANSWERS_KEPT = 8
# Calls that take longer are logged; the store normally answers within 5 ms.
SLOW_CALL_S = 0.3
# Timeout of a feed call beyond the time for which the store may delay its response.
FEED_TIMEOUT_S = 0.8


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
    before the first listing. The other fields name the tables and the row that other
    programs write.
    """

    commit: Any
    read: Any
    follow: Any
    clock: Any
    registry_table: str = REGISTRY_TABLE
    config_table: str = CONFIG_TABLE
    config_key: str = CONFIG_KEY


class _AdaptiveTimeout:
    """Timeout of one kind of calls, derived from how long the last ones took."""

    __slots__ = ("limit_s", "taken_s")

    def __init__(self):
        self.taken_s = collections.deque(maxlen=ANSWERS_KEPT)
        self.limit_s = TIMEOUT_MIN_S

    def record(self, taken_s, answered):
        """Record how long a call took; one without an answer doubles the timeout."""
        if answered:
            self.taken_s.append(taken_s)
            target_s = TIMEOUT_FACTOR * max(self.taken_s)
            self.limit_s = min(TIMEOUT_MAX_S, max(TIMEOUT_MIN_S, target_s))
        else:
            self.limit_s = min(TIMEOUT_MAX_S, 2 * self.limit_s)


class _Clock:
    """The store's time in its last listing, and the local time when that arrived."""

    __slots__ = ("at", "now_s")

    def __init__(self):
        self.at = self.now_s = None


def connect_store(client, addr, now, observe):
    """Return the Store at ``addr``.

    ``observe(operation, outcome, seconds)`` is called at the end of each call.
    """
    clock = _Clock()
    timeouts = {"commit": _AdaptiveTimeout(), "read": _AdaptiveTimeout()}

    def call(operation, method, path, body, timeout_s, convert, on_done):
        adaptive = timeouts.get(operation)
        sent_at = now()

        def finish(result):
            outcome = _convert(result, convert)
            timed_out = result.error == "timeout"
            taken_s = now() - sent_at
            if adaptive is not None and taken_s > SLOW_CALL_S:
                log(
                    "warning",
                    "slow_call",
                    operation=operation,
                    outcome=type(outcome).__name__.strip("_").lower(),
                    taken_s=round(taken_s, 2),
                    limit_s=round(adaptive.limit_s, 2),
                )
            if adaptive is not None and (timed_out or result.status in (200, 412)):
                adaptive.record(taken_s, not timed_out)
            if timed_out:
                # The cause may affect the other idle connections too, so close them.
                client.close_idle(addr)
            if isinstance(outcome, _Page):
                clock.at, clock.now_s = now(), outcome.listing.now_s
            name = type(outcome).__name__.strip("_").lower()
            observe(operation, name, taken_s)
            on_done(outcome)

        client.request(
            addr,
            method,
            path,
            finish,
            headers=(("Content-Type", "application/json"),) if body else (),
            body=body,
            timeout_s=timeout_s if adaptive is None else adaptive.limit_s,
        )

    def estimate_clock(at):
        return None if clock.at is None else clock.now_s + (at - clock.at)

    return Store(
        _make_commit(call), _make_read(call), _make_follow(call), estimate_clock
    )


def _convert(result, convert):
    """Return the decoded response, Refused (nothing was done) or Unknown."""
    if result.status is None:
        kind = Unknown if result.sent else Refused
        return kind(result.error)
    if result.status in (429, 503):
        return Refused(f"status {result.status}")
    try:
        return convert(result)
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        return Unknown(f"status {result.status}: {exc!r}")


def _row(raw):
    value = None
    if not raw.get("deleted") and raw.get("value") is not None:
        try:
            value = base64.b64decode(raw["value"])
        except (binascii.Error, TypeError, ValueError):
            value = None
    return StoreRow(raw["key"], value, raw["row_version"])


def _make_commit(call):
    def convert(result):
        body = result.json()
        if result.status == 200:
            return Applied(body["row_version"])
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
        call("commit", "POST", "/rows-tx", data, None, convert, on_done)

    return commit


def _make_read(call):
    def convert(result):
        body = result.json()
        if result.status != 200:
            return Unknown(f"status {result.status}")
        rows = [_row(raw) for raw in body["rows"]]
        listing = Listing(rows, body["row_version"], body["now_ms"] / 1000)
        return _Page(listing, bool(body.get("has_more")))

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
        call("read", "GET", path, b"", None, convert, finish)

    return read


def _make_follow(call):
    def convert(result):
        if result.status == 410:
            return HistoryLost()
        body = result.json()
        if result.status != 200:
            return Unknown(f"status {result.status}")
        return Changes([_row(raw) for raw in body["rows"]], body["row_version"])

    def follow(table, after, wait_s, on_done):
        query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        path = f"/rows-feed?{urlencode(query)}"
        timeout_s = wait_s + FEED_TIMEOUT_S
        call("follow", "GET", path, b"", timeout_s, convert, on_done)

    return follow
