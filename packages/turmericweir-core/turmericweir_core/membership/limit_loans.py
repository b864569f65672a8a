"""Lend requests of announced limits to instances that get more callers than others.

`announced_limits` gives each instance an equal share of a server's limit, whatever its callers ask
for. An instance whose tokens will not last asks the other sharers in turn, and each lends what it
does not need itself. The lender leaves as many later tokens unused until the loan has expired, and
the borrower counts that time from before it asked. So the sum of all tokens stays
within the bursts of the shares, also if a message is lost or an instance fails; lost tokens are not
used by anybody.

Loans are short, so shares follow demand in both directions without a common view of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil, exp
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, ServerName, Target
from turmericweir_core.membership import announced_limits, loan_asks, membership
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.messages.effects import Count, Effect, SendDatagram
from turmericweir_core.messages.loan_messages import LimitLoan, LimitLoanAsk, LoanRow
from turmericweir_core.state.announced_limit import RecentDemand
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# How long a borrower may use a loan, counted from when it asked.
_LOAN_S: Final = 0.5
# How long the lender does without it; longer, as clocks differ.
_LENT_S: Final = 0.55
# Interval between two requests for a loan.
_ASK_INTERVAL_S: Final = 0.1
# An instance holds tokens for its demand of this time.
_DEMAND_AHEAD_S: Final = 0.5
# Demand up to which an instance does not borrow, requests per second.
_BORROWER_RATE_MIN_S: Final = 1.0
# An instance that gets a request in this time keeps a token for it.
_KEEP_ONE_S: Final = 2.0
# Time constant of the mean of the demand.
_MEAN_S: Final = 1.0
# Demand below which a target is forgotten, requests per second.
_DEMAND_MIN_S: Final = 0.01
# Instances asked at once.
_LENDERS_MAX: Final = 8
# Bounds of one request for a loan.
_SERVERS_MAX: Final = 32
_TOKENS_MAX: Final = 64


def note_demand(state: State, now: float, target: Target) -> None:
    """Count a new request, whether it is admitted or refused."""
    limits = state.announced_limits
    if not limits.by_server:
        return
    demand = limits.demand.get(target)
    if demand is None:
        service = state.config.service_by_target.get(target)
        if service is None:
            return
        demand = limits.demand[target] = RecentDemand(service.name, 0.0, now)
    demand.rate_s = _rate_now(demand, now) + 1.0 / _MEAN_S
    demand.counted_at = now


def _rate_now(demand: RecentDemand, now: float) -> float:
    return demand.rate_s * exp((demand.counted_at - now) / _MEAN_S)


def _needed(rate_s: float) -> float:
    """Return the tokens that an instance with this demand keeps for itself."""
    return rate_s * _DEMAND_AHEAD_S + min(1.0, rate_s * _KEEP_ONE_S)


# --- the borrower ----------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Ask another instance for a loan, for each target whose tokens will not last."""
    limits = state.announced_limits
    if not limits.demand or not loan_asks.is_due(limits.asks, now, _ASK_INTERVAL_S):
        return []
    loan_asks.drop_unanswered(limits.asks, now, _LOAN_S)
    effects: list[Effect] = []
    for target, demand in list(limits.demand.items()):
        rate_s = _rate_now(demand, now)
        if rate_s < _DEMAND_MIN_S:
            del limits.demand[target]
        else:
            effects += _ask(state, now, target, rate_s)
    return effects


def _ask(state: State, now: float, target: Target, rate_s: float) -> list[Effect]:
    unlimited, limited = announced_limits.split_limited(state, open_servers(state, now, target))
    if unlimited or not limited:
        return []
    share_s = announced_limits.share_s(state, now, limited)
    if rate_s <= max(share_s, _BORROWER_RATE_MIN_S):
        return []
    available = announced_limits.available(state, now, limited)
    missing = ceil(_needed(rate_s) - available - share_s * _DEMAND_AHEAD_S)
    if missing <= 0:
        return []
    effects: list[Effect] = []
    for member, names in _lenders(state, now, limited[:_SERVERS_MAX])[:_LENDERS_MAX]:
        if missing <= 0:
            break
        effects.append(_ask_lender(state, now, member, names, min(missing, _TOKENS_MAX)))
        # It has at least one token for each of its servers, unless it has sent or lent it.
        missing -= len(names)
    return effects


def _lenders(state: State, now: float, servers: list[Server]) -> list[tuple[Member, list[str]]]:
    """Return the live instances that have shares, the next one first, with their servers."""
    names_by_lender: dict[InstanceName, list[str]] = {}
    for server in servers:
        for name in announced_limits.senders_of(state, now, server):
            names_by_lender.setdefault(name, []).append(server.entry.name)
    lenders = [
        (member, names_by_lender[member.name])
        for member in membership.live_instances(state, now)
        if member.name in names_by_lender and member.name != state.me.name
    ]
    return loan_asks.in_turn(state.announced_limits.asks, lenders)


def _ask_lender(
    state: State, now: float, member: Member, names: list[str], tokens: int
) -> SendDatagram:
    ask = LimitLoanAsk(loan_asks.note_sent(state.announced_limits.asks, now), names, tokens)
    return SendDatagram(member.name, member.peer_address, ask)


def on_loan(state: State, now: float, loan: LimitLoan) -> list[Effect]:
    """Add the tokens of a loan, unless it has expired on its way."""
    until = loan_asks.take_answered(state.announced_limits.asks, now, loan.number, _LOAN_S)
    if until is None:
        return []
    for row in loan.rows:
        server = state.servers.by_name.get(ServerName(row.server))
        if server is not None and server.entry.incarnation == row.incarnation:
            announced_limits.borrow(state, server, row.tokens, until)
    return [Count("limits.borrowed", sum(row.tokens for row in loan.rows))]


# --- the lender ------------------------------------------------------------------------------


def on_ask(state: State, now: float, sender: InstanceName, ask: LimitLoanAsk) -> list[Effect]:
    """Lend what this instance does not need itself."""
    peer = membership.find_member(state, sender)
    if peer is None:
        return []
    names = (ServerName(name) for name in ask.servers[:_SERVERS_MAX])
    servers = [state.servers.by_name[name] for name in names if name in state.servers.by_name]
    rows: list[LoanRow] = []
    left = min(ask.tokens, _TOKENS_MAX)
    for service in {server.entry.service for server in servers}:
        of_service = [server for server in servers if server.entry.service == service]
        lent = _lend(state, now, service, of_service, left)
        left -= sum(row.tokens for row in lent)
        rows += lent
    if not rows:
        return []
    loan = LimitLoan(ask.number, rows)
    return [SendDatagram(peer.name, peer.peer_address, loan), Count("limits.lent")]


def _lend(
    state: State, now: float, service: str, servers: Iterable[Server], most: int
) -> list[LoanRow]:
    own_rate_s = sum(
        _rate_now(demand, now)
        for demand in state.announced_limits.demand.values()
        if demand.service == service
    )
    own_tokens = {
        server.entry.name: announced_limits.own_tokens(state, now, server) for server in servers
    }
    spare = int(sum(own_tokens.values())) - int(_needed(own_rate_s))
    rows: list[LoanRow] = []
    for server in sorted(servers, key=lambda each: -own_tokens[each.entry.name]):
        tokens = min(int(own_tokens[server.entry.name]), spare, most)
        if tokens <= 0:
            break
        spare, most = spare - tokens, most - tokens
        announced_limits.lend(state, server, tokens, now + _LENT_S)
        rows.append(LoanRow(server.entry.name, server.entry.incarnation, tokens))
    return rows
