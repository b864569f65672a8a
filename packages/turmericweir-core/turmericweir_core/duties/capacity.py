"""Order servers according to demand, as the holder of the duties' lease.

The demand comes from the load updates of all instances (`engine_pools`): milliseconds of an
engine's work per second, by service. It determines how many engines are needed, with room for
bursts. Additional engines are ordered at once; fewer are ordered only after the need has been lower
for some time. `capacity_plan` divides the number by kind and data centre. An order states a total,
so repeating the newest order corrects any delayed one.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import CapacityBounds, Service
from turmericweir_core.duties import capacity_plan, election
from turmericweir_core.duties.capacity_plan import PresentServers
from turmericweir_core.engines import engine_pools
from turmericweir_core.leases import lease_flow
from turmericweir_core.messages.effects import Count, Effect, Log, OrderServers
from turmericweir_core.messages.events import DutyAnswered, DutyOutcome
from turmericweir_core.state.duty_state import CapacityOrder, CapacityState, DutyState

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Interval between two evaluations.
_EVALUATION_INTERVAL_S: Final = 0.5
# Planned utilization of engines; the rest is for bursts and failed engines.
_TARGET_UTILIZATION: Final = 0.35
# Time for which the highest need is retained.
_NEED_RETENTION_S: Final = 15.0
# Time that a new holder observes the demand before it orders fewer servers.
_OBSERVATION_S: Final = 10.0
# Needed engines for each present server before any demand is known, if spot servers are used: the
# caches of new servers are empty.
_START_FACTOR: Final = 2.0
# Time beyond a server's boot time after which an unfulfilled order is repeated.
_ORDER_REPEAT_S: Final = 5.0
# Pause of orders for spot servers after the platform had none left.
_UNAVAILABLE_S: Final = 6.0
# Largest number of pending orders.
_PENDING_ORDERS_MAX: Final = 4
_MS_PER_S: Final = 1000.0

OrderSubject = tuple[str, str, bool]


def on_tick(state: State, now: float) -> list[Effect]:
    """Compare the present servers with the wanted ones, and order the difference."""
    capacity_state = _capacity(state)
    if not lease_flow.is_own_lease(state, election.SCOPE):
        capacity_state.tracked_since = None
        return []
    if now < capacity_state.next_check_at or state.servers.listed_at is None:
        return []
    capacity_state.next_check_at = now + _EVALUATION_INTERVAL_S
    if capacity_state.tracked_since is None:
        capacity_state.tracked_since = now
    effects: list[Effect] = []
    for service in state.config.services.values():
        if service.capacity is not None:
            effects += _evaluate_service(state, now, service, service.capacity)
    return effects


def _evaluate_service(
    state: State, now: float, service: Service, capacity: CapacityBounds
) -> list[Effect]:
    present = _present_servers(state, service, capacity)
    needed = _needed_engines(state, now, service, present)
    unavailable = frozenset(
        name for name in present if _is_unavailable(state, now, (service.name, name, True))
    )
    initial_counts = _capacity(state).initial_servers.setdefault(
        service.name,
        {name: servers.lasting + servers.spot for name, servers in present.items()},
    )
    wanted = capacity_plan.plan_servers(
        capacity, present, needed, initial_counts=initial_counts, unavailable=unavailable
    )
    effects: list[Effect] = []
    for name, servers in wanted.items():
        present_servers = present[name]
        for spot, wanted_count, present_count in (
            (True, servers.spot, present_servers.spot),
            (False, servers.lasting, present_servers.lasting),
        ):
            effects += _order_servers(
                state,
                now,
                capacity,
                (service.name, name, spot),
                wanted_count,
                present_count,
                needed,
            )
    return effects


def _present_servers(
    state: State, service: Service, capacity: CapacityBounds
) -> dict[str, PresentServers]:
    names = {listed.data_centre for listed in state.servers.listed.values()} & set(capacity.prices)
    counts = {name: [0, 0] for name in (names or capacity.prices)}
    for entry in state.servers.listed.values():
        if entry.service == service.name and not entry.leaving and entry.data_centre in counts:
            counts[entry.data_centre][entry.spot] += 1
    return {name: PresentServers(lasting, spot) for name, (lasting, spot) in sorted(counts.items())}


def count_servers(state: State, service: str, data_centre: str, *, spot: bool) -> tuple[int, int]:
    """Return the numbers of serving and of leaving servers of one kind."""
    leaving_flags = [
        entry.leaving
        for entry in state.servers.listed.values()
        if entry.service == service and entry.data_centre == data_centre and entry.spot is spot
    ]
    return leaving_flags.count(False), leaving_flags.count(True)


def _needed_engines(
    state: State, now: float, service: Service, present: dict[str, PresentServers]
) -> int:
    """Return the number of needed engines: the recent maximum, or the present ones at first."""
    capacity_state = _capacity(state)
    present_count = sum(servers.lasting + servers.spot for servers in present.values())
    work_ms = engine_pools.demand_ms_per_s(state, now, service.name)
    current_need = ceil(work_ms / (_MS_PER_S * _TARGET_UTILIZATION))
    initial_need = _initial_need(service, present_count) if not current_need else present_count
    recorded_need, recorded_at = capacity_state.recent_need.get(service.name, (initial_need, now))
    if current_need >= recorded_need or now - recorded_at >= _NEED_RETENTION_S:
        recorded_need, recorded_at = current_need, now
    if capacity_state.tracked_since is None or now - capacity_state.tracked_since < _OBSERVATION_S:
        recorded_need = max(
            recorded_need, capacity_state.recent_need.get(service.name, (recorded_need, now))[0]
        )
    capacity_state.recent_need[service.name] = (recorded_need, recorded_at)
    return recorded_need


def _initial_need(service: Service, present_count: int) -> int:
    has_spot = service.capacity is not None and service.capacity.spot_share is not None
    return ceil(_START_FACTOR * present_count) if has_spot else present_count


def _is_unavailable(state: State, now: float, subject: OrderSubject) -> bool:
    order = _capacity(state).orders.get(subject)
    return order is not None and now < order.unavailable_until


def _order_servers(
    state: State,
    now: float,
    capacity: CapacityBounds,
    subject: OrderSubject,
    count: int,
    present_count: int,
    needed: int,
) -> list[Effect]:
    capacity_state, duties = _capacity(state), _duties(state)
    previous = capacity_state.orders.get(subject)
    if previous is None and count == present_count:
        return []
    if previous is not None:
        if subject in capacity_state.calls_in_flight.values() or now < previous.unavailable_until:
            return []
        waited_s = now - previous.ordered_at
        is_done_or_recent = count == present_count or waited_s < capacity.boot_s + _ORDER_REPEAT_S
        if previous.count == count and previous.is_accepted and is_done_or_recent:
            return []
        if previous.count == count and waited_s < _EVALUATION_INTERVAL_S:
            return []
    lease = election.usable_lease(state, now)
    if lease is None:
        lease_flow.set_idle(state, election.SCOPE, is_idle=False)
        return []
    if len(capacity_state.calls_in_flight) >= _PENDING_ORDERS_MAX:
        return []
    duties.number += 1
    token = f"order-{duties.number}"
    capacity_state.calls_in_flight[token] = subject
    lease_flow.note_order_sent(state, now, election.SCOPE, token)
    capacity_state.orders[subject] = CapacityOrder(count, now)
    service, data_centre, spot = subject
    fields = {"service": service, "data_centre": data_centre, "spot": spot, "count": count}
    return [
        Log(
            "servers_ordered",
            {**fields, "present": present_count, "needed": needed, "fence": lease.fence},
        ),
        OrderServers(token, service, data_centre, count, spot, lease.fence, lease.expires_at),
    ]


def on_answered(state: State, now: float, event: DutyAnswered) -> list[Effect]:
    """Record the outcome of an order."""
    capacity_state = _capacity(state)
    subject = capacity_state.calls_in_flight.pop(event.token, None)
    if subject is None:
        return []
    order = capacity_state.orders[subject]
    order.is_accepted = event.outcome is DutyOutcome.DONE
    if event.outcome is DutyOutcome.NONE_LEFT:
        order.unavailable_until = now + _UNAVAILABLE_S
    service, data_centre, spot = subject
    fields = {"service": service, "data_centre": data_centre, "spot": spot, "count": order.count}
    outcome = {"outcome": event.outcome.value, "error": event.error}
    return [
        Log("order_answered", {**fields, **outcome}),
        Count(f"duty.order.{event.outcome.value}"),
    ]


def has_work(state: State) -> bool:
    """Return whether orders are pending or have to be repeated."""
    capacity_state = _capacity(state)
    return bool(capacity_state.calls_in_flight) or any(
        not order.is_accepted for order in capacity_state.orders.values()
    )


def _capacity(state: State) -> CapacityState:
    return _duties(state).capacity


def _duties(state: State) -> DutyState:
    assert state.duties is not None
    return state.duties
