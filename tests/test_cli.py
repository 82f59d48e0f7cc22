"""Guards against commands whose exit code or message misleads an operator."""

import json
import threading

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from cornelward import cli
from cornelward.cli import ENTRY_ADDRESS_VARIABLE, main
from tests.fixtures_operator import fake_entry

__all__ = ["fake_entry"]

EXAMPLE_OBJECTS = "examples/shahidi"
COMMANDS = ("check", "apply", "get", "submit", "status", "cancel", "dump")


@pytest.fixture
def run(capfd, monkeypatch, fake_entry):
    """Return ``run(*argv)``, which returns (exit code, stdout, stderr)."""
    monkeypatch.setenv(ENTRY_ADDRESS_VARIABLE, fake_entry.address)

    def run(*argv):
        code = main(argv)
        out, err = capfd.readouterr()
        return code, out, err

    return run


@pytest.mark.parametrize("command", COMMANDS)
def test_help_of_each_command_lists_the_exit_codes(run, command):
    code, out, _ = run(command, "--help")
    assert_that(code, Equals(0))
    assert_that(out, Contains("Exit codes: 0 done"))


def test_check_reports_every_problem_and_fails(run, tmp_path):
    assert_that(
        run("check", EXAMPLE_OBJECTS), Equals((0, "13 objects, 0 problems\n", ""))
    )
    file = tmp_path / "bad.json"
    file.write_text('[{"kind": "pool", "name": "p", "holds": "x"} /* note */]')
    code, out, _ = run("check", str(file))
    assert_that(code, Equals(cli.EXIT_REFUSED))
    assert_that(out, Contains("pool/p: field 'holds'"))
    code, out, _ = run("check", "--json", str(file))
    assert_that(len(json.loads(out)["problems"]), Equals(2))


@pytest.mark.parametrize(
    "argv",
    [
        ("check",),
        ("check", "no-such-file"),
        ("nothing",),
        ("get", "--nothing"),
        ("get", "tent"),
        ("get", "--entry", "localhost"),
        ("get", "--timeout", "soon"),
        ("apply", EXAMPLE_OBJECTS, "--parent", "one"),
        ("submit", "w", "--run", "{"),
        ("submit", "w", "--tasks", "-1"),
    ],
)
def test_usage_error_prints_one_line_and_exits_with_2(run, argv):
    code, out, err = run(*argv)
    assert_that((code, out), Equals((cli.EXIT_USAGE, "")))
    assert_that(err, Contains("cornelward: "))
    assert_that(err.count("\n"), Equals(1))


def test_missing_entry_address_is_a_usage_error(run, monkeypatch):
    monkeypatch.delenv(ENTRY_ADDRESS_VARIABLE)
    code, _, err = run("get")
    assert_that(code, Equals(cli.EXIT_USAGE))
    assert_that(err, Contains(ENTRY_ADDRESS_VARIABLE))


def test_get_shows_the_objects_that_apply_published(run, fake_entry):
    assert_that(run("apply", EXAMPLE_OBJECTS)[0], Equals(0))
    assert_that(fake_entry.document["version"], Equals(1))
    _, out, _ = run("get")
    assert_that(out, Contains("version 1"))
    assert all(len(line) <= 100 for line in out.splitlines())
    assert_that(json.loads(run("get", "team", "finance")[1])["kind"], Equals("team"))
    assert_that(run("get", "team", "none")[0], Equals(cli.EXIT_NOT_FOUND))


def test_apply_refuses_an_invalid_set_without_calling_the_entry(
    run, fake_entry, tmp_path
):
    file = tmp_path / "bad.json"
    file.write_text('[{"kind": "pool", "name": "p", "region": "r", "holds": "x"}]')
    code, _, err = run("apply", str(file))
    assert_that((code, fake_entry.calls), Equals((cli.EXIT_REFUSED, [])))
    assert_that(err.count("pool/p: field"), Equals(2))


