"""Runs all policy benchmarks and prints their tables: ``python -m tools.bench``.

``python -m tools.bench_http`` measures throughput; it takes longer and its figures
depend on the machine.
"""

from . import bench_planner, bench_requests, bench_tasks

__all__ = ["main"]


def main():
    """Print the tables of requests, tasks and the planner; returns the exit code."""
    bench_planner.main()
    return bench_requests.main() or bench_tasks.main()


if __name__ == "__main__":
    raise SystemExit(main())
