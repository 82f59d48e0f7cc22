"""The life of one job, from the logs of several processes.

Log lines are JSON objects; a launcher may have put text in front of each.
"""

import json

__all__ = ["explain", "read_events"]

# A pause between two events of a job that is worth a line, in seconds.
GAP_S = 0.5
HIDDEN = ("timestamp", "task_uuid", "task_level", "message_type", "level", "node")
# Events that concern every job while they last.
SHARED = (
    "node.leadership_claimed",
    "node.leadership_lost",
    "node_takeover.leading",
    "node_leader.store_refuses",
    "log.dropped",
)


def read_events(lines):
    """Return the log events in ``lines``; other lines are left out."""
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
    """Return lines of text: the job's events in order, with gaps marked."""
    own = [event for event in events if _concerns(event, job_id)]
    if not own:
        return [f"no event of job {job_id}"]
    first, last = own[0]["timestamp"], own[-1]["timestamp"]
    lines, before = [], first
    for event in events:
        at = event.get("timestamp", 0.0)
        mine = _concerns(event, job_id)
        if not first <= at <= last or not (mine or event["message_type"] in SHARED):
            continue
        if at - before > GAP_S:
            lines.append(f"{'':>9}  ... {at - before:.1f} s without an event")
        before = at
        lines.append(_format(event, at - first, mine))
    return lines


def _format(event, after_s, mine):
    fields = " ".join(
        f"{key}={value}" for key, value in event.items() if key not in HIDDEN
    )
    mark = " " if mine else "*"
    node, kind = event.get("node", "?"), event["message_type"]
    return f"{after_s:>8.3f} {mark} {node}  {kind}  {fields}"
