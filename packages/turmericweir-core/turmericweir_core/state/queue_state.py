"""Requests that wait at this instance, by target and class.

A waiting request is assigned to a server as late as possible. Answer lengths are unknown, so an
early assignment would leave requests behind a long answer while another server idles.

Targets that share servers form a *pool* (the service that serves them), and the queue order covers
the whole pool. The order is strict by tier, with one exception that protects the lowest class: each
class earns its assured share of all work dispatched in the pool while it waits, and is served next
when it has earned the cost of one request. More urgent classes are only delayed by this.

No operation iterates over all waiting requests: queues are ordered by insertion and indexed by
request id, deadlines are in a heap, and the waiting work is a running sum.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from itertools import chain
from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.config import ServiceClass
from turmericweir_core.base.ids import RequestId, Target
from turmericweir_core.base.request import Request

# Unused work that a class may have earned, as a multiple of the cost of its next request.
_EARNED_MAX: Final = 2.0


class CustomerQueue(Struct):
    """The ids of a customer's waiting requests in one class, in the order of the class's queues."""

    on_time: OrderedDict[RequestId, None] = field(default_factory=OrderedDict)
    overdue: OrderedDict[RequestId, None] = field(default_factory=OrderedDict)
    # Work of these requests on an engine, milliseconds.
    work_ms: float = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.on_time) + len(self.overdue)


class ClassQueue(Struct):
    """Waiting requests of one class for one target, in two FIFO queues: on time and overdue."""

    service_class: ServiceClass
    target: Target
    # Requests that can still meet their target, and overdue ones, which are served after them.
    on_time: OrderedDict[RequestId, Request] = field(default_factory=OrderedDict)
    overdue_requests: OrderedDict[RequestId, Request] = field(default_factory=OrderedDict)
    # The same requests by customer; no customer without one.
    customers: dict[str, CustomerQueue] = field(default_factory=dict)
    # Total cost of the waiting requests, and of the overdue ones among them.
    work: float = 0.0
    overdue_work: float = 0.0
    # Their work on an engine, milliseconds.
    work_ms: float = 0.0
    overdue_work_ms: float = 0.0
    # Work that the overdue requests have earned as a share of the work served for their class.
    overdue_earned: float = 0.0
    # Work that this class has earned but not used yet, in the unit of `cost`.
    earned: float = 0.0

    def head(self) -> Request:
        """Return the request that is served next; the queue must not be empty.

        Overdue requests get their assured share. Prevents a long burst, in which the other requests
        barely meet their target, from delaying overdue requests until their deadlines.
        """
        first_overdue = next(iter(self.overdue_requests.values()), None)
        if first_overdue is not None and self.overdue_earned >= first_overdue.queued_cost:
            return first_overdue
        return next(iter(self.on_time.values()), first_overdue) or self._raise_empty()

    def _raise_empty(self) -> Request:
        raise LookupError(f"no {self.service_class.name} request is waiting for {self.target}")

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.on_time) + len(self.overdue_requests)

    def waiting(self) -> Iterator[Request]:
        """Yield the waiting requests, roughly oldest first: overdue ones arrived earlier."""
        yield from self.overdue_requests.values()
        yield from self.on_time.values()

    def first_in_order(self, max_count: int) -> list[Request]:
        """Return the first requests in queue order: `max_count`, and as many that are bound.

        Prevents requests that wait for the servers of one release from holding up the others.
        """
        ordered = chain(self.on_time.values(), self.overdue_requests.values())
        return choose_first(ordered, max_count)

    def waiting_of(self, customer: str) -> Iterator[Request]:
        """Yield the waiting requests of a customer in queue order."""
        ids = self.customers.get(customer) or CustomerQueue()
        yield from (self.on_time[each] for each in ids.on_time)
        yield from (self.overdue_requests[each] for each in ids.overdue)

    def newest_of(self, customer: str) -> Request | None:
        """Return the newest waiting request of a customer, or None."""
        ids = self.customers.get(customer)
        if ids is None:
            return None
        if ids.on_time:
            return self.on_time[next(reversed(ids.on_time))]
        return self.overdue_requests[next(reversed(ids.overdue))]

    def head_and_bound(self, max_count: int) -> list[Request]:
        """Return the head, and while the requests are bound to a release, those behind it."""
        head = self.head()
        if head.release is None:
            return [head]
        others = [each for each in self.first_in_order(max_count) if each is not head]
        unbound = next((n for n, each in enumerate(others) if each.release is None), len(others))
        return [head, *others[: unbound + 1]]

    def oldest_at(self) -> float:
        """Return the arrival time of the oldest request; the queue must not be empty."""
        return next(self.waiting()).arrived_at

    def overdue_ends(self) -> list[tuple[Request, float]]:
        """Return the first and the last overdue request, each with the overdue work before it."""
        if not self.overdue_requests:
            return []
        first = next(iter(self.overdue_requests.values()))
        last = next(reversed(self.overdue_requests.values()))
        ends = [(first, 0.0)]
        if last is not first:
            ends.append((last, self.overdue_work - last.queued_cost))
        return ends

    def newest(self) -> Request:
        """Return the request that is served last: the newest overdue one, if there is any."""
        return next(reversed((self.overdue_requests or self.on_time).values()))


class TargetQueue(Struct):
    """The queues of one target, by class name."""

    pool: str
    classes: dict[str, ClassQueue] = field(default_factory=dict)


class QueueState(Struct):
    """All waiting requests of an instance."""

    targets: dict[Target, TargetQueue] = field(default_factory=dict)
    # Targets by pool.
    pools: dict[str, list[Target]] = field(default_factory=dict)
    # The queue of each waiting request.
    index: dict[RequestId, ClassQueue] = field(default_factory=dict)
    # Heap of deadlines; entries of requests that no longer wait are skipped.
    deadlines: list[tuple[float, RequestId]] = field(default_factory=list)
    # Heap of the times from which on a request can no longer meet its target.
    overdue_at: list[tuple[float, RequestId]] = field(default_factory=list)
    # When a load update of a peer causes another pass over what waits.
    next_update_pass_at: float = 0.0


def cost(req: Request) -> float:
    """Return the remaining work of a request: tokens for a model, 1 for a plain call."""
    return max(1.0, req.predicted_tokens - req.delivered)


def choose_first(ordered: Iterable[Request], max_count: int) -> list[Request]:
    """Return the first of ordered requests: `max_count`, and as many that are bound."""
    chosen: list[Request] = []
    bound_count = 0
    for req in ordered:
        if req.release is not None:
            bound_count += 1
            if bound_count > max_count:
                continue
        chosen.append(req)
        if len(chosen) - min(bound_count, max_count) >= max_count:
            break
    return chosen


def enqueue(
    queues: QueueState,
    req: Request,
    *,
    pool: str = "",
    front: bool = False,
    on_time_share: float = 1.0,
) -> None:
    """Add a request to its queue, at the front if it returns after a failed attempt."""
    target_queue = _get_or_create_target_queue(queues, req.target, pool or req.target)
    name = req.service_class.name
    queue = target_queue.classes.get(name)
    if queue is None:
        queue = target_queue.classes[name] = ClassQueue(req.service_class, req.target)
    queue.service_class = req.service_class
    req.queued_cost = cost(req)
    queue.on_time[req.request_id] = req
    ids = queue.customers.setdefault(req.customer, CustomerQueue())
    ids.on_time[req.request_id] = None
    ids.work_ms += req.work_ms
    queue.work += req.queued_cost
    queue.work_ms += req.work_ms
    queues.index[req.request_id] = queue
    heappush(queues.deadlines, (req.deadline, req.request_id))
    if req.first_token_at is None:
        # A request whose answer has begun is never overdue: its first token is already sent.
        overdue_at = req.arrived_at + on_time_share * req.service_class.target_s
        heappush(queues.overdue_at, (overdue_at, req.request_id))
    if front:
        queue.on_time.move_to_end(req.request_id, last=False)
        ids.on_time.move_to_end(req.request_id, last=False)


def _get_or_create_target_queue(queues: QueueState, target: Target, pool: str) -> TargetQueue:
    target_queue = queues.targets.get(target)
    if target_queue is None:
        target_queue = queues.targets[target] = TargetQueue(pool)
        queues.pools.setdefault(pool, []).append(target)
    elif target_queue.pool != pool:
        # The settings moved the target to another service.
        queues.pools[target_queue.pool].remove(target)
        queues.pools.setdefault(pool, []).append(target)
        target_queue.pool = pool
    return target_queue


def remove(queues: QueueState, req: Request) -> None:
    """Remove a request from its queue."""
    queue = queues.index.pop(req.request_id, None)
    if queue is None:
        return
    ids = queue.customers[req.customer]
    ids.on_time.pop(req.request_id, None)
    ids.overdue.pop(req.request_id, None)
    ids.work_ms -= req.work_ms
    if not len(ids):
        del queue.customers[req.customer]
    if queue.overdue_requests.pop(req.request_id, None) is not None:
        queue.overdue_work = queue.overdue_work - req.queued_cost if queue.overdue_requests else 0.0
        overdue_ms = queue.overdue_work_ms - req.work_ms
        queue.overdue_work_ms = overdue_ms if queue.overdue_requests else 0.0
    else:
        del queue.on_time[req.request_id]
    # Zero if empty, so that rounding errors do not accumulate.
    queue.work = queue.work - req.queued_cost if len(queue) else 0.0
    queue.work_ms = queue.work_ms - req.work_ms if len(queue) else 0.0


def move_overdue(queues: QueueState, now: float) -> None:
    """Move requests that can no longer meet their target behind those that can.

    Prevents a burst from making nearly all requests overdue, each because it waits for overdue ones
    before it, although the servers could serve most of them in time.
    """
    while queues.overdue_at and queues.overdue_at[0][0] <= now:
        _, request_id = heappop(queues.overdue_at)
        queue = queues.index.get(request_id)
        if queue is None or request_id not in queue.on_time:
            continue
        mark_overdue(queues, queue.on_time[request_id])


def mark_overdue(queues: QueueState, req: Request) -> None:
    """Move a waiting request behind those that can still meet their target."""
    queue = queues.index[req.request_id]
    del queue.on_time[req.request_id]
    queue.overdue_requests[req.request_id] = req
    ids = queue.customers[req.customer]
    del ids.on_time[req.request_id]
    ids.overdue[req.request_id] = None
    queue.overdue_work += req.queued_cost
    queue.overdue_work_ms += req.work_ms


def is_overdue(queues: QueueState, req: Request) -> bool:
    """Return whether a request waits among those that can no longer meet their target."""
    queue = queues.index.get(req.request_id)
    return queue is not None and req.request_id in queue.overdue_requests


def waiting_count(queues: QueueState, target: Target, class_name: str) -> int:
    """Return the number of requests that wait for a target in a class."""
    target_queue = queues.targets.get(target)
    queue = target_queue.classes.get(class_name) if target_queue else None
    return len(queue) if queue else 0


def pool_of(queues: QueueState, target: Target) -> str | None:
    """Return the pool of a target, or None if no request has ever waited for it."""
    target_queue = queues.targets.get(target)
    return target_queue.pool if target_queue else None


def pool_queues(queues: QueueState, pool: str) -> Iterator[ClassQueue]:
    """Yield the nonempty queues of a pool."""
    for target in queues.pools.get(pool, ()):
        for queue in queues.targets[target].classes.values():
            if len(queue):
                yield queue


def target_classes(queues: QueueState, target: Target) -> Iterable[ClassQueue]:
    """Return all queues of a target, including empty ones."""
    target_queue = queues.targets.get(target)
    return target_queue.classes.values() if target_queue else ()


def has_waiting(queues: QueueState, pool: str) -> bool:
    """Return whether any request waits in a pool."""
    return any(True for _ in pool_queues(queues, pool))


def queues_in_order(queues: QueueState, pool: str) -> list[ClassQueue]:
    """Return the nonempty queues of a pool in the order in which they are served."""
    nonempty = list(pool_queues(queues, pool))
    nonempty.sort(key=_queue_order_key)
    return nonempty


def has_earned_next(queue: ClassQueue) -> bool:
    """Return whether a class has earned the cost of its next request, so that it is served next."""
    return queue.earned >= queue.head().queued_cost


def _queue_order_key(queue: ClassQueue) -> tuple[int, int, int, bool, float]:
    # Queues of the same tier are ordered by customer and then by age, after a preference for
    # requests on time.
    earned_order = 0 if has_earned_next(queue) else 1
    service_class = queue.service_class
    return (
        earned_order,
        service_class.priority,
        service_class.customer_priority,
        not queue.on_time,
        queue.head().arrived_at,
    )


def has_upper_waiting(queues: QueueState, pool: str, tier: int) -> bool:
    """Return whether a request of a more urgent tier waits in a pool."""
    return any(queue.service_class.priority < tier for queue in pool_queues(queues, pool))


def note_dispatched(queues: QueueState, queue: ClassQueue, req: Request) -> None:
    """Remove a request that was assigned to a server from its queue and update the earned shares.

    Every waiting class earns its share of each dispatch and goes first once it has earned the cost
    of its next request. Prevents starvation of less urgent classes by a class that never empties.
    """
    work = req.queued_cost
    if req.request_id in queue.overdue_requests:
        queue.overdue_earned = max(0.0, queue.overdue_earned - work)
    elif queue.overdue_requests:
        queue.overdue_earned += work * queue.service_class.assured_share
    remove(queues, req)
    if not queue.overdue_requests:
        queue.overdue_earned = 0.0
    queue.earned = max(0.0, queue.earned - work)
    if len(queue):
        # The cost of a request may have fallen since, as answers of its class became shorter.
        queue.earned = min(queue.earned, _EARNED_MAX * queue.head().queued_cost)
    pool = queues.targets[req.target].pool
    for target in queues.pools[pool]:
        for other in queues.targets[target].classes.values():
            if other is not queue:
                _add_earned_share(other, work)


def _add_earned_share(queue: ClassQueue, work: float) -> None:
    if not len(queue):
        # Prevents an idle class from accumulating a share for a later burst.
        queue.earned = 0.0
        return
    earned = queue.earned + work * queue.service_class.assured_share
    # Bounded, so that a class without a usable server does not accumulate a burst.
    queue.earned = min(earned, _EARNED_MAX * queue.head().queued_cost)


def expired(queues: QueueState, now: float) -> list[Request]:
    """Return the waiting requests whose deadline has passed, each once."""
    # By id, because a request that was queued again after a failed attempt has several entries.
    by_id: dict[RequestId, Request] = {}
    while queues.deadlines and queues.deadlines[0][0] <= now:
        _, request_id = heappop(queues.deadlines)
        queue = queues.index.get(request_id)
        if queue is not None:
            by_id[request_id] = queue.on_time.get(request_id) or queue.overdue_requests[request_id]
    return list(by_id.values())


def waiting_ids(queues: QueueState) -> list[RequestId]:
    """Return the ids of all waiting requests, for the state dump."""
    return list(queues.index)
