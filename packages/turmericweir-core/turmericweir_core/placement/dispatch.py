"""Bind waiting requests to servers, and make room for urgent ones.

A pass over a pool binds the heads of its queues in the order of `queue_state` while `placement`
finds servers for them, asks dispatchers for credit for the rest, and displaces lower work for upper
work that still waits. A pass checks a bounded number of requests and servers, so its cost does not
grow with the queue.
"""

from __future__ import annotations

from typing import Final

from turmericweir_core.base.config import PlacementPolicy, ServiceKind
from turmericweir_core.base.ids import DIRECT, InstanceName, ServerName, Target, make_attempt_id
from turmericweir_core.base.release import release_of
from turmericweir_core.base.request import Attempt, CancelReason, Request, RequestPhase
from turmericweir_core.base.tiers import most_urgent_configured_tier
from turmericweir_core.credits import credit
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import announced_limits, subset
from turmericweir_core.messages.credit_messages import CreditDemand, CreditGrant
from turmericweir_core.messages.effects import CancelAttempt, Effect, Log, StartAttempt
from turmericweir_core.placement import (
    attempt_accounting,
    displacement,
    late_refusal,
    predicted_placement,
)
from turmericweir_core.placement.placement import pick_server
from turmericweir_core.queueing import fair_share
from turmericweir_core.state import queue_state
from turmericweir_core.state.server_table import Server, reported_incarnation
from turmericweir_core.state.state import State
from turmericweir_core.trust import outlier_probes, server_paths

# Waiting requests of one class that a pass checks. Bounds the cost of a pass.
_CHECKED_REQUESTS_MAX: Final = 24


def pool_name(state: State, target: Target) -> str:
    """Return the pool of a target: the service whose servers it shares with other targets."""
    service = state.config.service_by_target.get(target)
    return target if service is None else service.name


def wait_for_server(state: State, req: Request, *, front: bool = False) -> None:
    """Enqueue a request."""
    req.phase = RequestPhase.WAITING
    queue_state.enqueue(
        state.queues,
        req,
        pool=pool_name(state, req.target),
        front=front,
        on_time_share=state.options.on_time_share,
    )


# --- binding ---------------------------------------------------------------------------------


def dispatch(state: State, now: float, target: Target) -> list[Effect]:
    """Bind requests that wait for a target, or for others in its pool, while servers have room."""
    pool = queue_state.pool_of(state.queues, target)
    if pool is None:
        return []
    if state.config.policy is not PlacementPolicy.BASELINE:
        queue_state.move_overdue(state.queues, now)
    effects = _bind_waiting(state, now, pool)
    # Local lower work is displaced before other instances are asked to displace theirs.
    effects += make_room(state, now, pool)
    grants_before = state.credits.grants_taken
    effects += credit.request_credit(state, now, pool)
    if state.credits.grants_taken != grants_before:
        # The dispatcher may be this instance; its grant then takes effect at once.
        effects += _bind_waiting(state, now, pool)
        effects += displace_recalled(state)
    return effects


def dispatch_all(state: State, now: float) -> list[Effect]:
    """Bind the waiting requests of all pools."""
    effects: list[Effect] = []
    for pool, targets in state.queues.pools.items():
        if targets and queue_state.has_waiting(state.queues, pool):
            late_refusal.mark_late(state, now, pool)
            effects += dispatch(state, now, targets[0])
    return effects


def dispatch_after_update(state: State, now: float) -> list[Effect]:
    """Bind waiting requests after a load update, unless that was just done.

    Each of many instances sends dozens of updates a second. Prevents a pass over all that waits for
    each of them; the next tick makes up for those that are left out.
    """
    if now < state.queues.next_update_pass_at:
        return []
    state.queues.next_update_pass_at = now + state.options.update_pass_s
    return dispatch_all(state, now)


def _bind_waiting(state: State, now: float, pool: str) -> list[Effect]:
    effects: list[Effect] = []
    while True:
        bound = _bind_next(state, now, pool)
        if not bound:
            return effects
        effects += bound


def _bind_next(state: State, now: float, pool: str) -> list[Effect]:
    if state.config.policy is PlacementPolicy.PREDICTED:
        return _bind_first_placeable(state, now, pool)
    for queue in _serving_order(state, pool):
        tier = _running_tier(state, pool, queue)
        for req in queue.head_and_bound(_CHECKED_REQUESTS_MAX):
            server = pick_server(state, now, req, tier)
            if server is not None:
                queue_state.note_dispatched(state.queues, queue, req)
                return start_attempt(state, now, req, server, tier=tier)
    return []


