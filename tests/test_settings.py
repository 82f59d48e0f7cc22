"""Guards against processes that start with bad settings, and unclear error messages."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, StartsWith

from cornelward import entry, scheduler
from cornelward.errors import SettingsError
from cornelward.settings import (
    COMMON_DEFAULTS,
    ENTRY_DEFAULTS,
    REQUIRED_KEYS,
    SCHEDULER_DEFAULTS,
    VALUE_RANGES,
    check_settings,
    load_settings,
)

VALID_SETTINGS = {
    "id": "e1",
    "failure_domain": "coast",
    "region": "coast",
    "platform_address": "127.0.0.1:7000",
}
PROGRAMS = {"entry": ENTRY_DEFAULTS, "scheduler": SCHEDULER_DEFAULTS}


@pytest.fixture
def refusal(tmp_path):
    """Return ``refusal(text, defaults)``, which loads ``text`` and expects a refusal.

    It returns the error message without the name of the file at its start.
    """
    path = tmp_path / "node.json"

    def refusal(text, defaults=ENTRY_DEFAULTS):
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        with pytest.raises(SettingsError) as caught:
            load_settings(path, defaults)
        message = caught.value.message
        assert_that(message, StartsWith(f"{path}: "))
        assert_that(message.count("\n"), Equals(0))
        return message.removeprefix(f"{path}: ")

    return refusal


def test_valid_settings_with_comments_are_loaded(tmp_path):
    path = tmp_path / "node.json"
    path.write_text("// an entry\n" + json.dumps(VALID_SETTINGS) + "/* end */")
    cfg = load_settings(path, ENTRY_DEFAULTS)
    assert_that(cfg, Equals({**ENTRY_DEFAULTS, **VALID_SETTINGS}))
    # Settings in seconds accept whole numbers.
    cfg = check_settings({**VALID_SETTINGS, "heartbeat_s": 1}, ENTRY_DEFAULTS, "x")
    assert_that(cfg["heartbeat_s"], Equals(1))


@pytest.mark.parametrize("program", PROGRAMS)
def test_defaults_are_within_their_ranges(program):
    defaults = PROGRAMS[program]
    check_settings(VALID_SETTINGS, defaults, "defaults")
    numbers = {k for k, v in defaults.items() if isinstance(v, int | float)}
    assert_that(numbers - set(VALUE_RANGES), Equals(set()))
    for key in numbers:
        low, high = VALUE_RANGES[key]
        assert low <= defaults[key] <= high


@pytest.mark.parametrize("key", REQUIRED_KEYS)
def test_missing_or_empty_required_key_is_refused(refusal, key):
    without = {k: v for k, v in VALID_SETTINGS.items() if k != key}
    for value in (without, {**VALID_SETTINGS, key: ""}):
        assert_that(refusal(json.dumps(value)), Equals(f"key {key!r} is required"))


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("heartbeat", 1, "unknown key 'heartbeat'; expected one of: config_poll_s"),
        ("id", 5, "expected a string"),
        ("id", "a/b", "expected a name"),
        ("failure_domain", "a\r\nX-Evil: 1", "expected a name"),
        ("tick_s", "0.25", "expected a number"),
        ("tick_s", True, "expected a number"),
        ("tick_s", None, "expected a number"),
        ("tick_s", 0, "expected a value from 0.05 to 1"),
        ("max_connections", 1.5, "expected a whole number"),
        ("max_connections", True, "expected a whole number"),
        ("max_connections", 0, "expected a value from 1 to 20000"),
        ("http_address", "localhost:80", "expected an address (ip:port)"),
        ("http_address", "127.0.0.1", "expected an address (ip:port)"),
        ("http_address", "127.0.0.1:65536", "expected an address (ip:port)"),
        ("http_address", "127.0.0.1:-1", "expected an address (ip:port)"),
        ("http_address", "0.0.0.0:80", "expected an address (ip:port)"),
        ("platform_address", "127.0.0.1:0", "expected an address (ip:port)"),
        ("seeds", "127.0.0.1:1", "expected a list of addresses"),
        ("seeds", ["127.0.0.1:0"], "expected a list of addresses"),
        ("seeds", [7], "expected a list of addresses"),
        ("log_level", "loud", "expected one of debug, info, warning, error"),
        ("view_lease_s", 0.6, "expected at least twice 'heartbeat_s'"),
        ("default_timeout_ms", 700_000, "expected at most 'max_timeout_ms'"),
    ],
)
def test_bad_value_names_file_key_and_expectation(refusal, key, value, expected):
    message = refusal(json.dumps({**VALID_SETTINGS, key: value}))
    assert_that(message, Contains(f"key {key!r}"))
    assert_that(message, Contains(expected))


def test_owner_lease_shorter_than_two_renewals_is_refused(refusal):
    """Such a lease would expire after a single lost renewal."""
    for renew, lease in (("owner_renew_s", "owner_lease_s"),):
        value = {**VALID_SETTINGS, renew: 2, lease: 3.9}
        assert_that(
            refusal(json.dumps(value), SCHEDULER_DEFAULTS), Contains(f"key {lease!r}")
        )


def test_worker_lease_shorter_than_a_takeover_is_refused(refusal):
    """Tasks would end and run again while another scheduler takes over."""
    value = {**VALID_SETTINGS, "worker_renew_s": 2, "worker_lease_s": 7.4}
    message = refusal(json.dumps(value), SCHEDULER_DEFAULTS)
    assert_that(message, Contains("'worker_lease_s': expected at least 7.5"))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "not valid JSON"),
        ("{", "not valid JSON"),
        ('{"id": "e1"} x', "not valid JSON"),
        ("[" * 100_000, "not valid JSON"),
        (b"\xff\xfe", "not UTF-8"),
        ("[]", "expected an object at the top level"),
        ("null", "expected an object at the top level"),
    ],
)
def test_malformed_file_is_refused_with_the_reason(refusal, text, expected):
    assert_that(refusal(text), Contains(expected))


def test_missing_file_or_folder_is_refused_by_name(tmp_path):
    for path in (tmp_path / "none.json", tmp_path):
        with pytest.raises(SettingsError) as caught:
            load_settings(path, ENTRY_DEFAULTS)
        assert_that(caught.value.message, StartsWith(f"{path}: "))


@pytest.mark.parametrize("main", [entry.main, scheduler.main])
def test_program_with_a_bad_file_prints_one_line_and_exits_with_2(
    main, tmp_path, capfd
):
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**VALID_SETTINGS, "tick_s": 5}))
    assert_that(main([str(path)]), Equals(2))
    out, err = capfd.readouterr()
    assert_that((out, err.count("\n")), Equals(("", 1)))
    text = f"{path}: key 'tick_s': expected a value from 0.05 to 1"
    assert_that(err, Contains(text))


@settings(derandomize=True, deadline=None)
@given(
    st.sampled_from(sorted({*ENTRY_DEFAULTS, *SCHEDULER_DEFAULTS, *COMMON_DEFAULTS})),
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.lists(st.text(max_size=5) | st.integers(), max_size=2)
    | st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)
def test_any_value_is_accepted_within_range_or_refused_by_name(key, value):
    defaults = ENTRY_DEFAULTS if key in ENTRY_DEFAULTS else SCHEDULER_DEFAULTS
    try:
        cfg = check_settings({**VALID_SETTINGS, key: value}, defaults, "node.json")
    except SettingsError as exc:
        assert_that(exc.message, StartsWith("node.json: key "))
        return
    if key in VALUE_RANGES:
        low, high = VALUE_RANGES[key]
        assert low <= cfg[key] <= high
