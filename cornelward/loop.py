"""The circuits event loop: timers on a monotonic clock, and signals.

circuits' own Timer reads the wall clock and costs a handler call for each timer on
every turn; here one component keeps all timers in a heap.
"""

import heapq
import itertools
import signal as signals
import time

from circuits import BaseComponent, Event, handler
from circuits.core.events import started
from circuits.core.pollers import EPoll

__all__ = ["Loop"]


class call(Event):  # noqa: N801
    """Runs a function on the next turn of the loop."""


class Loop(BaseComponent):
    """Root component of a process; owns the poller and all timers."""

    channel = "loop"

    def __init__(self):
        super().__init__(channel="loop")
        self._timers = []
        self._order = itertools.count()
        self._on_signal = None
        self.poller = EPoll().register(self)

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
        timer[2] = None

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

    @handler("call")
    def _on_call(self, function):
        function()

    @handler("signal", channel="*")
    def _on_signal_event(self, event, signo, stack):
        event.stop()
        if self._on_signal and signo in (signals.SIGTERM, signals.SIGINT):
            self._on_signal(signo)

    @handler("generate_events")
    def _on_generate_events(self, event):
        now = time.monotonic()
        timers = self._timers
        while timers and (timers[0][2] is None or timers[0][0] <= now):
            function = heapq.heappop(timers)[2]
            if function is not None:
                self.fire(call(function))
                # circuits shortens the wait only for events of other threads, so the
                # call would run after the next timer or input.
                event.reduce_time_left(0)
        if timers:
            event.reduce_time_left(max(0.0, timers[0][0] - now))
