"""Faults of the soak: ``fault(soak, rng)`` begins one and returns what ends it."""

import signal

from standins.proxy import TO_CALLER, TO_TARGET

__all__ = ["FAULTS", "restart"]

# Pause between looks at a node that stops gracefully, which may outlast the fault.
RETRY_S = 0.4


def restart(soak, node):
    """Start a node again once it has ended; an end of its own is a failure."""
    code = node.popen.poll()
    if code is None:
        if node.exit_expected:
            # A graceful stop may take longer than the fault.
            soak.loop.call_later(RETRY_S, lambda: restart(soak, node))
        return
    if not node.exit_expected:
        soak.failures.append(f"{node.name} ended by itself with {code}")
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


def _store_forgets(soak, rng):
    soak.cell.store.history_lost = True
    return lambda: setattr(soak.cell.store, "history_lost", False)


def _worker_silent(soak, rng):
    worker = rng.choice(soak.workers)
    worker.silent = True
    return lambda: setattr(worker, "silent", False)


def _any_path(soak, rng):
    return rng.choice([*(node.store for node in soak.nodes), *soak.worker_paths])


def _path_delayed(soak, rng):
    path = _any_path(soak, rng)
    path.delay_s = rng.choice((0.05, 0.3, 0.8))
    return path.clear_faults


def _path_silent(soak, rng):
    path = _any_path(soak, rng)
    directions = rng.choice(((TO_TARGET,), (TO_CALLER,), (TO_TARGET, TO_CALLER)))
    path.dropped_directions = frozenset(directions)
    return path.clear_faults


def _path_refused(soak, rng):
    path = _any_path(soak, rng)
    path.refuse_connections = True
    path.reset()
    return path.clear_faults


def _path_reset(soak, rng):
    _any_path(soak, rng).reset()


# Each begins a fault and returns the function that ends it, or None.
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
    _path_delayed,
    _path_silent,
    _path_refused,
    _path_reset,
)
