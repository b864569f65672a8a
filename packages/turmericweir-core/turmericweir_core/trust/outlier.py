"""Eject servers that fail more requests than the others of their service, and probe them.

A server that fails at once is always empty, so that placement by load sends it most of the work.
The results of this instance's requests decide: a server is ejected if the lower confidence bound of
its share of failures is well above the mean share of the other servers. So a server that fails all
requests is ejected after three of them, one that fails half after some more, and none where the
others fail alike, because then the fault is not the server's. A customer's or a content's failures
do not count where it succeeds nowhere, several servers failed it, and one of them serves others.

Load updates carry the results at servers with failures. What peers say only supports failures of
this instance, or replaces its results where it has none and several instances say so.

An ejected server is left out of the candidates (`open_servers`), unless no other one remains. After
a pause it gets single requests, repeatable ones if there are any, then more with each success; a
failure doubles the pause. A new incarnation starts anew. The slots that may be ejected are bounded.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING, Final, assert_never

from msgspec import Struct

from turmericweir_core.base.config import PlacementPolicy
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.outlier_options import OutlierOptions
from turmericweir_core.base.request import Attempt, CancelReason, Request
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import announced_limits
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.messages.events import (
    AttemptEnd,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndRefused,
    EndServerError,
    EndUnsent,
)
from turmericweir_core.state.outlier_state import (
    Ejection,
    FailureKind,
    PauseRecord,
    Result,
    ServerResults,
    add_result,
    counted_failures,
    counts_alone,
    is_valid,
)
from turmericweir_core.state.server_table import Server, can_take_work
from turmericweir_core.streams.stream_servers import can_run_on
from turmericweir_core.trust import retry

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_SERVER_ERROR_STATUS_MIN: Final = 500
# A server's statement that its time was up; it says more of its load than of a fault.
_TIMEOUT_STATUS: Final = 504
# Attempts at a server that break within this time have one cause, such as a reset connection.
_SAME_CAUSE_S: Final = 0.03
# Share of failures from which on a server counts as failing all.
_FAILS_ALL_SHARE: Final = 0.8
# Instances that must say so where this one has no results of its own.
_REPORTERS_MIN: Final = 2
# Spread of the pauses, so that instances do not probe a server at the same time.
_PAUSE_SPREAD: Final = 0.3
_KEPT_LOG_INTERVAL_S: Final = 5.0
_MS: Final = 1000.0


class _Tally(Struct, frozen=True):
    """The results at one server that count."""

    tried: int
    failed: int
    # The kind of the newest failure.
    kind: FailureKind | None = None
    newest_at: float = 0.0
    oldest_at: float = 0.0
    fails_late: bool = False


class _Evidence(Struct, frozen=True):
    """What speaks for the ejection of a server."""

    own: _Tally
    # With the results of peers.
    tried: int
    failed: int
    reporters: int
    failure_bound: float
    others_share: float


# --- results ---------------------------------------------------------------------------------


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
        case EndUnsent():
            return FailureKind.UNREACHABLE
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
        _note_probe_ended(state, now, attempt)
        return []
    effects: list[Effect] = []
    if kind is not None:
        effects.append(Count(f"outlier.failure.{kind.value}.{server.service.name}"))
    if not _is_same_cause(state, now, attempt.server, kind):
        content = req.fingerprint or req.request_id
        has_begun = attempt.first_token_at is not None
        result = Result(now, kind, req.customer, content, has_begun)
        add_result(state.outliers, state.options.outlier, attempt.server, result)
    effects += _on_probe_result(state, now, server, attempt, kind)
    # Only failures lead to an ejection. Successes matter while a server is ejected, and its
    # judgement costs time that grows with the servers.
    if kind is None and not _is_judgement_due(state, now):
        return effects
    return effects + _judge_service(state, now, server.service.name)


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
    if not outliers.peers or now < outliers.next_peer_judgement_at:
        return []
    outliers.next_peer_judgement_at = now + state.options.outlier.judgement_interval_s
    effects: list[Effect] = []
    tallies: dict[str, dict[ServerName, _Tally]] = {}
    for name in list(outliers.peers):
        server = state.servers.by_name.get(name)
        ejection = outliers.ejected.get(name)
        if server is not None and ejection is None:
            service = server.service.name
            if service not in tallies:
                tallies[service] = _tallies(state, now, service)
            effects += _judge_server(state, now, server, tallies[service])
        elif ejection is not None:
            _await_peers_pause(state, now, name, ejection)
    return effects


def _await_peers_pause(state: State, now: float, name: ServerName, ejection: Ejection) -> None:
    """Postpone a probe if one of a peer, where the server fails as here, has just failed."""
    options = state.options.outlier
    for peer in state.outliers.peers[name].values():
        row = peer.row
        if row.failed >= (ejection.share - options.margin) * row.tried:
            failed_at = peer.received_at - row.age_ms / _MS
            ejection.probe_at = max(ejection.probe_at, failed_at + ejection.pause_s)


# --- judging ---------------------------------------------------------------------------------


def lower_bound(failed: int, tried: int, deviations: float) -> float:
    """Return the lower bound of Wilson's interval for a share."""
    if not tried:
        return 0.0
    share, square = failed / tried, deviations**2
    centre = share + square / (2 * tried)
    spread = deviations * sqrt(share * (1 - share) / tried + square / (4 * tried**2))
    return (centre - spread) / (1 + square / tried)


