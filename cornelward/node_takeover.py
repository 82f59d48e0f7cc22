"""Takeover by a new leader, and the change feeds that a leader follows.

A new leader fences off the former one in every partition before it reads the rows
there.
"""

import functools

from . import (
    dispatch,
    node_former,
    node_heartbeats,
    node_leader,
    node_starts,
    store_calls,
)
from .commits import PARTITIONS, Applied, Refused, Unknown
from .dispatch_effects import RowWrite
from .job_records import decode_outcome, decode_record, fits_job
from .log import get_logger
from .staged_jobs import decode_spec

__all__ = ["take_over"]

log = get_logger("node_takeover")

# Pause between reads of the registry feed. The registry changes with each heartbeat of
# a worker, so that an unpaused feed would answer all the time.
REGISTRY_PAUSE_S = 0.25
# Pause between reads of the jobs feed. Jobs normally arrive by message; the feed only
# supplies those whose message was lost.
JOBS_PAUSE_S = 0.8
# Long-poll time of a feed: the store waits this long for a change before it answers. An
# answer that was lost is noticed after this time, and starts must not be held back for
# it.
FEED_WAIT_S = 0.4
# After so many rows of the jobs feed there may be more, which are asked for at once.
# The store gives some 500 rows in an answer.
FULL_PAGE_ROWS = 100
# Pauses before a call is sent again that was refused, or has no answer.
RETRY_S = 0.2
LOST_RETRY_S = 0.05
CANCEL_SUFFIX = ".cancel"
# Key of the worker registry among the read results of a takeover, next to the partition
# names.
REGISTRY = "registry"


def take_over(node, token):
    """Fence off the former leader, read all rows, then start dispatching."""
    term = node_leader.LeaderTerm(token, node.deps.now())
    node.leader = term
    node_former.tick(node, term, term.started_at)

    def begin(found):
        registry = found.pop(REGISTRY)
        fences = {name: version for name, (version, _) in found.items()}
        rows = {name: listings for name, (_, listings) in found.items()}
        _begin(node, term, fences, rows, registry)

    starts = {name: functools.partial(_fence, node, term, name) for name in PARTITIONS}
    starts[REGISTRY] = functools.partial(
        _read, node, term, node.store.registry_table, ""
    )
    _gather(starts, begin)


def _gather(starts, on_done):
    """Run all ``starts[name](on_result)`` concurrently, then ``on_done(results)``.

    ``results`` maps each name to its result.
    """
    found = {}

    def take(name, result):
        found[name] = result
        if len(found) == len(starts):
            on_done(found)

    for name, start in starts.items():
        start(functools.partial(take, name))


def _read(node, term, table, name, on_done):
    """Read a table; retry until that succeeds or the term ends."""

    def done(listing):
        if term.closed:
            return
        if isinstance(listing, Refused | Unknown):
            _retry(node, term, listing, lambda: _read(node, term, table, name, on_done))
        else:
            on_done(listing)

    node.store.read(table, name, done)


def _retry(node, term, result, callback):
    """Call ``callback`` again after a pause, as a call ended with ``result``."""

    def run():
        if not term.closed:
            callback()

    lost = isinstance(result, Unknown)
    node.loop.call_later(LOST_RETRY_S if lost else RETRY_S, run)


def _fence(node, term, name, on_done):
    """Write this leader's fence to a partition, then read the partition.

    Calls ``on_done((fence version, {table: listing}))``.
    """
    value = str(term.token).encode()

    def retry():
        _fence(node, term, name, on_done)

    def written(result):
        if term.closed:
            return
        if isinstance(result, Applied):
            _list_partition(node, term, name, result.version, on_done)
        else:
            _retry(node, term, result, retry)

    def read(listing):
        if term.closed:
            return
        if isinstance(listing, Refused | Unknown):
            _retry(node, term, listing, retry)
            return
        row = next((r for r in listing.rows if r.key == "main"), None)
        token = _token_in(row, name) if row is not None else 0
        if token > term.token:
            node.deps.lose_leadership(node, "a later leader has fenced off this one")
            return
        if token == term.token:
            # Written by this leader; the answer to the write was lost.
            _list_partition(node, term, name, row.version, on_done)
            return
        expected = [("fence", "main", row.version if row else 0)]
        writes = [RowWrite("fence", "main", value)]
        node.store.commit(name, expected, writes, written)

    node.store.read("fence", name, read)


