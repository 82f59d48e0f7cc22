"""Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it failed."""

import asyncio
import os
import random
import signal
import sys
import traceback
from pathlib import Path

from .nodes import Cell, Record

__all__ = ["TROUBLE", "run_case"]

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
LIMIT_S = 117.0
EXIT_BROKEN, EXIT_NOT_RUN = 1, 2


async def _run(file, run, nodes):
    # The processes are ended also if this one is told to end.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    record = Record(Path(file).with_name("record.txt"))
    cell = Cell(record, nodes, SEED)
    try:
        broken = await asyncio.wait_for(run(cell, random.Random(SEED)), LIMIT_S)
    except (Exception, asyncio.CancelledError):
        record(f"could not run: {traceback.format_exc()}")
        return EXIT_NOT_RUN
    finally:
        cell.close()
    record("the rule was broken" if broken else "the rule held")
    return EXIT_BROKEN if broken else 0


def run_case(file, run, nodes=4):
    """Run the coroutine ``run(cell, rng)``, which returns whether the rule was broken.

    ``file`` is that of the case; its record is written beside it. Does not return.
    """
    sys.exit(asyncio.run(_run(file, run, nodes)))