def _tallies(state: State, now: float, service: str) -> dict[ServerName, _Tally]:
    """Return what counts of the results at each server of a service."""
    tallies: dict[ServerName, _Tally] = {}
    for name, server in state.servers.by_name.items():
        if server.service.name != service:
            continue
        record = state.outliers.by_server.get(name)
        if record is not None:
            tallies[name] = _tally(state, now, record)
        elif _runs_answers(state, name):
            tallies[name] = _Tally(0, 0)
    return tallies


def _runs_answers(state: State, name: ServerName) -> bool:
    """Return whether answers of this instance's requests have begun at a server."""
    record = state.engines.by_server.get(name)
    return record is not None and bool(record.running)


def _tally(state: State, now: float, record: ServerResults) -> _Tally:
    window_s = state.options.outlier.window_s
    while record.results and now - record.results[0].at > window_s:
        record.results.popleft()
    succeeded = [each for each in record.results if each.kind is None]
    failed = counted_failures(state.outliers, state.options.outlier, now, record)
    if not failed:
        return _Tally(len(succeeded), 0)
    newest = max(failed, key=lambda each: each.at)
    return _Tally(
        len(succeeded) + len(failed),
        len(failed),
        newest.kind,
        newest.at,
        min(each.at for each in failed),
        any(each.has_begun for each in failed),
    )


def _judge_service(state: State, now: float, service: str) -> list[Effect]:
    """Reinstate servers that are not worse than others any more, and eject those that are."""
    outliers = state.outliers
    tallies = _tallies(state, now, service)
    if not outliers.ejected and not any(each.failed for each in tallies.values()):
        return []
    effects: list[Effect] = []
    for name in list(outliers.ejected):
        server = state.servers.by_name.get(name)
        if server is None or server.service.name != service:
            continue
        others_share = _others_share(state, tallies, name)
        if others_share >= outliers.ejected[name].share - state.options.outlier.margin:
            effects += _reinstate(state, now, server, "others_fail", others_share)
        elif _is_request_at_fault(state, name, tallies):
            effects += _reinstate(state, now, server, "request_at_fault", others_share)
    for name, tally in tallies.items():
        server = state.servers.by_name.get(name)
        if server is not None and tally.failed and name not in outliers.ejected:
            effects += _judge_server(state, now, server, tallies)
    return effects


def _is_request_at_fault(state: State, name: ServerName, tallies: dict[ServerName, _Tally]) -> bool:
    """Return whether failures of an ejected server turned out to be those of their requests."""
    record = state.outliers.by_server.get(name)
    if record is None or name not in tallies:
        return False
    found = sum(1 for each in record.results if counts_alone(each))
    return tallies[name].failed < min(found, state.options.outlier.failures_min)


def _others_share(state: State, tallies: dict[ServerName, _Tally], name: ServerName) -> float:
    """Return the mean share of failures of the other servers.

    The mean of shares, not of requests, since a server that fails at once gets the most of these.
    """
    shares = []
    for other, tally in tallies.items():
        if other == name:
            continue
        ejection = state.outliers.ejected.get(other)
        if ejection is not None:
            shares.append(ejection.share)
        elif tally.tried or _runs_answers(state, other):
            shares.append(_share(tally.failed, tally.tried))
    return sum(shares) / len(shares) if shares else 0.0


def _share(failed: int, tried: int) -> float:
    """Return a share of failures, lower where there are few results."""
    return failed / (tried + 1)


def _judge_server(
    state: State, now: float, server: Server, tallies: dict[ServerName, _Tally]
) -> list[Effect]:
    """Eject a server if it fails more requests than the others."""
    name = server.entry.name
    options = state.options.outlier
    evidence = _evidence(state, now, name, tallies)
    if evidence.failed < options.failures_min:
        return []
    if evidence.failure_bound <= evidence.others_share + options.margin:
        return []
    ejected_share = _ejected_share(state, server)
    is_partial = evidence.failed < _FAILS_ALL_SHARE * evidence.tried
    limit = options.partial_share_max if is_partial else options.ejected_share_max
    fields = _describe(now, server, evidence, ejected_share)
    if ejected_share > limit:
        return _note_kept(state, now, name, fields)
    ejection = _new_ejection(state, now, name, evidence)
    state.outliers.ejected[name] = ejection
    fields |= {"pause_ms": round(ejection.pause_s * _MS)}
    return [Log("server_ejected", fields), Count(f"outlier.ejected.{server.service.name}")]