def _token_in(row, name):
    """Return the token in a partition's fence; 0 if it cannot be read."""
    try:
        return int(row.value)
    except (TypeError, ValueError):
        # A leader that wrote it is fenced off by the row's new version.
        log("error", "fence_unreadable", part=name, value=repr(row.value)[:100])
        return 0


def _list_partition(node, term, name, fence_version, on_done):
    """Read the tables of a fenced partition, which only inserts can still change."""
    starts = {
        table: functools.partial(_read, node, term, table, name)
        for table in ("jobs", "runs", "done")
    }
    _gather(starts, lambda listings: on_done((fence_version, listings)))


def _begin(node, term, fences, rows, registry):
    now = node.deps.now()
    settings = node.settings
    cfg = {
        "lease_s": node_former.granted_lease_s(settings),
        "stop_s": settings.stop_s,
        "longest_lease_s": settings.longest_lease_s,
        "unknown_lease_s": node_former.unknown_lease_s(node, term, now),
        "row_bytes": settings.row_bytes,
        "overload_control": settings.overload_control,
        "cap_overage": settings.cap_overage,
    }
    term.registry_asked_at = term.jobs_seen_until = term.started_at
    dispatcher = dispatch.Dispatcher(term.token, fences, cfg, now)
    dispatcher.confirmed_at = node.leadership.confirmed_at
    term.dispatcher = dispatcher
    node_leader.set_config(node)
    _apply_registry(node, term, registry.rows)
    for listings in rows.values():
        _restore(node, dispatcher, now, listings)
    node_former.take_recorded_leases(node, term)
    term.nodes[node.settings.node] = (node.address, None)
    term.inherited_peers = node.peer_state.peers
    log(
        "info",
        "leading",
        token=term.token,
        jobs=len(dispatcher.jobs),
        workers=len(dispatcher.workers),
        after_ms=round((now - term.started_at) * 1000),
    )
    _follow_registry(node, term, registry.version)
    _follow_jobs(node, term, min(r["jobs"].version for r in rows.values()))
    node_heartbeats.send_heartbeats(node, term, now, urgent=True)
    node_leader.schedule_step(node)


def _restore(node, dispatcher, now, listings):
    records = {row.key: row for row in listings["runs"].rows}
    cancelled = []
    for row in listings["done"].rows:
        outcome = decode_outcome(row.value)
        dispatch.note_finished(dispatcher, row.key, *outcome)
    for row in listings["jobs"].rows:
        if row.key.endswith(CANCEL_SUFFIX):
            cancelled.append(row.key.removesuffix(CANCEL_SUFFIX))
            continue
        spec, record_row = decode_spec(row.value), records.get(row.key)
        record = decode_record(record_row.value) if record_row else None
        if not _are_readable(row, spec, record_row, record):
            # Its tasks may be on workers: without the record they would run twice.
            log("error", "job_unreadable", job=row.key)
            node.leader.unreadable_jobs.add(row.key)
            continue
        accepted_at = node_leader.to_node_clock(node, spec.accepted_at, now)
        if record is None:
            dispatch.add_accepted_job(dispatcher, now, spec, row.version, accepted_at)
        else:
            version = record_row.version
            dispatch.restore_job(
                dispatcher, spec, row.version, record, version, accepted_at, now
            )
    for job_id in cancelled:
        dispatch.cancel(dispatcher, now, job_id, lambda value: None)


def _are_readable(row, spec, record_row, record):
    if spec is None or spec.id != row.key:
        return False
    return record_row is None or (record is not None and fits_job(record, spec))


def _apply_entries(node, term, rows):
    """Update the workers from rows of the registry, in their order."""
    for row in rows:
        try:
            _apply_entry(node, term, row)
        except Exception as exc:
            # One entry must not end the feed that all others come from.
            log("error", "registry_entry_failed", key=row.key, reason=repr(exc))


def _apply_entry(node, term, row):
    """Update a worker from its registry entry; an odd entry names no worker to use."""
    info = None
    if row.value is not None:
        info = node.deps.decode_worker(row.key, row.value)
    if info is not None:
        dispatch.update_workers(term.dispatcher, node.deps.now(), [info], False)
    else:
        dispatch.deregister_worker(term.dispatcher, row.key)
    if info is not None or row.value is None:
        term.refused_entries.pop(row.key, None)
        return
    # The entry may be written again with each heartbeat.
    reason = node.deps.refusal_reason(row.key, row.value)
    if term.refused_entries.get(row.key) != reason:
        term.refused_entries[row.key] = reason
        log("warning", "registry_entry_refused", key=row.key, reason=reason)


