"""Workspaces and keys of the soak test, and calls whose keys must not be admitted.

One workspace has a cap, which ``standins.cell`` checks at each start. The other one has
two keys; the second is withdrawn in the middle of the run.
"""

from standins.cell import ROUTE

__all__ = [
    "call_with_unknown_key",
    "check_status",
    "check_withdrawn_key",
    "choose_key",
    "configure",
    "current_key",
    "headers_of",
    "withdraw_key",
]

CURRENT, WITHDRAWN, UNKNOWN = "key-open", "key-withdrawn", "key-of-nobody"
KEYS = {"capped": ("key-capped",), "open": (CURRENT, WITHDRAWN)}
CHOICES = tuple((name, key) for name, keys in KEYS.items() for key in keys)
# A gang of the load fills the cap.
CAPS = {"capped": 4_000}
# Queues by their numbers of attempts; most jobs go to the last one.
QUEUES = {1: "once", 2: "twice", ROUTE["max_attempts"]: ROUTE["name"]}
ROUTES = [
    ROUTE | {"name": name, "max_attempts": number, "path_prefix": f"/{name}/"}
    for number, name in QUEUES.items()
    if name != ROUTE["name"]
] + [ROUTE]
UNKNOWN_KEY_INTERVAL_S = 0.5
# Time within which a configuration has to be in force (default of the nodes' settings).
CONFIG_APPLY_S = 4.0
CHECK_INTERVAL_S = 0.5


def configure(soak):
    """Write the first configuration."""
    soak.cell.configure(1, ROUTES, KEYS, CAPS)


def withdraw_key(soak):
    """Write a configuration without the second key of the workspace ``open``."""
    soak.record_event("a key is withdrawn")
    soak.withdrawn_at = soak.loop.now()
    soak.cell.configure(2, ROUTES, {**KEYS, "open": (CURRENT,)}, CAPS)


def choose_key(soak):
    """Return (workspace, key) for a new job, at random."""
    return soak.key_rng.choice(CHOICES)


def current_key(workspace):
    """Return the key of a workspace that is never withdrawn."""
    return KEYS[workspace][0]


def headers_of(key):
    """Return the headers of a call with a key."""
    return (
        ("Host", "jobs.example"),
        ("Deadline-Ms", "3000"),
        ("Authorization", f"Bearer {key}"),
    )


def check_status(soak, key, status):
    """Record a failure if a call was refused although its key was in force.

    A call that was sent before the withdrawal may be decided after it, as when its node
    was paused: only an answer from before the withdrawal must not be a refusal.
    """
    now = soak.loop.now()
    if status == 401 and (key != WITHDRAWN or now < soak.withdrawn_at):
        soak.failures.append(f"CONFIG: {key} was refused at {now:.2f}")


def call_with_unknown_key(soak):
    """Submit, show or cancel a job with a key that no configuration contains.

    Repeats itself until the load ends. A success is a violation.
    """
    if soak.is_load_over:
        return
    rng = soak.key_rng
    method = rng.choice(("POST", "GET", "DELETE"))
    job_id, body = f"{rng.getrandbits(64):016x}", None
    if method == "POST":
        soak.unknown_key_ids.append(job_id)
        body = {"spec": "s", "steps": [{"count": 1, "cpu": 1_000}]}
    elif soak.jobs:
        job_id = rng.choice(soak.jobs).id

    def done(result):
        soak.unknown_key_statuses[result.status] += 1
        if result.status == 200:
            soak.failures.append(f"ROUTE: {method} {job_id} with an unknown key ran")

    node = rng.choice(soak.nodes)
    soak.send(node, method, job_id, UNKNOWN, done, body)
    soak.loop.call_later(UNKNOWN_KEY_INTERVAL_S, lambda: call_with_unknown_key(soak))


def check_withdrawn_key(soak, limit_s):
    """Check that each node refuses the withdrawn key once no fault holds it up.

    A success of a call that was sent after ``CONFIG_APPLY_S`` is a violation; so is a
    node that has not refused one after ``limit_s``.
    """
    soak.loop.run_until(lambda: False, CONFIG_APPLY_S)
    decided = set()

    def ask(node):
        if node.name in decided:
            return
        job_id = f"{soak.key_rng.getrandbits(64):016x}"

        def done(result):
            if result.status in (200, 401):
                decided.add(node.name)
            if result.status == 200:
                soak.failures.append(f"CONFIG: {node.name} admits a withdrawn key")
            soak.loop.call_later(CHECK_INTERVAL_S, lambda: ask(node))

        body = {"spec": "s", "steps": [{"count": 1, "cpu": 1_000}]}
        soak.send(node, "POST", job_id, WITHDRAWN, done, body)

    for node in soak.nodes:
        ask(node)
    soak.loop.run_until(lambda: len(decided) == len(soak.nodes), limit_s)
    for node in soak.nodes:
        if node.name not in decided:
            soak.failures.append(f"CONFIG: {node.name} did not refuse a withdrawn key")
