"""Requests that wait at this instance, by target and class.

A waiting request is bound to a server as late as possible: nobody knows how long an answer will
run, so binding early would leave requests behind a long answer while another server idles.

Order between classes is strict by tier, with one exception that keeps the lowest class alive: each
class earns its assured share of everything dispatched for the target while it waits, and is
served out of turn when it has earned the cost of one request. Upper classes pay with delay only.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from turmericweir_core.config import ServiceClass
from turmericweir_core.ids import RequestId, Target
from turmericweir_core.request import Request


@dataclass(slots=True)
class ClassQueue:
    """Waiting requests of one class for one target, first come first."""

    service_class: ServiceClass
    waiting: deque[Request] = field(default_factory=deque)
    # Work that this class has earned and not yet used, in the unit of `cost`.
    earned: float = 0.0


@dataclass(slots=True)
class TargetQueue:
    """Everything that waits for one target, by class name."""

    classes: dict[str, ClassQueue] = field(default_factory=dict)


@dataclass(slots=True)
class QueueState:
    """All waiting requests of an instance."""

    targets: dict[Target, TargetQueue] = field(default_factory=dict)


def cost(req: Request) -> float:
    """Give the work that a request stands for: tokens for a model, one for a plain call."""
    return max(1.0, req.predicted_tokens)


def enqueue(queues: QueueState, req: Request, *, front: bool = False) -> None:
    """Let a request wait; one that goes back after a failed attempt waits at the front."""
    target = queues.targets.setdefault(req.target, TargetQueue())
    name = req.service_class.name
    queue = target.classes.get(name)
    if queue is None:
        queue = target.classes[name] = ClassQueue(req.service_class)
    queue.service_class = req.service_class
    if front:
        queue.waiting.appendleft(req)
    else:
        queue.waiting.append(req)


def remove(queues: QueueState, req: Request) -> None:
    """Take a request out of its queue, wherever it stands."""
    target = queues.targets.get(req.target)
    queue = target.classes.get(req.service_class.name) if target else None
    if queue is None:
        return
    try:
        queue.waiting.remove(req)
    except ValueError:
        return


def waiting_count(queues: QueueState, target: Target, class_name: str) -> int:
    """Count what waits for a target in a class."""
    held = queues.targets.get(target)
    queue = held.classes.get(class_name) if held else None
    return len(queue.waiting) if queue else 0


def in_order(target: TargetQueue) -> list[ClassQueue]:
    """List the classes with waiting requests in the order in which they are served."""
    nonempty = [queue for queue in target.classes.values() if queue.waiting]
    nonempty.sort(key=_turn)
    return nonempty


def _turn(queue: ClassQueue) -> tuple[int, int]:
    owed = queue.earned >= cost(queue.waiting[0])
    return (0 if owed else 1, queue.service_class.priority)


def note_dispatched(target: TargetQueue, queue: ClassQueue, req: Request) -> None:
    """Take a request that was bound to a server off its queue and settle the shares."""
    queue.waiting.popleft()
    work = cost(req)
    queue.earned = max(0.0, queue.earned - work)
    for other in target.classes.values():
        if other is queue:
            continue
        if other.waiting:
            other.earned += work * other.service_class.assured_share
        else:
            # A share is for those who wait; saving it up would let an idle class burst later.
            other.earned = 0.0


def expired(queues: QueueState, now: float) -> Iterator[Request]:
    """Yield waiting requests whose deadline has passed."""
    for target in queues.targets.values():
        for queue in target.classes.values():
            for req in queue.waiting:
                if now >= req.deadline:
                    yield req


def waiting_ids(queues: QueueState) -> list[RequestId]:
    """List the ids of everything that waits, for the state dump."""
    return [
        req.request_id
        for target in queues.targets.values()
        for queue in target.classes.values()
        for req in queue.waiting
    ]