@pytest.mark.proof
def test_apply_of_an_edited_old_version_exits_with_conflict(run, fake_entry, tmp_path):
    run("apply", EXAMPLE_OBJECTS)
    file = tmp_path / "mine.json"
    file.write_text(run("get", "--json")[1])
    run("apply", "examples/laurentides")
    code, _, err = run("apply", str(file))
    assert_that(code, Equals(cli.EXIT_CONFLICT))
    assert_that(err, Contains("version 2"))
    assert_that(fake_entry.document["version"], Equals(2))


@pytest.mark.proof
def test_exactly_one_of_concurrent_applies_succeeds(run, fake_entry):
    codes = []
    argv = ("apply", EXAMPLE_OBJECTS, "--parent", "0", "--entry", fake_entry.address)
    threads = [
        threading.Thread(target=lambda: codes.append(main(argv))) for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert_that(sorted(codes), Equals([0] + [cli.EXIT_CONFLICT] * 3))
    assert_that(fake_entry.document["version"], Equals(1))


def test_submit_with_the_same_key_creates_one_job(run, fake_entry):
    for text in ("accepted", "was accepted before"):
        code, out, _ = run("submit", "nightly", "--key", "k1", "--tasks", "2")
        assert_that((code, out), Equals((0, f"job coast.k1 {text}\n")))
    assert_that(len(fake_entry.jobs), Equals(1))
    code, out, _ = run("submit", "huge", "--key", "k2", "--wait", "5")
    assert_that(code, Equals(cli.EXIT_REFUSED))
    assert_that(out, Equals("job coast.k2 refused, workload huge\n"))
    wait = run("submit", "nightly", "--key", "k1", "--wait", "0.01")
    assert_that(wait[0], Equals(cli.EXIT_REFUSED))
    assert_that(run("status", "coast.k1")[1], Contains("WORKER"))
    assert_that(run("cancel", "coast.k1")[0], Equals(0))
    record = json.loads(run("status", "coast.k1", "--json")[1])
    assert_that(record["state"], Equals("cancelled"))
    assert_that(run("status", "coast.none")[0], Equals(cli.EXIT_NOT_FOUND))
    assert_that(run("status", "../config")[0], Equals(cli.EXIT_REFUSED))


def test_status_and_dump_print_the_state_of_the_entry(run):
    code, out, _ = run("status")
    assert_that((code, out), Equals((0, out)))
    assert_that(out, Contains("queued.pickup  3"))
    assert_that(json.loads(run("dump")[1])["id"], Equals("e1"))


def test_entry_failures_set_the_exit_code_and_verdict(run, fake_entry):
    code, _, err = run("get", "--entry", "127.0.0.1:1")
    assert_that((code, err.count("\n")), Equals((cli.EXIT_UNAVAILABLE, 1)))
    assert_that(err, Contains("[NOT_RUN]"))
    fake_entry.forced_response = (503, {"error": {"code": "platform_unavailable"}})
    assert_that(run("get")[0], Equals(cli.EXIT_UNAVAILABLE))
    fake_entry.forced_response = (500, b"<html>")
    assert_that(run("get")[0], Equals(cli.EXIT_REFUSED))
    fake_entry.forced_response = (200, b"[")
    code, _, err = run("submit", "w")
    assert_that(code, Equals(cli.EXIT_REFUSED))
    assert_that(err, Contains("[MAY_HAVE_RUN]"))


def test_lost_response_is_reported_as_may_have_run_with_the_job_key(run, fake_entry):
    fake_entry.answer = lambda method, path, body: 1 / 0
    code, _, err = run("submit", "nightly", "--key", "k9")
    assert_that(code, Equals(cli.EXIT_UNAVAILABLE))
    assert_that(err, Contains("[MAY_HAVE_RUN]"))
    assert_that(err, Contains("job key k9"))


def test_output_off_a_terminal_has_no_colour_or_control_characters(run, fake_entry):
    run("submit", "nightly", "--key", "k1")
    fake_entry.jobs["coast.k1"]["reason"] = "\x1b[31mred\nline"
    _, out, _ = run("status", "coast.k1")
    assert_that(out, Not(Contains("\x1b")))
    assert_that(out, Contains("\\x1b[31mred\\nline"))
    assert_that(run("status", "coast.k1", "--ansi")[1], Contains("\x1b["))
