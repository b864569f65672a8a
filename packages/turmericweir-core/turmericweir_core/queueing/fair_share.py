"""Share the room of a class among its customers, by the work that each was served lately.

Each customer has a counter for each class of a target: the work served for it by all instances, in
milliseconds of an engine, divided by its weight and decayed over some seconds. Work is charged as
predicted when an attempt starts and corrected when it ends. Where requests of two customers wait,
the customer with the lowest counter goes first, so what one customer does not ask for goes to the
others, and a customer that asks for less than its share does not wait for one that asks for more.

A customer that was idle has a low counter. On its return the counter is lifted to a few requests
below the lowest one of those that wait, so that it saves up little.

Instances learn the counters and what waits elsewhere from `fair_share_reports`. A request is held
back here while requests of customers that were served less wait elsewhere for the same room.

Order between classes and who is refused are decided elsewhere (`queue_state`, `fair_admission`).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import heapify, heappop, heapreplace
from itertools import islice
from math import exp
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.request import Request, WaitReason
from turmericweir_core.messages.effects import Count, Effect
from turmericweir_core.messages.fair_share_messages import CustomerShare
from turmericweir_core.state import queue_state
from turmericweir_core.state.fair_share_state import Charge, ClassKey, ClassShares, CustomerUse
from turmericweir_core.state.queue_state import ClassQueue

if TYPE_CHECKING:
    from turmericweir_core.base.ids import AttemptId
    from turmericweir_core.state.state import State

_MS: Final = 1000.0
# Weight of the newest request in the averages of waits and of times in slots.
_NEWEST_WEIGHT: Final = 0.1
_OTHER_CUSTOMERS: Final = "others"
# A customer with less served work than this is forgotten.
_NEGLIGIBLE_MS: Final = 0.5
# Requests of one customer that are checked for whether they wait for room.
_CHECKED_REQUESTS_MAX: Final = 16


def key_of(req: Request) -> ClassKey:
    """Return the key of a request's class."""
    return req.target, req.service_class.name


def shares_of(state: State, key: ClassKey) -> ClassShares:
    """Return the shares of a class."""
    shares = state.fair_shares.classes.get(key)
    if shares is None:
        shares = state.fair_shares.classes[key] = ClassShares()
    return shares


def is_contended(state: State, now: float, key: ClassKey) -> bool:
    """Return whether customers compete in a class, here or with others elsewhere."""
    shares = state.fair_shares.classes.get(key)
    return shares is not None and now < shares.contended_until


# --- served work -----------------------------------------------------------------------------


def note_started(state: State, now: float, req: Request, attempt_id: AttemptId) -> None:
    """Charge the predicted work of an attempt to its customer."""
    if not req.customer or not state.options.fair_share.is_enabled:
        return
    key = key_of(req)
    prefill_ms = max(0.0, req.work_ms - req.slot_work_ms)
    charge = Charge(key, req.customer, prefill_ms, req.slot_work_ms)
    state.fair_shares.charges[attempt_id] = charge
    use = _use_of(state, now, key, req.customer)
    use.served_ms += charge.prefill_ms + charge.slot_ms
    use.wait_s += _NEWEST_WEIGHT * (now - req.arrived_at - use.wait_s)


def estimate_work(state: State, req: Request) -> None:
    """Take the work of a request without a prompt as that of others of its class."""
    if not req.prompt_tokens and state.options.fair_share.is_enabled:
        shares = state.fair_shares.classes.get(key_of(req))
        req.slot_work_ms = 0.0 if shares is None else shares.slot_ms


def note_ended(
    state: State, now: float, attempt_id: AttemptId, slot_s: float | None, slots: int
) -> None:
    """Correct the charge of an attempt by the time that it held a slot; None if it never ran."""
    charge = state.fair_shares.charges.pop(attempt_id, None)
    if charge is None:
        return
    use = _use_of(state, now, charge.key, charge.customer)
    if slot_s is None:
        correction_ms = -charge.prefill_ms - charge.slot_ms
    else:
        slot_ms = slot_s * _MS / max(1, slots)
        shares = shares_of(state, charge.key)
        shares.slot_ms += _NEWEST_WEIGHT * (slot_ms - shares.slot_ms)
        correction_ms = slot_ms - charge.slot_ms
    use.served_ms = max(0.0, use.served_ms + correction_ms)


