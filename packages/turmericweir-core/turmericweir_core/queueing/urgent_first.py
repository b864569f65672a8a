"""Hold back less urgent requests while more urgent ones of the same service are late.

All instances send to the same engines. An instance without urgent requests would send its long
prompts to the engines that urgent requests at other instances wait for. So each instance reports
the most urgent rank that is late here with its load (`load_updates`), and none sends requests less
urgent than the most urgent late rank. A class served by its assured share is exempt, so the lowest
class is served under lasting overload as well.
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

# Share of its target after which a waiting request counts as late. A smaller share would hold back
# long prompts in every short burst.
_LATE_SHARE: Final = 1.0
# Validity of a peer's report, which is renewed every half second.
_LATE_RANK_VALID_S: Final = 1.2


def late_rank(state: State, now: float, target: Target) -> int | None:
    """Return the most urgent rank of which a request has waited here for too long."""
    late_ranks = [
        scheduling_rank(queue.service_class)
        for queue in queue_state.target_classes(state.queues, target)
        if _is_late(queue, now)
    ]
    return min(late_ranks, default=None)


def _is_late(queue: queue_state.ClassQueue, now: float) -> bool:
    """Return whether a queue has a request that has waited for too long."""
    oldest = next(iter(queue.on_time.values()), None)
    limit_s = _LATE_SHARE * queue.service_class.target_s
    return bool(queue.overdue_requests) or (
        oldest is not None and now - oldest.arrived_at >= limit_s
    )


def record_late_rank(
    state: State, now: float, sender: InstanceName, target: Target, rank: int | None
) -> None:
    """Record the late rank that a peer reported."""
    peer_ranks = state.overdue_ranks.peers.setdefault(target, {})
    if rank is None:
        peer_ranks.pop(sender, None)
    else:
        peer_ranks[sender] = (now, rank)


def reported_late_ranks(
    state: State, now: float, target: Target, senders: Container[InstanceName]
) -> list[int]:
    """List the valid late ranks that some peers reported."""
    peer_ranks = state.overdue_ranks.peers.get(target, {})
    return [
        rank
        for name, (received_at, rank) in peer_ranks.items()
        if name in senders and now - received_at <= _LATE_RANK_VALID_S
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
    local_late_rank = late_rank(state, now, req.target)
    if local_late_rank is not None and local_late_rank < own_rank:
        return True
    peer_ranks = state.overdue_ranks.peers.get(req.target, {})
    return any(
        rank < own_rank and now - received_at <= _LATE_RANK_VALID_S
        for received_at, rank in peer_ranks.values()
    )
