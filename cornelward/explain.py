"""Formats the history of one job from the logs of several processes.

Log lines are JSON objects, possibly with a prefix that a launcher has added.
"""

import json

__all__ = ["explain", "read_events"]

# A pause between two events of a job is shown if it is longer than this.
MIN_GAP_S = 0.5
HIDDEN_FIELDS = (
    "timestamp",
    "task_uuid",
    "task_level",
    "message_type",
    "level",
    "node",
)
# Events that affect all jobs; shown if they fall into the lifetime of the job.
SHARED_EVENTS = (
    "node.leadership_claimed",
    "node.leadership_lost",
    "node_takeover.leading",
    "node_leader.store_refuses",
    "log.dropped",
)


def read_events(lines):
    """Return the log events in ``lines``, ordered by time; skip all other lines."""
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(event, dict) and "message_type" in event:
            events.append(event)
    return sorted(events, key=lambda event: event.get("timestamp", 0.0))


def _concerns(event, job_id):
    if event.get("job") == job_id:
        return True
    return str(event.get("task", "")).startswith(job_id + ".")


def explain(events, job_id):
    """Return the events of a job as lines of text, in order and with gaps marked.

    Events that affect all jobs are marked with "*".
    """
    own = [event for event in events if _concerns(event, job_id)]
    if not own:
        return [f"no event of job {job_id}"]
    first, last = own[0]["timestamp"], own[-1]["timestamp"]
    lines, previous = [], first
    for event in events:
        timestamp = event.get("timestamp", 0.0)
        is_own = _concerns(event, job_id)
        if not first <= timestamp <= last or not (
            is_own or event["message_type"] in SHARED_EVENTS
        ):
            continue
        if timestamp - previous > MIN_GAP_S:
            lines.append(f"{'':>9}  ... {timestamp - previous:.1f} s without an event")
        previous = timestamp
        lines.append(_format(event, timestamp - first, is_own))
    return lines


def _format(event, after_s, is_own):
    fields = " ".join(
        f"{key}={value}" for key, value in event.items() if key not in HIDDEN_FIELDS
    )
    mark = " " if is_own else "*"
    node, kind = event.get("node", "?"), event["message_type"]
    return f"{after_s:>8.3f} {mark} {node}  {kind}  {fields}"
