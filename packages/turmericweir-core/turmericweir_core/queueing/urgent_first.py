"""Hold back less urgent requests while more urgent ones for the same target are overdue.

All instances send to the same engines. An instance without urgent requests would send its long
prompts to the engines that urgent requests at other instances wait for. So each instance reports
its most urgent rank with an overdue request along with its load (`load_updates`), and no instance
sends requests less urgent than the most urgent overdue rank. A class served by its assured share is
exempt, so the lowest class is served under lasting overload as well.
"""

from __future__ import annotations

from collections.abc import Container
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.base.tiers import scheduling_rank
from turmericweir_core.state import queue_state

if TYPE_CHECKING:
    from turmericweir_core.base.request import Request
    from turmericweir_core.state.state import State

# Share of its start target after which a waiting request counts as overdue. A smaller share would
# hold back long prompts in every short burst.
_OVERDUE_SHARE: Final = 1.0
# Validity of a peer's report, which is renewed every half second.
_OVERDUE_RANK_VALID_S: Final = 1.2


def overdue_rank(state: State, now: float, target: Target) -> int | None:
    """Return the most urgent rank with an overdue request at this instance, or None."""
    overdue_ranks = [
        scheduling_rank(queue.service_class)
        for queue in queue_state.target_classes(state.queues, target)
        if _has_overdue_request(queue, now)
    ]
    return min(overdue_ranks, default=None)


def _has_overdue_request(queue: queue_state.ClassQueue, now: float) -> bool:
    """Return whether a request of a queue is overdue or has waited for its start target."""
    oldest = next(iter(queue.on_time.values()), None)
    limit_s = _OVERDUE_SHARE * queue.service_class.target_s
    return bool(queue.overdue_requests) or (
        oldest is not None and now - oldest.arrived_at >= limit_s
    )


def record_overdue_rank(
    state: State, now: float, sender: InstanceName, target: Target, rank: int | None
) -> None:
    """Record the overdue rank that a peer reported."""
    peer_ranks = state.overdue_ranks.peers.setdefault(target, {})
    if rank is None:
        peer_ranks.pop(sender, None)
    else:
        peer_ranks[sender] = (now, rank)


def reported_overdue_ranks(
    state: State, now: float, target: Target, senders: Container[InstanceName]
) -> list[int]:
    """Return the valid overdue ranks that the given peers reported."""
    peer_ranks = state.overdue_ranks.peers.get(target, {})
    return [
        rank
        for name, (received_at, rank) in peer_ranks.items()
        if name in senders and now - received_at <= _OVERDUE_RANK_VALID_S
    ]


def _is_served_by_share(state: State, req: Request) -> bool:
    """Return whether the request's class is to be served by its assured share."""
    return any(
        queue.service_class.name == req.service_class.name and queue_state.has_earned_next(queue)
        for queue in queue_state.target_classes(state.queues, req.target)
        if len(queue)
    )


def must_wait_for_urgent(state: State, now: float, req: Request) -> bool:
    """Return whether a request must wait for more urgent ones, here or at a peer."""
    own_rank = scheduling_rank(req.service_class)
    if _is_served_by_share(state, req):
        return False
    local_overdue_rank = overdue_rank(state, now, req.target)
    if local_overdue_rank is not None and local_overdue_rank < own_rank:
        return True
    peer_ranks = state.overdue_ranks.peers.get(req.target, {})
    return any(
        rank < own_rank and now - received_at <= _OVERDUE_RANK_VALID_S
        for received_at, rank in peer_ranks.values()
    )
