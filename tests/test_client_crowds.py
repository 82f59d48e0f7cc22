"""Clients that do not behave must not end a process, and ordinary callers are served.

Node and entry run as processes with the memory and descriptors of a small machine.
"""

import pytest
from fixtures_crowd_programs import MAX_FDS, MAX_SOCKETS, MEMORY_MB, program
from fixtures_crowds import (
    CHUNKED,
    CROWDS,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    chunks,
    head,
    legal_body,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

__all__ = ["program"]

pytestmark = pytest.mark.crowd


@pytest.mark.parametrize("kind", CROWDS)
def test_crowd_takes_neither_all_memory_nor_all_descriptors(program, kind):
    for crowds in CROWDS[kind]:
        program.send_crowds(crowds)
    assert program.is_alive()
    answered = program.is_answered()
    peak_mb = program.peak_mb()
    print(f"{kind}: {peak_mb:.0f} MiB, {program.peak_fds} descriptors")
    assert_that(answered, Equals(True))
    assert_that(peak_mb, LessThan(MEMORY_MB))
    assert_that(program.peak_fds, LessThan(MAX_FDS))
    assert_that(program.peak_sockets, LessThan(MAX_SOCKETS + 1))


def test_largest_body_in_steps_of_one_byte_is_not_refused(program):
    target = program.target
    body = chunks(legal_body(target, MAX_BODY_BYTES), 1) + b"0\r\n\r\n"
    request = head(target, 0, CHUNKED) + body
    assert_that(program.exchange([request]), Equals([200]))


def test_largest_header_is_not_refused(program):
    target = program.target
    lines = [f"Content-Length: {len(target.body)}", "X-Filler: "]
    room = MAX_HEADER_BYTES - len(head(target, 0, *lines))
    lines[1] += "x" * room
    request = head(target, 0, *lines) + target.body
    assert_that(program.exchange([request]), Equals([200]))


def test_forty_callers_at_once_are_not_refused(program):
    target = program.target
    line = f"Content-Length: {len(target.body)}"
    requests = [head(target, n, line) + target.body for n in range(40)]
    assert_that(program.exchange(requests), Equals([200] * 40))
