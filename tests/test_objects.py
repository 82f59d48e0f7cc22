"""Guards against invalid object sets that pass the check, and unclear problem texts."""

import copy

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from cornelward.errors import ObjectsError
from cornelward.json_files import read_objects
from cornelward.object_schema import KINDS, fields_of
from cornelward.objects import (
    check_objects,
    index_objects,
    require_valid_objects,
    with_defaults,
)
from cornelward.queues import parse_policy

EXAMPLES = ("examples/laurentides", "examples/shahidi")
VALID_OBJECTS = read_objects("examples/laurentides")


def with_changed_fields(label, **fields):
    """Return the valid set with fields of one object replaced.

    ``label`` is "kind/name" of the object; a value of None removes the field.
    """
    objects = copy.deepcopy(VALID_OBJECTS)
    obj = next(o for o in objects if f"{o['kind']}/{o['name']}" == label)
    for name, value in fields.items():
        obj[name] = value
        if value is None:
            del obj[name]
    return objects


@pytest.mark.parametrize("folder", EXAMPLES)
def test_examples_are_valid(folder):
    objects = read_objects(folder)
    assert_that(check_objects(objects), Equals([]))
    require_valid_objects(objects)


@pytest.mark.parametrize(
    ("label", "fields", "problem"),
    [
        ("region/capitale", {"failure_domains": []}, "a list of different names"),
        ("region/capitale", {"failure_domains": ["laurentides"]}, "already in region"),
        ("pool/quotes", {"holds": "tents"}, "one of executors, workers"),
        ("pool/quotes", {"region": "capitale"}, "exactly one of"),
        ("pool/quotes", {"regions": None}, "exactly one of"),
        ("pool/quotes", {"failure_domains": ["coast"]}, "'coast' is not in"),
        ("team/clerks", {"quota": {"disk": 1}}, "found 'disk'"),
        ("team/clerks", {"quota": {"cpu": -1}}, "cpu to be a number from 0"),
        ("policy/phone", {"deadline_ms": 0}, "a whole number from 1"),
        ("policy/phone", {"deadline_ms": True}, "a whole number from 1"),
        ("policy/phone", {"retry_budget": float("nan")}, "a number from 0 to 1"),
        ("policy/phone", {"spill": ["all"]}, "one of none, region, all"),
        ("policy/phone", {"priority": 3}, "unknown"),
        ("policy/phone", {"type": "stream"}, "one of request, service, batch, gang"),
        ("policy/rebuild", {"preemptible": True}, "urgent work"),
        ("policy/always-on", {"preemptible": True}, "only batch work"),
        ("workload/pickup", {"policy": "overnight"}, "not 'request'"),
        ("workload/pickup", {"pool": "trucks"}, "needs 'executors'"),
        ("workload/manifests", {"pool": "quotes"}, "needs 'workers'"),
        ("workload/manifests", {"team": None}, "required"),
        ("workload/manifests", {"demand": {}}, "above 0"),
        ("workload/manifests", {"tasks": 1.5}, "a whole number from 1"),
        ("workload/pickup", {"operations": [{"name": "a/b"}]}, "a name each"),
        (
            "workload/pickup",
            {"operations": [{"name": "a"}, {"name": "a"}]},
            "found 'a' twice",
        ),
        (
            "workload/pickup",
            {
                "operations": [
                    {"name": "a", "idempotent": True, "must_not_repeat": True}
                ]
            },
            "not both",
        ),
    ],
)
def test_problem_names_object_and_field(label, fields, problem):
    problems = check_objects(with_changed_fields(label, **fields))
    found = [text for text in problems if text.startswith(label) and problem in text]
    assert_that(found, Not(HasLength(0)), str(problems))
    assert any(f"'{name}'" in text for name in fields for text in found)


def test_bad_kind_or_name_and_duplicates_are_problems():
    duplicated = [*VALID_OBJECTS, VALID_OBJECTS[0]]
    assert_that(check_objects(duplicated), HasLength(1))
    assert_that(check_objects(duplicated)[0], Contains("another object"))
    for bad in (None, 7, [], {}, {"kind": []}, {"kind": "tent", "name": "a"}):
        assert_that(check_objects([bad]), HasLength(1))
    for name in ("", "a/b", "a b", "x" * 64, 5, None):
        obj = {"kind": "region", "name": name, "failure_domains": ["a"]}
        assert_that(check_objects([obj])[0], Contains("'name'"))
    assert_that(check_objects({"kind": "region"}), Equals(["objects: expected a list"]))


