"""Guards against load outside loopback or the limits, and against wrong counts."""

import json
import signal

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from cornelward.load import arrival_times, main
from tests.fixtures_operator import fake_entry

__all__ = ["fake_entry"]

LOAD_OPTIONS = ("--rate", "200", "--duration", "0.5", "--seed", "7", "--json")


@pytest.fixture(autouse=True)
def signal_handlers():
    """Restore the signal handlers that the event loop of a run replaces."""
    numbers = (signal.SIGINT, signal.SIGTERM)
    before = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, before, strict=True):
        signal.signal(number, handler)


def test_arrival_times_are_reproducible_from_the_seed():
    times = list(arrival_times(500, 10, 3))
    assert_that(times, Equals(list(arrival_times(500, 10, 3))))
    assert times != list(arrival_times(500, 10, 4))
    assert_that(times, Equals(sorted(times)))
    assert 4_500 < len(times) < 5_500
    assert times[-1] < 10


@pytest.mark.parametrize(
    ("argv", "text"),
    [
        (("--target", "192.0.2.1:80"), "loopback"),
        (("--target", "localhost:80"), "loopback"),
        ((), "1 to 64 addresses"),
        (("--target", "127.0.0.1:80", "--rate", "5001"), "--rate"),
        (("--target", "127.0.0.1:80", "--duration", "nan"), "--duration"),
        (("--target", "127.0.0.1:80", "--outstanding", "2001"), "--outstanding"),
        (("--target", "127.0.0.1:80", "--path", "/a b"), "--path"),
        (("--target", "127.0.0.1:80", "--path", "/\r\nX: 1"), "--path"),
        (("--nothing",), "--nothing"),
    ],
)
def test_bad_option_is_refused_with_one_line(capfd, argv, text):
    assert_that(main([*LOAD_OPTIONS, *argv]), Equals(2))
    out, err = capfd.readouterr()
    assert_that((out, err.count("\n")), Equals(("", 1)))
    assert_that(err, Contains(text))


def test_every_arrival_is_counted_once(capfd, fake_entry):
    fake_entry.forced_response = (200, {})
    code = main(
        [*LOAD_OPTIONS, "--target", fake_entry.address, "--path", "/v1/services/a/b"]
    )
    report = json.loads(capfd.readouterr().out)
    arrivals = len(list(arrival_times(200, 0.5, 7)))
    assert_that((code, report["arrivals"]), Equals((0, arrivals)))
    assert_that(report["outcomes"], Equals({"200": arrivals}))
    assert_that(len(fake_entry.calls), Equals(arrivals))
    assert report["latency_ms"]["p50"] <= report["latency_ms"]["p100"]


def test_unanswered_arrivals_fail_the_run(capfd):
    code = main([*LOAD_OPTIONS, "--target", "127.0.0.1:1"])
    report = json.loads(capfd.readouterr().out)
    assert_that((code, report["answered"]), Equals((1, 0)))
    assert_that(report["outcomes"], Equals({"connect_failed": report["arrivals"]}))
    assert_that(report["latency_ms"], Equals({}))
