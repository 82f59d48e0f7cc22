"""Core: the memory and descriptors that connections to a process may take.

All connections of a process share one budget of bytes, whatever their number: for
requests that are incomplete, that wait or are handled, and for unsent responses. Beyond
it, the connections with most bytes that no handler has taken are given up. Load
patterns: many requests that never end, bodies and headers of the largest legal size,
and callers that read no responses.
"""

from typing import NamedTuple

__all__ = [
    "DEFAULT_BUFFERED_BYTES",
    "MIN_SHED_BYTES",
    "NOTHING",
    "Held",
    "MemoryBudget",
    "buffered_bytes",
    "caller_connections",
    "connection_to_replace",
    "least_buffered_bytes",
]

DEFAULT_BUFFERED_BYTES = 33_554_432
# Part of an instance's memory that connections may take.
BUFFERED_PART = 1 / 8
# Times that a body is in memory while its request is handled, at most.
BODIES = 3
# Descriptors of a process that are no sockets, and the part of the others that callers
# may take: the rest is for the store, workers and other nodes.
FILE_DESCRIPTORS = 200
CALLERS_PART = 1 / 2
MAX_CALLER_CONNECTIONS = 2_000
# Giving up connections stops at this part of the budget, as each time looks at all.
SHED_TO_PART = 7 / 8
# A connection with less is not given up: that would make no room.
MIN_SHED_BYTES = 4_096
# Idle connections make room for new ones while these take less than this part.
UNFINISHED_PART = 1 / 2


def buffered_bytes(memory_mb):
    """Return the bytes that the connections of an instance may take together."""
    return int(memory_mb * 1_048_576 * BUFFERED_PART)


def least_buffered_bytes(max_body_bytes):
    """Return the budget that a single request of the largest size needs."""
    return BODIES * max_body_bytes


def caller_connections(max_fds):
    """Return how many connections of callers an instance may have open."""
    room = int((max_fds - FILE_DESCRIPTORS) * CALLERS_PART)
    return max(1, min(MAX_CALLER_CONNECTIONS, room))


class Held(NamedTuple):
    """Bytes that a connection takes.

    ``loose`` are those that can be given up: of a request that is incomplete, and of
    responses that the caller does not read. ``taken`` are those of complete requests.
    """

    loose: int = 0
    taken: int = 0


NOTHING = Held()


class MemoryBudget:
    """The bytes that connections take, of ``max_bytes``."""

    def __init__(self, max_bytes=DEFAULT_BUFFERED_BYTES):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._held = {}
        self._is_shedding = False

    def set_held(self, conn, held):
        """Set the Held of a connection."""
        before = self._held.get(conn, NOTHING)
        if held == before:
            return
        self.used_bytes += sum(held) - sum(before)
        if held == NOTHING:
            del self._held[conn]
        else:
            self._held[conn] = held

    def is_exceeded(self):
        """Return whether the connections take more than the budget."""
        return self.used_bytes > self.max_bytes

    def shed(self):
        """If the budget is exceeded, give up connections with many loose bytes.

        The largest come first, until there is room. ``conn.give_up()`` must set what
        the connection holds then.
        """
        if self._is_shedding or not self.is_exceeded():
            return
        loose = [
            (held.loose, conn)
            for conn, held in self._held.items()
            if held.loose >= MIN_SHED_BYTES
        ]
        loose.sort(key=lambda item: -item[0])
        self._is_shedding = True
        try:
            for _, conn in loose:
                if self.used_bytes <= self.max_bytes * SHED_TO_PART:
                    break
                conn.give_up()
        finally:
            self._is_shedding = False


def connection_to_replace(conns):
    """Return the connection whose place a new one gets, or None.

    ``conns`` have ``is_closing``, ``is_busy``, ``served`` (requests completed),
    ``is_receiving`` and ``last_active_at``. A connection without a whole request so far
    or with an incomplete one goes before one that is idle between requests, unless
    there are few of them: new callers would replace each other.
    """
    conns = [conn for conn in conns if not conn.is_busy]
    closing = [conn for conn in conns if conn.is_closing]
    idle = [conn for conn in conns if conn.served and not conn.is_receiving]
    unfinished = [conn for conn in conns if not conn.served or conn.is_receiving]
    if len(unfinished) < len(conns) * UNFINISHED_PART and idle:
        unfinished = []
    found = closing or unfinished or idle
    return min(found, key=lambda conn: conn.last_active_at, default=None)
