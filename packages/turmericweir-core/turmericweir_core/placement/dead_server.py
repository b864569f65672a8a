"""Detect dead servers on which running requests wait.

A server that loses power, or a cut network path, resets no connection, so its callers would wait
until their deadlines. An unresponsive attempt alone proves nothing, as an engine may be busy. So
the instance opens a new connection to the server; after several failures in a row it cancels the
attempts that stayed unresponsive. Requests that may run again go on elsewhere. For others there is
nothing to gain, so they are cancelled only shortly before their callers would leave.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import DIRECT, InstanceName, ServerName
from turmericweir_core.base.request import Attempt, CancelReason
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Count, Effect, Log, ProbeServer
from turmericweir_core.placement.dispatch import cancel
from turmericweir_core.state.dead_state import Suspicion
from turmericweir_core.trust.retry import has_attempts_left

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Time without tokens after which an attempt is unresponsive: twice the duration of three engine
# steps with a chunk (85 ms each). Callers leave a stream after two seconds without an event; two
# probes that fail after 0.35 s each leave 0.8 s for resuming elsewhere.
_UNRESPONSIVE_S: Final = 0.6
# An answer that has not begun is unresponsive only after this multiple of its predicted time.
_PREDICTED_FACTOR: Final = 3.0
# Time without tokens after which an attempt is given up that cannot go on elsewhere: shortly before
# its caller leaves. Prevents breaking off answers of a server that is only silent for a moment.
_LAST_RESORT_S: Final = 1.7
# Intervals between probes of a server that answered the last one, and of one that did not.
_ANSWERING_PROBE_INTERVAL_S: Final = 2.0
_UNANSWERED_PROBE_INTERVAL_S: Final = 0.15
# Failed probes in a row after which a server counts as dead; one packet may be lost.
_DEAD_AFTER_FAILURES: Final = 2
_MS: Final = 1000.0


def on_tick(state: State, now: float) -> list[Effect]:
    """Probe the servers that have unresponsive attempts."""
    unresponsive = {
        (req.attempt.server, req.attempt.via)
        for req in state.requests.values()
        if req.attempt is not None and _is_unresponsive(state, now, req.attempt)
    }
    suspicions = state.dead.by_path
    for path in [each for each in suspicions if each not in unresponsive]:
        del suspicions[path]
    effects: list[Effect] = []
    for path in sorted(unresponsive):
        name, via = path
        server = state.servers.by_name.get(name)
        suspicion = suspicions.get(path)
        if server is None or (suspicion is not None and now < suspicion.next_probe_at):
            continue
        # Probed again after this interval unless it answers before.
        suspicions[path] = Suspicion(
            now + _UNANSWERED_PROBE_INTERVAL_S, 0 if suspicion is None else suspicion.failures
        )
        peer = membership.find_member(state, via) if via != DIRECT else None
        via_address = "" if peer is None else peer.peer_address
        effects.append(ProbeServer(name, server.entry.address, via, via_address))
    return effects


def _silent_s(now: float, attempt: Attempt) -> float:
    last_data_at = attempt.last_token_at
    return now - (attempt.started_at if last_data_at is None else last_data_at)


def _is_unresponsive(state: State, now: float, attempt: Attempt) -> bool:
    if not attempt.sent or attempt.cancel_reason is not None:
        return False
    if attempt.last_token_at is not None:
        return _silent_s(now, attempt) >= _UNRESPONSIVE_S
    predicted_ms = engine_model.predicted_ms(state, attempt) or 0.0
    return _silent_s(now, attempt) >= max(_UNRESPONSIVE_S, _PREDICTED_FACTOR * predicted_ms / _MS)


def on_answered(state: State, now: float, name: ServerName, via: InstanceName) -> None:
    """Record that a server answered a probe."""
    suspicion = state.dead.by_path.get((name, via))
    if suspicion is not None:
        suspicion.failures = 0
        suspicion.next_probe_at = now + _ANSWERING_PROBE_INTERVAL_S


def on_declined(state: State, now: float, name: ServerName, via: InstanceName) -> None:
    """Record that a peer did not try to probe a server."""
    suspicion = state.dead.by_path.get((name, via))
    if suspicion is not None:
        suspicion.next_probe_at = now + _ANSWERING_PROBE_INTERVAL_S


def on_unreachable(state: State, now: float, name: ServerName, via: InstanceName) -> list[Effect]:
    """Count a failed probe or connection; cancel unresponsive attempts after enough of them."""
    suspicion = state.dead.by_path.get((name, via))
    if suspicion is None:
        return []
    suspicion.failures += 1
    if suspicion.failures < _DEAD_AFTER_FAILURES:
        return []
    effects: list[Effect] = []
    for req in list(state.requests.values()):
        attempt = req.attempt
        if attempt is None or (attempt.server, attempt.via) != (name, via):
            continue
        if not _is_unresponsive(state, now, attempt):
            continue
        if has_attempts_left(state, req) or _silent_s(now, attempt) >= _LAST_RESORT_S:
            effects += cancel(req, CancelReason.SERVER_DEAD)
    if not effects:
        return []
    log = Log("server_dead", {"peer": name, "via": via})
    return [Count("server.dead"), log, *effects]
