"""Settings of each program: defaults, and checks at load.

The default of a key fixes its type. ``VALUE_RANGES`` bounds numbers (inclusive).
Keys in ``REQUIRED_KEYS`` have no usable default.
"""

import ipaddress
import re

from .errors import SettingsError
from .json_files import read_json

__all__ = [
    "COMMON_DEFAULTS",
    "ENTRY_DEFAULTS",
    "REQUIRED_KEYS",
    "SCHEDULER_DEFAULTS",
    "VALUE_RANGES",
    "load_settings",
]

LOG_LEVELS = ("debug", "info", "warning", "error")

COMMON_DEFAULTS = {
    "id": "",
    "failure_domain": "",
    "region": "",
    "http_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "platform_address": "",
    "seeds": [],
    "log_level": "info",
    "log_file": "-",
    # The HTTP address is written here once bound, for launchers that bind port 0.
    "ready_file": "",
    "platform_timeout_s": 2.0,
    "config_poll_s": 1.5,
    "members_poll_s": 1.0,
    "tick_s": 0.25,
    "max_body_bytes": 1_048_576,
    "max_header_bytes": 16_384,
    "max_connections": 2_000,
    "idle_timeout_s": 60.0,
    "receive_timeout_s": 10.0,
    "shutdown_timeout_s": 30.0,
}

ENTRY_DEFAULTS = {
    **COMMON_DEFAULTS,
    "heartbeat_s": 0.5,
    "view_lease_s": 3.0,
    "isolated_takeover_s": 30.0,
    "health_poll_s": 2.0,
    "default_timeout_ms": 30_000,
    "max_timeout_ms": 600_000,
}

SCHEDULER_DEFAULTS = {
    **COMMON_DEFAULTS,
    "owner_renew_s": 1.0,
    "owner_poll_s": 0.5,
    "owner_lease_s": 3.0,
    "worker_renew_s": 2.0,
    "worker_lease_s": 10.0,
    "inbox_poll_s": 1.0,
}

VALUE_RANGES = {
    "platform_timeout_s": (0.05, 30),
    "config_poll_s": (0.1, 3),
    "members_poll_s": (0.1, 10),
    "tick_s": (0.05, 1),
    "max_body_bytes": (1_024, 67_108_864),
    "max_header_bytes": (1_024, 262_144),
    "max_connections": (1, 20_000),
    "idle_timeout_s": (1, 3_600),
    "receive_timeout_s": (0.1, 600),
    "shutdown_timeout_s": (0.1, 3_600),
    "heartbeat_s": (0.05, 5),
    "view_lease_s": (0.5, 30),
    "isolated_takeover_s": (5, 3_600),
    "health_poll_s": (0.1, 60),
    "default_timeout_ms": (1, 3_600_000),
    "max_timeout_ms": (1, 3_600_000),
    "owner_renew_s": (0.1, 10),
    "owner_poll_s": (0.1, 10),
    "owner_lease_s": (0.5, 60),
    "worker_renew_s": (0.1, 10),
    "worker_lease_s": (0.5, 120),
    "inbox_poll_s": (0.1, 10),
}

REQUIRED_KEYS = ("id", "failure_domain", "region", "platform_address")

# Parts of table keys and of HTTP headers.
NAMES = ("id", "failure_domain", "region")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

ADDRESSES = ("http_address", "peer_address", "platform_address")

# A lease must survive one lost renewal.
RENEWED_WITHIN = (
    ("heartbeat_s", "view_lease_s"),
    ("owner_renew_s", "owner_lease_s"),
    ("worker_renew_s", "worker_lease_s"),
)


# Settings that must not exceed another one.
AT_MOST = (("default_timeout_ms", "max_timeout_ms"),)


def _is_address(value, lowest_port=0):
    host, _, port = value.rpartition(":")
    try:
        # Others connect to the address as written, so 0.0.0.0 is no address.
        unspecified = ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    return digits and not unspecified and lowest_port <= int(port) <= 65_535


def _type_problem(value, default):
    if isinstance(default, float):
        ok = isinstance(value, int | float) and not isinstance(value, bool)
        return None if ok else "a number"
    if isinstance(default, list):
        ok = isinstance(value, list) and all(
            isinstance(item, str) and _is_address(item, 1) for item in value
        )
        return None if ok else "a list of addresses (ip:port)"
    ok = isinstance(value, type(default)) and not isinstance(value, bool)
    return None if ok else {str: "a string", int: "a whole number"}[type(default)]


def _range_problem(key, value):
    if key in VALUE_RANGES:
        low, high = VALUE_RANGES[key]
        if not low <= value <= high:
            return f"a value from {low} to {high}"
    if key in ADDRESSES and value:
        # Port 0 lets the system choose, which only a listener can.
        lowest_port = 1 if key == "platform_address" else 0
        if not _is_address(value, lowest_port):
            return "an address (ip:port)"
    if key in NAMES and value and not NAME.fullmatch(value):
        return "a name (letters, digits, '.', '_', '-'; at most 63 characters)"
    if key == "log_level" and value not in LOG_LEVELS:
        return "one of " + ", ".join(LOG_LEVELS)
    return None


def _check_key(source, key, value, defaults):
    if key not in defaults:
        raise SettingsError(
            f"{source}: unknown key {key!r}; expected one of: "
            + ", ".join(sorted(defaults))
        )
    expected = _type_problem(value, defaults[key]) or _range_problem(key, value)
    if expected:
        raise SettingsError(f"{source}: key {key!r}: expected {expected}")


def check_settings(value, defaults, source):
    """Return ``defaults`` overlaid with ``value`` after checking every key."""
    if not isinstance(value, dict):
        raise SettingsError(f"{source}: expected an object at the top level")
    for key, item in value.items():
        _check_key(source, key, item, defaults)
    cfg = {**defaults, **value}
    for key in REQUIRED_KEYS:
        if key in cfg and not cfg[key]:
            raise SettingsError(f"{source}: key {key!r} is required")
    for renew, lease in RENEWED_WITHIN:
        if renew in cfg and cfg[renew] * 2 > cfg[lease]:
            raise SettingsError(
                f"{source}: key {lease!r}: expected at least twice {renew!r}"
            )
    for low, high in AT_MOST:
        if low in cfg and cfg[low] > cfg[high]:
            raise SettingsError(f"{source}: key {low!r}: expected at most {high!r}")
    return cfg


def load_settings(path, defaults):
    """Return the checked settings in the file at ``path``."""
    return check_settings(read_json(path), defaults, path)
