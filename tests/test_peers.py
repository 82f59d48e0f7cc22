"""Guards the message transport: no blocking on dead peers, reconnects later.

Connections that go silent without being closed are replaced.
"""

from types import SimpleNamespace

import pynng
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward.loop import Loop
from cornelward.messages import JobNotice, LeaderHello, encode
from cornelward.peers import SEND_BUFFER_MESSAGES, PeerTransport
from standins.proxy import TO_TARGET, Proxy

WAIT_LIMIT_S = 30
SEND_INTERVAL_S = 0.02


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


class Ends:
    """Two transports that reach each other through proxies, and what arrived at each.

    Each sends the other hellos during ``wait``.
    """

    def __init__(self, loop):
        self.loop = loop
        self.silent = {"alpha": [], "beta": []}
        # The proxies need the addresses of the inboxes, and these their proxies'.
        inboxes = {name: self.open(name, None, "127.0.0.1:0") for name in self.silent}
        addresses = {name: inbox.address for name, inbox in inboxes.items()}
        self.proxies = {name: Proxy(loop, addresses[name]) for name in addresses}
        for inbox in inboxes.values():
            inbox.close()
        self.received = {"alpha": [], "beta": []}
        self.transports = {
            name: self.open(name, self.proxies[name].address, addresses[name])
            for name in addresses
        }

    def open(self, name, reply_address, bind):
        return PeerTransport(
            self.loop,
            bind,
            name,
            1,
            lambda envelope: self.received[name].append(envelope.message),
            self.silent[name].append,
            reply_address,
        )

    def wait(self, condition):
        sent_at = [0.0]

        def step():
            # More messages would fill the buffers of the silent connections.
            if self.loop.now() - sent_at[0] >= SEND_INTERVAL_S:
                sent_at[0] = self.loop.now()
                for name, other in (("alpha", "beta"), ("beta", "alpha")):
                    address = self.proxies[other].address
                    self.transports[name].send(address, LeaderHello(name))
            return condition()

        assert self.loop.run_until(step, WAIT_LIMIT_S)

    def is_silent(self, name, other):
        return self.transports[name].is_silent(self.proxies[other].address)


@pytest.mark.parametrize("silent", [("beta",), ("alpha",), ("alpha", "beta")])
def test_connections_that_went_silent_are_replaced(silent):
    # Messages over a connection that was silent, but not closed, were lost for good.
    ends = Ends(Loop())
    ends.wait(lambda: all(len(found) > 20 for found in ends.received.values()))
    assert_that(ends.silent, Equals({"alpha": [], "beta": []}))
    for name in silent:
        ends.proxies[name].silence(TO_TARGET)
    ends.wait(
        lambda: all(ends.silent["alpha" if n == "beta" else "beta"] for n in silent)
    )
    for found in ends.received.values():
        found.clear()
    ends.wait(lambda: all(len(found) > 20 for found in ends.received.values()))
    ends.wait(
        lambda: not (ends.is_silent("alpha", "beta") or ends.is_silent("beta", "alpha"))
    )
    for transport in ends.transports.values():
        transport.close()


def test_peer_that_confirms_nothing_keeps_its_connection(network):
    # A node of an earlier release ignores the checks, as messages of unknown types.
    loop, start = network
    beta, received = start("beta")
    beta._on_check = lambda message: None
    silent = []
    alpha = PeerTransport(
        loop, "127.0.0.1:0", "alpha", 1, received.append, silent.append
    )
    address, begun_at = beta.address, loop.now()

    def step():
        alpha.send(address, JobNotice("fd", "j1"))
        return loop.now() - begun_at > 2.0

    assert loop.run_until(step, WAIT_LIMIT_S)
    alpha.close()
    assert_that((silent, alpha.is_silent(address)), Equals(([], False)))


def test_all_messages_that_have_arrived_are_handled_in_one_iteration(network):
    # A leader whose iterations took 0.2 s handled 64 messages in each: requests, hellos
    # and confirmations waited for seconds, and it took the nodes for silent.
    _, start = network
    beta, received = start("beta")
    waiting = [encode("alpha", 1, JobNotice("fd", f"j{n}")) for n in range(500)]
    beta._inbox.close()

    def recv(block):
        if not waiting:
            raise pynng.TryAgain("nothing waits", 8)
        return waiting.pop(0)

    beta._inbox = SimpleNamespace(recv=recv, close=lambda: None)
    beta._on_read(None)
    assert_that(received, HasLength(500))
