"""Measures requests a second and added delay of entry processes on loopback.

    python -m tools.bench_http [--seconds S] [--entries 1,8] [--rate R]

Each run starts its own platform, executors and entries. One entry is compared with a
bare circuits.web server with a fixed body; the delay is compared with direct calls of
an executor at the same offered load.
"""

import argparse
import multiprocessing
import os
import select
import socket
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from .bench_site import OPERATION, LocalCluster

BODY = b"q" * 256
MAX_DELAY_US = 60_000_000
WARM_UP_S = 1.0
OPEN_CALLERS = 1_000
# An entry is below saturation at this share of what all entries can carry.
BELOW_SATURATION = 0.5
MAX_CONNECTIONS_PER_GENERATOR = 64


def request_bytes(path):
    """Return a POST with the fixed body."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        f"Content-Type: text/plain\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


def connect(address):
    """Return a connected socket."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_answer(sock):
    """Return the bytes of one answer."""
    data = sock.recv(65_536)
    while True:
        end = data.find(b"\r\n\r\n")
        if end >= 0:
            low = data[:end].lower()
            at = low.find(b"content-length: ")
            length = int(low[at + 16 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(data) >= end + 4 + length:
                return data
        more = sock.recv(65_536)
        if not more:
            raise ConnectionError("closed within an answer")
        data += more


def generate(addresses, payload, connections, seconds, rate, queue):
    """Send requests and put (answers, errors, histogram) into ``queue``.

    With ``rate`` None each connection sends as soon as it was answered; otherwise
    requests are due at that rate, and delays count from when they were due.
    """
    poller = select.epoll()
    socks = {}
    for number in range(connections):
        sock = connect(addresses[number % len(addresses)])
        socks[sock.fileno()] = sock
        poller.register(sock, select.EPOLLIN)
    histogram = HdrHistogram(1, MAX_DELAY_US, 3)
    start = time.perf_counter()
    state = {"due": start, "step": 1 / rate if rate else 0.0, "idle": list(socks)}
    sent = {}
    done = errors = 0
    while (now := time.perf_counter()) < start + WARM_UP_S + seconds:
        _send_due(state, socks, sent, payload, now)
        wait_s = max(0.0, min(0.05, state["due"] - now)) if rate else 0.05
        for fd, _ in poller.poll(wait_s):
            answer = read_answer(socks[fd])
            now = time.perf_counter()
            began = sent.pop(fd)
            state["idle"].append(fd)
            if began >= start + WARM_UP_S:
                done += 1
                errors += not answer.startswith(b"HTTP/1.1 200")
                histogram.record_value(max(1, int((now - began) * 1e6)))
    queue.put((done, errors, histogram.encode()))


def _send_due(state, socks, sent, payload, now):
    while state["idle"] and (not state["step"] or state["due"] <= now):
        fd = state["idle"].pop(0)
        sent[fd] = state["due"] if state["step"] else now
        state["due"] += state["step"]
        socks[fd].send(payload)


def load(addresses, path, connections, seconds, rate=None):
    """Run generators; returns answers a second, errors and delays in ms."""
    count = max(1, -(-connections // MAX_CONNECTIONS_PER_GENERATOR))
    queue = multiprocessing.Queue()
    payload = request_bytes(path)
    share = connections // count, seconds, rate / count if rate else None
    workers = [
        multiprocessing.Process(
            target=generate, args=(addresses, payload, *share, queue)
        )
        for _ in range(count)
    ]
    for worker in workers:
        worker.start()
    results = [queue.get(timeout=seconds + 60) for _ in workers]
    for worker in workers:
        worker.join()
    total = HdrHistogram(1, MAX_DELAY_US, 3)
    for _, _, encoded in results:
        total.decode_and_add(encoded)
    return {
        "per_s": round(sum(done for done, _, _ in results) / seconds),
        "errors": sum(errors for _, errors, _ in results),
        "p50_ms": total.get_value_at_percentile(50) / 1000,
        "p99_ms": total.get_value_at_percentile(99) / 1000,
    }


def measure_one(cluster, seconds, connections):
    """Compare one entry with a bare circuits.web server in the same run."""
    entry = cluster.start_entries(1)[0]
    bare = cluster.start_bare(BODY.decode())
    path = f"/v1/services/{OPERATION}"
    rows = [
        ("bare circuits.web", load([bare], "/", connections, seconds)),
        (
            "executor alone",
            load([cluster.executors[0]], "/run/x", connections, seconds),
        ),
        ("one entry, end to end", load([entry], path, connections, seconds)),
    ]
    ratio = rows[2][1]["per_s"] / rows[0][1]["per_s"]
    return rows, {"ratio to bare (target 0.5)": round(ratio, 2)}


def measure_many(cluster, count, seconds, connections, rate=None):
    """Measure several entries: greatest rate, then delay below saturation."""
    entries = cluster.start_entries(count)
    path = f"/v1/services/{OPERATION}"
    most = load(entries, path, connections, seconds)
    rate = rate or max(50, most["per_s"] * BELOW_SATURATION)
    direct = load(cluster.executors, "/run/x", connections, seconds, rate)
    through = load(entries, path, connections, seconds, rate)
    rows = [
        (f"{count} entries, greatest rate", most),
        (f"executors direct, {rate:.0f}/s offered", direct),
        (f"{count} entries, {rate:.0f}/s offered", through),
    ]
    added_ms = through["p50_ms"] - direct["p50_ms"]
    return rows, {"added median delay ms (target 5)": round(added_ms, 2)}


def measure_memory(cluster):
    """Return an entry's resident MB with many open callers and a full queue."""
    entry = cluster.start_entries(1)[0]
    cluster.configure_executors(slow_ms=20_000)
    socks = [connect(entry) for _ in range(OPEN_CALLERS)]
    for sock in socks:
        sock.send(request_bytes(f"/v1/services/{OPERATION}"))
    time.sleep(5.0)
    status = Path(f"/proc/{cluster.entry_pids[-1]}/status").read_text()
    resident_kb = next(
        int(line.split()[1]) for line in status.splitlines() if "VmRSS" in line
    )
    for sock in socks:
        sock.close()
    return {"resident MB at 1,000 callers (target 128)": round(resident_kb / 1024, 1)}


def report(rows, summary):
    """Print one measurement."""
    for name, row in rows:
        print(
            f"{name:36} {row['per_s']:>7}/s  p50 {row['p50_ms']:>8.2f} ms"
            f"  p99 {row['p99_ms']:>8.2f} ms  errors {row['errors']}"
        )
    for name, value in summary.items():
        print(f"  {name}: {value}")


def main(argv=None):
    """Run the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--entries", default="1,8")
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--executors", type=int, default=4)
    parser.add_argument("--rate", type=float, help="offered load for the delay")
    parser.add_argument("--no-memory", action="store_true")
    args = parser.parse_args(argv)
    print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    for count in map(int, args.entries.split(",")):
        with LocalCluster(args.executors) as cluster:
            if count == 1:
                report(*measure_one(cluster, args.seconds, args.connections))
            else:
                connections = count * 16
                report(
                    *measure_many(cluster, count, args.seconds, connections, args.rate)
                )
    if not args.no_memory:
        with LocalCluster(args.executors) as cluster:
            report([], measure_memory(cluster))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