def _use_of(state: State, now: float, key: ClassKey, customer: str) -> CustomerUse:
    """Return a customer's use of a class, decayed to the current time."""
    shares = shares_of(state, key)
    use = shares.customers.get(customer)
    if use is None:
        if len(shares.customers) >= state.options.fair_share.kept_customers:
            _forget_least_served(shares)
        use = shares.customers[customer] = CustomerUse(now)
    factor = exp((use.decayed_at - now) / state.options.fair_share.window_s)
    use.served_ms *= factor
    use.lifted_ms *= factor
    use.decayed_at = now
    return use


def _forget_least_served(shares: ClassShares) -> None:
    least = min(shares.customers, key=lambda each: shares.customers[each].served_ms)
    del shares.customers[least]


def served_ms(state: State, now: float, key: ClassKey, customer: str) -> float:
    """Return the work that all instances served for a customer lately, milliseconds."""
    shares = state.fair_shares.classes.get(key)
    if shares is None:
        return 0.0
    total_ms = 0.0
    window_s = state.options.fair_share.window_s
    use = shares.customers.get(customer)
    if use is not None:
        total_ms += use.served_ms * exp((use.decayed_at - now) / window_s)
    others = shares.others
    if others is not None and customer in others.customers:
        factor = exp((others.received_at - now) / window_s)
        total_ms += others.customers[customer].served_ms * factor
    return total_ms


def counter(state: State, now: float, key: ClassKey, customer: str) -> float:
    """Return the counter by which customers are ordered: the lowest goes first."""
    shares = state.fair_shares.classes.get(key)
    use = None if shares is None else shares.customers.get(customer)
    lifted_ms = 0.0
    if use is not None:
        lifted_ms = use.lifted_ms * exp((use.decayed_at - now) / state.options.fair_share.window_s)
    return served_ms(state, now, key, customer) / weight_of(state, customer) + lifted_ms


def weight_of(state: State, customer: str) -> float:
    """Return the weight of a customer."""
    settings = state.config.customers.get(customer)
    return 1.0 if settings is None else settings.weight


# --- what waits ------------------------------------------------------------------------------


def note_waiting(state: State, now: float, req: Request) -> None:
    """Note a request that was just queued: whether customers compete, and where it stands."""
    queue = state.queues.index.get(req.request_id)
    if queue is None or not req.customer or not state.options.fair_share.is_enabled:
        return
    key = key_of(req)
    others = waiting_elsewhere(state, now, key)
    if len(queue.customers) < 2 and not any(each != req.customer for each in others):
        return
    mark_contended(state, now, key)
    _lift(state, now, req, queue, others)


def meets_others(state: State, now: float, req: Request) -> bool:
    """Return whether a new request competes with those of other customers."""
    key = key_of(req)
    if not req.customer or not state.options.fair_share.is_enabled:
        return False
    return is_contended(state, now, key) or any(
        each != req.customer for each in waiting_customers(state, now, key)
    )


def waiting_customers(state: State, now: float, key: ClassKey) -> set[str]:
    """Return the customers whose requests wait in a class, here or elsewhere."""
    waiting = set(waiting_elsewhere(state, now, key))
    for queue in queue_state.target_classes(state.queues, key[0]):
        if queue.service_class.name == key[1]:
            waiting |= set(queue.customers)
    return waiting


def mark_contended(state: State, now: float, key: ClassKey) -> None:
    """Note that customers compete in a class."""
    contended_until = now + state.options.fair_share.contended_s
    shares_of(state, key).contended_until = contended_until


def _lift(
    state: State, now: float, req: Request, queue: ClassQueue, others: dict[str, CustomerShare]
) -> None:
    """Lift the counter of a customer that was served much less than all others that wait."""
    key = key_of(req)
    lowest = min(
        (
            counter(state, now, key, each)
            for each in {*queue.customers, *others}
            if each != req.customer
        ),
        default=0.0,
    )
    credit = state.options.fair_share.credit_requests * req.work_ms / weight_of(state, req.customer)
    missing = lowest - credit - counter(state, now, key, req.customer)
    if missing > 0.0:
        _use_of(state, now, key, req.customer).lifted_ms += missing


def waiting_elsewhere(state: State, now: float, key: ClassKey) -> dict[str, CustomerShare]:
    """Return the customers whose requests wait for room at other instances."""
    shares = state.fair_shares.classes.get(key)
    others = None if shares is None else shares.others
    if others is None or now - others.received_at > state.options.fair_share.report_valid_s:
        return {}
    return {name: each for name, each in others.customers.items() if each.waiting}


