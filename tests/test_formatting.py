"""Guards against tables that exceed the line width or contain control characters."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from cornelward.formatting import MAX_COLUMNS, format_json, format_table

CELLS = st.text(max_size=200) | st.integers() | st.none() | st.booleans()


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(CELLS, CELLS, CELLS), max_size=5))
def test_table_fits_the_width_and_has_one_line_per_row(rows):
    lines = format_table(("A", "B", "C"), rows).split("\n")
    assert_that(len(lines), Equals(len(rows) + 1))
    for line in lines:
        assert len(line) <= MAX_COLUMNS
        assert line.isprintable()


def test_columns_are_aligned_and_states_are_coloured_on_request():
    rows = [("a", "running", 1.5), ("long name", "lost", None)]
    assert_that(
        format_table(("NAME", "STATE", "X"), rows),
        Equals("NAME       STATE    X\na          running  1.5\nlong name  lost     -"),
    )
    assert_that(
        format_table(("NAME", "STATE", "X"), rows, colour=True),
        Contains("\x1b[31mlost\x1b[0m     -"),
    )


def test_wide_cell_is_truncated():
    text = format_table(("A", "B"), [("x" * 300, "y")])
    assert_that(text, Contains("x..."))


def test_formatted_json_decodes_to_the_same_value():
    value = {"b": [1, None], "a": "é"}
    assert_that(json.loads(format_json(value)), Equals(value))
