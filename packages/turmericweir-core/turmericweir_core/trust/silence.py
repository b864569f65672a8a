"""When a connection that carries nothing is doubted.

Something between the two ends can lose track of a connection: it stays open for both and carries
nothing, while new connections work. The caller would wait until its deadline for an answer that
cannot come. An attempt that is doubted is cancelled, which closes the connection and tells the
server over a new one, and the request goes on elsewhere; the server itself is held guilty only when
a new connection fails too, which a probe finds out meanwhile.

A doubt that is wrong costs a retry, so it needs more than a long wait: the server's report does not
account for the requests that this instance has there, or a later request was served first, or half
of the time to the deadline is gone. Where the request cannot be tried again, waiting on is all that
is left, so nothing is doubted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.engines import engine_model
from turmericweir_core.trust.retry import may_retry, spend_retry
from turmericweir_core.trust.silence_signs import is_proven, note_lost

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_MS: Final = 1000.0


def note_begun(state: State, now: float, attempt: Attempt) -> None:
    """Take the wait for the first token, or for a whole plain answer."""
    waits = state.silence.longest_wait
    kept = waits.get(attempt.server, 0.0) * state.options.first_wait_decay
    waits[attempt.server] = max(kept, now - attempt.started)


def is_doubtful(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Tell whether an attempt has been silent for longer than its server explains.

    `silence_signs` finds most of them soon; what it cannot prove has the longer waits of here.
    """
    last = attempt.last_token_at
    if last is None:
        silent = _first_overdue(state, now, req, attempt)
    else:
        silent = _stream_overdue(state, now - last, attempt)
    proven = is_proven(state, now, req, attempt)
    if not (silent or proven) or not _pay_to_go_elsewhere(state, now, req, attempt):
        return False
    if proven:
        note_lost(state, now, attempt.server)
    state.silence.doubted += 1
    return True


def _pay_to_go_elsewhere(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Take what another attempt costs from the budget; False where there can be none.

    Failure where it is paid for only after the end of this attempt: in a rush many are doubted at
    the same tick, each finds a retry in the budget, and that pays for the first. The callers of all
    others are told `failed`, though their answers were only late.
    """
    if not req.repeatable or req.tries >= state.options.attempts_max:
        return False
    if req.sends_max is not None and req.sends >= req.sends_max:
        return False
    if not attempt.sent:
        # No server can have begun it, so its next attempt is no retry.
        return True
    return may_retry(state, now, req) and spend_retry(state, now, req)


def _stream_overdue(state: State, silent_s: float, attempt: Attempt) -> bool:
    patience = state.options.silence_s
    if _is_accounted_for(state, attempt) and _waiting_at(state, attempt) > 0:
        # The engine may have preempted it for work of an upper tier, and then goes on with it.
        patience *= state.options.silence_busy_factor
    return silent_s >= patience


def _first_overdue(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    options = state.options
    waited = now - attempt.started
    if waited < options.first_silence_s:
        return False
    predicted = engine_model.predicted_ms(state, attempt)
    if predicted is not None:
        # Failure by the longest wait of late, which says nothing of a long prompt: answers that
        # were on their way are stopped, and their prompts are read once more elsewhere.
        patience = options.predicted_silence_s + options.predicted_silence_x * predicted / _MS
        return waited >= patience * 2.0 ** max(0, req.tries - 1)
    if waited >= options.first_silence_share * (req.deadline - attempt.started):
        return True
    longest = state.silence.longest_wait.get(attempt.server, 0.0)
    # Doubled with each attempt: a request that is slow everywhere must not be chased around.
    doublings: float = 2.0 ** max(0, req.tries - 1)
    patience = max(options.first_silence_s, options.first_silence_factor * longest) * doublings
    if waited < patience:
        return False
    if _is_overtaken(state, req, attempt) or not _is_accounted_for(state, attempt):
        return True
    return waited >= patience * options.silence_busy_factor


def _is_overtaken(state: State, req: Request, attempt: Attempt) -> bool:
    """Tell whether the server has begun a request that came later and was no more urgent."""
    for other in state.requests.values():
        later = other.attempt
        if later is None or later.server != attempt.server or later.first_token_at is None:
            continue
        if later.started > attempt.started and other.priority >= req.priority:
            return True
    return False


def _is_accounted_for(state: State, attempt: Attempt) -> bool:
    """Tell whether the server reports as many requests as this instance has there.

    A report from before the attempt says nothing of it. Other instances' requests can hide a loss,
    which is then noticed later, by the longer patience.
    """
    server = state.servers.by_name.get(attempt.server)
    if server is None or server.report is None or server.report_at <= attempt.started:
        return False
    return server.report.running + server.report.waiting >= len(server.in_flight)


def _waiting_at(state: State, attempt: Attempt) -> int:
    server = state.servers.by_name.get(attempt.server)
    return server.report.waiting if server is not None and server.report is not None else 0
