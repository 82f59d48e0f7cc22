"""Teams: queues, usage and quotas, in the order of dominant share.

Usage is counted when capacity is reserved. A team's share is its largest fraction of
the failure domain's capacity in any dimension; the team with the smallest share is
served first, so that a wave of one team delays only that team.
"""

from sortedcontainers import SortedList

from .capacity import ZERO_RESOURCES, Resources, fits, to_resources

# A job is overtaken by work that arrives up to this many of its run times later.
RUN_WEIGHT = 5.0
MAX_RUN_OFFSET_S = 600.0

__all__ = [
    "Team",
    "TeamTable",
    "add_team_usage",
    "dequeue_entry",
    "dominant_share",
    "enqueue_job",
    "exceeds_quota",
    "queue_order",
    "quota_headroom",
    "set_quotas",
    "set_used_elsewhere",
    "usage_value",
]


class Team:
    """Usage and queue of one team; ``quota`` is None when it has none."""

    __slots__ = ("name", "queue", "quota", "used", "used_elsewhere", "waiting_entry")

    def __init__(self, name):
        self.name = name
        self.quota = None
        self.used = ZERO_RESOURCES
        self.used_elsewhere = ZERO_RESOURCES
        # (-priority, order, sequence number, job id), see ``queue_order``.
        self.queue = SortedList()
        self.waiting_entry = None


class TeamTable:
    """All teams; ``waiting`` orders those with a queue by dominant share."""

    def __init__(self):
        self.by_name = {}
        self.waiting = SortedList()
        # Jobs that do not wait in the queue of their team, and all waiting gangs.
        self.urgent = SortedList()
        self.gangs = SortedList()
        self.total = ZERO_RESOURCES
        self.changed = False


def get_team(table, name):
    """Return the team, adding it if it is new."""
    team = table.by_name.get(name)
    if team is None:
        team = table.by_name[name] = Team(name)
    return team


def set_quotas(table, quotas):
    """Take the quotas of the configuration: name to Vector-like dict or None."""
    for team in table.by_name.values():
        team.quota = None
    for name, quota in quotas.items():
        get_team(table, name).quota = _limits(quota)


def _limits(quota):
    """Return the quota as a Vector; a dimension that is not named is not limited."""
    if not quota:
        return None
    names = ("cpu", "memory_mb", "accelerators")
    return Resources(*(float(quota.get(name, float("inf"))) for name in names))


def set_used_elsewhere(table, rows, own_key):
    """Take the usage that the owners of other failure domains published."""
    sums = {}
    for row in rows:
        if row.key != own_key:
            for name, used in row.value["teams"].items():
                sums.setdefault(name, []).append(to_resources(used))
    for name in sums:
        get_team(table, name)
    for team in table.by_name.values():
        parts = sums.get(team.name, ())
        team.used_elsewhere = Resources(
            *(sum(part[i] for part in parts) for i in range(3))
        )


def usage_value(table):
    """Return the value of the own ``usage/<fd>`` row."""
    return {
        "teams": {
            team.name: team.used._asdict()
            for team in table.by_name.values()
            if any(team.used)
        }
    }


def add_team_usage(table, name, demand, count):
    """Add (or release, when negative) ``count`` times ``demand``."""
    team = get_team(table, name)
    team.used = Resources(
        *(used + count * size for used, size in zip(team.used, demand, strict=True))
    )
    table.changed = True
    _reorder(table, team)


def quota_headroom(table, name, demand, count):
    """Return how many of ``count`` tasks the team's quota admits now."""
    team = get_team(table, name)
    if team.quota is None:
        return count
    room = count
    for limit, used, used_elsewhere, size in zip(
        team.quota, team.used, team.used_elsewhere, demand, strict=True
    ):
        if size > 0 and limit < float("inf"):
            room = min(room, int((limit - used - used_elsewhere) / size + 1e-6))
    return max(room, 0)


def exceeds_quota(table, name, demand):
    """Return whether ``demand`` is above the team's quota even when nothing runs."""
    quota = get_team(table, name).quota
    return quota is not None and not fits(demand, quota)


def enqueue_job(table, job):
    """Queue a job that has waiting tasks; queued jobs are not queued twice."""
    entry = (-job.priority, job.order, job.seq, job.id)
    if job.type == "gang" and entry not in table.gangs:
        table.gangs.add(entry)
    if job.urgent:
        if entry not in table.urgent:
            table.urgent.add(entry)
        return
    team = get_team(table, job.team)
    if entry not in team.queue:
        team.queue.add(entry)
    _reorder(table, team)


def queue_order(now, run_s):
    """Return the place of a job that arrives now and typically runs ``run_s``.

    Short work goes before long work that arrived earlier, within a bound, so that long
    work cannot starve. Work of unknown length counts as short.
    """
    return now + min(RUN_WEIGHT * (run_s or 0.0), MAX_RUN_OFFSET_S)


def dequeue_entry(table, team, entry):
    """Remove an entry from the team's queue."""
    team.queue.discard(entry)
    _reorder(table, team)


def dominant_share(table, team):
    """Return the largest fraction of the capacity that the team uses."""
    return max(
        (
            used / size
            for used, size in zip(team.used, table.total, strict=True)
            if size > 0
        ),
        default=0.0,
    )


def _reorder(table, team):
    waiting_entry = (dominant_share(table, team), team.name) if team.queue else None
    if waiting_entry != team.waiting_entry:
        if team.waiting_entry is not None:
            table.waiting.remove(team.waiting_entry)
        if waiting_entry is not None:
            table.waiting.add(waiting_entry)
        team.waiting_entry = waiting_entry
