"""Entries of the workers' registry, which other programs may write, too.

An entry is accepted or refused as a whole. What reads an accepted one may rely on its
types and ranges: numbers fit into records and messages, and the address is usable.
"""

import ipaddress
import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..workers import WorkerInfo

__all__ = ["MAX_NUMBER", "decode_worker", "refusal_reason"]

# A worker's entry has some 400 bytes.
MAX_ENTRY_BYTES = 16_384
# Larger whole numbers are not exact in JSON.
MAX_NUMBER = 2**53
MAX_LABELS = 64
MAX_REASON_CHARS = 200
# An id is sent in a header field.
ID_PATTERN = re.compile(r"[!-~]{1,200}")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535

Whole = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Name = Annotated[str, Meta(min_length=1)]


class _Capacity(msgspec.Struct):
    cpu: Whole
    mem_mb: Whole
    gpu: Whole = 0


class _Entry(msgspec.Struct):
    service: Name
    address: str
    zone: str
    state: Literal["ready", "draining"]
    capacity: _Capacity
    labels: Annotated[list[str], Meta(max_length=MAX_LABELS)]
    clock_ms: Milliseconds
    born: Whole = 0
    remaining_ms: Milliseconds = 0.0
    # Not used, but an entry in which they are odd is of another writer.
    version: str = ""
    slots: Whole = 0
    cold_remaining_ms: Milliseconds = 0.0
    sequence: Whole = 0


_decoder = msgspec.json.Decoder(_Entry)


def decode_worker(key, value):
    """Return the WorkerInfo in a registry entry, or None if it names no worker."""
    try:
        return _read_entry(key, value)
    except (ValueError, RecursionError):
        return None


def refusal_reason(key, value):
    """Return why an entry names no worker; "" if it names one."""
    try:
        _read_entry(key, value)
    except (ValueError, RecursionError) as exc:
        return str(exc)[:MAX_REASON_CHARS]
    return ""


def _read_entry(key, value):
    if not ID_PATTERN.fullmatch(key):
        raise ValueError("the id has other characters than visible ASCII")
    if len(value) > MAX_ENTRY_BYTES:
        raise ValueError(f"the entry has {len(value)} bytes")
    entry = _decoder.decode(value)
    _check_address(entry.address)
    labels, capacity = entry.labels, entry.capacity
    return WorkerInfo(
        id=key,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        # The first label is the kind of worker, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=tuple(labels),
        cpu=capacity.cpu,
        memory_mb=capacity.mem_mb,
        accelerators=capacity.gpu,
        draining=entry.state == "draining",
        leaves_in_s=entry.remaining_ms / 1000,
        born=entry.born,
        clock_s=entry.clock_ms / 1000,
    )


def _check_address(address):
    """Raise ValueError if ``address`` is not an IPv4 address and port of a host."""
    host, _, port = address.rpartition(":")
    ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast or ip == ipaddress.IPv4Address(2**32 - 1):
        raise ValueError("the address is not that of a host")
    if not PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError("the address has no valid port")
