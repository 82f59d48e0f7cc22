"""The circuits event loop: timers on a monotonic clock, and signals.

circuits' own Timer reads the wall clock and costs a handler call for each timer on
every turn; here one component keeps all timers in a heap.
"""

import functools
import heapq
import itertools
import signal as signals
import time

from circuits import BaseComponent, Event, handler
from circuits.core.events import started
from circuits.core.pollers import EPoll

__all__ = ["DescriptorSet", "Loop"]

# Below this many cancelled timers the heap is not rebuilt.
MIN_CANCELLED = 1_000


class call(Event):  # noqa: N801
    """Runs a function on the next turn of the loop."""


class DescriptorSet(set):
    """A set where circuits expects a list.

    circuits searches its lists of sockets several times for each event, which takes
    longer the more connections are open.
    """

    append = set.add

    def __getitem__(self, index):
        return list(self)[index]


class _Poller(EPoll):
    """circuits' epoll component with sets of descriptors."""

    def __init__(self):
        super().__init__()
        self._read = DescriptorSet(self._read)
        self._write = DescriptorSet(self._write)


class Loop(BaseComponent):
    """Root component of a process; owns the poller and all timers."""

    channel = "loop"

    def __init__(self):
        super().__init__(channel="loop")
        self._timers = []
        self._cancelled = 0
        self._order = itertools.count()
        self._on_signal = None
        self.poller = _Poller().register(self)

    def now(self):
        """Return monotonic seconds."""
        return time.monotonic()

    def call_later(self, delay_s, function):
        """Run ``function()`` after ``delay_s``; returns a handle for ``cancel``."""
        timer = [time.monotonic() + delay_s, next(self._order), function]
        heapq.heappush(self._timers, timer)
        return timer

    def cancel(self, timer):
        """Cancel a handle of ``call_later``; cancelling twice does nothing."""
        if timer[2] is None:
            return
        timer[2] = None
        self._cancelled += 1
        # Deadlines are mostly cancelled long before they are due.
        if self._cancelled > MIN_CANCELLED and self._cancelled * 2 > len(self._timers):
            self._timers[:] = [item for item in self._timers if item[2] is not None]
            heapq.heapify(self._timers)
            self._cancelled = 0

    def call_soon(self, function):
        """Run ``function()`` on the next turn."""
        self.fire(call(function))

    def call_every(self, interval_s, function):
        """Run ``function()`` each ``interval_s``, counted from its last end."""

        def run():
            try:
                function()
            finally:
                self.call_later(interval_s, run)

        self.call_later(interval_s, run)

    def run_until(self, condition, limit_s):
        """Turn the loop until ``condition()`` is true; returns whether it became so.

        For callers that own the outer loop, such as tests and short commands.
        """
        if not self._running:
            self._running = True
            self.fire(started(self))
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() >= end:
                return False
            self.tick(0.05)
        return True

    def on_signal(self, function):
        """Call ``function(signal number)`` on SIGTERM and SIGINT."""
        self._on_signal = function

    def on_hangup(self, function):
        """Call ``function()`` in the loop after SIGHUP, which ends a process otherwise.

        The call comes with the next timer or input.
        """
        signals.signal(signals.SIGHUP, lambda signo, frame: self.call_soon(function))

    @handler("call")
    def _on_call(self, function):
        function()

    @handler("signal", channel="*")
    def _on_signal_event(self, event, signo, stack):
        event.stop()
        if self._on_signal and signo in (signals.SIGTERM, signals.SIGINT):
            self._on_signal(signo)

    def _run_timer(self, timer):
        """Run a timer that is due, unless it was cancelled within this turn.

        A late timeout would otherwise close the connection of the next request.
        """
        function, timer[2] = timer[2], None
        if function is not None:
            function()

    @handler("generate_events")
    def _on_generate_events(self, event):
        now = time.monotonic()
        timers = self._timers
        while timers and (timers[0][2] is None or timers[0][0] <= now):
            timer = heapq.heappop(timers)
            if timer[2] is None:
                self._cancelled -= 1
            else:
                self.fire(call(functools.partial(self._run_timer, timer)))
                # Events fired here do not shorten the poller's wait by themselves.
                event.reduce_time_left(0)
        if timers:
            event.reduce_time_left(max(0.0, timers[0][0] - now))