REFERENCES = [
    (f"{obj['kind']}/{obj['name']}", field, spec.ref)
    for obj in VALID_OBJECTS
    for field, spec in fields_of(obj).items()
    if spec.ref and field in obj
]


@settings(derandomize=True, deadline=None)
@given(st.sampled_from(REFERENCES), st.from_regex(r"[a-z]{1,12}", fullmatch=True))
def test_reference_to_a_missing_object_is_a_problem(reference, target):
    label, field, ref = reference
    if any(o["kind"] == ref and o["name"] == target for o in VALID_OBJECTS):
        return
    value = [target] if field == "regions" else target
    problems = check_objects(with_changed_fields(label, **{field: value}))
    expected = f"{label}: field {field!r}: no {ref} is named {target!r}"
    assert_that(problems, Contains(expected))


@settings(derandomize=True, deadline=None)
@given(st.sets(st.integers(0, len(VALID_OBJECTS) - 1)))
def test_subset_is_valid_exactly_if_it_keeps_every_referenced_object(removed):
    kept = [obj for number, obj in enumerate(VALID_OBJECTS) if number not in removed]
    present = {(obj["kind"], obj["name"]) for obj in kept}
    missing = {
        (spec.ref, target)
        for obj in kept
        for field, spec in fields_of(obj).items()
        if spec.ref and field in obj
        for target in (obj[field] if field == "regions" else [obj[field]])
    } - present
    problems = check_objects(kept)
    assert_that(bool(problems), Equals(bool(missing)), str(problems))
    for ref, target in missing:
        assert any(f"no {ref} is named {target!r}" in text for text in problems)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.sampled_from(VALID_OBJECTS),
    st.sampled_from(
        ["kind", "name", *sorted({f for o in VALID_OBJECTS for f in fields_of(o)})]
    ),
    JSON_VALUES,
)
def test_any_json_in_any_field_gives_problems_and_no_exception(obj, field, value):
    objects = [o for o in VALID_OBJECTS if o is not obj] + [{**obj, field: value}]
    problems = check_objects(objects)
    assert all(isinstance(text, str) for text in problems)
    if not problems:
        index_objects(objects)


def test_index_fills_in_defaults_and_leaves_the_set_unchanged():
    before = copy.deepcopy(VALID_OBJECTS)
    index = index_objects(VALID_OBJECTS)
    assert_that(set(index), Equals(set(KINDS)))
    pool = index["pool"]["quotes"]
    assert_that(
        pool["failure_domains"], Equals(["laurentides", "monteregie", "capitale"])
    )
    assert_that(index["policy"]["phone"]["spill_wait_ms"], Equals(100))
    assert_that(index["policy"]["always-on"]["spread"], Equals(True))
    urgent = {"kind": "policy", "name": "u", "type": "batch", "urgent": True}
    filled = index_objects([urgent])["policy"]["u"]
    assert_that((filled["preemptible"], filled["max_attempts"]), Equals((False, 3)))
    assert_that(index["workload"]["manifests"]["demand"]["accelerators"], Equals(0))
    index["workload"]["manifests"]["run"]["x"] = 1
    assert_that(
        index_objects(VALID_OBJECTS)["workload"]["phone-bridge"]["run"], Equals({})
    )
    assert_that(VALID_OBJECTS, Equals(before))


def test_request_policy_defaults_equal_those_of_parse_policy():
    policy = with_defaults({"kind": "policy", "name": "p", "type": "request"})
    assert_that(parse_policy(policy), Equals(parse_policy({})))


def test_require_valid_lists_every_problem():
    objects = with_changed_fields("pool/quotes", holds="tents", regions=["gone"])
    with pytest.raises(ObjectsError) as caught:
        require_valid_objects(objects)
    assert_that(len(caught.value.problems) >= 2, Equals(True))