def _bind_first_placeable(state: State, now: float, pool: str) -> list[Effect]:
    """Bind the first request that has a server, even behind others that wait.

    Prevents a request that waits for one engine from holding up requests for other engines.
    """
    for queue in _serving_order(state, pool):
        tier = _running_tier(state, pool, queue)
        for req in fair_share.first_in_order(state, now, queue, _CHECKED_REQUESTS_MAX):
            server = pick_server(state, now, req, tier)
            if server is not None:
                queue_state.note_dispatched(state.queues, queue, req)
                return start_attempt(state, now, req, server, tier=tier)
    return []


def _serving_order(state: State, pool: str) -> list[queue_state.ClassQueue]:
    if state.config.policy is PlacementPolicy.BASELINE:
        nonempty = queue_state.pool_queues(state.queues, pool)
        return sorted(nonempty, key=lambda queue: queue.head().arrived_at)
    return queue_state.queues_in_order(state.queues, pool)


def _running_tier(state: State, pool: str, queue: queue_state.ClassQueue) -> int:
    """Return the tier that the head of a queue runs at.

    A class served by its assured share runs at the most urgent tier. Prevents its request from
    waiting at the engine behind upper work, or from being displaced at once.
    """
    if state.config.policy is PlacementPolicy.BASELINE:
        return most_urgent_configured_tier(state.config)
    tier = queue.service_class.priority
    if queue_state.has_earned_next(queue) and queue_state.has_upper_waiting(
        state.queues, pool, tier
    ):
        return most_urgent_configured_tier(state.config)
    return tier


def start_attempt(
    state: State, now: float, req: Request, server: Server, *, tier: int | None = None
) -> list[Effect]:
    """Start an attempt of a request on a server."""
    new_attempt_id = make_attempt_id(req.request_id, req.attempts)
    req.attempts += 1
    attempt = Attempt(
        new_attempt_id, server.entry.name, now, tier=req.priority if tier is None else tier
    )
    attempt.incarnation = reported_incarnation(server)
    attempt.release = release_of(server.entry)
    attempt.listed_incarnation = server.entry.incarnation
    attempt.address = server.entry.address
    peer = server_paths.choose_via(state, now, server.entry.name)
    attempt.via = DIRECT if peer is None else peer.name
    req.attempt = attempt
    req.phase = RequestPhase.RUNNING
    server.in_flight[new_attempt_id] = attempt.tier
    server.sent_count += 1
    announced_limits.note_sent(state, now, server)
    outlier_probes.note_started(state, server.entry.name)
    effects: list[Effect] = []
    fetch_from = ""
    if state.config.policy is PlacementPolicy.PREDICTED:
        fetch = engine_model.best_fetch(state, now, req, server)
        fetch_from = "" if fetch is None else fetch.address
        details = predicted_placement.explain(state, now, req, server)
        ids = {
            "request_id": req.request_id,
            "attempt_id": new_attempt_id,
            "peer": server.entry.name,
            "via": attempt.via,
            "version": server.entry.software_version,
            "release": attempt.release,
            "incarnation": server.entry.incarnation,
            "list_age_ms": _list_age_ms(state, now),
        }
        if req.release is not None:
            ids |= {"bound_release": req.release, "bound_by": req.release_source}
        scheduling = {"service_class": req.service_class.name, "tier": attempt.tier}
        effects.append(Log("placed", {**ids, **scheduling, **details}))
    attempt_accounting.record_started(state, now, req, attempt, pool_name(state, req.target))
    return [
        *effects,
        StartAttempt(
            request_id=req.request_id,
            attempt_id=new_attempt_id,
            server=server.entry.name,
            address=server.entry.address,
            priority=_scheduling_rank(req, attempt),
            resume_from=req.delivered if req.kind is ServiceKind.MODEL else 0,
            needs_new_connection=req.had_unresponsive_attempt
            or _needs_fresh_connection(req, attempt),
            needs_verified_connection=not req.repeatable,
            fetch_from_address=fetch_from,
            via=attempt.via,
            via_address="" if peer is None else peer.peer_address,
            needs_identity=_needs_identity(state, req, server),
            incarnation=server.entry.incarnation,
            is_bound=req.release is not None,
        ),
    ]


