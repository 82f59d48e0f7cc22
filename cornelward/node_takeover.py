"""Takeover of the leadership, and the feeds that a leader follows.

A new leader fences off the former one in every partition before it reads anything.
"""

import functools

from . import dispatch, node_leader
from .commits import PARTS, Applied, Refused, Unknown
from .dispatch_effects import RowWrite
from .log import get_logger
from .staged_jobs import decode_record, decode_spec

__all__ = ["take_over"]

log = get_logger("node_takeover")

# The registry changes with each heartbeat of a worker: one answer a while is enough.
REGISTRY_PAUSE_S = 0.25
# Jobs arrive by message; the feed has those whose message was lost.
JOBS_PAUSE_S = 0.8
# The store holds a feed's answer back this long.
FEED_WAIT_S = 1.0
RETRY_S = 0.2
# Leases are renewed with every look; they outlive a takeover and a crash of all nodes.
LEASE_S = 6.0
# Drift and kill time on top of a lease that a former leader gave.
UNKNOWN_MARGIN_S = 0.6
CANCEL_SUFFIX = ".cancel"
# Key of the workers' registry beside the partitions, in what a takeover reads.
REGISTRY = "registry"


def take_over(node, token):
    """Fence off the former leader, read all rows, then start to dispatch."""
    part = node_leader.LeaderTerm(token, node.deps.now())
    node.leader = part

    def begin(found):
        registry = found.pop(REGISTRY)
        fences = {name: version for name, (version, _) in found.items()}
        rows = {name: listings for name, (_, listings) in found.items()}
        _begin(node, part, fences, rows, registry)

    starts = {name: functools.partial(_fence, node, part, name) for name in PARTS}
    starts[REGISTRY] = functools.partial(
        _read, node, part, node.store.registry_table, ""
    )
    _gather(starts, begin)


def _gather(starts, on_done):
    """Run ``starts[name](on_result)`` side by side; ``on_done({name: result})``."""
    found = {}

    def take(name, result):
        found[name] = result
        if len(found) == len(starts):
            on_done(found)

    for name, start in starts.items():
        start(functools.partial(take, name))


def _read(node, part, table, name, on_done):
    """Read a table until that succeeds or the leadership ends."""

    def done(listing):
        if part.closed:
            return
        if isinstance(listing, Refused | Unknown):
            _retry(node, part, lambda: _read(node, part, table, name, on_done))
        else:
            on_done(listing)

    node.store.read(table, name, done)


def _retry(node, part, function):
    def run():
        if not part.closed:
            function()

    node.loop.call_later(RETRY_S, run)


def _fence(node, part, name, on_done):
    """Replace a partition's fence, then read it: ``on_done((version, listings))``."""
    value = str(part.token).encode()

    def again():
        _fence(node, part, name, on_done)

    def written(result):
        if part.closed:
            return
        if isinstance(result, Applied):
            _list_part(node, part, name, result.version, on_done)
        else:
            _retry(node, part, again)

    def read(listing):
        if part.closed:
            return
        if isinstance(listing, Refused | Unknown):
            _retry(node, part, again)
            return
        row = next((r for r in listing.rows if r.key == "main"), None)
        token = int(row.value) if row is not None else 0
        if token > part.token:
            node.deps.lose_leadership(node, "a later leader has set its fence")
            return
        if token == part.token:
            # Our own write, whose answer was lost.
            _list_part(node, part, name, row.version, on_done)
            return
        expected = [("fence", "main", row.version if row else 0)]
        writes = [RowWrite("fence", "main", value)]
        node.store.commit(name, expected, writes, written)

    node.store.read("fence", name, read)


def _list_part(node, part, name, fence_version, on_done):
    """Read a partition that is fenced: only inserts still change it."""
    starts = {
        table: functools.partial(_read, node, part, table, name)
        for table in ("jobs", "runs", "done")
    }
    _gather(starts, lambda listings: on_done((fence_version, listings)))


def _begin(node, part, fences, rows, registry):
    now = node.deps.now()
    settings = node.settings
    cfg = {
        "lease_s": min(LEASE_S, settings.longest_lease_s),
        "stop_s": settings.stop_s,
        "longest_lease_s": settings.longest_lease_s,
        "unknown_lease_s": node_leader.MAX_STORE_OUTAGE_S
        + settings.longest_lease_s * 1.02
        + UNKNOWN_MARGIN_S,
    }
    dispatcher = dispatch.Dispatcher(part.token, fences, cfg, now)
    part.dispatcher = dispatcher
    part.store_reached_at = now
    node_leader.set_config(node)
    dispatch.update_workers(
        dispatcher, now, _workers(node, registry.rows), complete=True
    )
    for listings in rows.values():
        _restore(node, dispatcher, now, listings)
    part.nodes[node.settings.node] = (node.address, None)
    part.inherited_peers = node.peer_state.peers
    log(
        "info",
        "leading",
        token=part.token,
        jobs=len(dispatcher.jobs),
        workers=len(dispatcher.workers),
        after_ms=round((now - part.started_at) * 1000),
    )
    _follow_registry(node, part, registry.version)
    _follow_jobs(node, part, min(r["jobs"].version for r in rows.values()))
    node_leader.send_heartbeats(node, part, now)
    node_leader.schedule_step(node)


