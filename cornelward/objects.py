"""Operators' objects: whole-set checks with references, and typed access.

An object is ``{"kind", "name", ...}``. Problems are texts that begin with the object
(``pool/quotes``) and the field.
"""

from copy import copy

from .errors import ObjectsError
from .object_schema import (
    DEMAND_DEFAULTS,
    KINDS,
    OPERATION_DEFAULTS,
    REQUEST,
    UNSET,
    check_name,
    fields_of,
)

__all__ = ["check_objects", "index_objects", "require_valid_objects", "with_defaults"]


def check_objects(objects):
    """Return the problems of a whole set, in the order of the objects; [] if valid."""
    if not isinstance(objects, list):
        return ["objects: expected a list"]
    problems = []
    by_kind = {kind: {} for kind in KINDS}
    for number, obj in enumerate(objects):
        label, own = _check_identity(number, obj, by_kind)
        problems.extend(f"{label}: {problem}" for problem in own)
        if not own:
            problems.extend(f"{label}: {text}" for text in _check_fields(obj))
    for kind in KINDS:
        for name, obj in by_kind[kind].items():
            texts = [*_check_refs(obj, by_kind), *_RULES[kind](obj, by_kind)]
            problems.extend(f"{kind}/{name}: {text}" for text in texts)
    return problems


def require_valid_objects(objects):
    """Raise ObjectsError with every problem unless the set is valid."""
    problems = check_objects(objects)
    if problems:
        raise ObjectsError(problems)


def index_objects(objects):
    """Return ``{kind: {name: object}}`` of a valid set, with defaults filled in.

    Every kind is present. A pool also has ``regions`` (a list) and
    ``failure_domains``.
    """
    index = {kind: {} for kind in KINDS}
    for obj in objects:
        index[obj["kind"]][obj["name"]] = with_defaults(obj)
    for pool in index["pool"].values():
        pool["regions"] = _pool_regions(pool)
        if "failure_domains" not in pool:
            pool["failure_domains"] = _domains_of(pool["regions"], index["region"])
    return index


def with_defaults(obj):
    """Return a copy of a valid object with the defaults of its fields."""
    filled = dict(obj)
    if filled.get("urgent"):
        filled.setdefault("preemptible", False)
    for name, field in fields_of(obj).items():
        if field.default is not UNSET:
            filled.setdefault(name, copy(field.default))
    if "demand" in filled:
        filled["demand"] = {**DEMAND_DEFAULTS, **filled["demand"]}
    if "operations" in filled:
        filled["operations"] = [
            {**OPERATION_DEFAULTS, **item} for item in filled["operations"]
        ]
    return filled


def _check_identity(number, obj, by_kind):
    """Return the object's label and the problems of its kind and name."""
    if not isinstance(obj, dict):
        return f"object {number}", ["expected an object"]
    kind, name = obj.get("kind"), obj.get("name")
    label = f"{kind}/{name}" if isinstance(name, str) else f"object {number}"
    if fields_of(obj) is None:
        return label, [f"field 'kind': expected one of {', '.join(KINDS)}"]
    expected = check_name(name)
    if expected:
        return label, [f"field 'name': expected {expected}"]
    if name in by_kind[kind]:
        return label, ["field 'name': another object has this kind and name"]
    by_kind[kind][name] = obj
    return label, []


def _check_fields(obj):
    fields = fields_of(obj)
    for name, field in fields.items():
        if name not in obj:
            if field.required:
                yield f"field {name!r}: required"
            continue
        expected = field.check(obj[name])
        if expected:
            yield f"field {name!r}: expected {expected}"
    if "type" in fields and fields["type"].check(obj.get("type")):
        # Without a valid type it is not known which fields belong here.
        return
    for name in obj:
        if name not in fields and name not in ("kind", "name"):
            yield f"field {name!r}: unknown; expected one of " + ", ".join(fields)


def _valid(obj, name):
    """Return the field's value if it is present and well formed."""
    field = fields_of(obj).get(name)
    if field is None or name not in obj or field.check(obj[name]):
        return None
    return obj[name]


def _check_refs(obj, by_kind):
    for name, field in fields_of(obj).items():
        if field.ref is None:
            continue
        value = _valid(obj, name)
        targets = [value] if isinstance(value, str) else value or []
        for target in targets:
            if target not in by_kind[field.ref]:
                yield f"field {name!r}: no {field.ref} is named {target!r}"


def _pool_regions(pool):
    region = _valid(pool, "region")
    return [region] if region else list(_valid(pool, "regions") or [])


def _domains_of(regions, by_name):
    found = []
    for region in regions:
        if region in by_name:
            found += _valid(by_name[region], "failure_domains") or []
    return found


def _region_rules(obj, by_kind):
    own = _valid(obj, "failure_domains") or []
    for other in by_kind["region"].values():
        if other is obj:
            break
        for domain in _valid(other, "failure_domains") or []:
            if domain in own:
                yield (
                    f"field 'failure_domains': {domain!r} is already in "
                    f"region/{other['name']}"
                )


def _pool_rules(obj, by_kind):
    if ("region" in obj) == ("regions" in obj):
        yield "field 'region': expected exactly one of 'region' and 'regions'"
        return
    regions = _pool_regions(obj)
    if not regions or any(region not in by_kind["region"] for region in regions):
        return
    known = _domains_of(regions, by_kind["region"])
    for domain in _valid(obj, "failure_domains") or []:
        if domain not in known:
            yield (
                f"field 'failure_domains': {domain!r} is not in {', '.join(regions)}"
            )


def _policy_rules(obj, by_kind):
    if obj.get("urgent") is True and obj.get("preemptible") is True:
        yield "field 'preemptible': urgent work cannot be preemptible"
    if obj.get("type") in ("service", "gang") and obj.get("preemptible") is True:
        # Preempting one task would stop a gang, and a service has no end to reach.
        yield "field 'preemptible': only batch work can be preempted"


def _workload_rules(obj, by_kind):
    type_ = _valid(obj, "type")
    if type_ is None:
        return
    policy = by_kind["policy"].get(_valid(obj, "policy"))
    if policy is not None and policy.get("type") != type_:
        yield (
            f"field 'policy': policy/{policy['name']} is of type "
            f"{policy.get('type')!r}, not {type_!r}"
        )
    pool = by_kind["pool"].get(_valid(obj, "pool"))
    holds = "executors" if type_ == REQUEST else "workers"
    if pool is not None and pool.get("holds") != holds:
        yield (
            f"field 'pool': pool/{pool['name']} holds {pool.get('holds')!r}; "
            f"{type_} work needs {holds!r}"
        )
    demand = _valid(obj, "demand")
    if type_ != REQUEST and demand is not None and not any(demand.values()):
        yield "field 'demand': expected at least one resource above 0"


def _no_rules(obj, by_kind):
    return ()


_RULES = {
    "region": _region_rules,
    "pool": _pool_rules,
    "policy": _policy_rules,
    "team": _no_rules,
    "workload": _workload_rules,
}
