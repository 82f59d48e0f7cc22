"""Guards against messages that change or crash the receiver on the wire."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from cornelward.messages import Credit, Envelope, SlotGrant, decode, encode


def test_message_survives_encoding():
    grant = SlotGrant("quotes", "short", [Credit(1, "x1", "127.0.0.1:1")], 3.0, 12.5)
    assert_that(decode(encode("e1", 7, grant)), Equals(Envelope("e1", 7, grant)))


def test_unknown_or_broken_bytes_are_ignored():
    assert_that(decode(b"\xc1garbage"), Is(None))
    assert_that(decode(encode("e1", 7, Credit(1, "x1", ""))[:-1]), Is(None))
