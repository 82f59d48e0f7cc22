"""Updates a router's services and executors from configuration and membership."""

from . import errors, routing, slots, views
from .queues import Policy, Service, parse_policy

__all__ = [
    "assign_executors",
    "refresh_claim_times",
    "update_executors",
    "update_services",
]


def assign_executors(state):
    """Recompute the ownership of all executors after a new view was adopted."""
    for executor in state.slots.executors.values():
        _assign(state, executor, state.view.continuous)


def _assign(state, executor, keep):
    """Recompute whether this entry owns an executor.

    With ``keep``, an executor that this entry already owns and uses stays in use; any
    other must be probed first.
    """
    owned = views.owner_of(state.view, executor.id) == state.identity.id
    owned = owned and views.is_member(state.view)
    if keep and owned and executor.owned and executor.ready:
        return
    slots.set_ownership(state.slots, executor, owned, views.claim_time(state.view))


def update_executors(state, instances):
    """Update the executors of the own failure domain from the platform's instances.

    ``instances`` is a list of dicts. An executor that is no longer listed is removed
    once it has no requests and no credits.
    """
    domain = state.identity.failure_domain
    listed = set()
    for instance in instances:
        if instance["kind"] != "executor" or instance["failure_domain"] != domain:
            continue
        listed.add(instance["id"])
        _update_executor(state, instance)
    for executor_id in set(state.slots.executors) - listed:
        executor = state.slots.executors[executor_id]
        executor.listed_state = "gone"
        slots.update_index(state.slots, executor)
        if not executor.runs and not executor.credits:
            slots.remove_executor(state.slots, executor_id)
    _update_capacity(state)


def _update_executor(state, instance):
    service = state.services.get(instance["service"])
    policy = service.policy if service else Policy()
    known = state.slots.executors.get(instance["id"])
    executor = slots.add_executor(
        state.slots,
        instance["id"],
        instance["service"],
        instance["address"],
        instance["slots"],
        policy.reserved_short_slots,
    )
    executor.listed_state = instance["state"]
    if executor is not known:
        _assign(state, executor, keep=False)
    slots.update_index(state.slots, executor)


def _update_capacity(state):
    for service in state.services.values():
        service.live_executors = service.slots = 0
    for executor in state.slots.executors.values():
        service = state.services.get(executor.service)
        if service is not None and executor.listed_state == "live":
            service.live_executors += 1
            service.slots += executor.slots
            executor.reserved = service.policy.reserved_short_slots
            slots.update_index(state.slots, executor)


def update_services(state, version, objects):
    """Apply a newer configuration; returns effects.

    ``objects`` is the configuration's list of objects, as dicts.
    """
    state.config_version = version
    by_kind = {}
    for item in objects:
        by_kind.setdefault(item["kind"], {})[item["name"]] = item
    policies = by_kind.get("policy", {})
    configured = {}
    for name, workload in by_kind.get("workload", {}).items():
        if workload.get("type") == "request":
            policy = parse_policy(policies.get(workload.get("policy"), {}))
            configured[name] = policy, _spill_domains(state.identity, by_kind, workload)
    for name, (policy, spill_domains) in configured.items():
        service = state.services.get(name)
        if service is None:
            state.services[name] = Service(name, policy, spill_domains)
        else:
            service.policy, service.spill_domains = policy, spill_domains
    effects = []
    for name in set(state.services) - set(configured):
        effects += _remove_service(state, name)
    _update_capacity(state)
    return effects


def _spill_domains(identity, by_kind, workload):
    """Return the other failure domains of a workload's pool.

    The result is two lists: those in the own region, and those in other regions.
    """
    pool = by_kind.get("pool", {}).get(workload.get("pool"), {})
    regions = by_kind.get("region", {})
    names = pool.get("regions") or [pool.get("region")]
    allowed = set(pool.get("failure_domains") or ())
    own, elsewhere = [], []
    for name in names:
        for domain in regions.get(name, {}).get("failure_domains", ()):
            if domain == identity.failure_domain or (allowed and domain not in allowed):
                continue
            (own if name == identity.region else elsewhere).append(domain)
    return own, elsewhere


def _remove_service(state, name):
    """Remove a service and refuse its queued requests."""
    service = state.services.pop(name)
    effects = []
    for queue in service.queues.values():
        for work in list(queue.pending):
            if work.state is routing.QUEUED:
                routing.cancel(state, 0.0, work.request.request_id)
                message = f"no service {name}"
                effects.append(
                    routing.Refuse(
                        work.request.request_id, errors.NOT_FOUND, message, None
                    )
                )
    return effects


def refresh_claim_times(state):
    """Update the times from which moved executors may be probed."""
    if all(executor.ready for executor in state.slots.owned.values()):
        return
    claim_at = views.claim_time(state.view)
    for executor in state.slots.owned.values():
        if not executor.ready:
            executor.claim_at = claim_at
