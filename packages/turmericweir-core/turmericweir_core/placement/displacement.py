"""Choose the lower work that is displaced for an upper tier.

Two things can be displaced: a running attempt of a model request, which the engine cancels and
which resumes later from the last token sent to its caller; and a waiting request, which ends
`not_run`. Running plain calls are never displaced.

Work of the same or a more urgent tier is never displaced, nor work on a slot that is assured to
its tier or that it got by its assured share, nor the first waiting request of a class. Prevents a
burst of an upper class from starving the lowest class.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from turmericweir_core.base.config import PlacementPolicy, ServiceKind
from turmericweir_core.base.ids import Target, request_id_of
from turmericweir_core.base.request import CancelReason, Request
from turmericweir_core.credits.credit_holder import excess_attempts, is_assured
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.placement.placement import headroom
from turmericweir_core.queueing.displacement_delay import count_ready_to_displace
from turmericweir_core.state import queue_state
from turmericweir_core.state.pool_load import is_lower_tier_running, pool_load
from turmericweir_core.state.server_table import Server, preferred_servers
from turmericweir_core.streams.stream_servers import open_servers_for

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def running_to_displace(state: State, now: float, pool: str) -> Request | None:
    """Return the running request to displace for those that wait in a pool, or None."""
    if state.config.policy in (PlacementPolicy.BASELINE, PlacementPolicy.PREDICTED):
        # Under the predicted policy engines know the tiers and preempt by themselves.
        return None
    load = pool_load(state.pool_loads, pool)
    waiting_count = 0
    queues = queue_state.pool_queues(state.queues, pool)
    for queue in sorted(queues, key=lambda queue: queue.service_class.priority):
        tier = queue.service_class.priority
        waiting_count += count_ready_to_displace(state.options, now, queue, load.displacing + 1)
        # At most one attempt for each waiting request; displaced attempts that still run count.
        if waiting_count <= load.displacing or not is_lower_tier_running(load, tier):
            continue
        victim = _attempt_blocking_head(state, now, queue.head(), tier)
        if victim is not None:
            return victim
    return None


def _attempt_blocking_head(state: State, now: float, head: Request, tier: int) -> Request | None:
    """Return the attempt whose end frees a server that the head of a queue can be bound to.

    Servers that the head avoids do not count. Prevents an endless loop in which lower work is
    displaced, bound to the same server again and displaced again. Attempts that have just begun are
    not displaced, which bounds the waste if the head is bound elsewhere.
    """
    started_before = now - state.options.displace_after_s
    return _least_urgent(
        req
        for server in preferred_servers(open_servers_for(state, now, head), head)
        if headroom(state, now, server, tier) == 0
        for req in displaceable(state, server, tier)
        if req.attempt is not None and req.attempt.started_at <= started_before
    )


def least_urgent_running(state: State, now: float, target: Target, tier: int) -> Request | None:
    """Return the least urgent running attempt below a tier on the servers of a target."""
    return _least_urgent(
        req
        for server in open_servers(state, now, target)
        for req in displaceable(state, server, tier)
    )


def _least_urgent(candidates: Iterable[Request]) -> Request | None:
    return max(candidates, key=_displacement_order, default=None)


def _displacement_order(req: Request) -> tuple[int, int]:
    # The least urgent tier first; within it the attempt with the fewest tokens, which loses the
    # least work.
    attempt = req.attempt
    return (attempt.tier, -attempt.tokens) if attempt else (-1, 0)


def displaceable(state: State, server: Server, tier: int) -> Iterator[Request]:
    """Yield the requests on a server that may be displaced for a tier."""
    if server.service.kind is not ServiceKind.MODEL:
        return
    for running_id, running_tier in server.in_flight.items():
        if running_tier <= tier or is_assured(state, server, running_tier):
            continue
        req = state.requests.get(request_id_of(running_id))
        if req is None or req.attempt is None or req.attempt.attempt_id != running_id:
            continue
        if req.attempt.cancel_reason is None and req.repeatable:
            yield req


def requests_on_recalled_credit(state: State, server: Server) -> list[Request]:
    """Return the requests to displace on a server whose dispatcher recalled credit."""
    credit = state.credits.held_by_server.get(server.entry.name)
    excess_slots = excess_attempts(state, server)
    if credit is None or excess_slots <= 0:
        return []
    ending_slots = sum(1 for _ in _ending_requests(state, server))
    victims = sorted(
        displaceable(state, server, credit.displace_above), key=_displacement_order, reverse=True
    )
    return victims[: max(0, excess_slots - ending_slots)]


def _ending_requests(state: State, server: Server) -> Iterator[Request]:
    for name in server.in_flight:
        req = state.requests.get(request_id_of(name))
        if req is not None and req.attempt is not None and req.attempt.cancel_reason is not None:
            yield req


def waiting_request_to_drop(state: State, pool: str, tier: int) -> Request | None:
    """Return the waiting request below a tier that is dropped first, or None.

    This is the newest request of the least urgent class, overdue ones first. The first request of
    each class is never dropped, nor one that may have run, since `not_run` would be wrong for it.
    """
    lower_queues = [
        queue
        for queue in queue_state.pool_queues(state.queues, pool)
        if queue.service_class.priority > tier and len(queue) > 1
    ]
    lower_queues.sort(key=lambda queue: queue.service_class.priority, reverse=True)
    for queue in lower_queues:
        newest = queue.newest()
        if newest is not queue.head() and not newest.may_have_run:
            return newest
    return None


def record_displaced(state: State, req: Request, pool: str) -> None:
    """Record the displacement of an attempt."""
    req.displaced_attempts += 1
    pool_load(state.pool_loads, pool).displacing += 1


def record_displaced_end(state: State, reason: CancelReason | None, pool: str) -> None:
    """Record the end of a displaced attempt."""
    if reason is CancelReason.DISPLACED:
        load = pool_load(state.pool_loads, pool)
        load.displacing = max(0, load.displacing - 1)
