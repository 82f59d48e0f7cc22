"""Core: which nodes the leader sends a heartbeat, how often, and with which addresses.

Only the standbys, a bounded number of nodes that may take over quickly, get a heartbeat
at each renewal of the leader's row and the addresses of all nodes. The others get fewer
heartbeats with the addresses of the standbys, so that the leader's traffic grows with
the number of nodes and not with its square.
"""

from typing import NamedTuple

import xxhash

__all__ = ["STANDBY_INTERVAL_S", "Beats", "Group", "Peer", "groups_due"]

# The leader renews its row as often, and reports each renewal to the standbys.
STANDBY_INTERVAL_S = 0.4
FOLLOWER_INTERVAL_S = 0.8
MAX_FOLLOWER_INTERVAL_S = 1.5
# Followers get heartbeats less often where there are more than this many a second.
MAX_FOLLOWER_BEATS_PER_S = 120
MAX_STANDBYS = 8
# A standby gets the addresses of all nodes at most this often.
ADDRESSES_INTERVAL_S = 0.8


class Peer(NamedTuple):
    """A node as the leader knows it."""

    address: str
    weak: bool = False
    leaving: bool = False


class Group(NamedTuple):
    """Nodes that get the same heartbeat now.

    ``nodes`` are the addresses that it carries; empty if they need not be sent again.
    ``interval_s`` is the time until the next one.
    """

    addresses: list
    nodes: tuple
    interval_s: float


class Beats:
    """When the standbys and the other followers got their last heartbeat."""

    def __init__(self):
        self.standbys_at = self.followers_at = self.addresses_at = None


def choose_standbys(peers):
    """Return the addresses of the standbys, in a stable order spread over the nodes."""
    candidates = sorted(
        (peer.weak, xxhash.xxh32_intdigest(peer.address.encode()), peer.address)
        for peer in peers
        if not peer.leaving
    )
    return [address for _, _, address in candidates[:MAX_STANDBYS]]


def follower_interval_s(count):
    """Return the interval of the heartbeats to ``count`` followers."""
    wanted_s = count / MAX_FOLLOWER_BEATS_PER_S
    return max(FOLLOWER_INTERVAL_S, min(MAX_FOLLOWER_INTERVAL_S, wanted_s))


def _is_due(sent_at, now, interval_s):
    return sent_at is None or now - sent_at >= interval_s


def groups_due(beats, now, own_address, peers, urgent=False):
    """Return the Groups that get a heartbeat now.

    ``urgent`` says that the news concerns everybody: the leader is new, or can no
    longer renew its row. A renewal is reported with ``beats.standbys_at`` set to None.
    """
    standbys = choose_standbys(peers)
    chosen = set(standbys)
    followers = [peer.address for peer in peers if peer.address not in chosen]
    found = []
    if urgent or _is_due(beats.standbys_at, now, STANDBY_INTERVAL_S):
        beats.standbys_at = now
        nodes = ()
        if urgent or _is_due(beats.addresses_at, now, ADDRESSES_INTERVAL_S):
            beats.addresses_at = now
            nodes = tuple(sorted({own_address, *(peer.address for peer in peers)}))
        found.append(Group(standbys, nodes, STANDBY_INTERVAL_S))
    interval_s = follower_interval_s(len(followers))
    if followers and (urgent or _is_due(beats.followers_at, now, interval_s)):
        beats.followers_at = now
        nodes = tuple(sorted({own_address, *standbys}))
        found.append(Group(followers, nodes, interval_s))
    return found
