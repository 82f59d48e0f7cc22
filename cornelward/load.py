"""``cornelward-load``: a bounded load generator for entries on loopback.

Arrivals are an open-loop Poisson process from a seed. A latency counts from the time
the arrival was due, so a stalled target cannot hide the requests it delayed.
"""

import ipaddress
import random
import sys
from collections import Counter

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Type
from hdrh.histogram import HdrHistogram

from . import __version__
from .errors import BAD_REQUEST, RequestError
from .formatting import format_json, format_table
from .http_client import HttpClient
from .loop import Loop

__all__ = ["arrival_times", "main", "run_load"]

MAX_RATE = 5_000
MAX_DURATION_S = 300
MAX_OUTSTANDING = 2_000
MAX_TARGETS = 64
# The histogram's range: 1 us to 10 minutes with three significant digits.
HIGHEST_US = 600_000_000
DIGITS = 3
PERCENTILES = (50, 90, 95, 99, 99.9, 100)

OPTIONS = (
    option(
        "target",
        None,
        "Address ip:port of an entry on loopback.",
        flag=False,
        multiple=True,
    ),
    option("path", None, "Path of each request.", flag=False, default="/healthz"),
    option("method", None, "GET or POST.", flag=False, default="POST"),
    option("body", None, "Body of each request.", flag=False, default=""),
    option("rate", None, f"Arrivals a second, up to {MAX_RATE}.", flag=False),
    option("duration", None, f"Seconds, up to {MAX_DURATION_S}.", flag=False),
    option("seed", None, "Seed of the arrivals.", flag=False, default="1"),
    option(
        "outstanding",
        None,
        f"Most requests waiting for an answer, up to {MAX_OUTSTANDING}; arrivals "
        "above it are counted as dropped.",
        flag=False,
        default="500",
    ),
    option("deadline-ms", None, "X-Timeout-Ms.", flag=False, default="10000"),
    option("json", None, "Print JSON for scripts."),
)


def arrival_times(rate, duration_s, seed):
    """Yield seconds from the start, ascending, below ``duration_s``."""
    rng = random.Random(seed)
    at = rng.expovariate(rate)
    while at < duration_s:
        yield at
        at += rng.expovariate(rate)


class _Run:
    """Counts and latencies of one run."""

    def __init__(self, plan):
        self.plan = plan
        self.histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
        self.outcomes = Counter()
        self.arrivals = 0
        self.outstanding = 0
        self.ended = False


def run_load(plan):
    """Send the load; returns a JSON-ready report.

    ``plan``: ``targets``, ``path``, ``method``, ``body`` (bytes), ``rate``,
    ``duration_s``, ``seed``, ``outstanding``, ``deadline_ms``.
    """
    loop = Loop()
    client = HttpClient(loop, max_idle=plan["outstanding"])
    run = _Run(plan)
    times = arrival_times(plan["rate"], plan["duration_s"], plan["seed"])
    start = loop.now()

    def next_arrival():
        at = next(times, None)
        if at is None:
            run.ended = True
            _stop_when_idle(loop, run)
        else:
            delay_s = max(0.0, start + at - loop.now())
            loop.call_later(delay_s, lambda: arrive(start + at))

    def arrive(due):
        _send(loop, client, run, due)
        next_arrival()

    loop.on_signal(lambda signo: loop.stop())
    loop.call_soon(next_arrival)
    loop.run()
    return _report(run)


def _send(loop, client, run, due):
    plan = run.plan
    run.arrivals += 1
    if run.outstanding >= plan["outstanding"]:
        run.outcomes["dropped"] += 1
        return
    run.outstanding += 1

    def finish(result):
        run.outstanding -= 1
        run.outcomes[_label(result)] += 1
        if result.status is not None:
            elapsed_us = int((loop.now() - due) * 1e6)
            run.histogram.record_value(min(max(elapsed_us, 1), HIGHEST_US))
        _stop_when_idle(loop, run)

    deadline_ms = plan["deadline_ms"]
    client.request(
        plan["targets"][run.arrivals % len(plan["targets"])],
        plan["method"],
        plan["path"],
        finish,
        headers=(
            ("X-Request-Id", f"load-{plan['seed']}-{run.arrivals}"),
            ("X-Timeout-Ms", str(deadline_ms)),
            ("Idempotency-Key", f"load-{plan['seed']}-{run.arrivals}"),
        ),
        body=plan["body"],
        # The entry answers at the deadline; more time only shows that it did not.
        timeout_s=deadline_ms / 1000 + 5,
    )