def _needs_identity(state: State, req: Request, server: Server) -> bool:
    """Return whether it matters which start of a server gets a request.

    Prevents a stream from going on at another release, as the entry by which a server was chosen
    may be that of an earlier start. Where entries name no start, each start has a name of its own.
    """
    if state.config.policy is not PlacementPolicy.PREDICTED or req.kind is not ServiceKind.MODEL:
        return False
    return req.release is not None or (req.is_resumable and server.entry.incarnation != "")


def _list_age_ms(state: State, now: float) -> int | None:
    """Return the age of the list of servers; None if it was never read."""
    read_at = state.registry.read_at
    return None if read_at == float("-inf") else round(1000 * (now - read_at))


def _needs_fresh_connection(req: Request, attempt: Attempt) -> bool:
    """Return whether a request needs a connection that has carried no request before.

    Prevents the loss of a non-repeatable plain call on a dead connection, after which its caller
    cannot learn whether it ran. By way of a peer this holds for streams too, as the end of a
    connection that the server has closed arrives later.

    Also prevents an extra copy of an earlier answer to the same request from being taken for the
    answer to this attempt: servers may echo an ID that is the same for all attempts.
    """
    if attempt.address in req.sent_addresses:
        return True
    return not req.repeatable and (req.kind is ServiceKind.PLAIN or attempt.via != DIRECT)


def _scheduling_rank(req: Request, attempt: Attempt) -> int:
    """Return the rank by which a server schedules an attempt.

    An attempt of the assured share keeps its own rank. Prevents an engine that runs out of memory
    from preempting urgent answers for it.
    """
    rank = req.service_class.rank
    return attempt.tier if rank is None else rank


def release(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    """Remove an ended attempt from its server."""
    attempt_accounting.record_ended(state, now, req, attempt)
    server = state.servers.by_name.get(attempt.server)
    if server is None:
        return []
    server.in_flight.pop(attempt.attempt_id, None)
    return credit.report_freed_slot(state, now, server)


# --- making room -----------------------------------------------------------------------------


def cancel(req: Request, reason: CancelReason) -> list[Effect]:
    """Cancel the attempt of a request; the first reason given stands."""
    attempt = req.attempt
    if attempt is None or attempt.cancel_reason is not None:
        return []
    attempt.cancel_reason = reason
    return [CancelAttempt(req.request_id, attempt.attempt_id, attempt.server, reason)]


def displace(state: State, req: Request) -> list[Effect]:
    """Displace the attempt of a request; it resumes later from its last token."""
    if req.attempt is None or req.attempt.cancel_reason is not None:
        return []
    displacement.record_displaced(state, req, req.attempt.pool)
    return cancel(req, CancelReason.DISPLACED)


def make_room(state: State, now: float, pool: str) -> list[Effect]:
    """Displace lower work for waiting upper work and for recalled credit."""
    effects = displace_recalled(state)
    while True:
        victim = displacement.running_to_displace(state, now, pool)
        if victim is None:
            return effects
        effects += displace(state, victim)


def displace_recalled(state: State) -> list[Effect]:
    """Displace requests on credit that the dispatchers recalled for upper work."""
    effects: list[Effect] = []
    for name in sorted(state.credits.recalled_servers):
        server = state.servers.by_name.get(name)
        if server is None:
            continue
        for req in displacement.requests_on_recalled_credit(state, server):
            effects += displace(state, req)
    state.credits.recalled_servers.clear()
    return effects


# --- credit and ticks ------------------------------------------------------------------------


def on_credit(
    state: State, now: float, sender: InstanceName, message: CreditDemand | CreditGrant
) -> list[Effect]:
    """Handle a credit message, and dispatch or displace accordingly."""
    effects = credit.on_credit_message(state, now, sender, message)
    server = state.servers.by_name.get(ServerName(message.server))
    if server is not None:
        targets = state.queues.pools.get(server.service.name, ())
        for target in targets[:1]:
            effects += dispatch(state, now, target)
    return effects + displace_recalled(state)


def on_tick(state: State, now: float) -> list[Effect]:
    """Renew credit, evaluate servers, and displace requests on recalled credit."""
    subset.on_tick(state, now)
    grants_before = state.credits.grants_taken
    effects = credit.on_tick(state, now)
    if state.credits.grants_taken != grants_before:
        effects += dispatch_all(state, now)
    effects += attempt_accounting.on_tick(state, now)
    return effects + displace_recalled(state)
