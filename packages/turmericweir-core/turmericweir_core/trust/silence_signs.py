"""Signs that a connection, and not its server, has gone silent.

`silence` doubts an attempt after a long wait in any case. These signs let it do so within some ten
times the usual distance of tokens, as the engine generates for nobody until then:

1. An attempt is overdue: silent for a multiple of what its server took at the most of late.
2. The server answers a probe over a new connection at once, so it is neither gone nor frozen.
3. Something more tells a lost connection from a server that stands still for a moment: attempts at
   another server are overdue as well, or this one goes on with other work, or its report does not
   count the request.

An engine that preempts lets a lower tier wait in the same way. A stream that may have been
preempted is left to the longer wait. All of this is soft: a wrong sign costs one retry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import Kind
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.base.tiers import most_urgent
from turmericweir_core.messages.effects import Count, DistrustConnections, Effect, ProbeServer
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.state.server_table import Server
from turmericweir_core.state.sign_state import ServerSigns

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_NEVER: Final = float("-inf")


def signs_of(state: State, server: ServerName) -> ServerSigns:
    """Give the signs of a server."""
    signs = state.signs.by_server.get(server)
    if signs is None:
        signs = state.signs.by_server[server] = ServerSigns()
    return signs


# --- looking ---------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Find what is overdue; have its servers probed, and use no kept connections to them."""
    signs = state.signs
    signs.overdue.clear()
    if not state.options.probe_servers:
        return []
    _learn(state)
    late = now - signs.looked_at > state.options.sign_tick_max_s
    signs.looked_at = now
    if late:
        # This process stood still itself: what came meanwhile is not read yet.
        return []
    for req in state.requests.values():
        attempt = req.attempt
        if attempt is not None and _is_overdue(state, now, req, attempt):
            signs.overdue.add(attempt.server)
    effects: list[Effect] = []
    for name in sorted(signs.overdue):
        effects += _suspect(state, now, name)
    return effects + _distrust_all(state, now)


def _learn(state: State) -> None:
    """Take the gaps and the newest tokens of running attempts since the tick before."""
    for signs in state.signs.by_server.values():
        signs.longest_gap *= state.options.gap_decay
        signs.newest_token.clear()
    for req in state.requests.values():
        attempt = req.attempt
        if attempt is None or attempt.last_token_at is None:
            continue
        signs = signs_of(state, attempt.server)
        signs.longest_gap = max(signs.longest_gap, attempt.longest_gap)
        attempt.longest_gap = 0.0
        newest = signs.newest_token.get(attempt.tier, _NEVER)
        signs.newest_token[attempt.tier] = max(newest, attempt.last_token_at)
    for name in list(state.signs.by_server):
        if name not in state.servers.by_name:
            del state.signs.by_server[name]


def _suspect(state: State, now: float, name: ServerName) -> list[Effect]:
    server = state.servers.by_name.get(name)
    signs = signs_of(state, name)
    if server is None or now - signs.suspected_at < state.options.sign_probe_s:
        return []
    signs.suspected_at = now
    server.probe_due = now + state.options.probe_s
    address = server.entry.address
    return [
        ProbeServer(name, address),
        DistrustConnections(address),
        Count(f"silence.suspected.{name}"),
    ]


def _distrust_all(state: State, now: float) -> list[Effect]:
    """Use no kept connection to any server, as those of several went silent together.

    Failure: whatever lost the connections of two servers lost those of the others too, and each
    kept one swallows one more request before it is found out.
    """
    signs = state.signs
    if len(signs.overdue) < 2 or now - signs.distrusted_at < state.options.sign_probe_s:
        return []
    signs.distrusted_at = now
    return [DistrustConnections(each.entry.address) for each in state.servers.by_name.values()]


def note_report(state: State, now: float, report: ServerReport) -> bool:
    """Take a server's report; tell whether it is to be acted on at once.

    Failure where late answers count: a server that was frozen answers the probes that wait there
    as soon as it goes on, just before the tokens that were missed. So a slower answer is acted on
    at the next tick, when these have come, and a late one not at all.
    """
    signs = state.signs.by_server.get(report.server)
    if signs is None or now - report.asked_at > state.options.sign_answer_s:
        return False
    signs.answers_at = report.asked_at
    signs.answered_count = report.running + report.waiting
    if now - report.asked_at > state.options.sign_at_once_s:
        return False
    return report.server in state.signs.overdue


