"""Choose the server that a waiting request goes to, if any may take it now.

`pick_server` applies the configured policy to the head of a queue. A request without a server stays
in its queue and is tried again whenever capacity frees up.

- Baseline takes the server with the fewest requests sent so far, up to twice its slots.
- Counts estimates a server's load from this instance's requests and the server's last report. Each
  instance first uses its share of the slots that look free, since all read the same report.
- Predicted takes the server where the request is predicted to begin first (see
  `predicted_placement`).
- Credits uses the slots that the server's dispatcher leased to this instance, or counts with a
  cautious limit where no credit is available (see `credit`).

Counts and credits take the server with room that has the least share of its slots in use, unless
another one holds the request's prefix and is not much busier than the mean. Slow servers count as
more loaded, in proportion (see `straggler`).
"""

from __future__ import annotations

from math import ceil, floor
from typing import TYPE_CHECKING, assert_never

from turmericweir_core.base.config import PlacementPolicy, ServiceKind
from turmericweir_core.base.ids import Target
from turmericweir_core.base.request import Request, WaitReason
from turmericweir_core.base.tiers import most_urgent_configured_tier
from turmericweir_core.credits import credit
from turmericweir_core.credits.credit_holder import covered_room, uses_local_counts
from turmericweir_core.membership import announced_limits
from turmericweir_core.membership.subset import instances_per_server, open_servers
from turmericweir_core.placement import brittle_servers, predicted_placement
from turmericweir_core.state import straggler
from turmericweir_core.state.concurrency import limited_slots
from turmericweir_core.state.prefix import match_scores
from turmericweir_core.state.queue_state import target_classes
from turmericweir_core.state.server_table import Server, any_target, preferred_servers, servers_for
from turmericweir_core.streams.stream_servers import open_servers_for
from turmericweir_core.trust import outlier_probes, outlier_suspicion

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Headroom of a server that may get no requests, even after a displacement.
NO_HEADROOM = -1


def pick_server(state: State, now: float, req: Request, tier: int) -> Server | None:
    """Pick the server for a request that is to run at a tier, or None where it has to wait."""
    if state.config.policy is PlacementPolicy.BASELINE:
        return _pick_baseline(preferred_servers(_baseline_servers(state, now, req), req))
    probed = outlier_probes.server_to_probe(state, now, req)
    if probed is not None and brittle_servers.has_room(state, now, probed):
        return probed
    servers = announced_limits.servers_to_send(state, now, open_servers_for(state, now, req))
    servers = outlier_suspicion.without_suspected(state, now, req, servers)
    with_room = brittle_servers.servers_with_room(state, now, servers)
    if servers and not with_room:
        req.wait_reason = WaitReason.NO_ROOM
        return None
    servers = with_room
    candidates = preferred_servers(servers, req)
    if state.config.policy is PlacementPolicy.PREDICTED:
        return predicted_placement.pick(state, now, req, tier, candidates)
    stopped_straggler = _straggler_to_probe(state, now, req, candidates)
    if stopped_straggler is not None:
        straggler.note_probe(state.stragglers, state.options, now, stopped_straggler.entry.name)
        return stopped_straggler
    return _pick_least_loaded(state, now, req, tier, candidates)


def _baseline_servers(state: State, now: float, req: Request) -> list[Server]:
    if req.release is not None:
        return open_servers_for(state, now, req)
    return list(servers_for(state.servers, req.target, now))


def _pick_baseline(candidates: list[Server]) -> Server | None:
    servers_with_room = [
        server for server in candidates if len(server.in_flight) < 2 * server.slots
    ]
    return min(servers_with_room, key=lambda server: server.sent_count, default=None)


def _pick_least_loaded(
    state: State, now: float, req: Request, tier: int, candidates: list[Server]
) -> Server | None:
    loads = [
        (_load_share(state, now, server), server)
        for server in candidates
        if headroom(state, now, server, tier) > 0
    ]
    if not loads:
        return None
    loads = _servers_within_share(state, now, loads) or loads
    warm = _server_with_longest_prefix(state, req, loads)
    if warm is not None:
        return warm
    return min(loads, key=lambda pair: pair[0])[1]


