"""Requests that wait at this instance, by target and class.

A waiting request is bound to a server as late as possible: nobody knows how long an answer will
run, so binding early would leave requests behind a long answer while another server idles.

Targets that share servers make up a *pool* (the service that serves them), and order is kept over
the whole pool. It is strict by tier, with one exception that keeps the lowest class alive: each
class earns its assured share of everything dispatched in the pool while it waits, and is served
out of turn when it has earned the cost of one request. Upper classes pay with delay only.

No operation looks at all that waits: queues are ordered by insertion and indexed by request id,
deadlines stand in a heap, and the waiting work is kept as a running sum.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from itertools import chain, islice

from msgspec import Struct, field

from turmericweir_core.base.config import ServiceClass
from turmericweir_core.base.ids import RequestId, Target
from turmericweir_core.base.request import Request


class ClassQueue(Struct):
    """Waiting requests of one class for one target: on time, first come first, and late ones."""

    service_class: ServiceClass
    target: Target
    # Requests that can still meet their target, and those that no longer can, behind them.
    on_time: OrderedDict[RequestId, Request] = field(default_factory=OrderedDict)
    late: OrderedDict[RequestId, Request] = field(default_factory=OrderedDict)
    # Sum of the costs of what waits, and of the late part of it.
    work: float = 0.0
    late_work: float = 0.0
    # Work that the late ones have earned of what their class was served.
    late_earned: float = 0.0
    # Work that this class has earned and not yet used, in the unit of `cost`.
    earned: float = 0.0

    def head(self) -> Request:
        """Give the request that is served next; the queue must not be empty.

        Failure without a turn for the late ones: a class that bursts for long is served at the
        edge of its target, and those behind wait until their deadlines.
        """
        first_late = next(iter(self.late.values()), None)
        if first_late is not None and self.late_earned >= first_late.queued_cost:
            return first_late
        return next(iter(self.on_time.values()), first_late) or self._empty()

    def _empty(self) -> Request:
        raise LookupError(f"no {self.service_class.name} request waits for {self.target}")

    def __len__(self) -> int:
        """Count what waits."""
        return len(self.on_time) + len(self.late)

    def waiting(self) -> Iterator[Request]:
        """Yield what waits, about the oldest first: the late ones came before the others."""
        yield from self.late.values()
        yield from self.on_time.values()

    def in_turn(self, most: int) -> list[Request]:
        """List the first few in the order in which they are served."""
        return list(islice(chain(self.on_time.values(), self.late.values()), most))

    def oldest_at(self) -> float:
        """Give the arrival of the request that waits for longest; none must be missing."""
        return next(self.waiting()).arrived

    def late_ends(self) -> list[tuple[Request, float]]:
        """Give the first and the last of the late ones, each with the late work before it."""
        if not self.late:
            return []
        first = next(iter(self.late.values()))
        last = next(reversed(self.late.values()))
        ends = [(first, 0.0)]
        if last is not first:
            ends.append((last, self.late_work - last.queued_cost))
        return ends

    def newest(self) -> Request:
        """Give the last one to be served: the newest of the late ones, if there are any."""
        return next(reversed((self.late or self.on_time).values()))


class TargetQueue(Struct):
    """Everything that waits for one target, by class name."""

    pool: str
    classes: dict[str, ClassQueue] = field(default_factory=dict)


class QueueState(Struct):
    """All waiting requests of an instance."""

    targets: dict[Target, TargetQueue] = field(default_factory=dict)
    # Targets by pool.
    pools: dict[str, list[Target]] = field(default_factory=dict)
    # Where each waiting request stands.
    index: dict[RequestId, ClassQueue] = field(default_factory=dict)
    # Deadlines, earliest first; entries of requests that no longer wait are skipped.
    deadlines: list[tuple[float, RequestId]] = field(default_factory=list)
    # The same with the times from which on a request can no longer meet its target.
    late_at: list[tuple[float, RequestId]] = field(default_factory=list)


def cost(req: Request) -> float:
    """Give the work that is left of a request: tokens for a model, one for a plain call."""
    return max(1.0, req.predicted_tokens - req.delivered)


def enqueue(
    queues: QueueState,
    req: Request,
    *,
    pool: str = "",
    front: bool = False,
    on_time_share: float = 1.0,
) -> None:
    """Let a request wait; one that goes back after a failed attempt waits at the front."""
    held = _target_queue(queues, req.target, pool or req.target)
    name = req.service_class.name
    queue = held.classes.get(name)
    if queue is None:
        queue = held.classes[name] = ClassQueue(req.service_class, req.target)
    queue.service_class = req.service_class
    req.queued_cost = cost(req)
    queue.on_time[req.request_id] = req
    queue.work += req.queued_cost
    queues.index[req.request_id] = queue
    heappush(queues.deadlines, (req.deadline, req.request_id))
    if req.first_token_at is None:
        # What has begun has met its target or not; it goes on as soon as may be.
        late_at = req.arrived + on_time_share * req.service_class.target_s
        heappush(queues.late_at, (late_at, req.request_id))
    if front:
        queue.on_time.move_to_end(req.request_id, last=False)


def _target_queue(queues: QueueState, target: Target, pool: str) -> TargetQueue:
    held = queues.targets.get(target)
    if held is None:
        held = queues.targets[target] = TargetQueue(pool)
        queues.pools.setdefault(pool, []).append(target)
    elif held.pool != pool:
        # The settings moved the target to another service.
        queues.pools[held.pool].remove(target)
        queues.pools.setdefault(pool, []).append(target)
        held.pool = pool
    return held


def remove(queues: QueueState, req: Request) -> None:
    """Take a request out of its queue, wherever it stands."""
    queue = queues.index.pop(req.request_id, None)
    if queue is None:
        return
    if queue.late.pop(req.request_id, None) is not None:
        queue.late_work = queue.late_work - req.queued_cost if queue.late else 0.0
    else:
        del queue.on_time[req.request_id]
    # Set to zero when empty, so that rounding errors do not add up over days.
    queue.work = queue.work - req.queued_cost if len(queue) else 0.0


def move_late(queues: QueueState, now: float) -> None:
    """Put what can no longer meet its target behind what can.

    Failure: a class bursts, and first come first served has each request wait for those before it
    until it is late itself; from then on nearly none is in time, though the servers could serve
    most of them in time.
    """
    while queues.late_at and queues.late_at[0][0] <= now:
        _, request_id = heappop(queues.late_at)
        queue = queues.index.get(request_id)
        if queue is None or request_id not in queue.on_time:
            continue
        req = queue.on_time.pop(request_id)
        queue.late[request_id] = req
        queue.late_work += req.queued_cost


def waiting_count(queues: QueueState, target: Target, class_name: str) -> int:
    """Count what waits for a target in a class."""
    held = queues.targets.get(target)
    queue = held.classes.get(class_name) if held else None
    return len(queue) if queue else 0


def pool_of(queues: QueueState, target: Target) -> str | None:
    """Name the pool of a target, or give None where nothing has ever waited for it."""
    held = queues.targets.get(target)
    return held.pool if held else None


def pool_queues(queues: QueueState, pool: str) -> Iterator[ClassQueue]:
    """Yield the queues of a pool in which something waits."""
    for target in queues.pools.get(pool, ()):
        for queue in queues.targets[target].classes.values():
            if len(queue):
                yield queue


def target_classes(queues: QueueState, target: Target) -> Iterable[ClassQueue]:
    """Give the queues of a target, empty ones as well."""
    held = queues.targets.get(target)
    return held.classes.values() if held else ()


def anything_waits(queues: QueueState, pool: str) -> bool:
    """Tell whether anything waits in a pool."""
    return any(True for _ in pool_queues(queues, pool))


def in_order(queues: QueueState, pool: str) -> list[ClassQueue]:
    """List the queues of a pool with waiting requests in the order in which they are served."""
    nonempty = list(pool_queues(queues, pool))
    nonempty.sort(key=_turn)
    return nonempty


def is_owed(queue: ClassQueue) -> bool:
    """Tell whether a class has earned its next request out of turn."""
    return queue.earned >= queue.head().queued_cost


def _turn(queue: ClassQueue) -> tuple[int, int, bool, float]:
    # Queues of one tier, for different targets, go by age, those with requests on time first.
    owed = 0 if is_owed(queue) else 1
    return (owed, queue.service_class.priority, not queue.on_time, queue.head().arrived)


def upper_waits(queues: QueueState, pool: str, tier: int) -> bool:
    """Tell whether a more urgent tier waits in a pool."""
    return any(each.service_class.priority < tier for each in pool_queues(queues, pool))


def note_dispatched(queues: QueueState, queue: ClassQueue, req: Request) -> None:
    """Take a request that was bound to a server off its queue and settle the shares.

    Failure: an upper class that never runs dry leaves a strict order no turn for the lower ones,
    whose callers wait until their deadlines. Every class that waits therefore earns its share of
    each dispatch, and once it has earned its next request it goes first. This is enough as the
    earnings grow with every dispatch, so any waiting class gets its turn after finite work.
    """
    work = req.queued_cost
    if req.request_id in queue.late:
        queue.late_earned = max(0.0, queue.late_earned - work)
    elif queue.late:
        queue.late_earned += work * queue.service_class.assured_share
    remove(queues, req)
    if not queue.late:
        queue.late_earned = 0.0
    queue.earned = max(0.0, queue.earned - work)
    pool = queues.targets[req.target].pool
    for target in queues.pools[pool]:
        for other in queues.targets[target].classes.values():
            if other is not queue:
                _earn(other, work)


def _earn(queue: ClassQueue, work: float) -> None:
    if not len(queue):
        # A share is for those who wait; saving it up would let an idle class burst later.
        queue.earned = 0.0
        return
    earned = queue.earned + work * queue.service_class.assured_share
    # One turn at a time: a class that cannot be placed does not gather a burst of turns.
    queue.earned = min(earned, 2.0 * queue.head().queued_cost)


def expired(queues: QueueState, now: float) -> list[Request]:
    """List waiting requests whose deadline has passed, each once."""
    # By id: one that was queued anew after a failed attempt has an entry for each time.
    found: dict[RequestId, Request] = {}
    while queues.deadlines and queues.deadlines[0][0] <= now:
        _, request_id = heappop(queues.deadlines)
        queue = queues.index.get(request_id)
        if queue is not None:
            found[request_id] = queue.on_time.get(request_id) or queue.late[request_id]
    return list(found.values())


def waiting_ids(queues: QueueState) -> list[RequestId]:
    """List the ids of everything that waits, for the state dump."""
    return list(queues.index)
