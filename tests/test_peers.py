"""Guards the message transport: no blocking on dead peers, reconnects later."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward.loop import Loop
from cornelward.messages import JobNotice
from cornelward.peers import SEND_BUFFER_MESSAGES, PeerTransport

WAIT_LIMIT_S = 30


@pytest.fixture
def network():
    """Return (loop, start); ``start(name, bind)`` returns (transport, received)."""
    loop = Loop()
    opened = []

    def start(name, bind="127.0.0.1:0"):
        received = []
        transport = PeerTransport(loop, bind, name, 1, received.append)
        opened.append(transport)
        return transport, received

    yield loop, start
    for transport in opened:
        transport.close()


def test_message_arrives_with_the_id_of_its_sender(network):
    loop, start = network
    alpha, _ = start("alpha")
    beta, received = start("beta")
    alpha.send(beta.address, JobNotice("fd", "j1"))
    assert loop.run_until(lambda: received, WAIT_LIMIT_S)
    assert_that(received[0].sender, Equals("alpha"))
    assert_that(received[0].message, Equals(JobNotice("fd", "j1")))


def test_sends_to_a_dead_peer_are_dropped_without_blocking(network):
    _, start = network
    alpha, _ = start("alpha")
    beta, _ = start("beta")
    address = beta.address
    beta.close()
    sent = [alpha.send(address, JobNotice("fd", "j")) for _ in range(1_000)]
    assert_that(sent.count(True) <= SEND_BUFFER_MESSAGES + 1, Equals(True))
    assert_that(sent[-1], Equals(False))


def test_restarted_peer_at_the_same_address_is_reached_again(network):
    loop, start = network
    alpha, _ = start("alpha")
    beta, received = start("beta")
    address = beta.address
    alpha.send(address, JobNotice("fd", "before"))
    assert loop.run_until(lambda: received, WAIT_LIMIT_S)
    beta.close()
    _, again = start("beta", address)

    def reached():
        alpha.send(address, JobNotice("fd", "after"))
        return again

    assert_that(loop.run_until(reached, WAIT_LIMIT_S), Equals(True))