def _servers_within_share(
    state: State, now: float, loads: list[tuple[float, Server]]
) -> list[tuple[float, Server]]:
    """Leave out servers where this instance has used its share of what looked free.

    Prevents all instances from sending their queues to a server that has just become idle.
    """
    if state.config.policy is not PlacementPolicy.COUNTS:
        return loads
    return [pair for pair in loads if _remaining_share(state, now, pair[1]) > 0]


def _remaining_share(state: State, now: float, server: Server) -> int:
    """Count the requests left of this instance's share of a server."""
    instance_count = instances_per_server(state, any_target(server))
    own_requests_at_report = server.in_flight_at_report
    free_slots = (
        usable_slots(state, server) - own_requests_at_report - others_load(state, now, server)
    )
    return own_requests_at_report + max(1, free_slots // instance_count) - len(server.in_flight)


def _server_with_longest_prefix(
    state: State, req: Request, loads: list[tuple[float, Server]]
) -> Server | None:
    """Return the server with the longest known prefix among those that are not too busy.

    The load bound prevents a prefix shared by a whole class from drawing all its requests to one
    server while the others idle.
    """
    scores = match_scores(state.prefixes, state.options, req.prefixes) if req.prefixes else {}
    if not scores:
        return None
    options = state.options
    mean_load = sum(load for load, _ in loads) / len(loads)
    load_limit = max(options.affinity_load_floor, options.affinity_load_factor * mean_load)
    best: Server | None = None
    best_rank = (0.0, 0.0)
    for load, server in loads:
        rank = (scores.get(server.entry.name, 0.0), -load)
        if load <= load_limit and rank > best_rank:
            best, best_rank = server, rank
    return best


def _load_share(state: State, now: float, server: Server) -> float:
    """Return the share of a server's slots in use, for the choice between servers."""
    options = state.options
    slots = usable_slots(state, server) * max(1e-3, _pace_weight(state, server))
    load = estimated_load(state, now, server) / slots
    # Of two servers with equal counts, the one with less work left is free sooner. At most one
    # request's worth, which limits the effect of a wrong prediction.
    work = state.predicted_work.get(server.entry.name, 0.0)
    load += (work / (work + options.predict_default)) / slots
    if server.entry.data_centre != state.me.data_centre:
        load += options.remote_penalty
    # Random ties keep instances with the same reports from choosing the same server.
    return load + state.rng.random() * 1e-3


# --- room ------------------------------------------------------------------------------------


def headroom(state: State, now: float, server: Server, tier: int) -> int:
    """Count the requests of a tier that this instance may still send to a server."""
    if _pace_weight(state, server) == 0.0:
        # A stopped straggler gets only probes.
        return NO_HEADROOM
    match state.config.policy:
        case PlacementPolicy.BASELINE:
            return 2 * server.slots - len(server.in_flight)
        case PlacementPolicy.COUNTS | PlacementPolicy.PREDICTED:
            return _counts_headroom(state, now, server, tier)
        case PlacementPolicy.CREDITS:
            if uses_local_counts(state, now, server):
                return _cautious_headroom(state, now, server, tier)
            return covered_room(state, now, server, tier)
        case unreachable:
            assert_never(unreachable)


def _pace_weight(state: State, server: Server) -> float:
    return straggler.server_weight(state.stragglers, server.entry.name)


def usable_slots(state: State, server: Server) -> int:
    """Return the concurrent requests that a server can take, by its adaptive limit."""
    return limited_slots(state.server_limits, server.entry.name, server.slots)


def idle_slots_share(state: State, now: float, target: Target) -> float:
    """Estimate this instance's share of the idle slots, by the servers' reports.

    Prevents refusals while servers idle: after a pause, or in a burst, the current drain rate is
    too low because dispatchers have not granted credit yet.
    """
    idle_slots = sum(
        max(0.0, usable_slots(state, server) - estimated_load(state, now, server))
        for server in open_servers(state, now, target)
    )
    return idle_slots / instances_per_server(state, target)


def estimated_load(state: State, now: float, server: Server) -> float:
    """Estimate the requests of all instances on a server."""
    return float(len(server.in_flight) + others_load(state, now, server))


def others_load(state: State, now: float, server: Server) -> int:
    """Estimate the requests of other instances on a server, by its last report.

    The count of this instance's requests at the time of the report is subtracted. Prevents its
    requests that ended since from being counted as those of others until the next report.
    """
    report = server.report
    if report is None or now - server.report_at > state.options.report_valid_s:
        return 0
    return max(0, report.running + report.waiting - server.in_flight_at_report)


def _counts_headroom(state: State, now: float, server: Server, tier: int) -> int:
    most_urgent_tier = most_urgent_configured_tier(state.config)
    weighted_slots = max(1, floor(usable_slots(state, server) * _pace_weight(state, server)))
    slots = weighted_slots + state.options.slack_slots
    if server.service.kind is ServiceKind.MODEL and tier == most_urgent_tier:
        # The engine preempts lower tiers for it, so only requests of its own tier take up room.
        return slots - sum(1 for running_tier in server.in_flight.values() if running_tier <= tier)
    free_slots = slots - len(server.in_flight) - others_load(state, now, server)
    if server.service.kind is ServiceKind.PLAIN and tier > most_urgent_tier:
        # A running plain call cannot be preempted, so some slots are reserved for the most urgent
        # tier.
        free_slots -= ceil(state.options.reserve_share * weighted_slots)
    if free_slots <= 0:
        return 1 if _is_without_running_requests(state, server) else free_slots
    return free_slots


def _is_without_running_requests(state: State, server: Server) -> bool:
    """Return whether this instance runs nothing on any server of a service.

    Such an instance may send one request beyond what looks free. Prevents starvation where other
    instances refill the servers at once and each report shows them full.
    """
    load = state.pool_loads.by_pool.get(server.service.name)
    return load is None or not any(load.running.values())


def _cautious_headroom(state: State, now: float, server: Server, tier: int) -> int:
    """Return the headroom by counts, limited to a small share of the server's slots."""
    share = state.options.credit_fallback_share
    slot_limit = max(1, int(usable_slots(state, server) * share))
    if tier == most_urgent_configured_tier(state.config):
        # Lower work of this instance must not block the most urgent tier.
        used_slots = sum(1 for running_tier in server.in_flight.values() if running_tier <= tier)
    else:
        used_slots = len(server.in_flight)
    return min(slot_limit - used_slots, _counts_headroom(state, now, server, tier))


# --- stragglers ------------------------------------------------------------------------------


def _straggler_to_probe(
    state: State, now: float, req: Request, candidates: list[Server]
) -> Server | None:
    """Return a stopped straggler that is due for a probe by this request, or None.

    An answer that was moved never probes, since it cannot move again if the server is still slow.
    """
    if req.was_moved:
        return None
    for server in candidates:
        if _pace_weight(state, server) > 0.0:
            continue
        is_due = straggler.can_probe_straggler(
            state.stragglers,
            now - _lower_class_wait_s(state, req),
            server.entry.name,
            len(server.in_flight),
        )
        if is_due and req.repeatable:
            return server
    return None


def _lower_class_wait_s(state: State, req: Request) -> float:
    """Return the extra time that a probe waits for a request of a lower class.

    The wait is limited. Prevents a recovered server from never being probed where lower classes
    have no traffic.
    """
    queues = target_classes(state.queues, req.target)
    is_lowest_class = all(queue.service_class.priority <= req.priority for queue in queues)
    return 0.0 if is_lowest_class else state.options.straggler_probe_upper_s


# --- probes ----------------------------------------------------------------------------------


def is_probe_needed(state: State, now: float, server: Server) -> bool:
    """Return whether a server should be asked for its load."""
    if state.config.policy is PlacementPolicy.CREDITS:
        return credit.must_probe(state, now, server)
    if server.report is None or server.entry.name in state.subsets.used_servers:
        return True
    return now - server.report_at >= state.options.probe_unused_s
