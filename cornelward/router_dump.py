"""State dump of the request core, for operators and metrics."""

from . import borrowing

__all__ = ["dump"]


def dump(state, now):
    """Return a summary of the router's state that can be encoded as JSON."""
    view = state.view
    return {
        "id": state.identity.id,
        "config_version": state.config_version,
        "view": {
            "epoch": view.epoch,
            "members": sorted(view.members),
            "authority_s": max(0.0, view.authority_until - now),
        },
        "services": {
            name: {
                "live_executors": service.live_executors,
                "queued": {cls: q.count for cls, q in service.queues.items()},
                "running": {cls: q.running for cls, q in service.queues.items()},
                "free_slots": borrowing.available_slots(state, now, name),
            }
            for name, service in state.services.items()
        },
        "executors": {
            executor.id: {
                "owned": executor.owned,
                "ready": executor.ready,
                "state": executor.listed_state,
                "signal": executor.observed_state,
                "running": len(executor.runs),
                "credits": len(executor.credits),
                "orphans": len(executor.orphans),
            }
            for executor in state.slots.executors.values()
        },
        "credits_in_use": len(state.credits_in_use),
        "refusals": dict(state.refusal_counts),
        "draining": state.draining,
    }
