"""Which server a waiting request goes to, if any may take it now.

`pick_server` answers for the head of a queue; the policy in force decides how. Binding is late: a
request that gets no server stays in its queue and is asked about again whenever capacity frees up.

- Baseline takes the servers in turn, up to their slots and a queue as long again.
- Counts estimates a server's load from this instance's own requests there and the server's last
  report, and leaves room for the other instances that read the same report: each takes its share
  of what looks free first, or all of them would run to the one server that looked idle a moment
  ago.
- Predicted sends a request where a model of each server has it begin first (see
  `predicted_placement`).
- Credits goes by the slots that the server's dispatcher leased to this instance, and by counts with
  a cautious limit where there is none (see `credit`).

Among the servers with room the least loaded one is taken, by the share of its slots in use, unless
another one holds the request's prefix and is not much busier than the mean. Slow servers count as
more loaded, in proportion (see `straggler`).
"""

from __future__ import annotations

from math import ceil, floor
from typing import TYPE_CHECKING, assert_never

from turmericweir_core.base.config import Kind, Policy
from turmericweir_core.base.ids import Target
from turmericweir_core.base.request import Request
from turmericweir_core.base.tiers import most_urgent
from turmericweir_core.credits import credit
from turmericweir_core.credits.credit_holder import covered_room, goes_by_counts
from turmericweir_core.membership.subset import open_servers, sharing_instances
from turmericweir_core.placement import predicted_placement
from turmericweir_core.state import straggler
from turmericweir_core.state.concurrency import limited_slots
from turmericweir_core.state.prefix import match_scores
from turmericweir_core.state.queue_state import target_classes
from turmericweir_core.state.server_table import Server, any_target, preferred, servers_for

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Headroom of a server whose place in this instance's reach is not known: nothing may be sent, and
# nothing that runs there would make room by ending.
UNKNOWN_ROOM = -1


def pick_server(state: State, now: float, req: Request, tier: int) -> Server | None:
    """Pick the server for a request that is to run at a tier, or None where it has to wait."""
    if state.config.policy is Policy.BASELINE:
        return _pick_baseline(preferred(servers_for(state.servers, req.target, now), req))
    candidates = preferred(open_servers(state, now, req.target), req)
    if state.config.policy is Policy.PREDICTED:
        return predicted_placement.pick(state, now, req, tier, candidates)
    probe = _straggler_to_probe(state, now, req, candidates)
    if probe is not None:
        straggler.note_probe(state.stragglers, state.options, now, probe.entry.name)
        return probe
    return _pick_least_loaded(state, now, req, tier, candidates)


def _pick_baseline(candidates: list[Server]) -> Server | None:
    room = [server for server in candidates if len(server.in_flight) < 2 * server.slots]
    return min(room, key=lambda server: server.sent, default=None)


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
    loads = _within_share(state, now, loads) or loads
    warm = _warmest(state, req, loads)
    if warm is not None:
        return warm
    return min(loads, key=lambda pair: pair[0])[1]


def _within_share(
    state: State, now: float, loads: list[tuple[float, Server]]
) -> list[tuple[float, Server]]:
    """Leave out servers where this instance has taken its part of what looked free.

    Failure: a server has just become idle, and its report says so to all instances at once. Each
    sends it all that it has, and the callers wait behind a server that looked idle a moment ago.
    So of what a report shows free each instance takes its part first, and more only where it has
    taken its part everywhere.
    """
    if state.config.policy is not Policy.COUNTS:
        return loads
    return [pair for pair in loads if _share_left(state, now, pair[1]) > 0]


