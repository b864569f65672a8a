"""Lend parts of the burst to instances that get more callers, or more failures, than others.

The burst is divided equally (`retry_shares`), whatever callers do. An instance whose retries will
not last asks the others in turn, and each lends what it does not need itself, also less than a
whole one. What is lent counts at the lender until a window after the borrower may have used it
last. So the sum over all instances stays within the budget, also if a message is lost or an
instance ends; what is lost is not used by anybody.

Nothing is asked for while no retries are made, so calm days cost no messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.membership import loan_asks, membership
from turmericweir_core.messages.effects import Count, Effect, SendDatagram
from turmericweir_core.messages.loan_messages import RetryLoan, RetryLoanAsk
from turmericweir_core.state.loan_state import Loan
from turmericweir_core.state.retry_state import RetryWindow
from turmericweir_core.trust import retry

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# How long a borrower may use a loan, counted from when it asked.
_LOAN_S: Final = 2.0
# Added to the time for which the lender does without it, as clocks differ and retries take time on
# their way.
_MARGIN_S: Final = 0.5
_ASK_INTERVAL_S: Final = 0.2
# Instances asked at once.
_LENDERS_MAX: Final = 4
# Bounds of one loan.
_RETRIES_MAX: Final = 64.0
_PART_MIN: Final = 0.1
# An instance holds retries for the demand of this time.
_AHEAD_S: Final = 0.5
# Time over which the demand is counted.
_DEMAND_S: Final = 1.0


def on_tick(state: State, now: float) -> list[Effect]:
    """Ask others for retries, for each target whose retries will not last."""
    budget = state.retries
    if not state.options.retry_window_s or not loan_asks.is_due(budget.asks, now, _ASK_INTERVAL_S):
        return []
    loan_asks.drop_unanswered(budget.asks, now, _LOAN_S)
    effects: list[Effect] = []
    for target, window in budget.windows.items():
        needed = _needed(window, now)
        if needed:
            missing = needed - retry.retries_left(state, now, target)
            effects += _ask(state, now, target, missing)
    return effects


def _needed(window: RetryWindow, now: float) -> float:
    """Return the retries that an instance keeps for the near future; 0.0 without any demand."""
    wanted = retry.retries_wanted(window, now, _DEMAND_S)
    return 1.0 + wanted / _DEMAND_S * _AHEAD_S if wanted else 0.0


def _ask(state: State, now: float, target: Target, missing: float) -> list[Effect]:
    asks = state.retries.asks
    others = [
        member
        for member in membership.live_instances(state, now)
        if member.name != state.me.name and not member.leaving
    ]
    effects: list[Effect] = []
    lenders = loan_asks.in_turn(asks, others)[:_LENDERS_MAX]
    for position, member in enumerate(lenders):
        if missing <= 0:
            break
        retries = min(_RETRIES_MAX, max(_PART_MIN, missing / (len(lenders) - position)))
        missing -= retries
        ask = RetryLoanAsk(loan_asks.note_sent(asks, now), target, retries)
        effects.append(SendDatagram(member.name, member.peer_address, ask))
    return effects


def on_ask(state: State, now: float, sender: InstanceName, ask: RetryLoanAsk) -> list[Effect]:
    """Lend what this instance does not need itself."""
    peer = membership.find_member(state, sender)
    target = Target(ask.target)
    if peer is None or target not in state.config.service_by_target:
        return []
    window = state.retries.windows.setdefault(target, RetryWindow())
    own = retry.own_burst_left(state, now, target, window)
    retries = min(ask.retries, _RETRIES_MAX, own - _needed(window, now))
    if not retries >= _PART_MIN:
        return []
    until = now + _LOAN_S + _MARGIN_S + state.options.retry_window_s
    window.lent.append(Loan(retries, until))
    loan = RetryLoan(ask.number, target, retries)
    return [SendDatagram(peer.name, peer.peer_address, loan), Count("retry.loans_given")]


def on_loan(state: State, now: float, loan: RetryLoan) -> list[Effect]:
    """Add the tokens of a loan, unless it has expired on its way."""
    until = loan_asks.take_answered(state.retries.asks, now, loan.number, _LOAN_S)
    window = state.retries.windows.get(Target(loan.target))
    if until is None or window is None or not 0.0 < loan.retries <= _RETRIES_MAX:
        return []
    window.borrowed.append(Loan(loan.retries, until))
    return [Count("retry.loans_taken")]
