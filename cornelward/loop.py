"""Event loop of a process, built on circuits: timers on a monotonic clock, and signals.

The Timer of circuits reads the wall clock and costs one handler call per timer in each
iteration of the loop; here one component keeps all timers in a heap.
"""

import functools
import heapq
import itertools
import signal as signals
import time

from circuits import BaseComponent, Event, handler
from circuits.core.events import started
from circuits.core.pollers import EPoll

from .log import get_logger

__all__ = ["DescriptorSet", "Loop"]

log = get_logger("loop")

# Characters of a traceback that a log line shows, the last ones.
MAX_TRACE = 1_000

# circuits handles the events of an iteration by ascending number, input with 0. Timers
# come after it, so that a process that is late does not take an answer that has come
# for one that is missing.
AFTER_INPUT = 1

# The heap is rebuilt only if it holds more cancelled timers than this.
MIN_CANCELLED_TIMERS = 1_000


class call(Event):  # noqa: N801
    """Runs a function in the next iteration of the loop."""


class DescriptorSet(set):
    """A set with the list operations that circuits uses on its lists of sockets.

    circuits searches these lists several times for each event, and each search of a
    list takes time proportional to the number of open connections.
    """

    append = set.add

    def __getitem__(self, index):
        return list(self)[index]


class _Poller(EPoll):
    """The epoll component of circuits, with sets instead of lists of descriptors."""

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
        self._sequence = itertools.count()
        self._on_signal = None
        self.poller = _Poller().register(self)

    def now(self):
        """Return the time of the monotonic clock in seconds."""
        return time.monotonic()

    def call_later(self, delay_s, function):
        """Run ``function()`` after ``delay_s``; return a handle for ``cancel``."""
        timer = [time.monotonic() + delay_s, next(self._sequence), function]
        heapq.heappush(self._timers, timer)
        return timer

    def cancel(self, timer):
        """Cancel a timer of ``call_later``; does nothing if it ran or was cancelled."""
        if timer[2] is None:
            return
        timer[2] = None
        self._cancelled += 1
        # Most deadlines are cancelled long before they are due, so cancelled timers
        # would fill the heap.
        if self._cancelled > MIN_CANCELLED_TIMERS and self._cancelled * 2 > len(
            self._timers
        ):
            self._timers[:] = [item for item in self._timers if item[2] is not None]
            heapq.heapify(self._timers)
            self._cancelled = 0

    def call_soon(self, function):
        """Run ``function()`` in the next iteration of the loop."""
        self.fire(call(function))

    def call_every(self, interval_s, function):
        """Run ``function()`` repeatedly, ``interval_s`` after the end of each run."""

        def run():
            try:
                function()
            finally:
                self.call_later(interval_s, run)

        self.call_later(interval_s, run)

    def run_until(self, condition, timeout_s):
        """Run the loop until ``condition()`` is true or ``timeout_s`` has passed.

        Returns whether the condition became true. For code that does not leave control
        to the loop, such as tests and short commands.
        """
        if not self._running:
            self._running = True
            self.fire(started(self))
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() >= end:
                return False
            self.tick(0.05)
        return True

    def on_signal(self, function):
        """Call ``function(signal_number)`` on SIGTERM and SIGINT."""
        self._on_signal = function

    def on_hangup(self, function):
        """Call ``function()`` in the loop on SIGHUP, which otherwise ends the process.

        The call is made when the next timer is due or the next input arrives.
        """
        signals.signal(signals.SIGHUP, lambda signo, frame: self.call_soon(function))

    @handler("exception", channel="*")
    def _on_exception(self, *args, **kwargs):
        """Log an error that a handler did not expect; the process goes on."""
        error = args[1] if len(args) > 1 else args
        trace = "".join(args[2]) if len(args) > 2 and args[2] else ""
        log("error", "handler_failed", reason=repr(error), trace=trace[-MAX_TRACE:])

    @handler("call")
    def _on_call(self, function):
        function()

    @handler("signal", channel="*")
    def _on_signal_event(self, event, signo, stack):
        event.stop()
        if self._on_signal and signo in (signals.SIGTERM, signals.SIGINT):
            self._on_signal(signo)

    def _run_timer(self, timer):
        """Run a due timer, unless it was cancelled earlier in the same iteration.

        Otherwise the timeout of a completed request could close the connection that
        the next request already uses.
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
                run = call(functools.partial(self._run_timer, timer))
                self.fire(run, priority=AFTER_INPUT)
                # Firing an event here does not by itself shorten the poller's wait.
                event.reduce_time_left(0)
        if timers:
            event.reduce_time_left(max(0.0, timers[0][0] - now))
