"""When a running answer is moved off a server that has become slow.

`straggler` keeps new work from a slow server; what runs there already would stay to its end, each
token later than its class was promised. So an answer whose tokens come late is stopped there and
goes on elsewhere after the last token that its caller was sent. That costs a prefill, so all of
this must hold:

- two gaps in a row were above the promise of its class, or one after another answer's there was,
  and well above what the other servers of the service show, so that one pause of the engine or of
  this process moves nothing;
- the others keep the promise at this moment: when all are slow, as in a rush, moving would only add
  prefills to the load;
- another server has room for it now;
- it may be run again, the retry budget pays for it, and it was not moved before. One move at the
  most for each request, so that two servers which slow down in turn do not pass it to and fro.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmericweir_core.base.config import Policy
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.request import Attempt, CancelReason, Request
from turmericweir_core.credits.credit_holder import goes_by_counts
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.placement.dispatch import cancel
from turmericweir_core.placement.placement import headroom
from turmericweir_core.state import straggler
from turmericweir_core.state.server_table import Server
from turmericweir_core.trust.retry import spend_retry

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def on_late_gap(
    state: State, now: float, req: Request, attempt: Attempt, gap_s: float
) -> list[Effect]:
    """Take a gap above the promise, and stop the attempt where its answer is to go on elsewhere.

    Its server is given no new work from then on, until its pace shows that it is well again.
    """
    attempt.late_gaps += 1
    late_before = straggler.was_late_before(state.stragglers, now, attempt.server, gap_s)
    straggler.note_late(state.stragglers, now, attempt.server)
    if attempt.late_gaps < state.options.move_late_gaps and not late_before:
        return []
    if not _may_move(state, req, attempt) or not _would_help(state, now, req, attempt, gap_s):
        return []
    if not spend_retry(state, now, req):
        return []
    req.moved = True
    effects: list[Effect] = [Count(f"moved.{req.service_class.name}")]
    if straggler.stop(state.stragglers, state.options, now, attempt.pool, attempt.server, gap_s):
        effects.append(Count("straggler.found"))
        effects.append(Log("straggler", {"peer": attempt.server, "step": "late"}))
    return effects + cancel(req, CancelReason.MOVED)


def _may_move(state: State, req: Request, attempt: Attempt) -> bool:
    if attempt.cancelled is not None or req.moved or not req.repeatable:
        return False
    if req.sends_max is not None and req.sends >= req.sends_max:
        return False
    return req.tries < state.options.attempts_max


def _would_help(state: State, now: float, req: Request, attempt: Attempt, gap_s: float) -> bool:
    server = state.servers.by_name.get(attempt.server)
    # Cheapest first: in a rush this is asked for many tokens, and the peers' pace answers it.
    if server is None or not straggler.is_behind(
        state.stragglers, state.options, server.service.name, attempt.server, gap_s
    ):
        return False
    return _others_keep_pace(state, now, server) and _has_room(state, now, req, attempt)


def _others_keep_pace(state: State, now: float, server: Server) -> bool:
    """Tell whether most of the other servers that this instance hears of now are in time.

    Their average pace lags: when all slow down at once, it shows them well for a second longer.
    Where nothing else runs, the average is all there is.
    """
    seen: dict[ServerName, bool] = {}
    for req in state.requests.values():
        other = req.attempt
        if other is None or other.last_token_at is None or other.server == server.entry.name:
            continue
        if req.service_class.token_gap_target_s is None:
            # The engine may let a lower class stand still for an upper one.
            continue
        peer = state.servers.by_name.get(other.server)
        if peer is not None and peer.service.name == server.service.name:
            in_time = now - other.last_token_at <= other.gap_late_s
            seen[other.server] = in_time or seen.get(other.server, False)
    for name in seen:
        seen[name] &= not straggler.was_late(state.stragglers, state.options, now, name)
    return not seen or 2 * sum(seen.values()) > len(seen)


def _has_room(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    return any(
        server.entry.name != attempt.server
        and server.entry.name not in req.avoid
        and not straggler.was_late(state.stragglers, state.options, now, server.entry.name)
        and (headroom(state, now, server, req.priority) > 0 or _may_get_credit(state, now, server))
        for server in open_servers(state, now, req.target)
    )


def _may_get_credit(state: State, now: float, server: Server) -> bool:
    """Tell whether a server's dispatcher is likely to grant a slot as soon as it is asked.

    Failure without: where nothing is short an instance holds no more credit than it uses. It would
    find no room anywhere, ask nobody, since nothing waits, and leave its answers where they are.
    """
    if state.config.policy is not Policy.CREDITS:
        return False
    if straggler.server_weight(state.stragglers, server.entry.name) < 1.0:
        return False
    credit = state.credits.held.get(server.entry.name)
    return (credit is None or not credit.contended) and not goes_by_counts(state, now, server)
