"""Decodes the platform's settings file into the settings of a node."""

import tomllib
from pathlib import Path
from typing import NamedTuple

from ..errors import SettingsError

__all__ = ["NodeSettings", "load_node_settings"]


class NodeSettings(NamedTuple):
    """Settings of a node; addresses are "ip:port", times are in seconds."""

    node: str
    failure_domain: str
    region: str
    ip: str
    # Addresses for callers' requests and for the load balancer's readiness check.
    caller_address: str
    ready_address: str
    peer_address: str
    # Address of the metrics and the state dump, for operators.
    status_address: str
    store_address: str
    advice_address: str
    longest_lease_s: float
    stop_s: float
    # Processor cores of the instance, and the bandwidth of its network link in Mbit/s.
    cores: float
    link_mbps: float
    # Time between SIGTERM and SIGKILL.
    grace_s: float
    # Memory and descriptors of the process.
    memory_mb: float = 300.0
    max_fds: int = 4_200
    # Whether callers compete for too little room, so that jobs are delayed, refused or
    # stopped by what that costs callers.
    overload_control: bool = False
    # Fraction by which a workspace may exceed its cap, and the time within which a new
    # configuration has to be in force.
    cap_overage: float = 0.0
    config_apply_s: float = 4.0
    # Largest value of a row of the store.
    row_bytes: int = 65_536


def load_node_settings(path):
    """Return the NodeSettings in the TOML file ``path``.

    Raises SettingsError if it cannot be read, parsed or decoded.
    """
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        return _decode_settings(raw)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    except (KeyError, TypeError, ValueError, IndexError) as exc:
        raise SettingsError(f"{path}: missing or malformed field {exc}") from exc


def _decode_settings(raw):
    bounds, platform = raw["bounds"], raw["platform"]
    addresses, limits = raw["bind_addresses"], raw["limits"]
    return NodeSettings(
        node=raw["node_name"],
        failure_domain=raw["zone"],
        region=raw["region"],
        ip=raw["ip"],
        caller_address=addresses["front"],
        ready_address=addresses["ready"],
        peer_address=f"{raw['ip']}:{int(raw['internal_ports'][0])}",
        status_address=f"{raw['ip']}:{int(raw['internal_ports'][1])}",
        store_address=platform["address"],
        advice_address=raw.get("advice", ""),
        longest_lease_s=float(bounds["max_hold_ms"]) / 1000,
        stop_s=float(bounds["stop_ms"]) / 1000,
        # The instance has a share of each core: the share times the number of cores.
        cores=float(limits["cpu_share"]) * limits["cores"],
        link_mbps=float(limits["link_mbps"]),
        grace_s=float(bounds["grace_s"]),
        memory_mb=float(limits.get("memory_mb", 300.0)),
        max_fds=int(limits.get("max_fds", 4_200)),
        overload_control="pressure" in raw.get("contracts", ()),
        cap_overage=float(bounds.get("quota_overage", 0.0)),
        config_apply_s=float(bounds.get("config_apply_ms", 4_000)) / 1000,
        row_bytes=int(platform.get("row_bytes", 65_536)),
    )
