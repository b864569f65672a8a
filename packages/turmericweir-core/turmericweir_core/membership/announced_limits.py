"""Keep to the limits on requests per second that backend servers announce.

A server that is overloaded announces in its answers how many requests per second it accepts from
all instances together, for as long as it says so. An answer without a limit lifts it, unless its
request was sent before the limit was announced. Heartbeats spread the statements, so that most
instances know of a limit before they reach the server themselves.

The instances share a limit without further messages. A number of them that grows with the limit
sends to the server, each from a token bucket with an equal part of the rate; these are picked by
rendezvous hashing over all instances that were live recently. So the sum of all rates and bursts
stays within the limit with any number of instances, and a partition raises it little: those that
are out of reach keep their part. Instances with more callers than others borrow (`limit_loans`).
"""

from __future__ import annotations

from collections.abc import Iterable
from math import floor
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.effects import Effect, Log
from turmericweir_core.messages.membership_messages import LimitRow
from turmericweir_core.state.announced_limit import AnnouncedLimit
from turmericweir_core.state.loan_state import Loan
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Part of a limit that is used. The rest covers instances with different views of the membership.
_USED_SHARE: Final = 0.9
# Added to the requests per second of a limit, this is the number of instances that send to the
# server, and the sum of their bursts.
_BASE_SENDERS: Final = 4
# Lower bound of a limit, requests per second. Lets single requests find out that a limit of zero
# has been lifted.
_RATE_MIN_S: Final = 0.1
# How long an instance that is out of reach keeps its part of the limits.
_SHARER_KEEP_S: Final = 60.0
# A process assumes this minimum number of instances for this time after its start.
_START_INSTANCES: Final = 16
_START_S: Final = 5.0
_SHARERS_UPDATE_INTERVAL_S: Final = 0.5
# How long a lifted limit is kept, to be spread to peers.
_LIFTED_KEEP_S: Final = 60.0
# Statements in one heartbeat, and for how long a changed one is sent before all others.
_ROWS_MAX: Final = 8
_HOT_S: Final = 5.0
_MS: Final = 1000.0


# --- learning limits -------------------------------------------------------------------------


def on_answer(
    state: State, now: float, server: Server, started_at: float, requests_s: float | None
) -> list[Effect]:
    """Record the limit in an answer to an attempt that was started at a time."""
    limit = _statement_of(state, server)
    if requests_s is None and (limit is None or started_at < limit.announced_at):
        return []
    return _record(state, now, server, requests_s, now, by=state.me.name)


def _record(
    state: State,
    now: float,
    server: Server,
    requests_s: float | None,
    announced_at: float,
    by: InstanceName,
) -> list[Effect]:
    limit = _statement_of(state, server)
    previous_s = None if limit is None else limit.requests_s
    if limit is not None and previous_s == requests_s:
        limit.announced_at = max(limit.announced_at, announced_at)
        return []
    if limit is None or previous_s is None:
        limit = AnnouncedLimit(server.entry.incarnation, requests_s, announced_at, now)
        limit.filled_at = now
        # Spreads the first requests of the instances.
        limit.tokens, limit.burst = state.rng.random(), 1.0
        state.announced_limits.by_server[server.entry.name] = limit
    else:
        _refill(limit, now)
    limit.requests_s = requests_s
    limit.announced_at = announced_at
    limit.changed_at = now
    limit.sharers_version = -1
    limit.senders_version = -1
    limit.borrowed.clear()
    fields = {
        "peer": server.entry.name,
        "requests_s": requests_s,
        "before": previous_s,
        "by": by,
    }
    return [Log("server_limited", fields)]


def _statement_of(state: State, server: Server) -> AnnouncedLimit | None:
    limit = state.announced_limits.by_server.get(server.entry.name)
    if limit is None or limit.incarnation != server.entry.incarnation:
        return None
    return limit


# --- this instance's share -------------------------------------------------------------------


def split_limited(state: State, servers: list[Server]) -> tuple[list[Server], list[Server]]:
    """Return the servers without a limit, and those that have announced one."""
    if not state.announced_limits.by_server:
        return servers, []
    unlimited: list[Server] = []
    limited: list[Server] = []
    for server in servers:
        statement = _statement_of(state, server)
        is_limited = statement is not None and statement.requests_s is not None
        (limited if is_limited else unlimited).append(server)
    return unlimited, limited


def servers_to_send(state: State, now: float, servers: list[Server]) -> list[Server]:
    """Return the servers to which this instance may send a request now."""
    if not state.announced_limits.by_server:
        return servers
    return [server for server in servers if can_send(state, now, server)]


def can_send(state: State, now: float, server: Server) -> bool:
    """Return whether this instance may send a request to a server, as far as its limit goes."""
    limit = _limit_now(state, now, server)
    return limit is None or _available(limit) >= 1.0


