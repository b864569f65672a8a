"""Decide who is refused where customers of one class compete for too little room.

A customer is judged by its own backlog and share, not by the backlog of all. One that was served
more than its share is refused as soon as a new request of it could not begin in time;
`Retry-After` is the time in which its backlog drains at the rate at which it is served. One that
was served less is refused only if its own turn comes too late; before that, the newest waiting
request of the customer that was served most ends without having run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.request import Request
from turmericweir_core.queueing import fair_share
from turmericweir_core.state import queue_state
from turmericweir_core.state.queue_state import ClassQueue

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_MS: Final = 1000.0


class FairWait(Struct, frozen=True):
    """The predicted wait of a new request by its customer's share, and its inputs."""

    wait_s: float
    is_over_share: bool
    served_ms: float
    backlog_ms: float
    customers: int


def queue_of(state: State, req: Request) -> ClassQueue | None:
    """Return the queue of a request's class, or None if none of it ever waited."""
    for queue in queue_state.target_classes(state.queues, req.target):
        if queue.service_class.name == req.service_class.name:
            return queue
    return None


def predict(state: State, now: float, req: Request, engine_count: int) -> FairWait | None:
    """Return the predicted wait of a new request, or None if no customers compete."""
    key = fair_share.key_of(req)
    if not fair_share.meets_others(state, now, req):
        return None
    queue = queue_of(state, req)
    customers = max(1, len(fair_share.competitors(state, now, key)))
    served_ms = fair_share.served_ms(state, now, key, req.customer)
    backlog_ms = _backlog_ms(state, now, req, queue)
    capacity_ms_s = _MS * engine_count
    is_over_share = fair_share.is_over_share(
        state, now, req, capacity_ms_s
    ) and fair_share.is_most_served(state, now, req)
    if is_over_share:
        # The others' requests that will come go first as well, as they did lately.
        window_s = state.options.fair_share.window_s
        rate_ms_s = max(
            fair_share.share_ms(state, now, req, capacity_ms_s) / window_s,
            served_ms / window_s,
            capacity_ms_s - _others_served_ms(state, now, req) / window_s,
        )
        wait_s = backlog_ms / rate_ms_s
    else:
        wait_s = fair_share.work_ahead_ms(state, now, req, queue) / capacity_ms_s
    return FairWait(wait_s, is_over_share, served_ms, backlog_ms, customers)


def _others_served_ms(state: State, now: float, req: Request) -> float:
    key = fair_share.key_of(req)
    others = fair_share.competitors(state, now, key) - {req.customer}
    return sum(fair_share.served_ms(state, now, key, each) for each in others)


def _backlog_ms(state: State, now: float, req: Request, queue: ClassQueue | None) -> float:
    """Return the waiting work of a request's customer at all instances."""
    elsewhere = fair_share.waiting_elsewhere(state, now, fair_share.key_of(req))
    backlog_ms = float(elsewhere[req.customer].waiting_ms) if req.customer in elsewhere else 0.0
    if queue is not None and req.customer in queue.customers:
        backlog_ms += queue.customers[req.customer].work_ms
    return backlog_ms


def is_refused(req: Request, wait: FairWait) -> bool:
    """Return whether a customer over its share is refused."""
    return wait.is_over_share and wait.wait_s > req.service_class.target_s


def retry_after_s(state: State, req: Request, wait: FairWait) -> float:
    """Return the time after which a refused request of the customer could begin in time."""
    options = state.options
    excess_s = wait.wait_s - req.service_class.target_s
    return min(options.retry_after_max_s, max(options.retry_after_min_s, excess_s))


def request_to_drop(state: State, now: float, req: Request, wait: FairWait) -> Request | None:
    """Return the waiting request that ends for a customer that is not over its share, or None."""
    queue = queue_of(state, req)
    if wait.is_over_share or queue is None:
        return None
    return fair_share.most_over_share(state, now, req, queue)


def explain(req: Request, wait: FairWait) -> dict[str, object]:
    """Return the inputs of a decision for its log line."""
    return {
        "customer": req.customer,
        "over_share": wait.is_over_share,
        "served_ms": round(wait.served_ms),
        "backlog_ms": round(wait.backlog_ms),
        "competing": wait.customers,
    }