def _apply_registry(node, term, rows):
    """Update the workers from all rows of the registry."""
    _apply_entries(node, term, rows)
    present = {row.key for row in rows}
    for worker_id in set(term.dispatcher.workers) - present:
        dispatch.deregister_worker(term.dispatcher, worker_id)
    for key in set(term.refused_entries) - present:
        del term.refused_entries[key]


# Feeds


def _follow_registry(node, term, version):
    asked_at = node.deps.now()

    def done(changes):
        if term.closed:
            return
        if isinstance(changes, Refused | Unknown):
            _retry(node, term, changes, lambda: _follow_registry(node, term, version))
            return
        if not hasattr(changes, "rows"):
            _reread_registry(node, term)
            return
        # Before the rows are used, as an error there must not end the feed.
        node.loop.call_later(
            REGISTRY_PAUSE_S, lambda: _follow_registry(node, term, changes.version)
        )
        _apply_entries(node, term, changes.rows)
        _registry_was_read(node, term, asked_at)

    if not term.closed:
        node.store.follow(node.store.registry_table, version, FEED_WAIT_S, done)


def _registry_was_read(node, term, asked_at):
    term.registry_asked_at = asked_at
    node_starts.release_held_starts(node, term)
    node_leader.schedule_step(node)


def _reread_registry(node, term):
    asked_at = node.deps.now()

    def done(listing):
        _follow_registry(node, term, listing.version)
        _apply_registry(node, term, listing.rows)
        _registry_was_read(node, term, asked_at)

    _read(node, term, node.store.registry_table, "", done)


def _follow_jobs(node, term, version):
    """Process jobs and cancellations of which no message arrived."""
    asked_at = node.deps.now()

    def done(changes):
        if term.closed:
            return
        if isinstance(changes, Refused | Unknown):
            _retry(node, term, changes, lambda: _follow_jobs(node, term, version))
            return
        if not hasattr(changes, "rows"):
            _reread_jobs(node, term)
            return
        is_full = len(changes.rows) >= FULL_PAGE_ROWS
        if is_full:
            _follow_jobs(node, term, changes.version)
        else:
            node.loop.call_later(
                JOBS_PAUSE_S, lambda: _follow_jobs(node, term, changes.version)
            )
        _apply_job_rows(node, term, changes.rows)
        if not is_full:
            term.jobs_seen_until = store_calls.true_as_of(
                node.deps.now(), asked_at, FEED_WAIT_S, not changes.rows
            )
        _note_version_seen(node, term, changes.version)

    if not term.closed:
        node.store.follow("jobs", version, FEED_WAIT_S, done)


def _note_version_seen(node, term, version):
    """Note that all changes of the jobs up to a version of the store were seen.

    What was stored before a renewal was sent has a lower version than the renewal.
    """
    while term.renewals and term.renewals[0][1] <= version:
        sent_at, _ = term.renewals.popleft()
        term.jobs_seen_until = max(term.jobs_seen_until, sent_at)
    node_starts.release_held_starts(node, term)


def _reread_jobs(node, term):
    """List the jobs of all partitions again, then follow from the first listing."""

    def done(listings):
        first = min(listing.version for listing in listings.values())
        _follow_jobs(node, term, first)
        for listing in listings.values():
            _apply_job_rows(node, term, listing.rows)

    starts = {
        name: functools.partial(_read, node, term, "jobs", name) for name in PARTITIONS
    }
    _gather(starts, done)


def _apply_job_rows(node, term, rows):
    for row in rows:
        if row.value is None:
            continue
        try:
            _apply_job_row(node, term, row)
        except Exception as exc:
            # One row must not end the feed that all others come from.
            log("error", "job_row_failed", key=row.key, reason=repr(exc))
    node_leader.schedule_step(node)


def _apply_job_row(node, term, row):
    if row.key.endswith(CANCEL_SUFFIX):
        job_id = row.key.removesuffix(CANCEL_SUFFIX)
        dispatch.cancel(term.dispatcher, node.deps.now(), job_id, lambda value: None)
    elif dispatch.state_of(term.dispatcher, row.key) is None:
        node_leader.on_job_accepted(node, row.value, row.version)