def idle_s(state: State, now: float, server: Server) -> float:
    """Return for how long this instance could have sent to a limited server, but did not."""
    limit = _statement_of(state, server)
    if limit is None or limit.available_since is None:
        return 0.0
    return now - limit.available_since


def note_sent(state: State, now: float, server: Server) -> None:
    """Count a request that is sent to a server."""
    limit = _limit_now(state, now, server)
    if limit is None:
        return
    if limit.borrowed:
        loan = limit.borrowed[0]
        limit.borrowed[:1] = [Loan(loan.tokens - 1, loan.until)] if loan.tokens > 1 else []
        return
    limit.tokens -= 1.0
    limit.available_since = now if limit.tokens >= 1.0 else None


def wait_s(state: State, now: float, servers: Iterable[Server], requests_ahead: int) -> float:
    """Return when limited servers let this instance send one request more, in seconds from now."""
    tokens = share_s = 0.0
    for server in servers:
        limit = _limit_now(state, now, server)
        if limit is None:
            return 0.0
        tokens += _available(limit)
        share_s += limit.share_s
    missing = requests_ahead + 1 - tokens
    if missing <= 0:
        return 0.0
    return missing / share_s if share_s else float("inf")


def retry_after_s(state: State, servers: Iterable[Server]) -> float:
    """Return the time in which limited servers accept one request more from all instances."""
    statements = (_statement_of(state, server) for server in servers)
    rate_s = sum(each.requests_s or 0.0 for each in statements if each is not None)
    return 1.0 / max(_RATE_MIN_S, rate_s)


def _limit_now(state: State, now: float, server: Server) -> AnnouncedLimit | None:
    """Return the limit of a server with this instance's tokens of now, or None without a limit."""
    limit = _statement_of(state, server)
    if limit is None or limit.requests_s is None:
        return None
    _update_share(state, now, server, limit, limit.requests_s)
    _refill(limit, now)
    if limit.lent:
        limit.lent = [loan for loan in limit.lent if now < loan.until]
    if limit.borrowed:
        limit.borrowed = [loan for loan in limit.borrowed if now < loan.until]
    return limit


def _available(limit: AnnouncedLimit) -> float:
    return _own_available(limit) + sum(loan.tokens for loan in limit.borrowed)


def _own_available(limit: AnnouncedLimit) -> float:
    """Return the own tokens that may be used while others use what was lent to them."""
    return min(limit.tokens, limit.burst - sum(loan.tokens for loan in limit.lent))


def _refill(limit: AnnouncedLimit, now: float) -> None:
    added = max(0.0, now - limit.filled_at) * limit.share_s
    limit.tokens = min(limit.burst, limit.tokens + added)
    limit.filled_at = now
    if limit.tokens >= 1.0 and limit.available_since is None:
        limit.available_since = now


def _update_share(
    state: State, now: float, server: Server, limit: AnnouncedLimit, requests_s: float
) -> None:
    _update_sharers(state, now)
    if limit.sharers_version == state.announced_limits.sharers_version:
        return
    _refill(limit, now)
    limit.sharers_version = state.announced_limits.sharers_version
    sharers = _sharers_of(state, server)
    count = max(len(sharers), state.announced_limits.sharers_min)
    senders = min(count, floor(requests_s) + _BASE_SENDERS)
    if not _is_sender(state, server, sharers, senders):
        limit.share_s = limit.burst = 0.0
        return
    limit.share_s = _USED_SHARE * max(_RATE_MIN_S, requests_s) / senders
    limit.burst = (floor(requests_s) + _BASE_SENDERS) / senders


def _is_sender(
    state: State, server: Server, sharers: tuple[InstanceName, ...], senders: int
) -> bool:
    own_weight = rendezvous_weight(server.entry.name, state.me.name)
    heavier = sum(1 for each in sharers if rendezvous_weight(server.entry.name, each) > own_weight)
    return heavier < senders


def _sharers_of(state: State, server: Server) -> tuple[InstanceName, ...]:
    """Return the instances that may use a server: of its region, and of regions without one."""
    limits = state.announced_limits
    region = membership.region_of(state, server.entry.data_centre)
    serving_regions = limits.regions_by_service.get(server.entry.service, frozenset())
    return tuple(
        name
        for sharers_region, names in limits.sharers.items()
        if sharers_region == region or sharers_region not in serving_regions
        for name in names
    )


def sharers_of(state: State, now: float, server: Server) -> tuple[InstanceName, ...]:
    """Return the instances that may use a server, as of now."""
    _update_sharers(state, now)
    return _sharers_of(state, server)


