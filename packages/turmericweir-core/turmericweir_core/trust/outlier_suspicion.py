"""Limit what is sent to a server that has just failed a request, until it shows that it is well.

A verdict takes several failures. While they come in, a server that fails at once is empty and would
draw all that waits. So a suspected server gets one request at a time, repeatable ones first, until
one begins or succeeds. Nothing is suspected where the others of the service fail too, and never
more than may be ejected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.messages.effects import Count, Effect
from turmericweir_core.state.outlier_state import FailureKind, Suspicion
from turmericweir_core.state.server_table import Server
from turmericweir_core.trust import outlier_evidence

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Kinds that come at once, so that the server is empty again.
_QUICK_KINDS: Final = frozenset(
    {FailureKind.MALFORMED, FailureKind.RESET, FailureKind.ERROR_STATUS}
)


def note_failed(
    state: State, now: float, server: Server, attempt: Attempt, kind: FailureKind
) -> list[Effect]:
    """Suspect a server that failed a request, unless others of its service fail alike."""
    outliers, name = state.outliers, server.entry.name
    if name in outliers.ejected:
        outliers.suspected.pop(name, None)
        return []
    has_begun = attempt.first_token_at is not None
    suspicion = outliers.suspected.get(name)
    if suspicion is not None:
        suspicion.failed_at = now
        suspicion.earlier_attempts = frozenset(server.in_flight)
        suspicion.fails_late |= has_begun
        return []
    if kind not in _QUICK_KINDS or not _may_suspect(state, now, server):
        return []
    outliers.suspected[name] = Suspicion(now, frozenset(server.in_flight), has_begun)
    return [Count(f"outlier.suspected.{server.service.name}")]


def _may_suspect(state: State, now: float, server: Server) -> bool:
    options, name = state.options.outlier, server.entry.name
    tallies = outlier_evidence.tallies_of(state, now, server.service.name)
    if name not in tallies or not tallies[name].failed:
        return False
    held = {*state.outliers.ejected, *state.outliers.suspected}
    others = {each: tally for each, tally in tallies.items() if each not in held}
    if outlier_evidence.others_share(state, others, name) > options.suspect_others_max:
        return False
    share = outlier_evidence.slots_share(state, server.service.name, {name, *held})
    return share <= options.ejected_share_max


def note_well(state: State, attempt: Attempt, well_at: float) -> None:
    """End the suspicion of a server at a sign that it is well, unless the sign is older."""
    suspicion = state.outliers.suspected.get(attempt.server)
    if suspicion is not None and well_at > suspicion.failed_at:
        del state.outliers.suspected[attempt.server]


def on_begun(state: State, now: float, attempt: Attempt) -> None:
    """Take the beginning of an answer for a sign where the server failed earlier than that."""
    suspicion = state.outliers.suspected.get(attempt.server)
    if suspicion is not None and not suspicion.fails_late:
        note_well(state, attempt, now)


def on_tick(state: State, now: float) -> None:
    """End suspicions that no newer failure confirms."""
    kept_s = state.options.outlier.suspect_s
    suspected = state.outliers.suspected
    for name in [each for each, record in suspected.items() if now - record.failed_at > kept_s]:
        del suspected[name]


def without_suspected(
    state: State, now: float, req: Request, servers: list[Server]
) -> list[Server]:
    """Leave out suspected servers that may not get the request now, if others remain."""
    if not state.outliers.suspected:
        return servers
    return [each for each in servers if _may_get(state, now, req, each)] or servers


def _may_get(state: State, now: float, req: Request, server: Server) -> bool:
    suspicion = state.outliers.suspected.get(server.entry.name)
    if suspicion is None:
        return True
    if not req.repeatable and now < suspicion.failed_at + state.options.outlier.suspect_pause_s:
        return False
    return not has_newer_attempt(suspicion, server)


def has_newer_attempt(suspicion: Suspicion, server: Server) -> bool:
    """Return whether an attempt runs that was started after the newest failure."""
    return not suspicion.earlier_attempts.issuperset(server.in_flight)


def names_to_probe(state: State) -> list[ServerName]:
    """Return the suspected servers at which no newer attempt runs."""
    by_name = state.servers.by_name
    return [
        name
        for name, suspicion in state.outliers.suspected.items()
        if name in by_name and not has_newer_attempt(suspicion, by_name[name])
    ]
