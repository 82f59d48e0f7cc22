"""Checks sets of configuration objects and fills in the defaults of their fields.

An object is a dict ``{"kind", "name", ...}``. A problem is a text that begins with the
object (``pool/quotes``) and names the field.
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
    """Return the problems of a complete set as a list of texts; [] if it is valid.

    Problems of single objects come first, in the order of the objects, followed by
    those of references and relations between objects, by kind.
    """
    if not isinstance(objects, list):
        return ["objects: expected a list"]
    problems = []
    by_kind = {kind: {} for kind in KINDS}
    for number, obj in enumerate(objects):
        label, identity_problems = _check_identity(number, obj, by_kind)
        problems.extend(f"{label}: {problem}" for problem in identity_problems)
        if not identity_problems:
            problems.extend(f"{label}: {text}" for text in _check_fields(obj))
    for kind in KINDS:
        for name, obj in by_kind[kind].items():
            texts = [*_check_refs(obj, by_kind), *_RULES[kind](obj, by_kind)]
            problems.extend(f"{kind}/{name}: {text}" for text in texts)
    return problems


def require_valid_objects(objects):
    """Raise ObjectsError, which lists every problem, unless the set is valid."""
    problems = check_objects(objects)
    if problems:
        raise ObjectsError(problems)


def index_objects(objects):
    """Return ``{kind: {name: object}}`` of a valid set, with defaults filled in.

    Every kind has a key, even if the set has no such object. Every pool gets
    ``regions`` (a list) and ``failure_domains``, by default those of its regions.
    """
    index = {kind: {} for kind in KINDS}
    for obj in objects:
        index[obj["kind"]][obj["name"]] = with_defaults(obj)
    for pool in index["pool"].values():
        pool["regions"] = _pool_regions(pool)
        if "failure_domains" not in pool:
            pool["failure_domains"] = _region_domains(pool["regions"], index["region"])
    return index


def with_defaults(obj):
    """Return a copy of a valid object with defaults for the fields it leaves out."""
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
    """Return the object's label and a list of problems of its kind and name.

    An object without such a problem is added to ``by_kind``.
    """
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
        # Which fields are allowed depends on the type, so without a valid type no
        # field can be reported as unknown.
        return
    for name in obj:
        if name not in fields and name not in ("kind", "name"):
            yield f"field {name!r}: unknown; expected one of " + ", ".join(fields)


def _valid_field(obj, name):
    """Return the field's value, or None if it is absent or malformed."""
    field = fields_of(obj).get(name)
    if field is None or name not in obj or field.check(obj[name]):
        return None
    return obj[name]


def _check_refs(obj, by_kind):
    for name, field in fields_of(obj).items():
        if field.ref is None:
            continue
        value = _valid_field(obj, name)
        targets = [value] if isinstance(value, str) else value or []
        for target in targets:
            if target not in by_kind[field.ref]:
                yield f"field {name!r}: no {field.ref} is named {target!r}"


def _pool_regions(pool):
    region = _valid_field(pool, "region")
    return [region] if region else list(_valid_field(pool, "regions") or [])


def _region_domains(regions, by_name):
    domains = []
    for region in regions:
        if region in by_name:
            domains += _valid_field(by_name[region], "failure_domains") or []
    return domains


def _region_rules(obj, by_kind):
    domains = _valid_field(obj, "failure_domains") or []
    for other in by_kind["region"].values():
        if other is obj:
            break
        for domain in _valid_field(other, "failure_domains") or []:
            if domain in domains:
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
    known = _region_domains(regions, by_kind["region"])
    for domain in _valid_field(obj, "failure_domains") or []:
        if domain not in known:
            yield (
                f"field 'failure_domains': {domain!r} is not in {', '.join(regions)}"
            )


def _policy_rules(obj, by_kind):
    if obj.get("urgent") is True and obj.get("preemptible") is True:
        yield "field 'preemptible': urgent work cannot be preemptible"
    if obj.get("type") in ("service", "gang") and obj.get("preemptible") is True:
        # Preempting one task would stop its whole gang, and a service never
        # completes.
        yield "field 'preemptible': only batch work can be preempted"


def _workload_rules(obj, by_kind):
    type_ = _valid_field(obj, "type")
    if type_ is None:
        return
    policy = by_kind["policy"].get(_valid_field(obj, "policy"))
    if policy is not None and policy.get("type") != type_:
        yield (
            f"field 'policy': policy/{policy['name']} is of type "
            f"{policy.get('type')!r}, not {type_!r}"
        )
    pool = by_kind["pool"].get(_valid_field(obj, "pool"))
    required_members = "executors" if type_ == REQUEST else "workers"
    if pool is not None and pool.get("holds") != required_members:
        yield (
            f"field 'pool': pool/{pool['name']} holds {pool.get('holds')!r}; "
            f"{type_} work needs {required_members!r}"
        )
    demand = _valid_field(obj, "demand")
    if type_ != REQUEST and demand is not None and not any(demand.values()):
        yield "field 'demand': expected at least one resource above 0"


def _no_extra_rules(obj, by_kind):
    return ()


_RULES = {
    "region": _region_rules,
    "pool": _pool_rules,
    "policy": _policy_rules,
    "team": _no_extra_rules,
    "workload": _workload_rules,
}