def waiting_for_room(queue: ClassQueue, customer: str) -> int:
    """Count the requests of a customer that wait for room and for nothing else."""
    return sum(
        each.wait_reason in (WaitReason.NO_ROOM, WaitReason.SHARE)
        for each in islice(queue.waiting_of(customer), _CHECKED_REQUESTS_MAX)
    )


def first_in_order(
    state: State, now: float, queue: ClassQueue, max_count: int
) -> Iterable[Request]:
    """Return the first waiting requests of a class in the order in which they are served."""
    if len(queue.customers) < 2 or not state.options.fair_share.is_enabled:
        return queue.first_in_order(max_count)
    return queue_state.choose_first(_in_fair_order(state, now, queue), max_count)


def _in_fair_order(state: State, now: float, queue: ClassQueue) -> Iterator[Request]:
    """Yield the waiting requests, each time of the customer with the lowest counter."""
    key = (queue.target, queue.service_class.name)
    heap = [
        (counter(state, now, key, customer), customer, queue.waiting_of(customer))
        for customer in queue.customers
    ]
    heapify(heap)
    while heap:
        value, customer, requests = heap[0]
        req = next(requests, None)
        if req is None:
            heappop(heap)
            continue
        yield req
        heapreplace(heap, (value + req.work_ms / weight_of(state, customer), customer, requests))


def count_ahead(state: State, now: float, req: Request) -> int:
    """Count the requests at other instances that go before a request here.

    A customer's requests count only until its counter would reach that of this request's customer.
    """
    if not req.customer:
        return 0
    key = key_of(req)
    others = waiting_elsewhere(state, now, key)
    if not others:
        return 0
    own = counter(state, now, key, req.customer)
    ahead = 0
    for customer, share in others.items():
        if customer != req.customer:
            work_ms = share.waiting_ms / share.waiting
            lead = (own - counter(state, now, key, customer)) * weight_of(state, customer)
            ahead += min(share.waiting, max(0, int(lead / max(1.0, work_ms))))
    return ahead


# --- shares ----------------------------------------------------------------------------------


def work_ahead_ms(state: State, now: float, req: Request, queue: ClassQueue | None) -> float:
    """Return the work of its class that is served before a new request, here and elsewhere."""
    key = key_of(req)
    customers = {} if queue is None else queue.customers
    others = waiting_elsewhere(state, now, key)
    own_ms = customers[req.customer].work_ms if req.customer in customers else 0.0
    weight = weight_of(state, req.customer)
    turn = counter(state, now, key, req.customer) + (own_ms + req.work_ms) / weight
    total_ms = own_ms
    for customer in {*customers, *others} - {req.customer}:
        waiting_ms = 0.0 if customer not in customers else customers[customer].work_ms
        waiting_ms += 0.0 if customer not in others else others[customer].waiting_ms
        lead_ms = (turn - counter(state, now, key, customer)) * weight_of(state, customer)
        total_ms += min(waiting_ms, max(0.0, lead_ms))
    return total_ms


def share_ms(state: State, now: float, req: Request, capacity_ms_s: float) -> float:
    """Return the work that an equal share of the servers would be for a request's customer."""
    names = competitors(state, now, key_of(req)) | {req.customer}
    total_weight = sum(weight_of(state, each) for each in names)
    weight = weight_of(state, req.customer)
    return capacity_ms_s * state.options.fair_share.window_s * weight / total_weight


def is_over_share(state: State, now: float, req: Request, capacity_ms_s: float) -> bool:
    """Return whether a customer was served more than its share and than the mean."""
    key = key_of(req)
    own_ms = served_ms(state, now, key, req.customer)
    if own_ms <= share_ms(state, now, req, capacity_ms_s):
        return False
    counters = {
        customer: counter(state, now, key, customer)
        for customer in {*competitors(state, now, key), req.customer}
    }
    mean = sum(counters.values()) / len(counters)
    return counters[req.customer] > mean + req.work_ms / weight_of(state, req.customer)


def must_leave_headroom(state: State, now: float, req: Request, capacity_ms_s: float) -> bool:
    """Return whether a request leaves a slot free for customers that were served less."""
    key = key_of(req)
    if not req.customer or not is_contended(state, now, key):
        return False
    return is_over_share(state, now, req, capacity_ms_s)


def is_most_served(state: State, now: float, req: Request) -> bool:
    """Return whether no customer that waits was served more than a request's customer."""
    key = key_of(req)
    waiting = waiting_customers(state, now, key)
    own = counter(state, now, key, req.customer) + req.work_ms / weight_of(state, req.customer)
    return all(counter(state, now, key, each) <= own for each in waiting)


