"""Let less urgent requests wait while more urgent ones of the same service are late.

Each instance serves what waits here in order, but an engine is sent requests by all of them. One
where nothing urgent waits would send its long prompts to the engines that the others wait for: few
engines are left, and whenever one has room the next long prompt takes it, while callers of quick
answers leave with nothing. So each instance tells the most urgent rank that is late here, with its
load (`load_news`), and none sends what is less urgent than the most urgent one that is late.

A class that has earned a turn by its assured share has it all the same: urgent callers may be late
for as long as a rush lasts, and the lowest class is to be served then as well.
"""

from __future__ import annotations

from collections.abc import Container
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.base.tiers import rank_of
from turmericweir_core.state import queue_state

if TYPE_CHECKING:
    from turmericweir_core.base.request import Request
    from turmericweir_core.state.state import State

# Part of its target for which a request has waited here for too long: it is late wherever it goes
# now. With half of it each moment's crowd stops the long prompts.
_LATE_SHARE: Final = 1.0
# A peer's word counts for so long; it tells anew every half second.
_PEER_VALID_S: Final = 1.2


def late_rank(state: State, now: float, target: Target) -> int | None:
    """Give the most urgent rank of which a request has waited here for too long."""
    late = [
        rank_of(queue.service_class)
        for queue in queue_state.target_classes(state.queues, target)
        if _is_late(queue, now)
    ]
    return min(late, default=None)


def _is_late(queue: queue_state.ClassQueue, now: float) -> bool:
    oldest = next(iter(queue.on_time.values()), None)
    limit_s = _LATE_SHARE * queue.service_class.target_s
    return bool(queue.late) or (oldest is not None and now - oldest.arrived >= limit_s)


def take_late_rank(
    state: State, now: float, sender: InstanceName, target: Target, rank: int | None
) -> None:
    """Take a peer's word."""
    told = state.late_ranks.peers.setdefault(target, {})
    if rank is None:
        told.pop(sender, None)
    else:
        told[sender] = (now, rank)


def told_ranks(
    state: State, now: float, target: Target, senders: Container[InstanceName]
) -> list[int]:
    """List what some peers have told of late requests."""
    told = state.late_ranks.peers.get(target, {})
    return [
        rank for name, (at, rank) in told.items() if name in senders and now - at <= _PEER_VALID_S
    ]


def _is_owed(state: State, req: Request) -> bool:
    return any(
        queue.service_class.name == req.service_class.name and queue_state.is_owed(queue)
        for queue in queue_state.target_classes(state.queues, req.target)
        if len(queue)
    )


def has_to_wait(state: State, now: float, req: Request) -> bool:
    """Tell whether a request has to let more urgent ones pass, here or at a peer."""
    own = rank_of(req.service_class)
    if _is_owed(state, req):
        return False
    late = late_rank(state, now, req.target)
    if late is not None and late < own:
        return True
    told = state.late_ranks.peers.get(req.target, {})
    return any(rank < own and now - at <= _PEER_VALID_S for at, rank in told.values())
