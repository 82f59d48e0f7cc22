"""Runs all policy benchmarks and prints their tables: ``python -m tools.bench``.

The HTTP benchmark is separate (``python -m tools.bench_http``), because it takes longer
and its results depend on the machine.
"""

from . import bench_planner, bench_requests, bench_tasks

__all__ = ["main"]


def main():
    """Run the planner, request and task benchmarks; return the exit code."""
    bench_planner.main()
    return bench_requests.main() or bench_tasks.main()


if __name__ == "__main__":
    raise SystemExit(main())
