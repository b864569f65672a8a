"""The assured share of starved tiers at one dispatcher.

A tier that waits without a running attempt accrues slot seconds. With enough of them it gets an
assured slot, which no other tier may use. The slot consumes the accrued slot seconds and ends when
they are used up; an attempt that still runs may exceed them up to a limit.
Prevents the most urgent tier from starving lower tiers for as long as its demand lasts.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from turmericweir_core.base.tiers import tier_shares
from turmericweir_core.credits.credit_allocation import Capacity
from turmericweir_core.state.credit_state import NEVER, CreditLedger

if TYPE_CHECKING:
    from turmericweir_core.base.options import Options
    from turmericweir_core.state.state import State


def update_assured_tiers(
    state: State, now: float, ledger: CreditLedger, capacity: Capacity
) -> None:
    """Credit slot seconds to starved tiers, and charge them to tiers that have an assured slot."""
    options = state.options
    elapsed_s = min(1.0, now - ledger.settled_at) if ledger.settled_at != NEVER else 0.0
    shares = tier_shares(state.config)
    for tier in _active_tiers(ledger):
        accrued_slot_s = ledger.accrued_slot_s.get(tier, 0.0)
        waiting, running = _tier_totals(ledger, tier)
        if tier in ledger.assured_tiers:
            accrued_slot_s -= elapsed_s
        elif waiting and not running:
            accrued_slot_s += elapsed_s * capacity.slots * shares.get(tier, 0.0)
        ledger.accrued_slot_s[tier] = min(accrued_slot_s, 2.0 * options.credit_assured_s)
        _update_assured_tier(options, ledger, tier, bool(waiting), bool(running))


def _update_assured_tier(
    options: Options, ledger: CreditLedger, tier: int, has_waiting: bool, has_running: bool
) -> None:
    accrued_slot_s = ledger.accrued_slot_s[tier]
    if tier not in ledger.assured_tiers:
        if accrued_slot_s >= options.credit_assured_s:
            ledger.assured_tiers.add(tier)
        return
    # A running attempt may exceed the accrued slot seconds; its tier then has to accrue the debt.
    is_used_up = accrued_slot_s <= -options.credit_assured_debt_s or (
        accrued_slot_s <= 0.0 and not has_running
    )
    if is_used_up or not (has_waiting or has_running):
        ledger.assured_tiers.discard(tier)


def _active_tiers(ledger: CreditLedger) -> Iterable[int]:
    tiers = {tier for each in ledger.holdings.values() for tier in each.demand}
    return tiers | ledger.assured_tiers


def _tier_totals(ledger: CreditLedger, tier: int) -> tuple[int, int]:
    demands = [each.demand[tier] for each in ledger.holdings.values() if tier in each.demand]
    return sum(each.waiting for each in demands), sum(each.running for each in demands)
