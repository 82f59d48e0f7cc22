"""Processes and settings of the soak test's nodes."""

import os
import subprocess
import sys
from pathlib import Path

from standins.cell import QUOTA_OVERAGE

from .launch import ROOT, free_ports

__all__ = ["Node"]

SETTINGS = """
node_name = "{name}"
zone = "z1"
region = "r1"
ip = "127.0.0.1"
internal_ports = [{peer}, {status}]
advice = "{advice}"
[bind_addresses]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[platform]
address = "{store}"
[bounds]
max_hold_ms = 6000
stop_ms = 400
grace_s = 6
quota_overage = {overage}
[limits]
cpu_share = 1.0
cores = 2
link_mbps = 1000.0
"""


class Node:
    """A node's process and settings; ``store_proxy`` forwards to the store.

    ``root`` is the checkout whose code the process runs.
    """

    def __init__(self, name, folder, store_proxy, advice, root=ROOT):
        self.name = name
        self.folder = folder
        self.root = root
        self.store_proxy = store_proxy
        front, ready, peer, status = free_ports(4)
        self.address = f"127.0.0.1:{front}"
        self.path = folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            peer=peer,
            status=status,
            front=front,
            ready=ready,
            store=store_proxy.address,
            advice=advice,
            overage=QUOTA_OVERAGE,
        )
        self.path.write_text(text, encoding="utf-8")
        self.popen = None
        # True before the first start and from a fault that ends the process until the
        # next start.
        self.exit_expected = True

    def start(self):
        """Start the process unless it is running."""
        if self.popen is not None and self.popen.poll() is None:
            return
        env = {**os.environ, "CORNELWARD_CONFIG": str(self.path)}
        env["PYTHONPATH"] = str(self.root)
        with open(self.folder / f"{self.name}.log", "ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "cornelward.platform"],
                cwd=self.root,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.exit_expected = False

    def signal(self, signo):
        """Send a signal if the process is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(signo)

    def rss_kb(self):
        """Return the peak resident memory in KiB, 0 if the process has exited."""
        try:
            text = Path(f"/proc/{self.popen.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0
        lines = [line for line in text.splitlines() if line.startswith("VmHWM")]
        return int(lines[0].split()[1]) if lines else 0
