"""Guards against messages that are changed by the codec or crash the receiver."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from cornelward.messages import Credit, Envelope, SlotGrant, decode, encode


def test_decoded_message_equals_the_encoded_one():
    grant = SlotGrant("quotes", "short", [Credit(1, "x1", "127.0.0.1:1")], 3.0, 12.5)
    assert_that(decode(encode("e1", 7, grant)), Equals(Envelope("e1", 7, grant)))


def test_unknown_or_truncated_messages_are_ignored():
    assert_that(decode(b"\xc1garbage"), Is(None))
    assert_that(decode(encode("e1", 7, Credit(1, "x1", ""))[:-1]), Is(None))
