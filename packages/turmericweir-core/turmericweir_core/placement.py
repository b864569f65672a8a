"""Which server a waiting request goes to, if any may take it now.

`pick_server` answers for the head of a queue; the policy in force decides how. Binding is late: a
request that gets no server stays in its queue and is asked about again whenever capacity frees up.

Baseline takes the servers in turn, up to their slots and a queue as long again. Counts estimates a
server's load from this instance's own requests there and the server's last report, and leaves room
for the other instances that read the same report: each takes only its share of what looks free, or
all of them would run to the one server that looked idle a moment ago.
"""

from __future__ import annotations

from math import ceil
from typing import assert_never

from turmericweir_core.config import Kind, Policy
from turmericweir_core.request import Request
from turmericweir_core.server_table import Server, servers_for
from turmericweir_core.state import State


def pick_server(state: State, now: float, req: Request) -> Server | None:
    """Pick the server for a request, or None where it has to wait."""
    candidates = list(servers_for(state.servers, req.target, now))
    # A server that this request has failed on is used again only where no other is left.
    preferred = [server for server in candidates if server.entry.name not in req.avoid]
    candidates = preferred or candidates
    match state.config.policy:
        case Policy.BASELINE:
            return _pick_baseline(candidates)
        case Policy.COUNTS | Policy.CREDITS:
            return _pick_counts(state, now, candidates, req)
        case unreachable:
            assert_never(unreachable)


def _pick_baseline(candidates: list[Server]) -> Server | None:
    room = [server for server in candidates if len(server.in_flight) < 2 * server.slots]
    return min(room, key=lambda server: server.sent, default=None)


def _pick_counts(state: State, now: float, candidates: list[Server], req: Request) -> Server | None:
    best: Server | None = None
    best_load = float("inf")
    for server in candidates:
        if room_for(state, now, server, req) <= 0:
            continue
        load = estimated_load(state, now, server) / server.slots
        # Random ties keep instances that see the same reports from choosing alike.
        load += state.rng.random() * 1e-3
        if load < best_load:
            best = server
            best_load = load
    return best


def estimated_load(state: State, now: float, server: Server) -> float:
    """Estimate the requests on a server, by this and all other instances."""
    own = len(server.in_flight)
    report = server.report
    if report is None or now - server.report_at > state.options.report_valid_s:
        return float(own)
    return float(max(own, report.running + report.waiting))


def room_for(state: State, now: float, server: Server, req: Request) -> int:
    """Count the requests of this tier that this instance may still send to a server."""
    slots = server.slots + state.options.slack_slots
    own_ahead = sum(1 for tier in server.in_flight.values() if tier <= req.priority)
    if server.service.kind is Kind.MODEL and req.priority == most_urgent(state):
        # The engine preempts lower tiers for it, so only its own tier takes up room.
        return slots - own_ahead
    own = len(server.in_flight)
    others = max(0.0, estimated_load(state, now, server) - own)
    free = slots - own - others
    if server.service.kind is Kind.PLAIN and req.priority > most_urgent(state):
        # A running plain call cannot be preempted, so some slots are kept for the urgent.
        free -= ceil(state.options.reserve_share * server.slots)
    if free <= 0:
        return 0
    return max(1, int(free / live_instances(state)))


def most_urgent(state: State) -> int:
    """Give the most urgent tier that is configured."""
    return min((each.priority for each in state.config.classes.values()), default=0)


def live_instances(state: State) -> int:
    """Count the live instances that share this region's servers, this one included."""
    return 1
