"""The detection of lost connections, which stay open but no longer carry data.

A network device can lose a connection that both ends still consider open, while new connections
work. An attempt on a connection that is suspected to be lost is cancelled, and the request is
retried elsewhere.
Prevents the caller from waiting for its deadline. A probe over a new connection finds out whether
the server itself has failed.

A wrong suspicion costs a retry, so it needs more than a long wait: the server's report does not
account for this instance's requests, or a later request was served first, or
`first_silence_share` of the time to the deadline has passed. Attempts of requests that cannot be
retried are never suspected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.request import Attempt, Request, RetryCause
from turmericweir_core.engines import engine_model
from turmericweir_core.trust import retry
from turmericweir_core.trust.liveness_evidence import has_evidence_of_loss, record_lost_connection
from turmericweir_core.trust.retry import has_attempts_left

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_MS_PER_S: Final = 1000.0


def record_first_wait(state: State, now: float, attempt: Attempt) -> None:
    """Record the wait for the first token or for a whole plain answer."""
    waits = state.first_waits.longest_first_wait_s
    decayed = waits.get(attempt.server, 0.0) * state.options.first_wait_decay
    waits[attempt.server] = max(decayed, now - attempt.started_at)


def is_suspected_lost(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Return whether the connection of an attempt is suspected to be lost, and take its retry.

    `liveness_evidence` detects most lost connections early; the limits here are for all others.
    """
    last_token_at = attempt.last_token_at
    if last_token_at is None:
        is_overdue = _is_first_token_overdue(state, now, req, attempt)
    else:
        is_overdue = _is_stream_overdue(state, now - last_token_at, attempt)
    has_evidence = has_evidence_of_loss(state, now, req, attempt)
    if not (is_overdue or has_evidence) or not _take_retry(state, now, req, attempt):
        return False
    if has_evidence:
        record_lost_connection(state, now, attempt.server)
    state.first_waits.suspected_count += 1
    return True


def _take_retry(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Take the next attempt of a request from the budget; return False if there can be none.

    Prevents several suspicions in one tick from counting on the same retry of the budget, as all
    but one of these requests would fail.
    """
    if not has_attempts_left(state, req):
        return False
    if not attempt.sent:
        # No server can have started it, so its next attempt is not a retry.
        return True
    return retry.take(state, now, req, RetryCause.UNRESPONSIVE)


def _is_stream_overdue(state: State, waited_s: float, attempt: Attempt) -> bool:
    limit_s = state.options.silence_s
    if _is_accounted_for(state, attempt) and _reported_waiting(state, attempt) > 0:
        # The engine may have preempted it for an upper tier, and will resume it.
        limit_s *= state.options.silence_busy_factor
    return waited_s >= limit_s


def _is_first_token_overdue(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    options = state.options
    waited_s = now - attempt.started_at
    if waited_s < options.first_silence_s:
        return False
    predicted_ms = engine_model.predicted_ms(state, attempt)
    if predicted_ms is not None:
        # Prevents retries of long prompts, which take longer than recent waits suggest.
        limit_s = (
            options.predicted_silence_s + options.predicted_silence_x * predicted_ms / _MS_PER_S
        )
        return waited_s >= limit_s * 2.0 ** max(0, req.counted_attempts - 1)
    if waited_s >= options.first_silence_share * (req.deadline - attempt.started_at):
        return True
    longest_wait_s = state.first_waits.longest_first_wait_s.get(attempt.server, 0.0)
    # Doubled with each attempt. Prevents repeated retries of a request that is slow everywhere.
    doublings: float = 2.0 ** max(0, req.counted_attempts - 1)
    limit_s = (
        max(options.first_silence_s, options.first_silence_factor * longest_wait_s) * doublings
    )
    if waited_s < limit_s:
        return False
    if _is_overtaken(state, req, attempt) or not _is_accounted_for(state, attempt):
        return True
    return waited_s >= limit_s * options.silence_busy_factor


def _is_overtaken(state: State, req: Request, attempt: Attempt) -> bool:
    """Return whether the server started a request that came later and is not more urgent."""
    for other in state.requests.values():
        other_attempt = other.attempt
        if (
            other_attempt is None
            or other_attempt.server != attempt.server
            or other_attempt.first_token_at is None
        ):
            continue
        if other_attempt.started_at > attempt.started_at and other.priority >= req.priority:
            return True
    return False


def _is_accounted_for(state: State, attempt: Attempt) -> bool:
    """Return whether the server reports at least as many requests as this instance has there.

    A report from before the attempt is not considered. Requests of other instances can hide a loss,
    which the longer limit then detects.
    """
    server = state.servers.by_name.get(attempt.server)
    if server is None or server.report is None or server.report_at <= attempt.started_at:
        return False
    return server.report.running + server.report.waiting >= len(server.in_flight)


def _reported_waiting(state: State, attempt: Attempt) -> int:
    server = state.servers.by_name.get(attempt.server)
    return server.report.waiting if server is not None and server.report is not None else 0
