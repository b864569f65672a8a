"""Judge servers by their results: eject those that fail more requests than the others.

A server is ejected if the lower confidence bound of its share of failures is well above the mean
share of the others. None is where the others fail alike, because then the fault is not the
server's; nor for the failures of a customer's requests, or of a content, that fail everywhere. The
slots that may be ejected are bounded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.outlier_options import OutlierOptions
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.state.outlier_state import counts_alone
from turmericweir_core.state.server_table import Server
from turmericweir_core.trust import outlier_evidence, outlier_probes
from turmericweir_core.trust.outlier_evidence import Evidence, Tally

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Share of failures from which on a server counts as failing all.
_FAILS_ALL_SHARE: Final = 0.8
_KEPT_LOG_INTERVAL_S: Final = 5.0
_MS: Final = 1000.0


def judge_service(state: State, now: float, service: str) -> list[Effect]:
    """Reinstate servers that are not worse than others any more, and eject those that are."""
    outliers = state.outliers
    tallies = outlier_evidence.tallies_of(state, now, service)
    if not outliers.ejected and not any(each.failed for each in tallies.values()):
        return []
    effects: list[Effect] = []
    for name in list(outliers.ejected):
        server = state.servers.by_name.get(name)
        if server is None or server.service.name != service:
            continue
        others_share = outlier_evidence.others_share(state, tallies, name)
        if others_share >= outliers.ejected[name].share - state.options.outlier.margin:
            effects += outlier_probes.reinstate(state, now, server, "others_fail", others_share)
        elif _is_request_at_fault(state, name, tallies):
            effects += outlier_probes.reinstate(
                state, now, server, "request_at_fault", others_share
            )
    for name, tally in tallies.items():
        server = state.servers.by_name.get(name)
        if server is not None and tally.failed and name not in outliers.ejected:
            effects += judge_server(state, now, server, tallies)
    return effects


def _is_request_at_fault(state: State, name: ServerName, tallies: dict[ServerName, Tally]) -> bool:
    """Return whether failures of an ejected server turned out to be those of their requests."""
    record = state.outliers.by_server.get(name)
    if record is None or name not in tallies:
        return False
    found = sum(1 for each in record.results if counts_alone(each))
    return tallies[name].failed < min(found, state.options.outlier.failures_min)


def judge_server(
    state: State, now: float, server: Server, tallies: dict[ServerName, Tally]
) -> list[Effect]:
    """Eject a server if it fails more requests than the others."""
    name = server.entry.name
    options = state.options.outlier
    evidence = outlier_evidence.evidence_of(state, now, name, tallies)
    if evidence.failed < options.failures_min:
        return []
    fails_all = _fails_in_a_row(options, evidence)
    if not fails_all and evidence.failure_bound <= evidence.others_share + options.margin:
        return []
    ejected = {name, *state.outliers.ejected}
    ejected_share = outlier_evidence.slots_share(state, server.service.name, ejected)
    is_partial = not fails_all and evidence.failed < _FAILS_ALL_SHARE * evidence.tried
    limit = options.partial_share_max if is_partial else options.ejected_share_max
    fields = _describe(now, server, evidence, ejected_share)
    if ejected_share > limit:
        return _note_kept(state, now, name, fields)
    ejection = outlier_probes.new_ejection(state, now, name, evidence)
    if fails_all:
        ejection.share = outlier_evidence.share_of(evidence.own.in_a_row, evidence.own.in_a_row)
    state.outliers.ejected[name] = ejection
    fields |= {"pause_ms": round(ejection.pause_s * _MS)}
    return [Log("server_ejected", fields), Count(f"outlier.ejected.{server.service.name}")]


def _fails_in_a_row(options: OutlierOptions, evidence: Evidence) -> bool:
    """Return whether a server has failed more in a row than one like the others would.

    Finds a server that begins to fail, whose earlier successes outweigh its failures for long.
    """
    in_a_row = evidence.own.in_a_row
    if in_a_row < options.failures_min:
        return False
    return evidence.others_share**in_a_row <= options.run_chance_max


def _describe(
    now: float, server: Server, evidence: Evidence, ejected_share: float
) -> dict[str, object]:
    """Return the inputs of a verdict for its log line."""
    own = evidence.own
    return {
        "peer": server.entry.name,
        "incarnation": server.entry.incarnation,
        "kind": None if own.kind is None else own.kind.value,
        "own_tried": own.tried,
        "own_failed": own.failed,
        "in_a_row": own.in_a_row,
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
