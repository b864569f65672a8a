"""Find out that a server is dead while requests wait for it in vain.

A server that loses power, or a way that is cut, resets nothing: the connection stays open and
carries nothing, and the caller would wait until its deadline. Silence alone proves nothing, as an
engine may be busy. So a server on which an attempt has been silent for a while is connected to
anew, and if that fails twice in a row the attempts that were silent all that time are given up:
what may run again goes on elsewhere, and the callers of the others are told at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.request import Attempt, CancelReason
from turmericweir_core.engines import engine_model
from turmericweir_core.messages.effects import Count, Effect, Log, ProbeServer
from turmericweir_core.placement.dispatch import cancel
from turmericweir_core.state.dead_state import Suspicion

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Silence after which a server is connected to: twice what three steps with a chunk take (85 ms
# each), so seldom beside a server that lives. Callers give a stream up after two seconds without an
# event; two tries, each of which takes 0.35 s to fail, leave one that may go on elsewhere 0.8 s.
_SILENT_S: Final = 0.6
# An answer that has not begun is silent only beyond so many times its predicted time.
_PREDICTED_X: Final = 3.0
# Between two tries of a server that answers, since each is paid for; between two that are not
# answered, well above the way there and back; and failures in a row that count: a lost packet is
# one.
_ALIVE_S: Final = 2.0
_TRY_S: Final = 0.15
_FAILURES: Final = 2
_MS: Final = 1000.0


def on_tick(state: State, now: float) -> list[Effect]:
    """Try the servers on which something is silent."""
    silent = {
        req.attempt.server
        for req in state.requests.values()
        if req.attempt is not None and _is_silent(state, now, req.attempt)
    }
    tries = state.dead.by_server
    for name in [each for each in tries if each not in silent]:
        del tries[name]
    effects: list[Effect] = []
    for name in sorted(silent):
        server = state.servers.by_name.get(name)
        known = tries.get(name)
        if server is None or (known is not None and now < known.try_due):
            continue
        # Tried again soon, unless this one is answered by then.
        tries[name] = Suspicion(now + _TRY_S, 0 if known is None else known.failures)
        effects.append(ProbeServer(name, server.entry.address))
    return effects


def _is_silent(state: State, now: float, attempt: Attempt) -> bool:
    if not attempt.sent or attempt.cancelled is not None:
        return False
    if attempt.last_token_at is not None:
        return now - attempt.last_token_at >= _SILENT_S
    predicted = engine_model.predicted_ms(state, attempt) or 0.0
    return now - attempt.started >= max(_SILENT_S, _PREDICTED_X * predicted / _MS)


def on_answered(state: State, now: float, name: ServerName) -> None:
    """Take it that a server lives."""
    known = state.dead.by_server.get(name)
    if known is not None:
        known.failures = 0
        known.try_due = now + _ALIVE_S


def on_unreachable(state: State, now: float, name: ServerName) -> list[Effect]:
    """Count a failed try, or attempt to connect, and give up what is silent when it is enough."""
    known = state.dead.by_server.get(name)
    if known is None:
        return []
    known.failures += 1
    if known.failures < _FAILURES:
        return []
    del state.dead.by_server[name]
    effects: list[Effect] = [Count("server.dead"), Log("server_dead", {"peer": name})]
    for req in list(state.requests.values()):
        attempt = req.attempt
        if attempt is None or attempt.server != name or not _is_silent(state, now, attempt):
            continue
        effects += cancel(req, CancelReason.SERVER_DEAD)
    return effects
