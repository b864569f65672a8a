"""Share the observed pace of engines among instances.

Engines of one service may differ in speed, and an instance sends each of them few prompts. Load
updates carry what an instance observed since the last one, and each receiver counts it as if it had
observed that itself, so all have nearly the same estimate. A lost update loses its observations
only. An instance that starts gets the estimates with the contents of the caches.

A prompt that is overdue counts before its first token: work leaves an engine that has become slow
without waiting for the answer.

Paces are relative to the reference engine then, since instances would fit the speed of a service
differently. An engine without observations has the mean pace of the others of its service.
"""

from __future__ import annotations

from statistics import mean
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import ServerName
from turmericweir_core.engines import engine_model, engine_pace
from turmericweir_core.messages.pace_messages import PaceRow
from turmericweir_core.state.engine_state import EngineInfo, Prefill

if TYPE_CHECKING:
    from turmericweir_core.state.server_table import Server
    from turmericweir_core.state.state import State

# Rows that one load update carries.
_ROWS_MAX: Final = 12
# Bound of a pace that others report.
_PERCENT_MAX: Final = 10_000
_PERCENT: Final = 100.0
_MS: Final = 1000.0


def on_tick(state: State, now: float) -> None:
    """Count prompts that are overdue at an engine as observations of its pace."""
    if not state.options.pace.is_shared:
        return
    for name, record in state.engines.by_server.items():
        server = state.servers.by_name.get(name)
        if server is not None and record.prefills:
            _count_overdue(state, now, server, record)
    if state.paces.has_new:
        state.paces.has_new = False
        _guess_unknown(state)


def _guess_unknown(state: State) -> None:
    """Give engines without observations the mean pace of the others of their service."""
    known: dict[str, list[float]] = {}
    unknown: list[tuple[str, EngineInfo]] = []
    for name, record in state.engines.by_server.items():
        server = state.servers.by_name.get(name)
        if server is None:
            continue
        if record.pace_count:
            known.setdefault(server.service.name, []).append(record.pace)
        else:
            unknown.append((server.service.name, record))
    for service, record in unknown:
        if service in known:
            record.pace = mean(known[service])


def _count_overdue(state: State, now: float, server: Server, record: EngineInfo) -> None:
    for prefill in record.prefills.values():
        ratio = _overdue_ratio(state, now, prefill)
        if ratio is None:
            continue
        prefill.counted_ratio = ratio
        engine_pace.observe(state, server, record, ratio * prefill.pace)


def _overdue_ratio(state: State, now: float, prefill: Prefill) -> float | None:
    """Return the time that a prompt has taken over the prediction, if that counts now."""
    if not engine_pace.shows_pace(prefill):
        return None
    options = state.options.pace
    ratio = (now - prefill.sent_at) * _MS / max(1.0, prefill.predicted_ms)
    counts_from = max(options.overdue_ratio, prefill.counted_ratio * options.overdue_growth)
    return ratio if ratio >= counts_from else None


# --- messages --------------------------------------------------------------------------------


def take_rows(state: State) -> list[PaceRow]:
    """Return the observations that were not announced yet, for a load update."""
    unsent = state.paces.unsent
    rows = []
    for name in list(unsent)[:_ROWS_MAX]:
        each = unsent.pop(name)
        percent = round(each.total / each.count * _PERCENT)
        rows.append(PaceRow(name, each.incarnation, percent, each.count))
    return rows


def record_rows(state: State, rows: list[PaceRow]) -> None:
    """Count what other instances observed."""
    if not state.options.pace.is_shared:
        return
    for row in rows:
        server = state.servers.by_name.get(ServerName(row.server))
        if server is None or server.entry.incarnation != row.incarnation or row.count < 1:
            continue
        record = engine_model.engine_info_of(state, server.entry.name)
        pace = min(_PERCENT_MAX, max(0, row.percent)) / _PERCENT
        engine_pace.count_observations(state, record, engine_pace.bounded_shared(pace), row.count)


def estimate_rows(state: State) -> list[PaceRow]:
    """Return the estimates for an instance that starts."""
    rows = []
    for name, record in state.engines.by_server.items():
        server = state.servers.by_name.get(name)
        if server is not None and record.pace_count:
            percent = round(record.pace * _PERCENT)
            rows.append(PaceRow(name, server.entry.incarnation, percent, record.pace_count))
    return rows


def record_estimates(state: State, rows: list[PaceRow]) -> None:
    """Take another instance's estimates of engines that nothing is known of yet."""
    known = {name for name, record in state.engines.by_server.items() if record.pace_count}
    record_rows(state, [row for row in rows if row.server not in known])
