"""Early evidence that a connection was lost while its server works.

`lost_connections` suspects an attempt after a long wait in any case. This module detects lost
connections much earlier, from three conditions:

1. An attempt is overdue: it has been without data for a multiple of its server's recent maximum.
2. The server answers a probe over a new connection at once, so it is neither down nor frozen.
3. A further observation excludes a short pause of the server: attempts at another server are
   overdue as well, the server makes progress on other requests, or its report does not count the
   request.

A stream of a lower tier that the engine may have preempted is suspected only after the long wait.
Wrong evidence costs one retry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.base.tiers import most_urgent_configured_tier
from turmericweir_core.messages.effects import Count, Effect, ProbeServer, RetireConnections
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.state.liveness_state import ServerLiveness
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_NEVER: Final = float("-inf")


def evidence_of(state: State, server: ServerName) -> ServerLiveness:
    """Return the liveness evidence of a server."""
    evidence = state.server_liveness.by_server.get(server)
    if evidence is None:
        evidence = state.server_liveness.by_server[server] = ServerLiveness()
    return evidence


# --- observation -----------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Find overdue attempts; probe their servers and stop reusing connections to them."""
    liveness = state.server_liveness
    liveness.overdue.clear()
    if not state.options.probe_servers:
        return []
    _record_token_times(state)
    was_paused = now - liveness.checked_at > state.options.sign_tick_max_s
    liveness.checked_at = now
    if was_paused:
        # This process was paused, and has not read the data that arrived meanwhile.
        return []
    for req in state.requests.values():
        attempt = req.attempt
        if attempt is not None and _is_overdue(state, now, req, attempt):
            liveness.overdue.add(attempt.server)
    effects: list[Effect] = []
    for name in sorted(liveness.overdue):
        effects += _probe_overdue_server(state, now, name)
    return effects + _retire_all_connections(state, now)


def _record_token_times(state: State) -> None:
    """Record the token gaps and newest tokens of running attempts since the last tick."""
    for evidence in state.server_liveness.by_server.values():
        evidence.longest_gap_s *= state.options.gap_decay
        evidence.newest_token_at.clear()
    for req in state.requests.values():
        attempt = req.attempt
        if attempt is None or attempt.last_token_at is None:
            continue
        evidence = evidence_of(state, attempt.server)
        evidence.longest_gap_s = max(evidence.longest_gap_s, attempt.tick_max_gap_s)
        attempt.tick_max_gap_s = 0.0
        newest_token_at = evidence.newest_token_at.get(attempt.tier, _NEVER)
        evidence.newest_token_at[attempt.tier] = max(newest_token_at, attempt.last_token_at)
    for name in list(state.server_liveness.by_server):
        if name not in state.servers.by_name:
            del state.server_liveness.by_server[name]


def _probe_overdue_server(state: State, now: float, name: ServerName) -> list[Effect]:
    server = state.servers.by_name.get(name)
    evidence = evidence_of(state, name)
    if server is None or now - evidence.suspected_at < state.options.sign_probe_s:
        return []
    evidence.suspected_at = now
    server.next_probe_at = now + state.options.probe_s
    address = server.entry.address
    return [
        ProbeServer(name, address),
        RetireConnections(address),
        Count(f"silence.suspected.{name}"),
    ]


def _retire_all_connections(state: State, now: float) -> list[Effect]:
    """Stop reusing connections to all servers if attempts at several are overdue.

    Prevents further requests from being sent over other connections that were lost with them.
    """
    liveness = state.server_liveness
    if len(liveness.overdue) < 2 or now - liveness.idle_discarded_at < state.options.sign_probe_s:
        return []
    liveness.idle_discarded_at = now
    return [RetireConnections(each.entry.address) for each in state.servers.by_name.values()]


def note_report(state: State, now: float, report: ServerReport) -> bool:
    """Record a server's answer to a probe; return whether to act on it at once.

    A slower answer is acted on at the next tick, and an overdue one is ignored. Prevents wrong
    evidence from a server that was frozen and answers waiting probes just before it sends tokens.
    """
    evidence = state.server_liveness.by_server.get(report.server)
    if evidence is None or now - report.probe_sent_at > state.options.sign_answer_s:
        return False
    evidence.answered_probe_at = report.probe_sent_at
    evidence.answered_count = report.running + report.waiting
    if now - report.probe_sent_at > state.options.sign_at_once_s:
        return False
    return report.server in state.server_liveness.overdue


def record_lost_connection(state: State, now: float, name: ServerName) -> None:
    """Record that a connection to a server was found lost."""
    evidence_of(state, name).lost_at = now
    if len(state.server_liveness.overdue) > 1:
        state.server_liveness.lost_together_at = now


