"""Default settings of each program, and the checks made when a file is loaded.

The type of a key's default is the type of its values; where it is a float, whole
numbers are valid too. ``VALUE_RANGES`` gives the inclusive bounds of numbers. Keys in
``REQUIRED_KEYS`` have no usable default.
"""

import ipaddress
import re

from .errors import SettingsError
from .json_files import read_json
from .leases import LEASE_MARGIN_S

__all__ = [
    "COMMON_DEFAULTS",
    "ENTRY_DEFAULTS",
    "REQUIRED_KEYS",
    "SCHEDULER_DEFAULTS",
    "VALUE_RANGES",
    "load_settings",
    "takeover_time_s",
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
    # The process writes its HTTP address to this file once the socket is bound, for
    # launchers that configure port 0.
    "ready_file": "",
    "platform_timeout_s": 2.0,
    "config_poll_s": 1.5,
    "members_poll_s": 1.0,
    "tick_s": 0.25,
    "max_body_bytes": 1_048_576,
    "max_header_bytes": 16_384,
    "max_header_fields": 100,
    "max_buffered_bytes": 33_554_432,
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
    "max_header_fields": (10, 10_000),
    "max_buffered_bytes": (1_048_576, 1_073_741_824),
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

# Values of these keys become parts of table keys and of HTTP headers.
NAME_KEYS = ("id", "failure_domain", "region")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

ADDRESS_KEYS = ("http_address", "peer_address", "platform_address")

# (renewal interval, lease): the lease must last at least two intervals, so that it
# survives one lost renewal.
RENEWAL_AND_LEASE_KEYS = (
    ("heartbeat_s", "view_lease_s"),
    ("owner_renew_s", "owner_lease_s"),
    ("worker_renew_s", "worker_lease_s"),
)


# Ticks that a takeover may wait for: to claim the row, to list the jobs, and to send
# the calls that read a worker's clock and renew its lease.
TAKEOVER_TICKS = 4


def takeover_time_s(cfg):
    """Return how long after its death an owner's workers may wait for a renewal.

    A standby may see the owner's last renewal one poll late, and the end of its lease
    another one.
    """
    return (
        cfg["owner_lease_s"]
        + LEASE_MARGIN_S
        + 2 * cfg["owner_poll_s"]
        + TAKEOVER_TICKS * cfg["tick_s"]
    )


def _check_takeover(cfg, source):
    """Refuse worker leases that may run out before a successor renews them."""
    if "worker_lease_s" not in cfg:
        return
    least_s = cfg["worker_renew_s"] + takeover_time_s(cfg)
    if cfg["worker_lease_s"] < least_s:
        raise SettingsError(
            f"{source}: key 'worker_lease_s': expected at least {least_s:g}, or tasks"
            " end while another scheduler takes over from a dead owner"
        )


# (key, key of the value that it must not exceed).
KEY_AND_LIMIT_KEYS = (("default_timeout_ms", "max_timeout_ms"),)


def _is_address(value, lowest_port=0):
    host, _, port = value.rpartition(":")
    try:
        # Other processes connect to the address as written, so the unspecified
        # address (0.0.0.0 or ::) is refused.
        unspecified = ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    return digits and not unspecified and lowest_port <= int(port) <= 65_535


def _expected_type(value, default):
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


def _expected_value(key, value):
    if key in VALUE_RANGES:
        low, high = VALUE_RANGES[key]
        if not low <= value <= high:
            return f"a value from {low} to {high}"
    if key in ADDRESS_KEYS and value:
        # Port 0 lets the operating system choose a port, which only works for a
        # listening socket.
        lowest_port = 1 if key == "platform_address" else 0
        if not _is_address(value, lowest_port):
            return "an address (ip:port)"
    if key in NAME_KEYS and value and not NAME_PATTERN.fullmatch(value):
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
    expected = _expected_type(value, defaults[key]) or _expected_value(key, value)
    if expected:
        raise SettingsError(f"{source}: key {key!r}: expected {expected}")


def check_settings(value, defaults, source):
    """Return ``defaults`` updated with ``value`` after checking every key.

    Raises SettingsError, which names ``source`` and the key that is wrong, if any.
    """
    if not isinstance(value, dict):
        raise SettingsError(f"{source}: expected an object at the top level")
    for key, item in value.items():
        _check_key(source, key, item, defaults)
    cfg = {**defaults, **value}
    for key in REQUIRED_KEYS:
        if key in cfg and not cfg[key]:
            raise SettingsError(f"{source}: key {key!r} is required")
    for renewal_key, lease_key in RENEWAL_AND_LEASE_KEYS:
        if renewal_key in cfg and cfg[renewal_key] * 2 > cfg[lease_key]:
            raise SettingsError(
                f"{source}: key {lease_key!r}: expected at least twice {renewal_key!r}"
            )
    for key, limit_key in KEY_AND_LIMIT_KEYS:
        if key in cfg and cfg[key] > cfg[limit_key]:
            raise SettingsError(
                f"{source}: key {key!r}: expected at most {limit_key!r}"
            )
    _check_takeover(cfg, source)
    return cfg


def load_settings(path, defaults):
    """Return the checked settings in the file at ``path``, with defaults filled in.

    Raises SettingsError, which names the file, if it is unreadable or invalid.
    """
    return check_settings(read_json(path), defaults, path)
