"""Move a running answer off a server that has become slow.

`straggler` keeps new work from a slow server; this module stops answers that already run there and
resumes them elsewhere after the last token sent to the caller. A move costs a prefill, so all of
these must hold:

- two token gaps in a row exceeded the target of the class, or one did after a late gap of another
  answer on the server, and the gaps are well above those of other servers of the service;
- most other servers meet their targets now, since under overload a move would only add prefills;
- another server has room now;
- the request may run again, the retry budget allows it, and it was not moved before, which prevents
  requests from moving back and forth between two slow servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmericweir_core.base.config import PlacementPolicy
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.request import Attempt, CancelReason, Request, RetryCause
from turmericweir_core.credits.credit_holder import uses_local_counts
from turmericweir_core.membership import announced_limits
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.placement.dispatch import cancel
from turmericweir_core.placement.placement import headroom
from turmericweir_core.state import straggler
from turmericweir_core.state.server_table import Server
from turmericweir_core.streams.stream_servers import open_servers_for
from turmericweir_core.trust import retry

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def on_late_gap(
    state: State, now: float, req: Request, attempt: Attempt, gap_s: float
) -> list[Effect]:
    """Handle a token gap above the target, and move the answer if that helps.

    The server gets no new work until its pace shows that it has recovered.
    """
    attempt.consecutive_overdue_gaps += 1
    had_late_gap_before = straggler.is_repeated_gap(state.stragglers, now, attempt.server, gap_s)
    straggler.note_overdue_token(state.stragglers, now, attempt.server)
    if attempt.consecutive_overdue_gaps < state.options.move_late_gaps and not had_late_gap_before:
        return []
    if not _can_move(state, req, attempt) or not _would_move_help(state, now, req, attempt, gap_s):
        return []
    if not retry.take(state, now, req, RetryCause.MOVED):
        return []
    req.was_moved = True
    effects: list[Effect] = [Count(f"moved.{req.service_class.name}")]
    if straggler.stop_straggler(
        state.stragglers, state.options, now, attempt.pool, attempt.server, gap_s
    ):
        effects.append(Count("straggler.found"))
        effects.append(Log("straggler", {"peer": attempt.server, "step": "late"}))
    return effects + cancel(req, CancelReason.MOVED)


def _can_move(state: State, req: Request, attempt: Attempt) -> bool:
    if attempt.cancel_reason is not None or req.was_moved or not req.repeatable:
        return False
    if req.sends_max is not None and req.sent_attempts >= req.sends_max:
        return False
    return req.counted_attempts < state.options.attempts_max


def _would_move_help(
    state: State, now: float, req: Request, attempt: Attempt, gap_s: float
) -> bool:
    server = state.servers.by_name.get(attempt.server)
    # Ordered by cost: most calls end at the comparison with other servers.
    if server is None or not straggler.is_gap_outlier(
        state.stragglers, state.options, server.service.name, attempt.server, gap_s
    ):
        return False
    return _is_service_in_time(state, now, server) and _has_server_with_room(
        state, now, req, attempt
    )


def _is_service_in_time(state: State, now: float, server: Server) -> bool:
    """Return whether most other servers that run answers of this instance are in time now.

    Running answers show this sooner than the average paces, which lag by about a second when all
    servers slow down at once. True where no other server runs an answer.
    """
    in_time_by_server: dict[ServerName, bool] = {}
    for req in state.requests.values():
        running_attempt = req.attempt
        if (
            running_attempt is None
            or running_attempt.last_token_at is None
            or running_attempt.server == server.entry.name
        ):
            continue
        if req.service_class.token_gap_target_s is None:
            # The engine may pause a lower class in favour of an upper one.
            continue
        other_server = state.servers.by_name.get(running_attempt.server)
        if other_server is not None and other_server.service.name == server.service.name:
            is_in_time = now - running_attempt.last_token_at <= running_attempt.overdue_gap_s
            in_time_by_server[running_attempt.server] = is_in_time or in_time_by_server.get(
                running_attempt.server, False
            )
    for name in in_time_by_server:
        in_time_by_server[name] &= not straggler.has_overdue_token(
            state.stragglers, state.options, now, name
        )
    return not in_time_by_server or 2 * sum(in_time_by_server.values()) > len(in_time_by_server)


def _has_server_with_room(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    return any(
        server.entry.name != attempt.server
        and server.entry.name not in req.failed_servers
        and not straggler.has_overdue_token(state.stragglers, state.options, now, server.entry.name)
        and announced_limits.can_send(state, now, server)
        and (headroom(state, now, server, req.priority) > 0 or _can_get_credit(state, now, server))
        for server in open_servers_for(state, now, req)
    )


def _can_get_credit(state: State, now: float, server: Server) -> bool:
    """Return whether a server's dispatcher is likely to grant a slot at once.

    Without contention an instance holds only the credit it uses, so missing credit does not mean
    that the server is full.
    """
    if state.config.policy is not PlacementPolicy.CREDITS:
        return False
    if straggler.server_weight(state.stragglers, server.entry.name) < 1.0:
        return False
    credit = state.credits.held_by_server.get(server.entry.name)
    return (credit is None or not credit.is_contended) and not uses_local_counts(state, now, server)
