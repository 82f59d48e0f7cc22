"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import bisect
import contextlib
import time

from .web import Server

__all__ = ["Store"]

TXN_S = 0.005
PAGE_ROWS = 500
READ_ONLY = ("op", "servers")


class Store:
    """Versioned rows with transactions, listings and a change feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changes = []
        self.changed = asyncio.Event()
        self.locks = {}
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()

    def put(self, table, key, value):
        """Write a row as the operator or an executor does; None removes it."""
        self._apply([((table, "", key), value)])

    def _apply(self, writes):
        self.version += 1
        for name, value in writes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = value, self.version
            self.changes.append((self.version, name))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _revision(self):
        return {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def _row(self, name):
        value, version = self.rows[name]
        text = base64.b64encode(value).decode()
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": text,
            "row_version": version,
        }

    async def handle(self, request):
        if request.path == "/rows-tx":
            body = request.json()
            entries = [
                *body.get("expected_revision", []),
                *body.get("writes", []),
                *body.get("remove", []),
            ]
            lock = self.locks.setdefault(entries[0]["part"], asyncio.Lock())
            async with lock:
                await asyncio.sleep(TXN_S)
                return self._transact(body)
        if request.path == "/rows-get":
            return self._list(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        return 404, {}

    def _transact(self, body):
        def name_of(entry):
            return entry["table"], entry["part"], entry["key"]

        changes = [*body.get("writes", []), *body.get("remove", [])]
        if any(entry["table"] in READ_ONLY for entry in changes):
            return 403, {}
        expected = [
            (name_of(e), e["row_version"]) for e in body.get("expected_revision", [])
        ]
        if any(self.rows.get(n, (None, 0))[1] != version for n, version in expected):
            rows = [self._row(name) for name, _ in expected if name in self.rows]
            return 412, {"rows": rows, **self._revision()}
        writes = [
            (name_of(e), base64.b64decode(e["value"])) for e in body.get("writes", [])
        ]
        writes += [(name_of(e), None) for e in body.get("remove", [])]
        self._apply(writes)
        return 200, self._revision()

    def _list(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (table, part)
            and name[2] >= first
            and (not end or name[2] < end)
        )
        rows = [self._row(name) for name in names[:PAGE_ROWS]]
        more = len(names) > PAGE_ROWS
        return 200, {"rows": rows, "has_more": more, **self._revision()}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            rows, revision = self._changed_rows(table, after), self._revision()
            left_s = end - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows, **revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _changed_rows(self, table, after):
        first = bisect.bisect_right(self.changes, after, key=lambda change: change[0])
        found = {}
        for version, name in self.changes[first:]:
            if name[0] == table:
                found.pop(name, None)
                found[name] = version
        return [
            self._row(name)
            if name in self.rows
            else {
                "table": name[0],
                "part": name[1],
                "key": name[2],
                "deleted": True,
                "row_version": version,
            }
            for name, version in found.items()
        ]
