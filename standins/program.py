"""Common start-up of the stand-in programs: settings, log, ready file and signals."""

import sys
from pathlib import Path

from cornelward.errors import SettingsError
from cornelward.http_server import HttpServer
from cornelward.log import setup_logging
from cornelward.loop import Loop
from cornelward.settings import load_settings

__all__ = ["COMMON_DEFAULTS", "parse_address", "run_program"]

COMMON_DEFAULTS = {
    "id": "",
    "http_address": "127.0.0.1:0",
    "ready_file": "",
    "log_level": "warning",
    "log_file": "-",
}


def parse_address(text):
    """Return ``(ip, port)`` from ``"ip:port"``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def run_program(name, defaults, build, argv=None):
    """Load the settings, call ``build(loop, cfg)`` and serve until a signal arrives.

    ``build`` returns ``(handle, on_ready)``: ``handle(call)`` serves one call, and
    ``on_ready(address)`` runs once the server is bound. The bound address is written to
    ``ready_file``. Return the exit code: 0 after a signal, 2 for bad arguments or
    settings, 3 if the address cannot be bound.
    """
    argv = sys.argv[1:] if argv is None else argv
    if len(argv) != 1:
        print(f"usage: {name} SETTINGS", file=sys.stderr)
        return 2
    try:
        cfg = load_settings(argv[0], {**COMMON_DEFAULTS, **defaults})
    except SettingsError as exc:
        print(f"{name}: {exc.message}", file=sys.stderr)
        return 2
    setup_logging(cfg["log_level"], cfg["log_file"], program=name, id=cfg["id"])
    loop = Loop()
    handle, on_ready = build(loop, cfg)
    try:
        server = HttpServer(loop, parse_address(cfg["http_address"]), handle)
    except OSError as exc:
        print(f"{name}: {cfg['http_address']}: {exc.strerror}", file=sys.stderr)
        return 3
    loop.on_signal(lambda signo: loop.stop())
    loop.call_soon(lambda: on_ready(server.address))
    if cfg["ready_file"]:
        Path(cfg["ready_file"]).write_text(server.address, encoding="ascii")
    loop.run()
    return 0
