"""Guards against configurations that revert to an older version or lose a change."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, MatchesException, Raises

from cornelward.config import EMPTY, adopt, doc_key, next_document
from cornelward.errors import ConfigConflictError, ObjectsError

REGION = {"kind": "region", "name": "laurentides", "failure_domains": ["laurentides"]}


@pytest.mark.proof
@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(min_value=-1, max_value=50)))
def test_adopted_version_never_decreases(versions):
    current = EMPTY
    for version in versions:
        adopted = adopt(current, {"version": version, "parent": 0, "objects": []})
        assert adopted["version"] == max(current["version"], version)
        current = adopted


def test_invalid_document_is_not_adopted():
    current = next_document(0, 0, [REGION])
    for candidate in (
        None,
        [],
        {},
        {"version": 9},
        {"version": True, "objects": []},
        {"version": "9", "objects": []},
        {"version": 9, "objects": None},
    ):
        assert_that(adopt(current, candidate), Equals(current))
    assert_that(adopt(None, current), Equals(current))


def test_same_version_does_not_replace_the_document():
    current = next_document(0, 0, [REGION])
    assert_that(adopt(current, {**current, "objects": []}), Equals(current))


@pytest.mark.proof
def test_second_of_two_concurrent_publications_gets_a_conflict_with_the_version():
    head = 4
    first = next_document(head, 4, [REGION])
    assert_that((first["version"], first["parent"]), Equals((5, 4)))
    head = first["version"]
    assert_that(
        lambda: next_document(head, 4, []),
        Raises(MatchesException(ConfigConflictError, ".*version 5")),
    )


def test_invalid_objects_are_refused_with_every_problem():
    pool = {"kind": "pool", "name": "quotes", "region": "gone", "holds": "tents"}
    with pytest.raises(ObjectsError) as caught:
        next_document(0, 0, [REGION, pool])
    assert_that(caught.value.problems, HasLength(2))


def test_document_key_contains_the_version():
    assert_that(doc_key(12), Equals("config/doc/12"))
