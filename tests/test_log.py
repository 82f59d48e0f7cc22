"""Guards against a slow reader of the log blocking the process."""

import os

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, StartsWith

from cornelward.log import DroppingFile

LINE = b"x" * 999 + b"\n"


def test_lines_are_dropped_and_counted_while_the_pipe_is_full():
    reader, writer = os.pipe()
    file = DroppingFile(writer)
    for _ in range(1_000):
        file.write(LINE)
    assert_that(file.dropped, GreaterThan(0))
    dropped = file.dropped
    taken = os.read(reader, 10_000_000)
    file.write(b"after\n")
    rest = os.read(reader, 10_000_000)
    output = taken + rest
    assert_that(output, Contains(b'"lines": %d' % dropped))
    assert_that(output.splitlines()[-1], Equals(b"after"))
    assert_that(output, StartsWith(LINE))
    os.close(reader)
    os.close(writer)
