"""Measures throughput, added latency and memory of entry processes over loopback.

    python -m tools.bench_http [--seconds S] [--entries 1,8] [--rate R]

Each run starts its own platform, executors and entries. The throughput of one entry is
compared with that of a bare circuits.web server that returns a fixed body. The latency
of several entries is compared with direct requests to the executors at the same offered
load.
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
MAX_LATENCY_US = 60_000_000
WARM_UP_S = 1.0
OPEN_CALLER_COUNT = 1_000
# Share of the maximum throughput of all entries at which the latency is measured, so
# that no entry is saturated.
OFFERED_LOAD_SHARE = 0.5
MAX_CONNECTIONS_PER_GENERATOR = 64


def build_request(path):
    """Return the bytes of a POST request with the fixed body."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        f"Content-Type: text/plain\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


def connect(address):
    """Return a TCP socket connected to ``address`` (host:port), with TCP_NODELAY."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_response(sock):
    """Return the bytes of one response; its length is taken from Content-Length.

    Raises ConnectionError if the server closes the connection before the end.
    """
    data = sock.recv(65_536)
    while True:
        end = data.find(b"\r\n\r\n")
        if end >= 0:
            lower_head = data[:end].lower()
            at = lower_head.find(b"content-length: ")
            length = int(lower_head[at + 16 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(data) >= end + 4 + length:
                return data
        more = sock.recv(65_536)
        if not more:
            raise ConnectionError("connection closed before the end of the response")
        data += more


def generate_load(addresses, payload, connections, seconds, rate, queue):
    """Send requests and put (responses, errors, encoded histogram) into ``queue``.

    If ``rate`` is None, each connection sends its next request as soon as it has the
    response. Otherwise requests are due at ``rate`` per second, and latency is measured
    from the time at which a request was due, so that waiting for a free connection
    counts. Latencies are in microseconds; those of the first WARM_UP_S seconds are left
    out. An error is a response with a status other than 200.
    """
    poller = select.epoll()
    sockets = {}
    for number in range(connections):
        sock = connect(addresses[number % len(addresses)])
        sockets[sock.fileno()] = sock
        poller.register(sock, select.EPOLLIN)
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    start = time.perf_counter()
    state = {"due": start, "step": 1 / rate if rate else 0.0, "idle": list(sockets)}
    sent = {}
    done = errors = 0
    while (now := time.perf_counter()) < start + WARM_UP_S + seconds:
        _send_due(state, sockets, sent, payload, now)
        wait_s = max(0.0, min(0.05, state["due"] - now)) if rate else 0.05
        for fd, _ in poller.poll(wait_s):
            answer = read_response(sockets[fd])
            now = time.perf_counter()
            start_time = sent.pop(fd)
            state["idle"].append(fd)
            if start_time >= start + WARM_UP_S:
                done += 1
                errors += not answer.startswith(b"HTTP/1.1 200")
                histogram.record_value(max(1, int((now - start_time) * 1e6)))
    queue.put((done, errors, histogram.encode()))


def _send_due(state, sockets, sent, payload, now):
    """Send the requests that are due on idle connections."""
    while state["idle"] and (not state["step"] or state["due"] <= now):
        fd = state["idle"].pop(0)
        sent[fd] = state["due"] if state["step"] else now
        state["due"] += state["step"]
        sockets[fd].send(payload)


def run_load(addresses, path, connections, seconds, rate=None):
    """Run load generator processes and return their combined results.

    ``connections`` and ``rate`` (requests per second) are totals over all generators.
    ``per_s`` is responses per second; ``p50_ms`` and ``p99_ms`` are latencies.
    """
    count = max(1, -(-connections // MAX_CONNECTIONS_PER_GENERATOR))
    queue = multiprocessing.Queue()
    payload = build_request(path)
    share = connections // count, seconds, rate / count if rate else None
    workers = [
        multiprocessing.Process(
            target=generate_load, args=(addresses, payload, *share, queue)
        )
        for _ in range(count)
    ]
    for worker in workers:
        worker.start()
    results = [queue.get(timeout=seconds + 60) for _ in workers]
    for worker in workers:
        worker.join()
    total = HdrHistogram(1, MAX_LATENCY_US, 3)
    for _, _, encoded in results:
        total.decode_and_add(encoded)
    return {
        "per_s": round(sum(done for done, _, _ in results) / seconds),
        "errors": sum(errors for _, errors, _ in results),
        "p50_ms": total.get_value_at_percentile(50) / 1000,
        "p99_ms": total.get_value_at_percentile(99) / 1000,
    }


def measure_single_entry(cluster, seconds, connections):
    """Compare the throughput of one entry with that of a bare circuits.web server."""
    entry = cluster.start_entries(1)[0]
    bare = cluster.start_bare(BODY.decode())
    path = f"/v1/services/{OPERATION}"
    rows = [
        ("bare circuits.web", run_load([bare], "/", connections, seconds)),
        (
            "executor without entry",
            run_load([cluster.executors[0]], "/run/x", connections, seconds),
        ),
        ("one entry, end to end", run_load([entry], path, connections, seconds)),
    ]
    ratio = rows[2][1]["per_s"] / rows[0][1]["per_s"]
    return rows, {"ratio to bare (target 0.5)": round(ratio, 2)}


def measure_multiple_entries(cluster, count, seconds, connections, rate=None):
    """Measure several entries: maximum throughput, then latency below saturation.

    ``rate`` is the offered load in requests per second of the latency measurement; the
    default is OFFERED_LOAD_SHARE of the maximum throughput, but at least 50/s.
    """
    entries = cluster.start_entries(count)
    path = f"/v1/services/{OPERATION}"
    saturated = run_load(entries, path, connections, seconds)
    rate = rate or max(50, saturated["per_s"] * OFFERED_LOAD_SHARE)
    direct = run_load(cluster.executors, "/run/x", connections, seconds, rate)
    via_entries = run_load(entries, path, connections, seconds, rate)
    rows = [
        (f"{count} entries, maximum throughput", saturated),
        (f"executors direct, {rate:.0f}/s offered", direct),
        (f"{count} entries, {rate:.0f}/s offered", via_entries),
    ]
    added_ms = via_entries["p50_ms"] - direct["p50_ms"]
    return rows, {"added median latency ms (target 5)": round(added_ms, 2)}


def measure_memory(cluster):
    """Return the resident memory of an entry in MB with many callers waiting.

    The executors delay each run by 20 s, so that all slots stay in use and the queue is
    full when the memory is read.
    """
    entry = cluster.start_entries(1)[0]
    cluster.configure_executors(slow_ms=20_000)
    sockets = [connect(entry) for _ in range(OPEN_CALLER_COUNT)]
    for sock in sockets:
        sock.send(build_request(f"/v1/services/{OPERATION}"))
    time.sleep(5.0)
    status = Path(f"/proc/{cluster.entry_pids[-1]}/status").read_text()
    resident_kb = next(
        int(line.split()[1]) for line in status.splitlines() if "VmRSS" in line
    )
    for sock in sockets:
        sock.close()
    return {"resident MB at 1,000 callers (target 128)": round(resident_kb / 1024, 1)}


def print_results(rows, summary):
    """Print the rows and the summary of one measurement."""
    for name, row in rows:
        print(
            f"{name:36} {row['per_s']:>7}/s  p50 {row['p50_ms']:>8.2f} ms"
            f"  p99 {row['p99_ms']:>8.2f} ms  errors {row['errors']}"
        )
    for name, value in summary.items():
        print(f"  {name}: {value}")


def main(argv=None):
    """Run the measurements and print the results; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--entries", default="1,8")
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--executors", type=int, default=4)
    parser.add_argument(
        "--rate",
        type=float,
        help="offered load in requests per second for the latency measurement",
    )
    parser.add_argument("--no-memory", action="store_true")
    args = parser.parse_args(argv)
    print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    for count in map(int, args.entries.split(",")):
        with LocalCluster(args.executors) as cluster:
            if count == 1:
                print_results(
                    *measure_single_entry(cluster, args.seconds, args.connections)
                )
            else:
                connections = count * 16
                print_results(
                    *measure_multiple_entries(
                        cluster, count, args.seconds, connections, args.rate
                    )
                )
    if not args.no_memory:
        with LocalCluster(args.executors) as cluster:
            print_results([], measure_memory(cluster))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
