"""Schema of the configuration objects: type, default and range of each field.

The suffix of a duration is its unit; ``cpu`` is in cores, ``memory_mb`` in MiB.
"""

import re
from typing import Any, NamedTuple

__all__ = ["KINDS", "REQUEST", "TASK_TYPES", "Field", "fields_of"]

REQUEST = "request"
TASK_TYPES = ("service", "batch", "gang")
KINDS = ("region", "pool", "policy", "team", "workload")

# Names become parts of table keys and of URLs.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_TASKS = 10_000
MAX_RUN_MS = 3_600_000
UNSET = object()


class Field(NamedTuple):
    """One field of an object.

    ``check(value)`` returns None for a valid value, otherwise a text that says what was
    expected. ``ref`` is the kind of object that the value, or each item of it, names. A
    field whose ``default`` is UNSET has no value when it is absent.
    """

    check: Any
    default: Any = UNSET
    required: bool = False
    ref: str | None = None


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_whole_number(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _number_between(low, high):
    def check(value):
        # The comparison is false for NaN, so NaN is refused too.
        ok = _is_number(value) and low <= value <= high
        return None if ok else f"a number from {low} to {high}"

    return check


def _whole_number_between(low, high):
    def check(value):
        ok = _is_whole_number(value) and low <= value <= high
        return None if ok else f"a whole number from {low} to {high}"

    return check


def _check_boolean(value):
    return None if isinstance(value, bool) else "true or false"


def _one_of(*choices):
    def check(value):
        ok = isinstance(value, str) and value in choices
        return None if ok else "one of " + ", ".join(choices)

    return check


def check_name(value):
    """Return None for a valid name, otherwise a text that says what was expected."""
    if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
        return None
    return "a name (letters, digits, '.', '_', '-'; at most 63 characters)"


def _check_names(value):
    ok = (
        isinstance(value, list)
        and value
        and all(check_name(item) is None for item in value)
        and len(set(value)) == len(value)
    )
    return None if ok else "a list of different names, at least one"


def _resources_within(limits):
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


def _check_operations(value):
    if not isinstance(value, list) or not value:
        return "a list of operations, at least one"
    seen = set()
    for item in value:
        expected = _check_operation(item)
        if expected:
            return expected
        if item["name"] in seen:
            return f"each operation once (found {item['name']!r} twice)"
        seen.add(item["name"])
    return None


def _check_operation(item):
    if not isinstance(item, dict) or check_name(item.get("name")):
        return "operations with a name each"
    for key, value in item.items():
        if key not in OPERATION_DEFAULTS and key != "name":
            return f"operation {item['name']!r} without the unknown field {key!r}"
        if key != "name" and _check_boolean(value):
            return f"operation {item['name']!r}: {key} to be true or false"
    # An idempotent operation may be retried, which contradicts the guarantee that a
    # must_not_repeat operation runs at most once.
    if item.get("idempotent") and item.get("must_not_repeat"):
        return f"operation {item['name']!r} not both idempotent and must_not_repeat"
    return None


def _check_object(value):
    return None if isinstance(value, dict) else "an object"


OPERATION_DEFAULTS = {"idempotent": False, "must_not_repeat": False}

DEMAND_DEFAULTS = {"cpu": 0, "memory_mb": 0, "accelerators": 0}
_RESOURCE_LIMITS = {
    "cpu": _number_between(0, 1_000_000),
    "memory_mb": _whole_number_between(0, 1_000_000_000),
    "accelerators": _whole_number_between(0, 100_000),
}

_REGION = {
    "failure_domains": Field(_check_names, required=True),
}

_POOL = {
    "region": Field(check_name, ref="region"),
    "regions": Field(_check_names, ref="region"),
    "failure_domains": Field(_check_names),
    "holds": Field(_one_of("executors", "workers"), required=True),
}

_TEAM = {
    "quota": Field(_resources_within(_RESOURCE_LIMITS), required=True),
}

_TYPE = Field(_one_of(REQUEST, *TASK_TYPES), required=True)

_REQUEST_POLICY = {
    "type": _TYPE,
    "deadline_ms": Field(_whole_number_between(1, MAX_RUN_MS), 30_000),
    "queue_limit": Field(_whole_number_between(1, 100_000), 1_000),
    "retry_budget": Field(_number_between(0, 1), 0.1),
    "reserved_short_slots": Field(_whole_number_between(0, 10_000), 2),
    "long_threshold_ms": Field(_whole_number_between(1, MAX_RUN_MS), 500),
    "max_run_ms": Field(_whole_number_between(1, MAX_RUN_MS), 60_000),
    "spill": Field(_one_of("none", "region", "all"), "none"),
    "spill_wait_ms": Field(_whole_number_between(0, MAX_RUN_MS), 100),
}

_TASK_POLICY = {
    "type": _TYPE,
    "priority": Field(_whole_number_between(0, 1_000), 0),
    "urgent": Field(_check_boolean, False),
    "preemptible": Field(_check_boolean, False),
    "max_attempts": Field(_whole_number_between(1, 1_000), 3),
    # Place the tasks of one job on different racks while capacity permits.
    "spread": Field(_check_boolean, False),
}

_SERVICE_POLICY = {**_TASK_POLICY, "spread": Field(_check_boolean, True)}

# ``objects.with_defaults`` makes urgent policies not preemptible by default.
_BATCH_POLICY = {**_TASK_POLICY, "preemptible": Field(_check_boolean, True)}

_WORKLOAD_REFS = {
    "type": _TYPE,
    "policy": Field(check_name, required=True, ref="policy"),
    "pool": Field(check_name, required=True, ref="pool"),
}

_REQUEST_WORKLOAD = {
    **_WORKLOAD_REFS,
    "team": Field(check_name, ref="team"),
    "operations": Field(_check_operations, required=True),
}

_TASK_WORKLOAD = {
    **_WORKLOAD_REFS,
    "team": Field(check_name, required=True, ref="team"),
    "demand": Field(_resources_within(_RESOURCE_LIMITS), required=True),
    "tasks": Field(_whole_number_between(1, MAX_TASKS), 1),
    "run": Field(_check_object, {}),
    "repeatable": Field(_check_boolean, True),
}

_FIELDS_BY_KIND = {"region": _REGION, "pool": _POOL, "team": _TEAM}
_FIELDS_BY_TYPE = {
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
    """Return ``{field name: Field}`` of an object, or None if its kind is unknown.

    A policy or workload without a valid type has the field ``type`` only, because the
    type determines the others.
    """
    kind = obj.get("kind")
    if not isinstance(kind, str) or kind not in KINDS:
        return None
    if kind in _FIELDS_BY_KIND:
        return _FIELDS_BY_KIND[kind]
    type_ = obj.get("type")
    if _TYPE.check(type_):
        return {"type": _TYPE}
    return _FIELDS_BY_TYPE[kind][type_]
