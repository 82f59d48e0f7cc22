"""Teams: queues, usage, quotas and fair order by dominant share.

Usage is counted from the moment at which capacity is allocated. The dominant share of a
team is the largest fraction that it uses of any resource of the failure domain. The
team with the smallest share is served first, so that a burst of jobs of one team delays
only that team.
"""

from sortedcontainers import SortedList

from .capacity import (
    ZERO_RESOURCES,
    Resources,
    count_within,
    fits,
    largest_fraction,
    to_resources,
)

# A job of negligible run time overtakes a longer job if it arrives at most this many
# typical run times of the longer job after it; see ``queue_order``.
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
    """Usage and queue of one team.

    ``quota`` is None for a team without a quota. ``used_elsewhere`` is its usage in
    other failure domains. ``waiting_entry`` is its entry in ``TeamTable.waiting``, None
    while its queue is empty.
    """

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
    """All teams; ``waiting`` sorts those with queued jobs by dominant share.

    ``total`` is the capacity of the failure domain. ``changed`` is set when the usage
    of a team changes.
    """

    def __init__(self):
        self.by_name = {}
        self.waiting = SortedList()
        # Urgent jobs, which are in no team queue, and all waiting gangs.
        self.urgent = SortedList()
        self.gangs = SortedList()
        self.total = ZERO_RESOURCES
        self.changed = False


def get_team(table, name):
    """Return the team, creating it if necessary."""
    team = table.by_name.get(name)
    if team is None:
        team = table.by_name[name] = Team(name)
    return team


def set_quotas(table, quotas):
    """Set the quotas from the configuration, which maps team names to dicts or None."""
    for team in table.by_name.values():
        team.quota = None
    for name, quota in quotas.items():
        get_team(table, name).quota = _quota_limits(quota)


def _quota_limits(quota):
    """Return the quota as Resources; resources that it does not name are unlimited."""
    if not quota:
        return None
    names = ("cpu", "memory_mb", "accelerators")
    return Resources(*(float(quota.get(name, float("inf"))) for name in names))


def set_used_elsewhere(table, rows, own_key):
    """Sum up, for each team, the usage that other failure domains published.

    ``own_key`` is the key of this failure domain's row, which is left out.
    """
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
    """Return the value of this failure domain's row ``usage/<fd>``."""
    return {
        "teams": {
            team.name: team.used._asdict()
            for team in table.by_name.values()
            if any(team.used)
        }
    }


def add_team_usage(table, name, demand, count):
    """Add ``count`` times ``demand`` to the team's usage; ``count`` may be negative."""
    team = get_team(table, name)
    team.used = Resources(
        *(used + count * size for used, size in zip(team.used, demand, strict=True))
    )
    table.changed = True
    _update_waiting(table, team)


def quota_headroom(table, name, demand, count):
    """Return how many of ``count`` tasks the team's quota admits now.

    Usage in all failure domains counts.
    """
    team = get_team(table, name)
    if team.quota is None:
        return count
    pairs = zip(team.used, team.used_elsewhere, strict=True)
    used = [here + elsewhere for here, elsewhere in pairs]
    return count_within(team.quota, used, demand, count)


def exceeds_quota(table, name, demand):
    """Return whether ``demand`` exceeds the whole quota of the team.

    Such a demand could not start even if the team used nothing.
    """
    quota = get_team(table, name).quota
    return quota is not None and not fits(demand, quota)


def enqueue_job(table, job):
    """Queue a job that has waiting tasks, unless it is queued already."""
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
    _update_waiting(table, team)


def queue_order(now, run_s):
    """Return the sort key of a job that arrives now and typically runs ``run_s``.

    A short job overtakes longer ones that arrived earlier, but only those that arrived
    at most ``MAX_RUN_OFFSET_S`` before it, so that long jobs cannot starve. A job whose
    run time is unknown (None) counts as short.
    """
    return now + min(RUN_WEIGHT * (run_s or 0.0), MAX_RUN_OFFSET_S)


def dequeue_entry(table, team, entry):
    """Remove an entry, as ``enqueue_job`` added it, from the team's queue."""
    team.queue.discard(entry)
    _update_waiting(table, team)


def dominant_share(table, team):
    """Return the largest fraction of any resource that the team uses."""
    return largest_fraction(team.used, table.total)


def _update_waiting(table, team):
    waiting_entry = (dominant_share(table, team), team.name) if team.queue else None
    if waiting_entry != team.waiting_entry:
        if team.waiting_entry is not None:
            table.waiting.remove(team.waiting_entry)
        if waiting_entry is not None:
            table.waiting.add(waiting_entry)
        team.waiting_entry = waiting_entry
