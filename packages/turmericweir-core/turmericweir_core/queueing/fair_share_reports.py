"""Tell the instances what customers were served elsewhere, and what waits there.

An instance where customers compete, or whose requests wait for room, sends its shares to one other
instance, which sums up the reports and answers each with the total of all others. Where relays pass
on load updates (`load_relay`), each instance's relay does this, and the relays send each other the
sums of their groups; otherwise one instance, picked by hash, does it for all.

All of it is soft: a lost report is made up for by the next one, and without totals an instance
shares its own room among its own customers. An instance that does not answer is replaced by the
next by hash for some time, before membership drops it.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import Target
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import has_path, rendezvous_weight
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.fair_share_messages import (
    ClassShare,
    CustomerShare,
    ShareReport,
    ShareTotals,
)
from turmericweir_core.queueing import fair_share
from turmericweir_core.state import queue_state
from turmericweir_core.state.fair_share_state import ClassKey, PeerShares, ReportedShares
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.base.ids import InstanceName
    from turmericweir_core.state.state import State

_DUTY: Final = "shares"
_CUSTOMERS_MIN: Final = 2


def on_tick(state: State, now: float) -> list[Effect]:
    """Send the shares of this instance if a report is due."""
    if not state.options.fair_share.is_enabled:
        return []
    if len(state.config.customers) < _CUSTOMERS_MIN or not state.fair_shares.classes:
        return []
    shares = state.fair_shares
    if now < shares.next_report_at:
        return []
    plan = state.load_updates.plan
    # Half a tick less, since the next tick may be a little early.
    shares.next_report_at = now + _interval_s(state, now) - state.options.tick_s / 2
    fair_share.forget_idle(state, now)
    _forget_old_reports(state, now)
    if not plan.is_direct and plan.own_relay is None:
        report = ShareReport(_sum(state, now, None, is_group=True), is_group=True)
        _take_totals(state, now, _sum_reports(state, now, state.me.name))
        return _send(plan.other_relays, report) if report.classes else []
    rows = own_classes(state, now)
    if not rows:
        shares.asked_at = None
        return []
    summing = plan.own_relay or _summing_instance(state, now)
    if summing is None:
        return []
    if summing.name == state.me.name:
        _take_totals(state, now, _sum_reports(state, now, state.me.name))
        return []
    if shares.summed_by != summing.name or shares.asked_at is None:
        shares.summed_by, shares.asked_at = summing.name, now
    return _send([summing], ShareReport(rows))


def _interval_s(state: State, now: float) -> float:
    """Return the interval between reports, which bounds what the summing instance receives."""
    options = state.options.fair_share
    if not state.load_updates.plan.is_direct:
        return options.relayed_interval_s
    instances = len(membership.region_instances(state, now))
    return max(options.report_interval_s, options.report_interval_per_instance_s * instances)


def _send(members: list[Member], message: ShareReport | ShareTotals) -> list[Effect]:
    return [SendDatagram(each.name, each.peer_address, message) for each in members]


def _summing_instance(state: State, now: float) -> Member | None:
    """Return the instance that sums up the reports of the region."""
    shares = state.fair_shares
    if (
        shares.asked_at is not None
        and now - shares.asked_at > state.options.fair_share.sum_timeout_s
    ):
        shares.avoided = shares.summed_by
        shares.avoided_until = now + state.options.fair_share.sum_retry_s
        shares.asked_at = None
    candidates = [
        each
        for each in membership.region_instances(state, now)
        if each.name != shares.avoided or now >= shares.avoided_until
    ]
    return max(candidates, key=lambda each: rendezvous_weight(_DUTY, each.name), default=None)


# --- receiving -------------------------------------------------------------------------------


def on_report(state: State, now: float, sender: InstanceName, report: ShareReport) -> list[Effect]:
    """Keep a report, and answer its sender with the total of all others."""
    if not state.options.fair_share.is_enabled:
        return []
    state.fair_shares.reports[sender] = ReportedShares(now, report.classes, report.is_group)
    _take_totals(state, now, _sum_reports(state, now, state.me.name))
    member = membership.find_member(state, sender)
    if report.is_group or member is None:
        return []
    return _send([member], ShareTotals(_sum(state, now, sender)))


def on_totals(state: State, now: float, sender: InstanceName, totals: ShareTotals) -> None:
    """Take the total of all other instances."""
    if not state.options.fair_share.is_enabled:
        return
    if sender == state.fair_shares.summed_by:
        state.fair_shares.asked_at = None
    _take_totals(state, now, totals.classes)


def _take_totals(state: State, now: float, classes: list[ClassShare]) -> None:
    for each in classes:
        key = (Target(each.target), each.service_class)
        customers = {share.customer: share for share in each.customers}
        shares = fair_share.shares_of(state, key)
        shares.others = PeerShares(now, customers)
        own = {
            customer
            for queue in queue_state.target_classes(state.queues, key[0])
            if queue.service_class.name == key[1]
            for customer in queue.customers
        }
        waiting = own | {name for name, share in customers.items() if share.waiting}
        if len(waiting) >= _CUSTOMERS_MIN:
            fair_share.mark_contended(state, now, key)


def _forget_old_reports(state: State, now: float) -> None:
    valid_s = state.options.fair_share.report_valid_s
    reports = state.fair_shares.reports
    for name in [name for name, each in reports.items() if now - each.received_at > valid_s]:
        del reports[name]


# --- sums ------------------------------------------------------------------------------------


def own_classes(state: State, now: float) -> list[ClassShare]:
    """Return this instance's shares in the classes in which customers compete or wait."""
    rows: list[ClassShare] = []
    keys = {key for key in state.fair_shares.classes if fair_share.is_contended(state, now, key)}
    keys |= {
        (target, queue.service_class.name)
        for target in state.queues.targets
        for queue in queue_state.target_classes(state.queues, target)
        if len(queue)
    }
    for key in sorted(keys):
        customers = _own_customers(state, now, key)
        if customers:
            rows.append(_bounded(state, key, customers))
    return rows