def _evidence(
    state: State, now: float, name: ServerName, tallies: dict[ServerName, _Tally]
) -> _Evidence:
    """Return the results at a server, of this instance and of those peers that support them."""
    options = state.options.outlier
    own = tallies.get(name, _Tally(0, 0))
    peers = [
        peer.row
        for peer in state.outliers.peers.get(name, {}).values()
        if is_valid(peer, options, now)
    ]
    reporters = sum(row.reporters for row in peers)
    is_supported = bool(own.failed) or (not own.tried and reporters >= _REPORTERS_MIN)
    tried, failed = own.tried, own.failed
    if is_supported:
        tried += sum(row.tried for row in peers)
        failed += sum(row.failed for row in peers)
    return _Evidence(
        own,
        tried,
        failed,
        reporters if is_supported else 0,
        lower_bound(failed, tried, options.confidence),
        _others_share(state, tallies, name),
    )


def _ejected_share(state: State, server: Server) -> float:
    """Return the share of the slots of a service that would be ejected with a server."""
    total = ejected = 0
    for other in state.servers.by_name.values():
        if other.service.name != server.service.name or other.leaving or other.drained:
            continue
        is_usable = other.unreachable_until == 0.0
        is_ejected = other is server or other.entry.name in state.outliers.ejected
        total += other.slots if is_usable or is_ejected else 0
        ejected += other.slots if is_ejected else 0
    return ejected / max(1, total)


def _describe(
    now: float, server: Server, evidence: _Evidence, ejected_share: float
) -> dict[str, object]:
    """Return the inputs of a verdict for its log line."""
    own = evidence.own
    return {
        "peer": server.entry.name,
        "incarnation": server.entry.incarnation,
        "kind": None if own.kind is None else own.kind.value,
        "own_tried": own.tried,
        "own_failed": own.failed,
        "newest_ms": round((now - own.newest_at) * _MS) if own.failed else None,
        "oldest_ms": round((now - own.oldest_at) * _MS) if own.failed else None,
        "tried": evidence.tried,
        "failed": evidence.failed,
        "peers_told": evidence.reporters,
        "failure_bound": round(evidence.failure_bound, 3),
        "others_share": round(evidence.others_share, 3),
        "ejected_share": round(ejected_share, 3),
    }


def _note_kept(
    state: State, now: float, name: ServerName, fields: dict[str, object]
) -> list[Effect]:
    """Log that a server is kept because too many others are ejected, once in a while."""
    kept_at = state.outliers.kept_at
    if now - kept_at.get(name, float("-inf")) < _KEPT_LOG_INTERVAL_S:
        return []
    kept_at[name] = now
    return [Log("server_not_ejected", fields)]


def _new_ejection(state: State, now: float, name: ServerName, evidence: _Evidence) -> Ejection:
    options = state.options.outlier
    kind = evidence.own.kind or FailureKind.RESET
    pause_s = options.pause_s
    record = state.outliers.pauses.get(name)
    if record is not None and now - record.ended_at <= options.pause_forget_s:
        pause_s = _next_pause_s(options, kind, record.pause_s)
    return Ejection(
        now,
        kind,
        _share(evidence.failed, evidence.tried),
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


# --- the way back ----------------------------------------------------------------------------


def server_to_probe(state: State, now: float, req: Request) -> Server | None:
    """Return an ejected server that a request may go to, to find out whether it is well.

    A request that may not be repeated goes there only if no other one came for another pause.
    """
    if not state.outliers.ejected or state.config.policy is not PlacementPolicy.PREDICTED:
        return None
    can_repeat = req.repeatable and retry.retries_left(state, now, req.target) >= 1.0
    for name, ejection in state.outliers.ejected.items():
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


def _note_probe_ended(state: State, now: float, attempt: Attempt) -> Ejection | None:
    ejection = _ejection_of(state, attempt)
    if ejection is not None:
        ejection.probes = max(0, ejection.probes - 1)
    return ejection


def _on_probe_result(
    state: State, now: float, server: Server, attempt: Attempt, kind: FailureKind | None
) -> list[Effect]:
    ejection = _note_probe_ended(state, now, attempt)
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
    return _reinstate(state, now, server, "served", None)


def _reinstate(
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