# --- evaluation ------------------------------------------------------------------------------


def has_evidence_of_loss(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Return whether there is enough evidence to suspect an attempt before the long wait ends."""
    if attempt.server not in state.server_liveness.overdue or not _is_overdue(
        state, now, req, attempt
    ):
        return False
    evidence = evidence_of(state, attempt.server)
    limit_s = _overdue_after_s(state, req, attempt)
    last_data_at = _last_data_at(attempt)
    if evidence.answered_probe_at < last_data_at:
        return False
    has_common_loss = state.server_liveness.lost_together_at >= last_data_at
    if attempt.last_token_at is None and (has_common_loss or evidence.lost_at >= last_data_at):
        # The reused connection is older than the loss of other connections.
        return True
    if evidence.answered_probe_at - last_data_at < limit_s:
        return False
    if has_common_loss or len(state.server_liveness.overdue) > 1:
        return True
    if attempt.last_token_at is None:
        return _is_missing_from_report(state, req, attempt)
    if max(evidence.newest_token_at.values(), default=_NEVER) - last_data_at >= limit_s:
        return True
    # A single server may only be paused. It has to answer another probe after twice the time.
    return evidence.answered_probe_at - last_data_at >= 2.0 * limit_s


def _last_data_at(attempt: Attempt) -> float:
    return attempt.started_at if attempt.last_token_at is None else attempt.last_token_at


def _is_overdue(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Return whether an attempt has been without data for longer than its server's usual gaps."""
    waited_s = now - _last_data_at(attempt)
    if waited_s < min(state.options.first_overdue_min_s, state.options.stream_overdue_min_s):
        # Returns early for nearly all streams.
        return False
    if not req.repeatable or attempt.cancel_reason is not None or not attempt.sent:
        return False
    if req.kind is ServiceKind.PLAIN and req.delivered:
        # A plain answer that has begun cannot be retried.
        return False
    limit_s = _overdue_after_s(state, req, attempt)
    if waited_s < limit_s:
        return False
    if attempt.last_token_at is None:
        # A new connection has just worked, so only a reused one can be lost.
        return attempt.reused_connection
    return not _may_be_preempted(state, attempt, limit_s)


def _overdue_after_s(state: State, req: Request, attempt: Attempt) -> float:
    options = state.options
    # Doubled with each attempt. Prevents repeated retries of a request that is slow everywhere.
    doublings: float = 2.0 ** max(0, req.counted_attempts - 1)
    if attempt.last_token_at is None:
        usual_gap_s = state.first_waits.longest_first_wait_s.get(attempt.server)
        min_s, max_s = options.first_overdue_min_s, options.first_silence_s
    else:
        usual_gap_s = evidence_of(state, attempt.server).longest_gap_s
        min_s, max_s = options.stream_overdue_min_s, options.silence_s
    if not usual_gap_s:
        # No answers of this server have been measured yet.
        return max_s * doublings
    return min(max(options.overdue_factor * usual_gap_s, min_s), max_s) * doublings


def _may_be_preempted(state: State, attempt: Attempt, limit_s: float) -> bool:
    """Return whether the engine may have preempted a stream for an upper tier."""
    if attempt.tier == most_urgent_configured_tier(state.config):
        return False
    last_data_at = _last_data_at(attempt)
    newest_by_tier = evidence_of(state, attempt.server).newest_token_at
    if any(
        tier > attempt.tier and token_at - last_data_at > limit_s
        for tier, token_at in newest_by_tier.items()
    ):
        # The engine would have preempted the less urgent stream first.
        return False
    server = state.servers.by_name.get(attempt.server)
    return server is None or not _has_room(state, server)


def _has_room(state: State, server: Server) -> bool:
    """Return whether a server's reported load is far below the level that causes preemption.

    The margin covers requests that arrived after the report.
    """
    report = server.report
    if report is None or report.waiting:
        return False
    share = state.options.sign_room_share
    if report.kv_used > share * report.kv_total > 0:
        return False
    return report.running <= share * report.slots


def _is_missing_from_report(state: State, req: Request, attempt: Attempt) -> bool:
    """Return whether a probe answered after the attempt's start does not count the attempt.

    Requests of other instances can hide a loss, which the long wait then detects.
    """
    server = state.servers.by_name.get(attempt.server)
    evidence = evidence_of(state, attempt.server)
    lag_s = state.options.report_lag_s if req.kind is ServiceKind.MODEL else 0.0
    if server is None or evidence.answered_probe_at - lag_s <= attempt.started_at:
        return False
    return evidence.answered_count < len(server.in_flight)
