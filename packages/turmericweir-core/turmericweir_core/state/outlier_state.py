"""Recent results of requests by server, and the servers that are ejected because of them.

`trust/outlier` decides; this module keeps the records and has what lower packages read: the servers
that are left, and the rows that load updates carry.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterable
from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import AttemptId, InstanceName, ServerName
from turmericweir_core.base.outlier_options import OutlierOptions
from turmericweir_core.messages.outlier_messages import OutlierRow
from turmericweir_core.state.server_table import Server, ServerTable

_NEVER: Final = float("-inf")
# Rows in one load update.
_ROWS_MAX: Final = 8
# Bounds of what one peer may claim, so that it outweighs nobody.
_PEER_RESULTS_MAX: Final = 32
_PEERS_MAX: Final = 64
# Sources of requests whose results are remembered.
_SOURCES_MAX: Final = 512
# Servers at which a source must have failed for the failures to count against it.
_SOURCE_SERVERS_MIN: Final = 2
_MS: Final = 1000.0


class FailureKind(enum.Enum):
    """How a server failed an attempt."""

    # Bytes that are no answer, or not the answer to this attempt.
    MALFORMED = "malformed"
    # The connection was reset or closed before the answer was complete.
    RESET = "reset"
    # An error status of the server.
    ERROR_STATUS = "error_status"
    # Nothing came from it, and it still accepts connections.
    UNRESPONSIVE = "unresponsive"
    # It did not begin the request for want of room.
    REFUSED = "refused"
    # No connection to it could be opened; the paths to it are judged elsewhere.
    UNREACHABLE = "unreachable"


class Result(Struct, frozen=True):
    """The end of one attempt."""

    at: float
    # None if the server answered.
    kind: FailureKind | None
    # The customer, and the content of the request.
    customer: str
    content: str
    # The answer had begun.
    has_begun: bool
    # When the server showed that it is well or not: an answer shows so when it begins.
    shown_at: float


class ServerResults(Struct):
    """Recent results at one server, the newest last."""

    results: deque[Result]
    # When attempts to it last broke; others that break at the same moment have the same cause.
    broken_at: float = _NEVER


class SourceResults(Struct):
    """Recent results of one customer, or of one content of requests."""

    succeeded_at: float = _NEVER
    # When each server last failed a request of the source, since the last success.
    failed_at: dict[ServerName, float] = field(default_factory=dict)


class PeerResults(Struct, frozen=True):
    """Results of other instances at one server, as a load update had them."""

    received_at: float
    row: OutlierRow


class Ejection(Struct):
    """A server that gets no requests, except for single ones to find out whether it is well."""

    since: float
    kind: FailureKind
    # Its share of failures when it was ejected.
    share: float
    pause_s: float
    # When it may get a request again.
    probe_at: float
    # Whether answers failed only after they had begun, so that a beginning shows nothing.
    fails_late: bool
    # Requests that run there since, and successes in a row.
    probes: int = 0
    successes: int = 0


class Suspicion(Struct):
    """A server that has failed a request, and has not shown since that it is well."""

    failed_at: float
    # The attempts that ran there at the newest failure.
    earlier_attempts: frozenset[AttemptId]
    # Whether answers failed after they had begun, so that a beginning shows nothing.
    fails_late: bool


class PauseRecord(Struct, frozen=True):
    """The last pause of a server that is used again."""

    pause_s: float
    ended_at: float


class OutlierState(Struct):
    """Results and ejections of all servers."""

    by_server: dict[ServerName, ServerResults] = field(default_factory=dict)
    ejected: dict[ServerName, Ejection] = field(default_factory=dict)
    suspected: dict[ServerName, Suspicion] = field(default_factory=dict)
    pauses: dict[ServerName, PauseRecord] = field(default_factory=dict)
    # By customer and by content, the least recently used first.
    sources: dict[tuple[str, str], SourceResults] = field(default_factory=dict)
    # Results of other instances, by server and sender.
    peers: dict[ServerName, dict[InstanceName, PeerResults]] = field(default_factory=dict)
    # Servers of which it was logged that too many others are ejected, and when.
    kept_at: dict[ServerName, float] = field(default_factory=dict)
    # When judgements that no failure of an own request causes are next due: by successes, by peers.
    next_judgement_at: float = 0.0
    next_peer_judgement_at: float = 0.0


def without_ejected(state: OutlierState, servers: list[Server]) -> list[Server]:
    """Leave out ejected servers, if others remain."""
    if not state.ejected:
        return servers
    return [each for each in servers if each.entry.name not in state.ejected] or servers


def add_result(
    state: OutlierState, options: OutlierOptions, server: ServerName, result: Result
) -> None:
    """Record the end of an attempt."""
    record = state.by_server.get(server)
    if record is None:
        record = state.by_server[server] = ServerResults(deque(maxlen=options.results_max))
    record.results.append(result)
    for key in (("customer", result.customer), ("content", result.content)):
        source = state.sources.pop(key, None) or SourceResults()
        state.sources[key] = source
        if result.kind is None:
            source.succeeded_at = result.at
            source.failed_at.clear()
        else:
            source.failed_at[server] = result.at
    while len(state.sources) > _SOURCES_MAX:
        del state.sources[next(iter(state.sources))]


def forget(state: OutlierState, server: ServerName) -> None:
    """Discard all that is known of a server that restarted or is gone."""
    state.by_server.pop(server, None)
    state.ejected.pop(server, None)
    state.suspected.pop(server, None)
    state.pauses.pop(server, None)
    state.peers.pop(server, None)
    state.kept_at.pop(server, None)


# --- failures that count ---------------------------------------------------------------------


def counted_failures(
    state: OutlierState, options: OutlierOptions, now: float, record: ServerResults
) -> list[Result]:
    """Return the recent failures that count against a server."""
    recent = [each for each in record.results if now - each.at <= options.window_s]
    answers_any = any(each.kind is None for each in recent)
    return [
        each
        for each in recent
        if (counts_alone(each) or (each.kind is FailureKind.REFUSED and not answers_any))
        and not _is_request_at_fault(state, options, now, each)
    ]


def counts_alone(result: Result) -> bool:
    """Return whether a result is a failure of its server by itself.

    A refusal is one only where the server answers nothing, as a full server refuses too.
    """
    return result.kind not in (None, FailureKind.REFUSED, FailureKind.UNREACHABLE)


def _is_request_at_fault(
    state: OutlierState, options: OutlierOptions, now: float, result: Result
) -> bool:
    """Return whether a failure counts against the request, or its customer, not the server."""
    for key in (("customer", result.customer), ("content", result.content)):
        source = state.sources.get(key)
        if source is None or now - source.succeeded_at <= options.window_s:
            continue
        servers = [name for name, at in source.failed_at.items() if now - at <= options.window_s]
        if len(servers) < _SOURCE_SERVERS_MIN:
            continue
        if any(_serves_others(state, options, now, name, key) for name in servers):
            return True
    return False


def _serves_others(
    state: OutlierState,
    options: OutlierOptions,
    now: float,
    server: ServerName,
    source: tuple[str, str],
) -> bool:
    """Return whether a server has answered requests of other sources."""
    record = state.by_server.get(server)
    if record is None:
        return False
    return any(
        each.kind is None
        and now - each.at <= options.window_s
        and source not in (("customer", each.customer), ("content", each.content))
        for each in record.results
    )


# --- load updates ----------------------------------------------------------------------------


def own_rows(
    state: OutlierState, options: OutlierOptions, servers: ServerTable, now: float
) -> list[OutlierRow]:
    """Return the rows for a load update: the servers with the most failures."""
    rows = []
    for name, record in state.by_server.items():
        server = servers.by_name.get(name)
        recent = [each for each in record.results if now - each.at <= options.window_s]
        failed = counted_failures(state, options, now, record)
        if server is not None and failed:
            age_ms = round((now - failed[-1].at) * _MS)
            incarnation = server.entry.incarnation
            rows.append(OutlierRow(name, incarnation, len(recent), len(failed), 1, age_ms))
    return sorted(rows, key=lambda row: -row.failed)[:_ROWS_MAX]


def sum_rows(
    state: OutlierState,
    options: OutlierOptions,
    own: list[OutlierRow],
    now: float,
    group: Iterable[InstanceName],
) -> list[OutlierRow]:
    """Return the rows of a group of instances as one row for each server."""
    if not (own or state.peers):
        return []
    sums = {(each.server, each.incarnation): each for each in own}
    members = set(group)
    for by_sender in state.peers.values():
        for sender, peer in by_sender.items():
            if sender in members and is_valid(peer, options, now):
                key = (peer.row.server, peer.row.incarnation)
                sums[key] = _add_rows(sums.get(key), peer, now)
    return sorted(sums.values(), key=lambda row: -row.failed)[:_ROWS_MAX]


def _add_rows(total: OutlierRow | None, peer: PeerResults, now: float) -> OutlierRow:
    row = peer.row
    age_ms = row.age_ms + round((now - peer.received_at) * _MS)
    if total is None:
        return OutlierRow(row.server, row.incarnation, row.tried, row.failed, row.reporters, age_ms)
    return OutlierRow(
        row.server,
        row.incarnation,
        total.tried + row.tried,
        total.failed + row.failed,
        total.reporters + row.reporters,
        min(total.age_ms, age_ms),
    )


def record_rows(
    state: OutlierState,
    servers: ServerTable,
    now: float,
    origin: InstanceName,
    rows: list[OutlierRow],
) -> None:
    """Record what a load update says, which replaces what its sender said before."""
    for by_sender in state.peers.values():
        by_sender.pop(origin, None)
    for row in rows[:_ROWS_MAX]:
        server = servers.by_name.get(ServerName(row.server))
        if server is None or server.entry.incarnation != row.incarnation:
            continue
        if not 0 < row.failed <= row.tried or row.reporters < 1 or row.age_ms < 0:
            continue
        by_sender = state.peers.setdefault(server.entry.name, {})
        if len(by_sender) < _PEERS_MAX:
            by_sender[origin] = PeerResults(now, _bounded(row))
    for name in [each for each, by_sender in state.peers.items() if not by_sender]:
        del state.peers[name]


def _bounded(row: OutlierRow) -> OutlierRow:
    """Return a row whose results are scaled down to what one sender may claim."""
    if row.tried <= _PEER_RESULTS_MAX:
        return row
    failed = max(1, row.failed * _PEER_RESULTS_MAX // row.tried)
    return OutlierRow(
        row.server, row.incarnation, _PEER_RESULTS_MAX, failed, row.reporters, row.age_ms
    )


def is_valid(peer: PeerResults, options: OutlierOptions, now: float) -> bool:
    """Return whether a peer's newest failure is recent enough to count."""
    return now - peer.received_at + peer.row.age_ms / _MS <= options.window_s