def _label(result):
    if result.status is None:
        return result.error
    verdict = result.headers.get("x-verdict")
    return f"{result.status} {verdict}" if verdict else str(result.status)


def _stop_when_idle(loop, run):
    if run.ended and run.outstanding == 0:
        loop.stop()


def _report(run):
    histogram = run.histogram
    return {
        "arrivals": run.arrivals,
        "answered": histogram.get_total_count(),
        "unfinished": run.outstanding,
        "outcomes": dict(sorted(run.outcomes.items())),
        "latency_ms": {
            f"p{p}": histogram.get_value_at_percentile(p) / 1000
            for p in PERCENTILES
            if histogram.get_total_count()
        },
    }


def _number(command, name, low, high, kind=float):
    text = command.option(name)
    try:
        value = kind(text)
        if low <= value <= high:
            return value
    except (TypeError, ValueError):
        pass
    raise RequestError(BAD_REQUEST, f"--{name}: expected a number from {low} to {high}")


def _target(text):
    host, _, port = text.rpartition(":")
    try:
        if ipaddress.ip_address(host).is_loopback and 1 <= int(port) <= 65_535:
            return text
    except ValueError:
        pass
    raise RequestError(
        BAD_REQUEST, f"--target {text!r}: expected a loopback address (ip:port)"
    )


class LoadCommand(Command):
    """Sends the load and prints the report."""

    name = "load"
    description = "Send a bounded load to entries on loopback; print latencies."
    options = OPTIONS
    help = (
        "Exit codes: 0 every arrival was answered; 1 some were not (dropped, closed, "
        "timed out);\n2 wrong usage."
    )

    def handle(self):
        report = run_load(self.plan())
        if self.option("json"):
            text = format_json(report)
        else:
            text = _format_report(report)
        self.io.write_line(text, type=Type.RAW)
        return 0 if report["answered"] == report["arrivals"] else 1

    def plan(self):
        targets = [_target(text) for text in self.option("target")]
        if not 1 <= len(targets) <= MAX_TARGETS:
            raise RequestError(
                BAD_REQUEST, f"--target: expected 1 to {MAX_TARGETS} addresses"
            )
        path, method = self.option("path"), self.option("method")
        if not path.startswith("/") or not path.isprintable() or " " in path:
            raise RequestError(BAD_REQUEST, f"--path {path!r}: expected /path")
        if method not in ("GET", "POST"):
            raise RequestError(BAD_REQUEST, f"--method {method!r}: GET or POST")
        return {
            "targets": targets,
            "path": path,
            "method": method,
            "body": self.option("body").encode(),
            "rate": _number(self, "rate", 0.1, MAX_RATE),
            "duration_s": _number(self, "duration", 0.1, MAX_DURATION_S),
            "seed": _number(self, "seed", 0, 2**63, int),
            "outstanding": _number(self, "outstanding", 1, MAX_OUTSTANDING, int),
            "deadline_ms": _number(self, "deadline-ms", 1, 600_000, int),
        }


def _format_report(report):
    head = [(name, report[name]) for name in ("arrivals", "answered", "unfinished")]
    counts = format_table(("COUNT", "VALUE"), [*head, *report["outcomes"].items()])
    rows = [(name, f"{ms:.3f}") for name, ms in report["latency_ms"].items()]
    return counts + "\n\n" + format_table(("LATENCY", "MS"), rows)


def main(argv=None):
    """Run the load generator; returns the exit code."""
    argv = sys.argv[1:] if argv is None else list(argv)
    app = Application("cornelward-load", __version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    app.add(LoadCommand())
    try:
        return app.run(ArgvInput(["cornelward-load", "load", *argv]))
    except (RequestError, CleoError) as exc:
        print(f"cornelward-load: {exc}", file=sys.stderr)
        return 2
