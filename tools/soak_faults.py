"""Faults of the soak test.

``fault(soak, rng)`` starts a fault and returns the function that ends it, or None if
there is nothing to end.
"""

import signal

from standins.proxy import TO_CALLER, TO_TARGET

__all__ = ["FAULTS", "WORKER_CPU", "restart"]

WORKER_CPU = 8_000

# Interval at which ``restart`` polls a node whose graceful stop outlasts the fault.
RETRY_S = 0.4


def restart(soak, node):
    """Start a node once its process has exited; an unexpected exit is a failure.

    A node that is running and was not told to exit is left alone.
    """
    code = node.popen.poll()
    if code is None:
        if node.exit_expected:
            # The graceful stop is still in progress: poll until the process exits.
            soak.loop.call_later(RETRY_S, lambda: restart(soak, node))
        return
    if not node.exit_expected:
        soak.failures.append(f"{node.name} exited unexpectedly with code {code}")
    node.start()


def _pause(soak, rng):
    node = rng.choice(soak.nodes)
    node.signal(signal.SIGSTOP)
    return lambda: node.signal(signal.SIGCONT)


def _kill(soak, rng):
    node = rng.choice(soak.nodes)
    node.exit_expected = True
    node.signal(signal.SIGKILL)
    return lambda: restart(soak, node)


def _kill_all(soak, rng):
    for node in soak.nodes:
        node.exit_expected = True
        node.signal(signal.SIGKILL)
    return lambda: [restart(soak, node) for node in soak.nodes]


def _stop(soak, rng):
    node = rng.choice(soak.nodes)
    node.exit_expected = True
    node.signal(signal.SIGTERM)
    return lambda: restart(soak, node)


# SIGHUP must not end a node.
def _hang_up(soak, rng):
    rng.choice(soak.nodes).signal(signal.SIGHUP)


def _store_down(soak, rng):
    soak.cell.store.down = True
    return lambda: setattr(soak.cell.store, "down", False)


def _store_slow(soak, rng):
    soak.cell.store.slow_s = rng.choice((0.1, 0.4))
    return lambda: setattr(soak.cell.store, "slow_s", 0.0)


def _store_loses_answers(soak, rng):
    soak.cell.store.lose_answer_rate = rng.choice((0.1, 0.4))
    return lambda: setattr(soak.cell.store, "lose_answer_rate", 0.0)


# The store reports that its change history is lost.
def _store_forgets(soak, rng):
    soak.cell.store.history_lost = True
    return lambda: setattr(soak.cell.store, "history_lost", False)


def _worker_silent(soak, rng):
    worker = rng.choice(soak.workers)
    worker.silent = True
    return lambda: setattr(worker, "silent", False)


# The worker is back at its address, half the time under a new id.
def _worker_crashes(soak, rng):
    worker = rng.choice(soak.workers)
    new_id = worker.next_id() if rng.random() < 0.5 else None
    worker.crash(rng.uniform(0.5, 4.0), new_id)


def _worker_shrinks(soak, rng):
    worker = rng.choice(soak.workers)
    worker.resize(rng.choice((1_000, 2_000)))
    return lambda: worker.resize(WORKER_CPU)


def _deadly_task(soak, rng):
    soak.submit_deadly_job(rng)


def _any_proxy(soak, rng):
    return rng.choice(
        [*(node.store_proxy for node in soak.nodes), *soak.worker_proxies]
    )


def _path_delayed(soak, rng):
    proxy = _any_proxy(soak, rng)
    proxy.delay_s = rng.choice((0.05, 0.3, 0.8))
    return proxy.clear_faults


# Bytes in the chosen directions are dropped while the connections stay open.
def _path_silent(soak, rng):
    proxy = _any_proxy(soak, rng)
    directions = rng.choice(((TO_TARGET,), (TO_CALLER,), (TO_TARGET, TO_CALLER)))
    proxy.dropped_directions = frozenset(directions)
    return proxy.clear_faults


def _path_refused(soak, rng):
    proxy = _any_proxy(soak, rng)
    proxy.refuse_connections = True
    proxy.reset()
    return proxy.clear_faults


def _path_reset(soak, rng):
    _any_proxy(soak, rng).reset()


# The soak picks from these at random; the report shows their names.
FAULTS = (
    _pause,
    _kill,
    _kill_all,
    _stop,
    _hang_up,
    _store_down,
    _store_slow,
    _store_loses_answers,
    _store_forgets,
    _worker_silent,
    _worker_crashes,
    _worker_shrinks,
    _deadly_task,
    _path_delayed,
    _path_silent,
    _path_refused,
    _path_reset,
)
