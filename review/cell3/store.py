"""Stand-in for the platform's store: rows, transactions and change feeds.

Each node has a port of its own, so that faults may affect some nodes only.
"""

import asyncio
import base64
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

from .http import DROP, SILENT, Server

__all__ = ["Port", "Store"]

ANSWER_S, TXN_S = 0.004, 0.005
PAGE_ROWS = 500
MAX_ENTRIES, MAX_TXN_BYTES, ROW_BYTES = 100, 1_000_000, 65_536


class Port:
    """One node's way to the store, with its faults.

    ``fault`` is None, ``busy`` (503), ``reset`` or ``silent``; ``lost`` is the share of
    transactions that are done and not answered, ``late`` says that those are done 1 to
    6 s later; ``slow_s`` delays each answer.
    """

    def __init__(self, store):
        self.store = store
        self.fault = None
        self.lost = 0.0
        self.late = False
        self.slow_s = 0.0
        self.server = Server(self.handle)

    async def handle(self, method, target, headers, body):
        if self.fault == "busy":
            return 503, {}
        if self.fault == "reset":
            return DROP
        if self.fault == "silent":
            return SILENT
        await asyncio.sleep(ANSWER_S + self.slow_s)
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        if url.path == "/rows-tx":
            return await self._transact(json.loads(body))
        if url.path == "/rows-get":
            return self.store.list_rows(query)
        if url.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _transact(self, body):
        is_lost = self.store.rng.random() < self.lost
        if is_lost and self.late:
            delay_s = self.store.rng.uniform(1.0, 6.0)
            asyncio.get_running_loop().call_later(
                delay_s, lambda: self.store.transact(body)
            )
            return SILENT
        parts = {e["part"] for e in body["expected_revision"] + body["writes"]}
        for part in parts:
            async with self.store.locks.setdefault(part, asyncio.Lock()):
                await asyncio.sleep(TXN_S + self.slow_s)
        if self.fault is not None:
            return SILENT
        result = self.store.transact(body)
        return SILENT if is_lost else result

    async def _feed(self, query):
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        result = await self.store.feed(query["table"], after, wait_s)
        return SILENT if self.fault is not None else result


class Store:
    """The rows; ``on_row(table, key, value)`` is called for each change."""

    def __init__(self, seed=1):
        self.rng = random.Random(f"store {seed}")
        self.rows = {}
        self.version = 0
        self.changes = []
        self.changed = asyncio.Event()
        self.locks = {}
        # Transactions that are over a limit, which are answered with 400.
        self.refused = 0
        # The feed has no changes up to this version any more.
        self.oldest = 0

    def revision(self):
        return {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def put(self, table, key, value, part=""):
        """Write a row as the operator or an executor does; None removes it."""
        self._apply([((table, part, key), value)])

    def _apply(self, writes):
        self.version += 1
        for name, value in writes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.changes.append((self.version, name))
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        text = base64.b64encode(value).decode()
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": text,
            "row_version": version,
        }

    def transact(self, body):
        def name(entry):
            return entry["table"], entry["part"], entry["key"]

        expected, writes = body["expected_revision"], body["writes"]
        remove = body["remove"]
        entries = [*expected, *writes, *remove]
        values = [(name(w), base64.b64decode(w["value"])) for w in writes]
        is_odd = len(entries) > MAX_ENTRIES or len({e["part"] for e in entries}) > 1
        if is_odd or any(len(v) > ROW_BYTES for _, v in values):
            self.refused += 1
            return 400, {}
        if any(e["table"] in ("op", "servers") for e in [*writes, *remove]):
            return 403, {}
        wrong = any(
            self.rows.get(name(e), (None, 0))[1] != e["row_version"] for e in expected
        )
        if wrong:
            found = [self._row(name(e)) for e in expected if name(e) in self.rows]
            return 412, {"rows": found, **self.revision()}
        self._apply([*values, *((name(e), None) for e in remove)])
        return 200, self.revision()

    def list_rows(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        limit = int(query.get("limit", PAGE_ROWS))
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (table, part)
            and name[2] >= first
            and (not end or name[2] < end)
        )
        page = names[: min(limit, PAGE_ROWS)]
        more = len(names) > len(page)
        rows = [self._row(name) for name in page]
        return 200, {"rows": rows, "has_more": more, **self.revision()}

    async def feed(self, table, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if after < self.oldest:
                return 410, {}
            found = self._changes(table, after)
            left_s = end - time.monotonic()
            if found or left_s <= 0:
                return 200, {"rows": found, **self.revision()}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _changes(self, table, after):
        latest = {}
        for version, name in reversed(self.changes):
            if version <= after:
                break
            if name[0] == table:
                latest.setdefault(name, version)
        rows = []
        for name, version in sorted(latest.items(), key=lambda item: item[1]):
            if name in self.rows:
                rows.append(self._row(name))
            else:
                table, part, key = name
                rows.append(
                    {
                        "table": table,
                        "part": part,
                        "key": key,
                        "deleted": True,
                        "row_version": version,
                    }
                )
        return rows
