"""Tests of the scheduler's I/O shell: effects, replies, start and shutdown."""

import random
import socket
import types

import pytest
from processes import launcher  # noqa: F401
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from cornelward import scheduler_shell as shell
from cornelward.compose import CommonComponents
from cornelward.errors import PlatformError
from cornelward.metrics import new_metrics
from cornelward.platform_client import Conflict, Row
from cornelward.router import Identity
from cornelward.scheduler_metrics import Instruments
from cornelward.settings import SCHEDULER_DEFAULTS
from cornelward.task_effects import ListRows, ReadRow, SignalTask, StartTask, Txn
from cornelward.worker_client import Workers

TEST_TIMEOUT_S = 30
IDENTITY = Identity("s1", 1, "a1", "a", "127.0.0.1:1", "127.0.0.1:2")
START = StartTask("w1", "127.0.0.1:3", {"task": "t1", "attempt": 2})


class FakeCore:
    """Records the events that it receives; returns ``next_effects`` once."""

    def __init__(self):
        self.events = []
        self.next_effects = []
        self.authority = True
        self.left = False

    def new_scheduler(self, cfg, identity, rng):
        return self

    def may_send(self, state, now):
        return self.authority

    def has_left(self, state):
        return self.left

    def __getattr__(self, name):
        def event(state, now, *args):
            # The tests do not compare the time of the event.
            self.events.append((name, *args))
            effects, self.next_effects = self.next_effects, []
            return effects

        return event


class FakeLoop:
    """Loop with a fixed time; collects timers in order without running them."""

    def __init__(self):
        self.timers = []
        self.stopped = False

    def now(self):
        return 100.0

    def call_later(self, delay_s, function):
        self.timers.append(function)

    def call_soon(self, function):
        self.timers.append(function)

    def stop(self):
        self.stopped = True


@pytest.fixture
def scheduler():
    """Return a scheduler whose platform and worker calls are recorded in ``sent``."""
    sent = []
    calls = types.SimpleNamespace(
        **{
            name: lambda *args, name=name: sent.append((name, *args))
            for name in ("get", "list_rows", "txn", "members")
        }
    )
    workers = Workers(
        *(
            lambda *args, name=name: sent.append((name, *args))
            for name in ("renew", "start", "signal", "forget")
        )
    )
    peers = types.SimpleNamespace(send=None)
    server = types.SimpleNamespace(stop_accepting=lambda: sent.append(("closed",)))
    common = CommonComponents(
        {**SCHEDULER_DEFAULTS}, FakeLoop(), new_metrics(), None, calls, peers, server, 1
    )
    instruments = Instruments(lambda seconds: None, lambda *args: None)
    core = FakeCore()
    scheduler = shell.Scheduler(
        common, core, IDENTITY, random.Random(1), workers, instruments
    )
    scheduler.sent = sent
    return scheduler


def perform_effects(scheduler, *effects):
    scheduler.core.next_effects = list(effects)
    shell.deliver(scheduler, scheduler.core.tick)
    return [call[-1] for call in scheduler.sent]


def test_each_answer_reaches_its_event_and_failures_are_none(scheduler):
    read, listed, written, lost = perform_effects(
        scheduler, ReadRow("k"), ListRows("p/"), Txn(7, [], [], []), Txn(8, [], [], [])
    )
    failure = PlatformError("down", None)
    row, conflict = Row("k", 1, 3), Conflict({"k": 4})
    read(row)
    listed(failure)
    written(conflict)
    lost(failure)
    assert_that(
        scheduler.core.events[1:],
        Equals(
            [
                ("row_read", 100.0, "k", row),
                ("rows_listed", 100.0, "p/", None),
                ("txn_done", 100.0, 7, conflict),
                ("txn_done", 100.0, 8, None),
            ]
        ),
    )


def test_start_answer_carries_task_and_attempt(scheduler):
    (done,) = perform_effects(scheduler, START)
    done(507, {"epoch": 4})
    expected = ("start_reply", 100.0, "w1", "t1", 2, 507, {"epoch": 4})
    assert_that(scheduler.core.events[-1], Equals(expected))


@pytest.mark.proof
def test_start_is_withheld_without_authority_and_counts_as_unanswered(scheduler):
    scheduler.core.authority = False
    perform_effects(scheduler, START, SignalTask("w1", "127.0.0.1:3", {}))
    assert_that([call[0] for call in scheduler.sent], Equals(["signal"]))
    scheduler.loop.timers.pop()()
    expected = ("start_reply", 100.0, "w1", "t1", 2, None, None)
    assert_that(scheduler.core.events[-1], Equals(expected))


def test_unanswered_membership_list_keeps_the_last_one(scheduler):
    shell.poll_members(scheduler)
    scheduler.sent[0][-1](PlatformError("down"))
    assert_that(scheduler.core.events, HasLength(0))
    scheduler.sent[0][-1]([{"id": "w1"}])
    assert_that(scheduler.core.events, Equals([("update_members", [{"id": "w1"}])]))


def test_shutdown_waits_until_the_core_has_left(scheduler):
    shell.begin_leave(scheduler)
    shell.begin_leave(scheduler)
    assert_that(scheduler.core.events, Equals([("leave",)]))
    scheduler.loop.timers.pop()()
    assert_that(scheduler.loop.stopped, Is(False))
    scheduler.core.left = True
    scheduler.loop.timers.pop()()
    assert_that(scheduler.loop.stopped, Is(True))


@pytest.mark.parametrize(
    ("changes", "code", "words"),
    [
        ({"owner_lease_s": 0.6}, 2, "owner_lease_s"),
        ({"nme": 1}, 2, "nme"),
        ({"id": ""}, 2, "'id' is required"),
        ({"http_address": "TAKEN"}, 3, "http_address TAKEN"),
        ({"peer_address": "TAKEN"}, 3, "peer_address TAKEN"),
    ],
)
def test_failed_start_gives_one_line_and_its_code(launcher, changes, code, words):  # noqa: F811
    settings = {
        "failure_domain": "a1",
        "region": "a",
        "platform_address": "127.0.0.1:1",
    }
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        settings |= {k: address if v == "TAKEN" else v for k, v in changes.items()}
        program = launcher.start("cornelward.scheduler", settings, wait=False)
        assert_that(program.popen.wait(TEST_TIMEOUT_S), Equals(code))
    lines = program.output().splitlines()
    assert_that(lines, HasLength(1))
    assert_that(lines[0], Contains(words.replace("TAKEN", address)))
