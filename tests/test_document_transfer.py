"""Parts of a document that is transferred between nodes."""

import random
import zlib

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from cornelward.document_transfer import (
    PART_BYTES,
    Outgoing,
    add_part,
    next_offset,
)

DOCUMENT = random.Random(1).randbytes(2 * PART_BYTES + 100)
SIZE = len(DOCUMENT)


def receive(partial, version, outgoing, offset):
    size = len(outgoing.document)
    return add_part(partial, version, offset, size, outgoing.part(offset))


def test_parts_in_order_make_up_the_document():
    outgoing, partial = Outgoing(DOCUMENT), None
    for offset in (0, PART_BYTES, 2 * PART_BYTES):
        partial, has_grown = receive(partial, 7, outgoing, offset)
        assert_that(has_grown, Is(True))
    assert_that(bytes(partial.data), Equals(DOCUMENT))


def test_part_that_arrives_twice_or_too_early_changes_nothing():
    outgoing = Outgoing(DOCUMENT)
    assert_that(receive(None, 7, outgoing, PART_BYTES), Equals((None, False)))
    partial, _ = receive(None, 7, outgoing, 0)
    for offset in (0, 2 * PART_BYTES):
        partial, has_grown = receive(partial, 7, outgoing, offset)
        assert_that(has_grown, Is(False))
    assert_that(next_offset(partial, 6), Equals((7, PART_BYTES)))


def test_newer_document_replaces_the_beginning_of_an_older_one():
    partial, _ = receive(None, 7, Outgoing(DOCUMENT), 0)
    partial, has_grown = receive(partial, 8, Outgoing(b"short"), 0)
    assert_that((has_grown, bytes(partial.data)), Equals((True, b"short")))
    partial, has_grown = receive(partial, 7, Outgoing(DOCUMENT), 0)
    assert_that((has_grown, partial.version), Equals((False, 8)))


def test_nothing_is_missing_of_a_document_that_is_in_force():
    partial, _ = receive(None, 7, Outgoing(DOCUMENT), 0)
    assert_that(next_offset(partial, 7), Equals((0, 0)))
    assert_that(next_offset(None, 7), Equals((0, 0)))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no compressed bytes",
        zlib.compress(b""),
        zlib.compress(b"abc")[:-1],
        zlib.compress(b"longer than the document"),
        zlib.compress(bytes(PART_BYTES + 1)),
    ],
)
def test_malformed_part_is_rejected(data):
    with pytest.raises(ValueError):
        add_part(None, 7, 0, 10, data)