def _own_customers(state: State, now: float, key: ClassKey) -> dict[str, CustomerShare]:
    shares = state.fair_shares.classes.get(key)
    window_s = state.options.fair_share.window_s
    customers = {
        name: CustomerShare(
            name, round(use.served_ms * exp((use.decayed_at - now) / window_s)), 0, 0
        )
        for name, use in (() if shares is None else shares.customers.items())
    }
    if not has_path(state, key[0]):
        # Requests that can't be sent from here must not keep others from the room.
        return customers
    for queue in queue_state.target_classes(state.queues, key[0]):
        if queue.service_class.name != key[1]:
            continue
        for name, ids in queue.customers.items():
            waiting = fair_share.waiting_for_room(queue, name)
            served_ms = customers[name].served_ms if name in customers else 0
            customers[name] = CustomerShare(name, served_ms, waiting, round(ids.work_ms))
    return customers


def _bounded(state: State, key: ClassKey, customers: dict[str, CustomerShare]) -> ClassShare:
    """Return a row with the customers that matter most: those that wait, then the most served."""
    ranked = sorted(
        customers.values(), key=lambda each: (each.waiting, each.served_ms), reverse=True
    )
    kept = ranked[: state.options.fair_share.reported_customers]
    return ClassShare(key[0], key[1], kept)


def _sum_reports(
    state: State, now: float, receiver: InstanceName, *, is_group: bool = False
) -> list[ClassShare]:
    """Return the sum of the reports of all but one; only of the own group for another relay."""
    totals: dict[ClassKey, dict[str, CustomerShare]] = {}
    valid_s = state.options.fair_share.report_valid_s
    for sender, report in state.fair_shares.reports.items():
        if sender == receiver or now - report.received_at > valid_s:
            continue
        if not (is_group and report.is_group):
            _add(totals, report.classes)
    return [_bounded(state, key, customers) for key, customers in totals.items()]


def _sum(
    state: State, now: float, receiver: InstanceName | None, *, is_group: bool = False
) -> list[ClassShare]:
    """Return the sum of this instance's shares and of the reports of all but the receiver."""
    totals: dict[ClassKey, dict[str, CustomerShare]] = {}
    _add(totals, own_classes(state, now))
    _add(totals, _sum_reports(state, now, receiver or state.me.name, is_group=is_group))
    return [_bounded(state, key, customers) for key, customers in totals.items()]


def _add(totals: dict[ClassKey, dict[str, CustomerShare]], classes: list[ClassShare]) -> None:
    for row in classes:
        customers = totals.setdefault((Target(row.target), row.service_class), {})
        for share in row.customers:
            before = customers.get(share.customer)
            if before is not None:
                share = CustomerShare(
                    share.customer,
                    before.served_ms + share.served_ms,
                    before.waiting + share.waiting,
                    before.waiting_ms + share.waiting_ms,
                )
            customers[share.customer] = share