def note_refused(state: State, now: float, req: Request) -> list[Effect]:
    """Count a refusal for want of room; its customer goes on competing."""
    key = key_of(req)
    _use_of(state, now, key, req.customer).refused += 1
    others = competitors(state, now, key) - {req.customer}
    if sum(served_ms(state, now, key, each) for each in others) >= req.work_ms:
        mark_contended(state, now, key)
    return [Count(f"share.refused.{_counted_name(state, req.customer)}")]


def note_dropped(state: State, now: float, req: Request) -> list[Effect]:
    """Count a waiting request that ended for a customer that was served less."""
    _use_of(state, now, key_of(req), req.customer).refused += 1
    return [Count(f"share.dropped.{_counted_name(state, req.customer)}")]


def _counted_name(state: State, customer: str) -> str:
    """Return the name under which a customer is counted, which bounds the number of metrics."""
    counted = state.fair_shares.counted_customers
    if customer not in counted and len(counted) >= state.options.fair_share.counted_customers:
        return _OTHER_CUSTOMERS
    counted.add(customer)
    return customer


class CustomerRow(Struct, frozen=True):
    """A customer in one class, for operators."""

    target: str
    service_class: str
    customer: str
    weight: float
    # Whether customers compete in the class now.
    competing: bool
    # Share of the work of all customers that all instances served lately.
    served_share: float
    # Requests that wait, here and elsewhere.
    waiting: int
    waiting_elsewhere: int
    # Average wait, and refusals since the start, at this instance.
    wait_ms: int
    refused: int


def describe(state: State, now: float) -> list[CustomerRow]:
    """Return what the customers of each class are served, wait and are refused, for operators."""
    rows: list[CustomerRow] = []
    for key, shares in sorted(state.fair_shares.classes.items()):
        names = sorted(competitors(state, now, key) | set(shares.customers))
        served = {name: served_ms(state, now, key, name) for name in names}
        total_ms = sum(served.values()) or 1.0
        elsewhere = waiting_elsewhere(state, now, key)
        for name in names:
            use = shares.customers.get(name) or CustomerUse(now)
            rows.append(
                CustomerRow(
                    target=key[0],
                    service_class=key[1],
                    customer=name,
                    weight=weight_of(state, name),
                    competing=is_contended(state, now, key),
                    served_share=round(served[name] / total_ms, 3),
                    waiting=_waiting_here(state, key, name),
                    waiting_elsewhere=elsewhere[name].waiting if name in elsewhere else 0,
                    wait_ms=round(use.wait_s * _MS),
                    refused=use.refused,
                )
            )
    return rows


def _waiting_here(state: State, key: ClassKey, customer: str) -> int:
    return sum(
        len(queue.customers[customer])
        for queue in queue_state.target_classes(state.queues, key[0])
        if queue.service_class.name == key[1] and customer in queue.customers
    )


def competitors(state: State, now: float, key: ClassKey) -> set[str]:
    """Return the customers of a class that were served lately or wait, here or elsewhere."""
    shares = state.fair_shares.classes.get(key)
    if shares is None:
        return set()
    names = {name for name, use in shares.customers.items() if use.served_ms > _NEGLIGIBLE_MS}
    for queue in queue_state.target_classes(state.queues, key[0]):
        if queue.service_class.name == key[1]:
            names |= set(queue.customers)
    return names | (set(shares.others.customers) if shares.others is not None else set())


def most_over_share(state: State, now: float, req: Request, queue: ClassQueue) -> Request | None:
    """Return the newest waiting request of the customer that was served most, to give way.

    None if that customer was not served more than the request's, or none of its requests can end
    without having run.
    """
    key = key_of(req)
    own = counter(state, now, key, req.customer)
    ranked = sorted(
        (
            (counter(state, now, key, each), each)
            for each in queue.customers
            if each != req.customer
        ),
        reverse=True,
    )
    for value, customer in ranked:
        if value <= own + req.work_ms / weight_of(state, req.customer):
            return None
        newest = queue.newest_of(customer)
        if newest is not None and not newest.may_have_run:
            return newest
    return None


def forget_idle(state: State, now: float) -> None:
    """Forget customers that were served nothing lately."""
    for key, shares in list(state.fair_shares.classes.items()):
        for customer in list(shares.customers):
            use = _use_of(state, now, key, customer)
            if use.served_ms < _NEGLIGIBLE_MS and use.lifted_ms < _NEGLIGIBLE_MS:
                del shares.customers[customer]
        if not shares.customers and now >= shares.contended_until:
            del state.fair_shares.classes[key]
