"""Which lower work makes way for an upper tier.

Two things can be displaced: a running attempt of a model request, which the engine is told to
cancel and which goes on later from the last token that its caller was sent; and a request that
still waits, which ends `not_run`. Plain calls that run are never displaced.

Never displaced are: work of the same or a more urgent tier; what runs on a slot that its tier was
assured or on a turn that its share had earned; and the first waiting request of a class, which is
the one that its assured share serves next. Without these a burst of an upper class could undo what
keeps the lowest class alive.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from turmericweir_core.base.config import Kind, Policy
from turmericweir_core.base.ids import Target, request_of
from turmericweir_core.base.request import CancelReason, Request
from turmericweir_core.credits.credit_holder import excess, is_assured
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.placement.placement import headroom
from turmericweir_core.queueing.patience import count_ripe
from turmericweir_core.state import queue_state
from turmericweir_core.state.pool_load import lower_running, pool_load
from turmericweir_core.state.server_table import Server, preferred

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def running_to_displace(state: State, now: float, pool: str) -> Request | None:
    """Pick the running request that makes way for what waits in a pool, if any is to."""
    if state.config.policy in (Policy.BASELINE, Policy.PREDICTED):
        # With the predicted policy engines are told the tiers and preempt by themselves.
        return None
    load = pool_load(state.pool_loads, pool)
    waiting = 0
    queues = queue_state.pool_queues(state.queues, pool)
    for queue in sorted(queues, key=lambda queue: queue.service_class.priority):
        tier = queue.service_class.priority
        waiting += count_ripe(state.options, now, queue, load.displacing + 1)
        # One attempt at the most for each request that waits: those told before still end.
        if waiting <= load.displacing or not lower_running(load, tier):
            continue
        victim = _to_make_way(state, now, queue.head(), tier)
        if victim is not None:
            return victim
    return None


def _to_make_way(state: State, now: float, head: Request, tier: int) -> Request | None:
    """Find the attempt whose end lets the head of a queue run on the server that it leaves.

    Failure: the head avoids a server that it has failed on. Lower work there is stopped for it, is
    bound there again as the head still waits, and is stopped again, without an end; the instance
    answers nobody. So only servers that the head would be bound to count. In case it is then bound
    elsewhere for a reason that is not seen here, an attempt that has just begun is left alone: the
    worst is then some wasted prefills a second, and other events come in between.
    """
    begun_before = now - state.options.displace_after_s
    return _lowest(
        req
        for server in preferred(open_servers(state, now, head.target), head)
        if headroom(state, now, server, tier) == 0
        for req in displaceable(state, server, tier)
        if req.attempt is not None and req.attempt.started <= begun_before
    )


def lowest_running(state: State, now: float, target: Target, tier: int) -> Request | None:
    """Find the least urgent running attempt below a tier on the servers of a target."""
    return _lowest(
        req
        for server in open_servers(state, now, target)
        for req in displaceable(state, server, tier)
    )


def _lowest(candidates: Iterable[Request]) -> Request | None:
    return max(candidates, key=_rank, default=None)


def _rank(req: Request) -> tuple[int, int]:
    # The least urgent tier first; within it what has run least, as least of it is lost.
    attempt = req.attempt
    return (attempt.tier, -attempt.tokens) if attempt else (-1, 0)


def displaceable(state: State, server: Server, tier: int) -> Iterator[Request]:
    """Yield the requests on a server that may make way for a tier."""
    if server.service.kind is not Kind.MODEL:
        return
    for name, each in server.in_flight.items():
        if each <= tier or is_assured(state, server, each):
            continue
        req = state.requests.get(request_of(name))
        if req is None or req.attempt is None or req.attempt.attempt_id != name:
            continue
        if req.attempt.cancelled is None and req.repeatable:
            yield req


def recalled(state: State, server: Server) -> list[Request]:
    """List what makes way on a server, because its dispatcher called credit back."""
    credit = state.credits.held.get(server.entry.name)
    over = excess(state, server)
    if credit is None or over <= 0:
        return []
    ending = sum(1 for _ in _told_to_end(state, server))
    victims = sorted(displaceable(state, server, credit.displace_above), key=_rank, reverse=True)
    return victims[: max(0, over - ending)]


def _told_to_end(state: State, server: Server) -> Iterator[Request]:
    for name in server.in_flight:
        req = state.requests.get(request_of(name))
        if req is not None and req.attempt is not None and req.attempt.cancelled is not None:
            yield req


def waiting_to_drop(state: State, pool: str, tier: int) -> Request | None:
    """Pick the waiting request below a tier that is dropped first, if any may be.

    It is the newest of the least urgent class, a late one if there is any. One that has begun is
    kept, since its caller could not be told `not_run`, and so is the first of each class.
    """
    lower = [
        queue
        for queue in queue_state.pool_queues(state.queues, pool)
        if queue.service_class.priority > tier and len(queue) > 1
    ]
    lower.sort(key=lambda queue: queue.service_class.priority, reverse=True)
    for queue in lower:
        newest = queue.newest()
        if newest is not queue.head() and not newest.may_have_run:
            return newest
    return None


def note_displaced(state: State, req: Request, pool: str) -> None:
    """Count an attempt that was told to make way."""
    req.displaced += 1
    pool_load(state.pool_loads, pool).displacing += 1


def note_ended(state: State, reason: CancelReason | None, pool: str) -> None:
    """Count an attempt that made way and ended."""
    if reason is CancelReason.DISPLACED:
        load = pool_load(state.pool_loads, pool)
        load.displacing = max(0, load.displacing - 1)