def _share_left(state: State, now: float, server: Server) -> int:
    sharing = sharing_instances(state, any_target(server))
    then = server.own_at_report
    free = usable_slots(state, server) - then - others_load(state, now, server)
    return then + max(1, free // sharing) - len(server.in_flight)


def _warmest(state: State, req: Request, loads: list[tuple[float, Server]]) -> Server | None:
    """Pick the server with the longest known prefix among those that are not much too busy.

    Failure without the bound: a prefix that all requests of a class share draws every one of them
    to the server that saw it first, and they queue there while the others idle.
    """
    scores = match_scores(state.prefixes, state.options, req.prefixes) if req.prefixes else {}
    if not scores:
        return None
    options = state.options
    mean = sum(load for load, _ in loads) / len(loads)
    bound = max(options.affinity_load_floor, options.affinity_load_factor * mean)
    best: Server | None = None
    best_rank = (0.0, 0.0)
    for load, server in loads:
        rank = (scores.get(server.entry.name, 0.0), -load)
        if load <= bound and rank > best_rank:
            best, best_rank = server, rank
    return best


def _load_share(state: State, now: float, server: Server) -> float:
    """Give the share of a server's slots in use, as the choice between servers sees it."""
    options = state.options
    slots = usable_slots(state, server) * max(1e-3, _weight(state, server))
    load = estimated_load(state, now, server) / slots
    # Of two servers with as many requests, the one with less left to generate is free sooner. At
    # most one request's worth, so that a wrong prediction does little.
    work = state.predicted_work.get(server.entry.name, 0.0)
    load += (work / (work + options.predict_default)) / slots
    if server.entry.data_centre != state.me.data_centre:
        load += options.remote_penalty
    # Random ties keep instances that see the same reports from choosing alike.
    return load + state.rng.random() * 1e-3


# --- room ------------------------------------------------------------------------------------


def headroom(state: State, now: float, server: Server, tier: int) -> int:
    """Count the requests of a tier that this instance may still send to a server."""
    if _weight(state, server) == 0.0:
        # A stopped straggler is sent nothing but probes.
        return UNKNOWN_ROOM
    match state.config.policy:
        case Policy.BASELINE:
            return 2 * server.slots - len(server.in_flight)
        case Policy.COUNTS | Policy.PREDICTED:
            return _counts_headroom(state, now, server, tier)
        case Policy.CREDITS:
            if goes_by_counts(state, now, server):
                return _cautious_headroom(state, now, server, tier)
            return covered_room(state, now, server, tier)
        case unreachable:
            assert_never(unreachable)


def _weight(state: State, server: Server) -> float:
    return straggler.server_weight(state.stragglers, server.entry.name)


def usable_slots(state: State, server: Server) -> int:
    """Give the requests that a server can be given at once, by its adaptive limit."""
    return limited_slots(state.server_limits, server.entry.name, server.slots)


def idle_share(state: State, now: float, target: Target) -> float:
    """Estimate this instance's part of the slots that stand idle, as far as reports show.

    Failure without it: after a pause of the instance, or when many callers come at once, it has
    slots for a few of its requests, and for the rest as soon as its dispatchers have answered. By
    what runs until then the last of them would come too late, and would be refused though servers
    stand idle.
    """
    idle = sum(
        max(0.0, usable_slots(state, server) - estimated_load(state, now, server))
        for server in open_servers(state, now, target)
    )
    return idle / sharing_instances(state, target)


def estimated_load(state: State, now: float, server: Server) -> float:
    """Estimate the requests on a server, by this and all other instances."""
    return float(len(server.in_flight) + others_load(state, now, server))


def others_load(state: State, now: float, server: Server) -> int:
    """Estimate the requests of other instances on a server, by its last report.

    What this instance had there when the report came is taken off, not what it has now: or its own
    requests that have ended since would be taken for others', and the room that they left would
    stand empty until the next report.
    """
    report = server.report
    if report is None or now - server.report_at > state.options.report_valid_s:
        return 0
    return max(0, report.running + report.waiting - server.own_at_report)


def _counts_headroom(state: State, now: float, server: Server, tier: int) -> int:
    urgent = most_urgent(state.config)
    weighed = max(1, floor(usable_slots(state, server) * _weight(state, server)))
    slots = weighed + state.options.slack_slots
    if server.service.kind is Kind.MODEL and tier == urgent:
        # The engine preempts lower tiers for it, so only its own tier takes up room.
        return slots - sum(1 for each in server.in_flight.values() if each <= tier)
    free = slots - len(server.in_flight) - others_load(state, now, server)
    if server.service.kind is Kind.PLAIN and tier > urgent:
        # A running plain call cannot be preempted, so some slots are kept for the urgent.
        free -= ceil(state.options.reserve_share * weighed)
    if free <= 0:
        return 1 if _runs_nothing(state, server) else free
    return free


def _runs_nothing(state: State, server: Server) -> bool:
    """Tell whether this instance runs nothing on any server of a service.

    Failure: other instances refill the servers the moment that one of their own requests ends, so
    each report shows them full, and an instance that runs nothing there never gets a turn; its
    callers wait until their deadlines. One request beyond what looks free ends that, and costs the
    servers one request for each such instance at the most.
    """
    load = state.pool_loads.by_pool.get(server.service.name)
    return load is None or not any(load.running.values())


def _cautious_headroom(state: State, now: float, server: Server, tier: int) -> int:
    """Count by own counts, but never beyond a small part of the server."""
    share = state.options.credit_fallback_share
    limit = max(1, int(usable_slots(state, server) * share))
    if tier == most_urgent(state.config):
        # Lower work of this instance must not keep the most urgent tier off the server.
        used = sum(1 for each in server.in_flight.values() if each <= tier)
    else:
        used = len(server.in_flight)
    return min(limit - used, _counts_headroom(state, now, server, tier))


# --- stragglers ------------------------------------------------------------------------------


def _straggler_to_probe(
    state: State, now: float, req: Request, candidates: list[Server]
) -> Server | None:
    """Pick a stopped straggler for a request of the lowest tier in use, where a probe is due.

    Never for an answer that was moved: it moves once at the most, so if the probe finds the server
    slow still, its caller has late tokens to the end.
    """
    if req.moved:
        return None
    for server in candidates:
        if _weight(state, server) > 0.0:
            continue
        due = straggler.may_probe(
            state.stragglers, now - _patience(state, req), server.entry.name, len(server.in_flight)
        )
        if due and req.repeatable:
            return server
    return None


def _patience(state: State, req: Request) -> float:
    """Give the extra time that a probe waits, in case a request of a lower class comes along.

    Failure without an end to it: the lower classes have no traffic at present, and a server that is
    well again is never found out.
    """
    queues = target_classes(state.queues, req.target)
    lowest = all(queue.service_class.priority <= req.priority for queue in queues)
    return 0.0 if lowest else state.options.straggler_probe_upper_s


# --- probes ----------------------------------------------------------------------------------


def must_probe(state: State, now: float, server: Server) -> bool:
    """Tell whether a server's load is worth asking for."""
    if state.config.policy is Policy.CREDITS:
        return credit.must_probe(state, now, server)
    if server.report is None or server.entry.name in state.subsets.used:
        return True
    return now - server.report_at >= state.options.probe_unused_s