def _update_sharers(state: State, now: float) -> None:
    limits = state.announced_limits
    if now < limits.next_sharers_update_at and limits.sharers:
        return
    limits.next_sharers_update_at = now + _SHARERS_UPDATE_INTERVAL_S
    sharers: dict[str, list[InstanceName]] = {}
    for member in membership.recent_instances(state, now, _SHARER_KEEP_S):
        sharers.setdefault(member.region, []).append(member.name)
    regions: dict[str, set[str]] = {}
    for server in state.servers.by_name.values():
        if not server.leaving:
            region = membership.region_of(state, server.entry.data_centre)
            regions.setdefault(server.entry.service, set()).add(region)
    new_sharers = {region: tuple(names) for region, names in sharers.items()}
    new_regions = {service: frozenset(each) for service, each in regions.items()}
    new_min = _START_INSTANCES if membership.uptime_s(state, now) < _START_S else 1
    before = (limits.sharers, limits.regions_by_service, limits.sharers_min)
    if (new_sharers, new_regions, new_min) != before:
        limits.sharers, limits.regions_by_service = new_sharers, new_regions
        limits.sharers_min = new_min
        limits.sharers_version += 1


# --- loans -----------------------------------------------------------------------------------


def share_s(state: State, now: float, servers: Iterable[Server]) -> float:
    """Return this instance's own share of the limits of servers, requests per second."""
    limits = (_limit_now(state, now, server) for server in servers)
    return sum(each.share_s for each in limits if each is not None)


def available(state: State, now: float, servers: Iterable[Server]) -> float:
    """Return how many requests this instance may send to limited servers now."""
    limits = (_limit_now(state, now, server) for server in servers)
    return sum(_available(each) for each in limits if each is not None)


def own_tokens(state: State, now: float, server: Server) -> float:
    """Return the tokens of this instance's own share of a limit."""
    limit = _limit_now(state, now, server)
    return 0.0 if limit is None else max(0.0, _own_available(limit))


def senders_of(state: State, now: float, server: Server) -> tuple[InstanceName, ...]:
    """Return the instances that have a share of a server's limit."""
    limit = _statement_of(state, server)
    if limit is None or limit.requests_s is None:
        return ()
    _update_sharers(state, now)
    if limit.senders_version != state.announced_limits.sharers_version:
        limit.senders_version = state.announced_limits.sharers_version
        ranked = sorted(
            _sharers_of(state, server),
            key=lambda name: rendezvous_weight(server.entry.name, name),
            reverse=True,
        )
        limit.senders = tuple(ranked[: floor(limit.requests_s) + _BASE_SENDERS])
    return limit.senders


def lend(state: State, server: Server, tokens: int, until: float) -> None:
    """Do without some tokens of this instance's share until a time."""
    limit = state.announced_limits.by_server[server.entry.name]
    limit.tokens -= tokens
    limit.lent.append(Loan(tokens, until))


def borrow(state: State, server: Server, tokens: int, until: float) -> None:
    """Add tokens of another instance's share, for use until a time."""
    limit = _statement_of(state, server)
    if limit is not None and limit.requests_s is not None and tokens > 0:
        limit.borrowed.append(Loan(tokens, until))


# --- spreading -------------------------------------------------------------------------------


def rows_to_send(state: State, now: float) -> list[LimitRow]:
    """Return the statements for the next heartbeat: the changed ones, and others in turn."""
    limits = state.announced_limits
    if not limits.by_server:
        return []
    hot: list[ServerName] = []
    others: list[ServerName] = []
    for name, limit in limits.by_server.items():
        (hot if now - limit.changed_at <= _HOT_S else others).append(name)
    hot.sort(key=lambda name: -limits.by_server[name].changed_at)
    names = hot[:_ROWS_MAX]
    if others:
        first = limits.next_row % len(others)
        turn = (others[first:] + others[:first])[: _ROWS_MAX - len(names)]
        limits.next_row = first + len(turn)
        names += turn
    return [_row(now, name, limits.by_server[name]) for name in names]


def _row(now: float, name: ServerName, limit: AnnouncedLimit) -> LimitRow:
    age_ms = max(0, round((now - limit.announced_at) * _MS))
    return LimitRow(name, limit.incarnation, limit.requests_s, age_ms)


def take_rows(state: State, now: float, sender: InstanceName, rows: list[LimitRow]) -> list[Effect]:
    """Record the statements that a peer received later than this instance."""
    effects: list[Effect] = []
    for row in rows:
        server = state.servers.by_name.get(ServerName(row.server))
        if server is None or server.entry.incarnation != row.incarnation:
            continue
        announced_at = now - max(0, row.age_ms) / _MS
        limit = _statement_of(state, server)
        if limit is None and row.requests_s is None:
            continue
        if limit is None or announced_at > limit.announced_at:
            effects += _record(state, now, server, row.requests_s, announced_at, by=sender)
    return effects


def drop_old_statements(state: State, now: float) -> None:
    """Drop the statements of servers that are gone, and those that are spread to all."""
    limits = state.announced_limits
    for name, limit in list(limits.by_server.items()):
        server = state.servers.by_name.get(name)
        is_gone = server is None or server.entry.incarnation != limit.incarnation
        if now - limit.announced_at > _LIFTED_KEEP_S and (is_gone or limit.requests_s is None):
            del limits.by_server[name]
