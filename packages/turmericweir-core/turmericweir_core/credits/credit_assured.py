"""The assured share of crowded-out tiers at one dispatcher.

They save up slot seconds. Failure without it: the most urgent tier takes every slot for as long as
its demand lasts, and a lower class that has no traffic of an upper one on its own instance waits
for ever. With it, such a tier gets a slot of its own, which no other tier may use, once it has
saved enough for one, and keeps it until what runs there has ended.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from turmericweir_core.base.tiers import tier_shares
from turmericweir_core.credits.credit_allocation import Capacity
from turmericweir_core.state.credit_state import NEVER, Ledger

if TYPE_CHECKING:
    from turmericweir_core.base.options import Options
    from turmericweir_core.state.state import State


def save_up(state: State, now: float, ledger: Ledger, capacity: Capacity) -> None:
    """Let crowded-out tiers earn slot seconds, and those that have a slot pay for it."""
    options = state.options
    elapsed = min(1.0, now - ledger.settled_at) if ledger.settled_at != NEVER else 0.0
    shares = tier_shares(state.config)
    for tier in _tiers(ledger):
        saved = ledger.saved.get(tier, 0.0)
        waiting, running = _tier_totals(ledger, tier)
        if tier in ledger.assured:
            saved -= elapsed
        elif waiting and not running:
            saved += elapsed * capacity.slots * shares.get(tier, 0.0)
        ledger.saved[tier] = min(saved, 2.0 * options.credit_assured_s)
        _set_assured(options, ledger, tier, bool(waiting), bool(running))


def _set_assured(options: Options, ledger: Ledger, tier: int, waiting: bool, running: bool) -> None:
    saved = ledger.saved[tier]
    if tier not in ledger.assured:
        if saved >= options.credit_assured_s:
            ledger.assured.add(tier)
        return
    # What runs on the slot may end there; its tier is in debt then and saves up anew.
    ends = saved <= -options.credit_assured_debt_s or (saved <= 0.0 and not running)
    if ends or not (waiting or running):
        ledger.assured.discard(tier)


def _tiers(ledger: Ledger) -> Iterable[int]:
    tiers = {tier for each in ledger.holdings.values() for tier in each.demand}
    return tiers | ledger.assured


def _tier_totals(ledger: Ledger, tier: int) -> tuple[int, int]:
    demands = [each.demand[tier] for each in ledger.holdings.values() if tier in each.demand]
    return sum(each.waiting for each in demands), sum(each.running for each in demands)
