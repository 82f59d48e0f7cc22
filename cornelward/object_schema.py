"""Fields of the operators' objects: type, default and range of each.

Durations in the name's unit; ``cpu`` in cores, ``memory_mb`` in MiB.
"""

import re
from typing import Any, NamedTuple

__all__ = ["KINDS", "REQUEST", "TASK_TYPES", "Field", "fields_of"]

REQUEST = "request"
TASK_TYPES = ("service", "batch", "gang")
KINDS = ("region", "pool", "policy", "team", "workload")

# Names are parts of table keys and of URLs.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_TASKS = 10_000
MAX_RUN_MS = 3_600_000
UNSET = object()


class Field(NamedTuple):
    """One field: ``check(value)`` returns what was expected, or None.

    ``ref`` is the kind of object that the value, or each item, names. A field whose
    ``default`` is UNSET may be absent and then has no value.
    """

    check: Any
    default: Any = UNSET
    required: bool = False
    ref: str | None = None


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_whole(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _number(low, high):
    def check(value):
        # The comparison also refuses NaN.
        ok = _is_number(value) and low <= value <= high
        return None if ok else f"a number from {low} to {high}"

    return check


def _whole(low, high):
    def check(value):
        ok = _is_whole(value) and low <= value <= high
        return None if ok else f"a whole number from {low} to {high}"

    return check


def _boolean(value):
    return None if isinstance(value, bool) else "true or false"


def _one_of(*choices):
    def check(value):
        ok = isinstance(value, str) and value in choices
        return None if ok else "one of " + ", ".join(choices)

    return check


def check_name(value):
    """Return what was expected of a name, or None."""
    if isinstance(value, str) and NAME.fullmatch(value):
        return None
    return "a name (letters, digits, '.', '_', '-'; at most 63 characters)"


def _names(value):
    ok = (
        isinstance(value, list)
        and value
        and all(check_name(item) is None for item in value)
        and len(set(value)) == len(value)
    )
    return None if ok else "a list of different names, at least one"


def _resources(limits):
    def check(value):
        if not isinstance(value, dict):
            return "an object with " + ", ".join(limits)
        for key, item in value.items():
            if key not in limits:
                return f"only the fields {', '.join(limits)} (found {key!r})"
            expected = limits[key](item)
            if expected:
                return f"{key} to be {expected}"
        return None

    return check


def _operations(value):
    if not isinstance(value, list) or not value:
        return "a list of operations, at least one"
    seen = set()
    for item in value:
        expected = _operation(item)
        if expected:
            return expected
        if item["name"] in seen:
            return f"each operation once (found {item['name']!r} twice)"
        seen.add(item["name"])
    return None


def _operation(item):
    if not isinstance(item, dict) or check_name(item.get("name")):
        return "operations with a name each"
    for key, value in item.items():
        if key not in OPERATION_DEFAULTS and key != "name":
            return f"operation {item['name']!r} without the unknown field {key!r}"
        if key != "name" and _boolean(value):
            return f"operation {item['name']!r}: {key} to be true or false"
    # A retry would contradict the promise to run at most once.
    if item.get("idempotent") and item.get("must_not_repeat"):
        return f"operation {item['name']!r} not both idempotent and must_not_repeat"
    return None


def _object(value):
    return None if isinstance(value, dict) else "an object"


OPERATION_DEFAULTS = {"idempotent": False, "must_not_repeat": False}

DEMAND_DEFAULTS = {"cpu": 0, "memory_mb": 0, "accelerators": 0}
_RESOURCE_LIMITS = {
    "cpu": _number(0, 1_000_000),
    "memory_mb": _whole(0, 1_000_000_000),
    "accelerators": _whole(0, 100_000),
}

_REGION = {
    "failure_domains": Field(_names, required=True),
}

_POOL = {
    "region": Field(check_name, ref="region"),
    "regions": Field(_names, ref="region"),
    "failure_domains": Field(_names),
    "holds": Field(_one_of("executors", "workers"), required=True),
}

_TEAM = {
    "quota": Field(_resources(_RESOURCE_LIMITS), required=True),
}

_TYPE = Field(_one_of(REQUEST, *TASK_TYPES), required=True)

_REQUEST_POLICY = {
    "type": _TYPE,
    "deadline_ms": Field(_whole(1, MAX_RUN_MS), 30_000),
    "queue_limit": Field(_whole(1, 100_000), 1_000),
    "retry_budget": Field(_number(0, 1), 0.1),
    "reserved_short_slots": Field(_whole(0, 10_000), 2),
    "long_threshold_ms": Field(_whole(1, MAX_RUN_MS), 500),
    "max_run_ms": Field(_whole(1, MAX_RUN_MS), 60_000),
    "spill": Field(_one_of("none", "region", "all"), "none"),
    "spill_wait_ms": Field(_whole(0, MAX_RUN_MS), 100),
}

_TASK_POLICY = {
    "type": _TYPE,
    "priority": Field(_whole(0, 1_000), 0),
    "urgent": Field(_boolean, False),
    "preemptible": Field(_boolean, False),
    "max_attempts": Field(_whole(1, 1_000), 3),
    # Tasks of one job go to different racks where there is room.
    "spread": Field(_boolean, False),
}

_SERVICE_POLICY = {**_TASK_POLICY, "spread": Field(_boolean, True)}

# An urgent batch policy is not preemptible by default: see ``with_defaults``.
_BATCH_POLICY = {**_TASK_POLICY, "preemptible": Field(_boolean, True)}

_WORKLOAD_REFS = {
    "type": _TYPE,
    "policy": Field(check_name, required=True, ref="policy"),
    "pool": Field(check_name, required=True, ref="pool"),
}

_REQUEST_WORKLOAD = {
    **_WORKLOAD_REFS,
    "team": Field(check_name, ref="team"),
    "operations": Field(_operations, required=True),
}

_TASK_WORKLOAD = {
    **_WORKLOAD_REFS,
    "team": Field(check_name, required=True, ref="team"),
    "demand": Field(_resources(_RESOURCE_LIMITS), required=True),
    "tasks": Field(_whole(1, MAX_TASKS), 1),
    "run": Field(_object, {}),
    "repeatable": Field(_boolean, True),
}

_BY_KIND = {"region": _REGION, "pool": _POOL, "team": _TEAM}
_BY_TYPE = {
    "policy": {
        REQUEST: _REQUEST_POLICY,
        "service": _SERVICE_POLICY,
        "batch": _BATCH_POLICY,
        "gang": _TASK_POLICY,
    },
    "workload": {
        REQUEST: _REQUEST_WORKLOAD,
        **dict.fromkeys(TASK_TYPES, _TASK_WORKLOAD),
    },
}


def fields_of(obj):
    """Return the fields of an object by name, or None if its kind is unknown.

    For a policy or workload without a valid type only ``type`` is known.
    """
    kind = obj.get("kind")
    if not isinstance(kind, str) or kind not in KINDS:
        return None
    if kind in _BY_KIND:
        return _BY_KIND[kind]
    type_ = obj.get("type")
    if _TYPE.check(type_):
        return {"type": _TYPE}
    return _BY_TYPE[kind][type_]