def note_lost(state: State, now: float, name: ServerName) -> None:
    """Remember that a connection to a server was found lost."""
    signs_of(state, name).lost_at = now
    if len(state.signs.overdue) > 1:
        state.signs.lost_together_at = now


# --- judging ---------------------------------------------------------------------------------


def is_proven(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Tell whether the signs are enough to doubt an attempt before the long wait is over."""
    if attempt.server not in state.signs.overdue or not _is_overdue(state, now, req, attempt):
        return False
    signs = signs_of(state, attempt.server)
    patience = _patience(state, req, attempt)
    since = _silent_since(attempt)
    if signs.answers_at < since:
        return False
    lost_together = state.signs.lost_together_at >= since
    if attempt.last_token_at is None and (lost_together or signs.lost_at >= since):
        # The connection was kept from before others like it were found lost.
        return True
    if signs.answers_at - since < patience:
        return False
    if lost_together or len(state.signs.overdue) > 1:
        return True
    if attempt.last_token_at is None:
        return _is_uncounted(state, req, attempt)
    if max(signs.newest_token.values(), default=_NEVER) - since >= patience:
        return True
    # One server alone: it may stand still, with nothing lost. It is given as long again, and has to
    # answer another probe then.
    return signs.answers_at - since >= 2.0 * patience


def _silent_since(attempt: Attempt) -> float:
    return attempt.started if attempt.last_token_at is None else attempt.last_token_at


def _is_overdue(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Tell whether an attempt is silent for longer than its server lets others wait."""
    silent_s = now - _silent_since(attempt)
    if silent_s < min(state.options.first_overdue_min_s, state.options.stream_overdue_min_s):
        # So it is with nearly all streams at each tick.
        return False
    if not req.repeatable or attempt.cancelled is not None or not attempt.sent:
        return False
    if req.kind is Kind.PLAIN and req.delivered:
        # It could not be tried again.
        return False
    patience = _patience(state, req, attempt)
    if silent_s < patience:
        return False
    if attempt.last_token_at is None:
        # A connection that was opened for it worked a moment ago.
        return attempt.kept_connection
    return not _may_be_preempted(state, attempt, patience)


def _patience(state: State, req: Request, attempt: Attempt) -> float:
    options = state.options
    # Doubled with each attempt: a request that is slow everywhere must not be chased around.
    doublings: float = 2.0 ** max(0, req.tries - 1)
    if attempt.last_token_at is None:
        usual = state.silence.longest_wait.get(attempt.server)
        floor, ceiling = options.first_overdue_min_s, options.first_silence_s
    else:
        usual = signs_of(state, attempt.server).longest_gap
        floor, ceiling = options.stream_overdue_min_s, options.silence_s
    if not usual:
        # Nothing is known of this server yet.
        return ceiling * doublings
    return min(max(options.overdue_factor * usual, floor), ceiling) * doublings


def _may_be_preempted(state: State, attempt: Attempt, patience: float) -> bool:
    """Tell whether the engine may have put a stream back for work of an upper tier."""
    if attempt.tier == most_urgent(state.config):
        return False
    silent_since = _silent_since(attempt)
    newest = signs_of(state, attempt.server).newest_token
    if any(tier > attempt.tier and at - silent_since > patience for tier, at in newest.items()):
        # It would have put the less urgent one back first.
        return False
    server = state.servers.by_name.get(attempt.server)
    return server is None or not _has_room(state, server)


def _has_room(state: State, server: Server) -> bool:
    """Tell whether a server's report shows far less than would make it preempt.

    The report lags, so the margin is for what may have come meanwhile.
    """
    report = server.report
    if report is None or report.waiting:
        return False
    share = state.options.sign_room_share
    if report.kv_used > share * report.kv_total > 0:
        return False
    return report.running <= share * report.slots


def _is_uncounted(state: State, req: Request, attempt: Attempt) -> bool:
    """Tell whether an answer about a time after the attempt's start does not count it.

    Other instances' requests can hide a loss, which is then noticed by the long wait.
    """
    server = state.servers.by_name.get(attempt.server)
    signs = signs_of(state, attempt.server)
    lag = state.options.report_lag_s if req.kind is Kind.MODEL else 0.0
    if server is None or signs.answers_at - lag <= attempt.started:
        return False
    return signs.answered_count < len(server.in_flight)
