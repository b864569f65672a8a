"""Take servers out of use, and bring them back by single requests.

After a pause an ejected server gets one repeatable request if there is any, then more with each
success; a failure doubles the pause. Several successes in a row bring it back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import PlacementPolicy
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.outlier_options import OutlierOptions
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import announced_limits
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.state.outlier_state import Ejection, FailureKind, PauseRecord
from turmericweir_core.state.server_table import Server, can_take_work
from turmericweir_core.streams.stream_servers import can_run_on
from turmericweir_core.trust import outlier_evidence, outlier_suspicion, retry
from turmericweir_core.trust.outlier_evidence import Evidence

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Spread of the pauses, so that instances do not probe a server at the same time.
_PAUSE_SPREAD: Final = 0.3
_MS: Final = 1000.0


def new_ejection(state: State, now: float, name: ServerName, evidence: Evidence) -> Ejection:
    options = state.options.outlier
    kind = evidence.own.kind or FailureKind.RESET
    pause_s = options.pause_s
    record = state.outliers.pauses.get(name)
    if record is not None and now - record.ended_at <= options.pause_forget_s:
        pause_s = _next_pause_s(options, kind, record.pause_s)
    return Ejection(
        now,
        kind,
        outlier_evidence.share_of(evidence.failed, evidence.tried),
        pause_s,
        now + _spread(state, pause_s),
        fails_late=evidence.own.fails_late,
    )


def _next_pause_s(options: OutlierOptions, kind: FailureKind, pause_s: float) -> float:
    """Return the pause after a failure; a full server that refuses is well again soon."""
    if kind is FailureKind.REFUSED:
        return options.pause_s
    return min(options.pause_max_s, 2 * pause_s)


def _spread(state: State, pause_s: float) -> float:
    return pause_s * (1.0 + _PAUSE_SPREAD * state.rng.random())


def server_to_probe(state: State, now: float, req: Request) -> Server | None:
    """Return an ejected or suspected server that a request may go to, to find out if it is well.

    A request that may not be repeated goes there only if no other one came for another pause.
    """
    outliers = state.outliers
    if state.config.policy is not PlacementPolicy.PREDICTED:
        return None
    if not outliers.ejected and not outliers.suspected:
        return None
    can_repeat = req.repeatable and retry.retries_left(state, now, req.target) >= 1.0
    if can_repeat:
        for name in outlier_suspicion.names_to_probe(state):
            if _can_probe(state, now, req, state.servers.by_name[name]):
                return state.servers.by_name[name]
    for name, ejection in outliers.ejected.items():
        probe_at = ejection.probe_at + (0.0 if can_repeat else ejection.pause_s)
        if now < probe_at or ejection.probes > ejection.successes:
            continue
        server = state.servers.by_name.get(name)
        if server is not None and _can_probe(state, now, req, server):
            return server
    return None


def _can_probe(state: State, now: float, req: Request, server: Server) -> bool:
    record = engine_model.engine_info_of(state, server.entry.name)
    return (
        server.serves(req.target)
        and server.entry.name not in req.failed_servers
        and can_take_work(server, now)
        and server.unreachable_until == 0.0
        and can_run_on(state, req, server)
        and announced_limits.can_send(state, now, server)
        and engine_model.request_count(record, now) < server.slots
    )


def note_started(state: State, name: ServerName) -> None:
    """Count an attempt that starts at an ejected server."""
    ejection = state.outliers.ejected.get(name)
    if ejection is not None:
        ejection.probes += 1


def on_begun(state: State, now: float, attempt: Attempt) -> list[Effect]:
    """Take the beginning of an answer for a success where the server failed earlier than that."""
    ejection = _ejection_of(state, attempt)
    server = state.servers.by_name.get(attempt.server)
    if ejection is None or ejection.fails_late or server is None:
        return []
    return _note_success(state, now, server, ejection)


def _ejection_of(state: State, attempt: Attempt) -> Ejection | None:
    """Return the ejection under which an attempt was started."""
    ejection = state.outliers.ejected.get(attempt.server)
    if ejection is None or attempt.started_at < ejection.since:
        return None
    return ejection


def note_probe_ended(state: State, now: float, attempt: Attempt) -> Ejection | None:
    ejection = _ejection_of(state, attempt)
    if ejection is not None:
        ejection.probes = max(0, ejection.probes - 1)
    return ejection


def on_probe_result(
    state: State, now: float, server: Server, attempt: Attempt, kind: FailureKind | None
) -> list[Effect]:
    ejection = note_probe_ended(state, now, attempt)
    if ejection is None or kind is FailureKind.UNREACHABLE:
        return []
    if kind is None:
        has_counted = attempt.first_token_at is not None and not ejection.fails_late
        return [] if has_counted else _note_success(state, now, server, ejection)
    ejection.successes = 0
    ejection.kind = kind
    ejection.fails_late |= attempt.first_token_at is not None
    if now >= ejection.probe_at:
        ejection.pause_s = _next_pause_s(state.options.outlier, kind, ejection.pause_s)
        ejection.probe_at = now + _spread(state, ejection.pause_s)
    fields = {
        "peer": server.entry.name,
        "kind": kind.value,
        "pause_ms": round(ejection.pause_s * _MS),
        "ejected_ms": round((now - ejection.since) * _MS),
    }
    return [Log("server_still_failing", fields)]


def _note_success(state: State, now: float, server: Server, ejection: Ejection) -> list[Effect]:
    ejection.successes += 1
    if ejection.successes < state.options.outlier.successes:
        return []
    return reinstate(state, now, server, "served", None)


def reinstate(
    state: State, now: float, server: Server, reason: str, others_share: float | None
) -> list[Effect]:
    """Use a server again."""
    name = server.entry.name
    ejection = state.outliers.ejected.pop(name)
    if reason == "served":
        state.outliers.pauses[name] = PauseRecord(ejection.pause_s, now)
        state.outliers.by_server.pop(name, None)
        state.outliers.peers.pop(name, None)
    fields = {
        "peer": name,
        "reason": reason,
        "kind": ejection.kind.value,
        "ejected_ms": round((now - ejection.since) * _MS),
        "pause_ms": round(ejection.pause_s * _MS),
        "others_share": None if others_share is None else round(others_share, 3),
    }
    return [Log("server_reinstated", fields), Count(f"outlier.reinstated.{server.service.name}")]


def await_peers_pause(state: State, now: float, name: ServerName, ejection: Ejection) -> None:
    """Postpone a probe if one of a peer, where the server fails as here, has just failed."""
    options = state.options.outlier
    for peer in state.outliers.peers[name].values():
        row = peer.row
        if row.failed >= (ejection.share - options.margin) * row.tried:
            failed_at = peer.received_at - row.age_ms / _MS
            ejection.probe_at = max(ejection.probe_at, failed_at + ejection.pause_s)
