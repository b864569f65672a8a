"""Eject servers that fail more requests than the others of their service, and probe them.

A server that fails at once is always empty, so that placement by load sends it most of the work.
This module records the results of this instance's requests, and starts judgements by them, or by
what load updates of peers say (`outlier_evidence`, `outlier_verdicts`).

An ejected server is left out of the candidates (`open_servers`), unless no other one remains, until
single requests show that it is well (`outlier_probes`). A new incarnation starts anew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, assert_never

from turmericweir_core.base.config import PlacementPolicy
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.request import Attempt, CancelReason, Request
from turmericweir_core.messages.effects import Count, Effect
from turmericweir_core.messages.events import (
    AttemptEnd,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndMisplaced,
    EndRefused,
    EndServerError,
    EndUnsendable,
    EndUnsent,
)
from turmericweir_core.state.outlier_state import FailureKind, Result, add_result
from turmericweir_core.trust import (
    outlier_evidence,
    outlier_probes,
    outlier_suspicion,
    outlier_verdicts,
)
from turmericweir_core.trust.outlier_evidence import Tally

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_SERVER_ERROR_STATUS_MIN: Final = 500
# A server's statement that its time was up; it says more of its load than of a fault.
_TIMEOUT_STATUS: Final = 504
# Attempts at a server that break within this time have one cause, such as a reset connection.
_SAME_CAUSE_S: Final = 0.03


def failure_kind(attempt: Attempt, end: AttemptEnd) -> FailureKind | None:
    """Return how a server failed an attempt; None if it did not."""
    match end:
        case EndComplete(status=status) | EndServerError(status=status):
            is_error = status >= _SERVER_ERROR_STATUS_MIN and status != _TIMEOUT_STATUS
            return FailureKind.ERROR_STATUS if is_error else None
        case EndBroken(server_alive=False):
            return FailureKind.UNREACHABLE
        case EndBroken(is_malformed=is_malformed):
            return FailureKind.MALFORMED if is_malformed else FailureKind.RESET
        case EndRefused():
            return FailureKind.REFUSED
        case EndUnsent(is_declined=is_declined):
            return None if is_declined else FailureKind.UNREACHABLE
        case EndMisplaced() | EndUnsendable():
            return None
        case EndCancelled():
            match attempt.cancel_reason:
                case CancelReason.UNRESPONSIVE:
                    return FailureKind.UNRESPONSIVE
                case CancelReason.SERVER_DEAD:
                    return FailureKind.UNREACHABLE
                case _:
                    return None
        case unreachable:
            assert_never(unreachable)


def _shows_success(end: AttemptEnd) -> bool:
    return isinstance(end, EndComplete) and end.status < _SERVER_ERROR_STATUS_MIN


def on_ended(
    state: State, now: float, req: Request, attempt: Attempt, end: AttemptEnd
) -> list[Effect]:
    """Record the end of an attempt, and eject or reinstate servers by it."""
    server = state.servers.by_name.get(attempt.server)
    is_enabled = state.options.outlier.is_enabled
    if state.config.policy is not PlacementPolicy.PREDICTED or server is None or not is_enabled:
        return []
    kind = failure_kind(attempt, end)
    if kind is None and not _shows_success(end):
        outlier_probes.note_probe_ended(state, now, attempt)
        return []
    begun_at = attempt.first_token_at
    shown_at = now if kind is not None or begun_at is None else begun_at
    effects: list[Effect] = []
    if kind is not None:
        effects.append(Count(f"outlier.failure.{kind.value}.{server.service.name}"))
    if not _is_same_cause(state, now, attempt.server, kind):
        content = req.fingerprint or req.request_id
        result = Result(now, kind, req.customer, content, begun_at is not None, shown_at)
        add_result(state.outliers, state.options.outlier, attempt.server, result)
    effects += outlier_probes.on_probe_result(state, now, server, attempt, kind)
    if kind is None:
        outlier_suspicion.note_well(state, attempt, shown_at)
    # Only failures lead to an ejection. Successes matter while a server is ejected, and its
    # judgement costs time that grows with the servers.
    if kind is None and not _is_judgement_due(state, now):
        return effects
    effects += outlier_verdicts.judge_service(state, now, server.service.name)
    if kind is not None:
        effects += outlier_suspicion.note_failed(state, now, server, attempt, kind)
    return effects


def on_begun(state: State, now: float, attempt: Attempt) -> list[Effect]:
    """Take the beginning of an answer for a sign that its server is well."""
    outlier_suspicion.on_begun(state, now, attempt)
    return outlier_probes.on_begun(state, now, attempt)


def _is_judgement_due(state: State, now: float) -> bool:
    outliers = state.outliers
    if not outliers.ejected or now < outliers.next_judgement_at:
        return False
    outliers.next_judgement_at = now + state.options.outlier.judgement_interval_s
    return True


def _is_same_cause(state: State, now: float, name: ServerName, kind: FailureKind | None) -> bool:
    """Return whether an attempt broke together with another one at the same server."""
    if kind not in (FailureKind.RESET, FailureKind.UNRESPONSIVE):
        return False
    record = state.outliers.by_server.get(name)
    if record is None:
        return False
    broken_at, record.broken_at = record.broken_at, now
    return now - broken_at <= _SAME_CAUSE_S


def on_tick(state: State, now: float) -> list[Effect]:
    """Judge the servers of which peers say that they fail."""
    outliers = state.outliers
    if not state.options.outlier.is_enabled:
        return []
    outlier_suspicion.on_tick(state, now)
    if not outliers.peers or now < outliers.next_peer_judgement_at:
        return []
    outliers.next_peer_judgement_at = now + state.options.outlier.judgement_interval_s
    effects: list[Effect] = []
    tallies: dict[str, dict[ServerName, Tally]] = {}
    for name in list(outliers.peers):
        server = state.servers.by_name.get(name)
        ejection = outliers.ejected.get(name)
        if server is not None and ejection is None:
            service = server.service.name
            if service not in tallies:
                tallies[service] = outlier_evidence.tallies_of(state, now, service)
            effects += outlier_verdicts.judge_server(state, now, server, tallies[service])
        elif ejection is not None:
            outlier_probes.await_peers_pause(state, now, name, ejection)
    return effects
