"""``cornelward-load``: a bounded load generator for entries on loopback.

Requests arrive as an open-loop Poisson process, which the seed makes reproducible.
Latency is measured from the scheduled arrival time, so that the report includes the
delay of requests that a stalled target kept from being sent on time.
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
# The histogram records latencies from 1 us to 10 minutes with 3 significant digits.
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
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
    option("rate", None, f"Arrivals per second, up to {MAX_RATE}.", flag=False),
    option(
        "duration",
        None,
        f"Duration of the load in seconds, up to {MAX_DURATION_S}.",
        flag=False,
    ),
    option("seed", None, "Seed of the random arrival times.", flag=False, default="1"),
    option(
        "outstanding",
        None,
        f"Maximum number of unanswered requests, up to {MAX_OUTSTANDING}; "
        "arrivals beyond it are not sent and are counted as dropped.",
        flag=False,
        default="500",
    ),
    option(
        "deadline-ms",
        None,
        "Deadline of each request in ms, sent as X-Timeout-Ms.",
        flag=False,
        default="10000",
    ),
    option("json", None, "Print JSON for scripts."),
)


def arrival_times(rate, duration_s, seed):
    """Yield the arrival times in ascending order, in seconds from the start.

    ``rate`` is the mean number of arrivals per second. Times end before ``duration_s``.
    """
    rng = random.Random(seed)
    arrival_s = rng.expovariate(rate)
    while arrival_s < duration_s:
        yield arrival_s
        arrival_s += rng.expovariate(rate)


class _LoadRun:
    """Plan, counters and latency histogram of one load run."""

    def __init__(self, plan):
        self.plan = plan
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.outcomes = Counter()
        self.arrivals = 0
        self.outstanding = 0
        self.ended = False


def run_load(plan):
    """Send the load and return the report as a dict that JSON can encode.

    ``plan`` is a dict with ``targets`` (a list of "ip:port"), ``path``, ``method``,
    ``body`` (bytes), ``rate`` (arrivals per second), ``duration_s``, ``seed``,
    ``outstanding`` (maximum number of unanswered requests) and ``deadline_ms``.
    SIGINT or SIGTERM ends the run early; unanswered requests then count as unfinished.
    """
    loop = Loop()
    client = HttpClient(loop, max_idle=plan["outstanding"])
    run = _LoadRun(plan)
    times = arrival_times(plan["rate"], plan["duration_s"], plan["seed"])
    start = loop.now()

    def schedule_next_arrival():
        arrival_s = next(times, None)
        if arrival_s is None:
            run.ended = True
            _stop_if_finished(loop, run)
        else:
            delay_s = max(0.0, start + arrival_s - loop.now())
            loop.call_later(delay_s, lambda: on_arrival(start + arrival_s))

    def on_arrival(due_s):
        _send(loop, client, run, due_s)
        schedule_next_arrival()

    loop.on_signal(lambda signo: loop.stop())
    loop.call_soon(schedule_next_arrival)
    loop.run()
    return _build_report(run)


def _send(loop, client, run, due_s):
    plan = run.plan
    run.arrivals += 1
    if run.outstanding >= plan["outstanding"]:
        run.outcomes["dropped"] += 1
        return
    run.outstanding += 1

    def finish(result):
        run.outstanding -= 1
        run.outcomes[_outcome_label(result)] += 1
        if result.status is not None:
            elapsed_us = int((loop.now() - due_s) * 1e6)
            run.histogram.record_value(min(max(elapsed_us, 1), MAX_LATENCY_US))
        _stop_if_finished(loop, run)

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
        # The entry answers at the deadline at the latest; waiting 5 s longer only
        # shows when it did not.
        timeout_s=deadline_ms / 1000 + 5,
    )


def _outcome_label(result):
    if result.status is None:
        return result.error
    verdict = result.headers.get("x-verdict")
    return f"{result.status} {verdict}" if verdict else str(result.status)


def _stop_if_finished(loop, run):
    if run.ended and run.outstanding == 0:
        loop.stop()


def _build_report(run):
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


def _parse_number(command, name, low, high, kind=float):
    text = command.option(name)
    try:
        value = kind(text)
        if low <= value <= high:
            return value
    except (TypeError, ValueError):
        pass
    raise RequestError(BAD_REQUEST, f"--{name}: expected a number from {low} to {high}")


def _parse_target(text):
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
    """Sends the load and prints the report as tables or JSON."""

    name = "load"
    description = "Send a bounded load to entries on loopback and print the latencies."
    options = OPTIONS
    help = (
        "Exit codes: 0 every arrival was answered; 1 some were not (dropped, closed, "
        "timed out);\n2 usage error."
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
        targets = [_parse_target(text) for text in self.option("target")]
        if not 1 <= len(targets) <= MAX_TARGETS:
            raise RequestError(
                BAD_REQUEST, f"--target: expected 1 to {MAX_TARGETS} addresses"
            )
        path, method = self.option("path"), self.option("method")
        if not path.startswith("/") or not path.isprintable() or " " in path:
            raise RequestError(
                BAD_REQUEST,
                f"--path {path!r}: expected /path, printable, without spaces",
            )
        if method not in ("GET", "POST"):
            raise RequestError(
                BAD_REQUEST, f"--method {method!r}: expected GET or POST"
            )
        return {
            "targets": targets,
            "path": path,
            "method": method,
            "body": self.option("body").encode(),
            "rate": _parse_number(self, "rate", 0.1, MAX_RATE),
            "duration_s": _parse_number(self, "duration", 0.1, MAX_DURATION_S),
            "seed": _parse_number(self, "seed", 0, 2**63, int),
            "outstanding": _parse_number(self, "outstanding", 1, MAX_OUTSTANDING, int),
            "deadline_ms": _parse_number(self, "deadline-ms", 1, 600_000, int),
        }


def _format_report(report):
    totals = [(name, report[name]) for name in ("arrivals", "answered", "unfinished")]
    counts = format_table(("COUNT", "VALUE"), [*totals, *report["outcomes"].items()])
    rows = [(name, f"{ms:.3f}") for name, ms in report["latency_ms"].items()]
    return counts + "\n\n" + format_table(("LATENCY", "MS"), rows)


def main(argv=None):
    """Run the load generator and return its exit code.

    ``argv`` excludes the program name and defaults to the process arguments.
    """
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