def _restore(node, dispatcher, now, listings):
    records = {row.key: row for row in listings["runs"].rows}
    cancelled = []
    for row in listings["done"].rows:
        dispatcher.finished[row.key] = (row.value or b"").decode()
    for row in listings["jobs"].rows:
        if row.key.endswith(CANCEL_SUFFIX):
            cancelled.append(row.key.removesuffix(CANCEL_SUFFIX))
            continue
        spec = decode_spec(row.value) if row.value is not None else None
        if spec is None:
            log("error", "job_unreadable", job=row.key)
            continue
        accepted_at = node_leader.to_node_clock(node, spec.accepted_at, now)
        record_row = records.get(row.key)
        record = decode_record(record_row.value) if record_row else None
        if record is None:
            dispatch.add_accepted_job(dispatcher, now, spec, row.version, accepted_at)
        else:
            version = record_row.version
            dispatch.restore_job(
                dispatcher, spec, row.version, record, version, accepted_at, now
            )
    for job_id in cancelled:
        dispatch.cancel(dispatcher, now, job_id, lambda value: None)


def _workers(node, rows):
    found = []
    for row in rows:
        info = node.deps.decode_worker(row.key, row.value) if row.value else None
        if info is not None:
            found.append(info)
        elif row.value is not None:
            log("debug", "registry_entry_ignored", key=row.key)
    return found


# Feeds


def _follow_registry(node, part, version):
    def done(changes):
        if part.closed:
            return
        now = node.deps.now()
        if isinstance(changes, Refused | Unknown):
            _retry(node, part, lambda: _follow_registry(node, part, version))
            return
        if not hasattr(changes, "rows"):
            _reread_registry(node, part)
            return
        dispatch.update_workers(
            part.dispatcher, now, _workers(node, changes.rows), False
        )
        for row in changes.rows:
            if row.value is None:
                dispatch.deregister_worker(part.dispatcher, row.key)
        node_leader.schedule_step(node)
        node.loop.call_later(
            REGISTRY_PAUSE_S, lambda: _follow_registry(node, part, changes.version)
        )

    if not part.closed:
        node.store.follow(node.store.registry_table, version, FEED_WAIT_S, done)


def _reread_registry(node, part):
    def done(listing):
        infos = _workers(node, listing.rows)
        dispatch.update_workers(part.dispatcher, node.deps.now(), infos, complete=True)
        node_leader.schedule_step(node)
        _follow_registry(node, part, listing.version)

    _read(node, part, node.store.registry_table, "", done)


def _follow_jobs(node, part, version):
    """Take in jobs and cancels of which no message arrived."""

    def done(changes):
        if part.closed:
            return
        if isinstance(changes, Refused | Unknown):
            _retry(node, part, lambda: _follow_jobs(node, part, version))
            return
        if not hasattr(changes, "rows"):
            _reread_jobs(node, part)
            return
        _take_job_rows(node, part, changes.rows)
        node.loop.call_later(
            JOBS_PAUSE_S, lambda: _follow_jobs(node, part, changes.version)
        )

    if not part.closed:
        node.store.follow("jobs", version, FEED_WAIT_S, done)


def _reread_jobs(node, part):
    """List the jobs of all partitions again, then follow from the first listing."""

    def done(listings):
        for listing in listings.values():
            _take_job_rows(node, part, listing.rows)
        first = min(listing.version for listing in listings.values())
        _follow_jobs(node, part, first)

    starts = {
        name: functools.partial(_read, node, part, "jobs", name) for name in PARTS
    }
    _gather(starts, done)


def _take_job_rows(node, part, rows):
    for row in rows:
        if row.value is None:
            continue
        if row.key.endswith(CANCEL_SUFFIX):
            job_id = row.key.removesuffix(CANCEL_SUFFIX)
            dispatch.cancel(
                part.dispatcher, node.deps.now(), job_id, lambda value: None
            )
        else:
            node_leader.on_job_accepted(node, row.value, row.version)
    node_leader.schedule_step(node)
