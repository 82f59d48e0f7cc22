"""Starts and stops the demo's processes: stand-ins, entries and schedulers."""

import signal
import subprocess
import sys

from .launch import ROOT, Launcher, call_json, wait_until

__all__ = ["DEFAULT_KEEP_PORT", "DOMAINS", "Cluster", "run_cli", "start_cluster"]

DOMAINS = ("laurentides", "monteregie")
ENTRIES = SCHEDULERS = EXECUTORS = 2
WORKERS = 4
WORKERS_PER_RACK = 2
EXECUTOR = {"service": "pickup", "slots": 8, "connections": 64}
WORKER = {"cpu": 32.0, "memory_mb": 65_536.0, "accelerators": 1.0}
READY_LIMIT_S = 30.0
COMMAND_LIMIT_S = 60.0

# ``--keep`` uses fixed ports, so that the commands in docs/ can be run as written.
DEFAULT_KEEP_PORT = 7600
# Offset of the first program of each module from the cluster's first port.
PORT_OFFSETS = {
    "standins.platform": 0,
    "cornelward.entry": 1,
    "cornelward.scheduler": 11,
    "standins.executor": 21,
    "standins.worker": 31,
}


class Cluster:
    """The demo's programs, by module, in the order of their start."""

    def __init__(self, launcher, port):
        self.launcher = launcher
        self.port = port
        self.programs = {}

    def start(self, module, settings):
        """Start a program without waiting until it is ready; returns the Program."""
        programs = self.programs.setdefault(module, [])
        offset = PORT_OFFSETS[module] + len(programs)
        port = self.port + offset if self.port else 0
        settings = {"http_address": f"127.0.0.1:{port}", **settings}
        program = self.launcher.start(module, settings, wait=False)
        programs.append(program)
        return program

    def addresses(self, module):
        """Return the addresses of a module's programs, None for one not yet ready."""
        return [program.address for program in self.programs[module]]

    def stop_daemons(self):
        """Stop entries and schedulers gracefully.

        Returns the exit codes other than 0, by the program's id.
        """
        modules = ("cornelward.entry", "cornelward.scheduler")
        programs = [program for m in modules for program in self.programs[m]]
        for program in programs:
            program.signal(signal.SIGTERM)
        codes = {p.settings["id"]: p.popen.wait(COMMAND_LIMIT_S) for p in programs}
        return {name: code for name, code in codes.items() if code != 0}


def start_cluster(folder, port=0):
    """Start every program and wait until all are ready; returns the Cluster.

    The platform listens on ``port`` and the other programs on ports above it; with 0,
    each program gets a free port. The caller closes ``cluster.launcher``. If a program
    does not start, this function stops the others and raises.
    """
    cluster = Cluster(Launcher(folder), port)
    try:
        platform = cluster.start("standins.platform", {"id": "platform"}).wait_ready()
        for domain in DOMAINS:
            _start_domain(cluster, domain, platform.address)
        for program in cluster.launcher.programs:
            program.wait_ready()
    except BaseException:
        cluster.launcher.close()
        raise
    return cluster


def _start_domain(cluster, domain, platform_address):
    place = {"failure_domain": domain, "region": domain}
    place["platform_address"] = platform_address
    for i in range(EXECUTORS):
        name = f"executor-{domain}-{i}"
        cluster.start("standins.executor", {"id": name, **place, **EXECUTOR})
    for i in range(WORKERS):
        rack = f"{domain}-r{i // WORKERS_PER_RACK}"
        name = f"worker-{domain}-{i}"
        cluster.start("standins.worker", {"id": name, "rack": rack, **place, **WORKER})
    for i in range(ENTRIES):
        cluster.start("cornelward.entry", {"id": f"entry-{domain}-{i}", **place})
    for i in range(SCHEDULERS):
        name = f"scheduler-{domain}-{i}"
        cluster.start("cornelward.scheduler", {"id": name, **place})


def wait_ready(cluster, version):
    """Wait until every entry and scheduler is ready with configuration ``version``.

    Later versions count too. Raises AssertionError after 30 s for one program.
    """

    def ready(address):
        return call_json(address, "GET", "/readyz")[0] == 200 and (
            call_json(address, "GET", "/state")[1]["config_version"] >= version
        )

    for module in ("cornelward.entry", "cornelward.scheduler"):
        for address in cluster.addresses(module):
            wait_until(
                lambda address=address: ready(address),
                f"{address} is ready with configuration version {version}",
                READY_LIMIT_S,
            )


def run_cli(*argv, entry=None):
    """Run the command-line tool with ``argv``; returns its standard output.

    ``entry`` is the address that ``--entry`` passes. Raises CalledProcessError, with
    the error message in ``stderr``, if the exit code is not 0, and TimeoutExpired
    after 60 s.
    """
    options = ["--entry", entry] if entry else []
    done = subprocess.run(
        [sys.executable, "-m", "cornelward.cli", *argv, *options],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
        timeout=COMMAND_LIMIT_S,
    )
    return done.stdout
