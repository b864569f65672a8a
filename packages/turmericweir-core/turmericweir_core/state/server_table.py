"""The backend servers that this instance knows, and whether each may be given new work.

Sources, most trusted first: the results of this instance's requests, the server's load reports, the
platform's list and the settings. Leaving is monotonic for an incarnation: once any source reports
it, no other source revokes it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.config import Config, ServerEntry, Service
from turmericweir_core.base.ids import AttemptId, ServerName, Target
from turmericweir_core.base.model_label import label_model_name
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.state.leaving_notices import LeavingNotice, LeavingNotices, notices_on

# Time after which a probe of a server that does not answer has failed.
_PROBE_S: Final = 0.35


class Server(Struct):
    """One backend server."""

    entry: ServerEntry
    service: Service
    # The newest load report and when it was received.
    report: ServerReport | None = None
    report_at: float = 0.0
    # Number of this instance's requests in flight on the server when the report was received.
    in_flight_at_report: int = 0
    # This instance's attempts in flight on the server, with their tiers.
    in_flight: dict[AttemptId, int] = field(default_factory=dict)
    # Set by any source; never reset for the same incarnation.
    leaving: bool = False
    # An operator requested that it gets no new work.
    drained: bool = False
    # It announced in an answer to this instance, a refusal or not, that it is leaving.
    has_announced_leaving: bool = False
    # It restarted while its entry stayed the same, so leaving notices on the entry's incarnation do
    # not apply to it.
    has_outlived_entry: bool = False
    # No source names it any more; it is retained only until its requests in flight have ended.
    is_unlisted: bool = False
    # Not used before this time because a new connection to it failed.
    unreachable_until: float = 0.0
    # It wants no requests from this instance before this time.
    paused_until: float = 0.0
    # When a connection to it failed for the first time, or succeeded again afterwards; until its
    # entry is read after that, it may have started again with other software. None if none failed.
    restored_at: float | None = None
    # When the next load probe is sent.
    next_probe_at: float = 0.0
    # Total number of requests sent to it by this instance, for round robin.
    sent_count: int = 0

    @property
    def slots(self) -> int:
        """Return the number of requests that it can batch or run at once."""
        if self.report is not None:
            return self.report.slots
        return self.entry.slots or self.service.slots

    def serves(self, target: str) -> bool:
        """Return whether it serves the model or belongs to the plain service `target`."""
        if self.service.models:
            if self.report is not None and self.report.models:
                # A label contains a version; a request names a model with or without one.
                return any(
                    target in (label, label_model_name(label)) for label in self.report.models
                )
            return target in self.service.models
        return target == self.service.name


class ServerTable(Struct):
    """The servers that this instance may route to."""

    by_name: dict[ServerName, Server] = field(default_factory=dict)
    # Entries from the platform's list or from a peer, by name.
    listed: dict[ServerName, ServerEntry] = field(default_factory=dict)
    # When this instance or a peer last read the list; None for never.
    listed_at: float | None = None
    # Hash of the listed entries, for comparison with peers.
    listed_hash: int = 0
    # Servers write their entries themselves: an entry describes one incarnation of its server, and
    # there are no load reports.
    is_self_registered: bool = False
    # No server is paused after this time.
    last_pause_until: float = 0.0
    # Leaving notices of all instances.
    leaving_notices: LeavingNotices = field(default_factory=LeavingNotices)
    # Incremented whenever a server is added or removed, starts leaving or changes its models.
    # Invalidates caches derived from the table.
    version: int = 0


def any_target(server: Server) -> Target:
    """Return one of the targets that a server's service serves."""
    return Target(server.service.models[0] if server.service.models else server.service.name)


def can_take_work(server: Server, now: float) -> bool:
    """Return whether a server may be given new work."""
    if server.leaving or server.drained:
        return False
    return now >= server.unreachable_until and now >= server.paused_until


def reported_incarnation(server: Server) -> str:
    """Return the incarnation that the server itself reported; empty if it has not reported yet.

    The platform's list has its own names of incarnations, which differ from those of the servers.
    """
    return "" if server.report is None else server.report.incarnation


def servers_for(table: ServerTable, target: str, now: float) -> Iterator[Server]:
    """Yield the servers that may be given a request for a target."""
    for server in table.by_name.values():
        if can_take_work(server, now) and server.serves(target):
            yield server


def _merge_entry(table: ServerTable, config: Config, entry: ServerEntry) -> None:
    service = config.services.get(entry.service)
    if service is None:
        return
    server = table.by_name.get(entry.name)
    if server is None or _is_restarted(table, server.entry, entry):
        new_server = Server(entry, service, leaving=entry.leaving)
        table.by_name[entry.name] = new_server
        apply_notices(table, new_server)
        table.version += 1
        return
    if server.service is not service or (entry.leaving and not server.leaving):
        table.version += 1
    server.entry = entry
    server.service = service
    if server.is_unlisted and table.is_self_registered and not server.has_announced_leaving:
        # Its entry had expired and the server has written it again. Prevents a server that was
        # retained for a request in flight from being excluded permanently.
        server.leaving = entry.leaving
        apply_notices(table, server)
        table.version += 1
    server.is_unlisted = False
    # Prevents a source that lags from revoking the leaving state.
    server.leaving = server.leaving or entry.leaving


def _is_restarted(table: ServerTable, old: ServerEntry, new: ServerEntry) -> bool:
    if old.address != new.address:
        return True
    if table.is_self_registered:
        return old.incarnation != new.incarnation
    return bool(new.incarnation and old.incarnation and old.incarnation != new.incarnation)


def rebuild_table(table: ServerTable, config: Config) -> None:
    """Update the table from the settings and the newest list."""
    entries = {**table.listed, **config.servers}
    for entry in entries.values():
        _merge_entry(table, config, entry)
    for name in list(table.by_name):
        server = table.by_name[name]
        is_gone = name not in entries or entries[name].service not in config.services
        # A server with requests in flight is kept until they end, without new ones.
        if is_gone and not server.in_flight:
            del table.by_name[name]
            table.version += 1
        elif is_gone:
            server.is_unlisted = True
            if not server.leaving:
                server.leaving = True
                table.version += 1


def apply_server_list(table: ServerTable, config: Config, entries: tuple[ServerEntry, ...]) -> None:
    """Apply the platform's list, which may lack servers and contain servers that are gone.

    A server missing from the list is kept while it is reachable, because the platform may have just
    restarted with an incomplete list.
    """
    listed = {entry.name: entry for entry in entries}
    for name, entry in table.listed.items():
        if name in listed:
            continue
        server = table.by_name.get(name)
        if server is not None and not server.leaving and server.unreachable_until == 0.0:
            listed[name] = entry
    table.listed = listed
    rebuild_table(table, config)


def note_report(table: ServerTable, options: Options, now: float, report: ServerReport) -> None:
    """Apply a load report sent by a server."""
    server = table.by_name.get(report.server)
    if server is None:
        return
    if server.report is not None and server.report.incarnation == report.incarnation:
        if report.seq < server.report.seq:
            return
        is_leaving = server.leaving or report.leaving
    else:
        # The entry of a new incarnation may lag, so only the report counts. For a first report the
        # entry and a refusal count as well. Leaving notices are applied below.
        was_leaving_before = server.has_announced_leaving or server.entry.leaving
        is_leaving = report.leaving or (was_leaving_before and server.report is None)
    if server.report is None or server.report.models != report.models:
        table.version += 1
    if server.leaving != is_leaving:
        table.version += 1
    if server.report is not None and server.report.incarnation != report.incarnation:
        server.has_outlived_entry = True
        server.has_announced_leaving = False
        server.drained = False
    server.report = report
    server.report_at = now
    server.in_flight_at_report = len(server.in_flight)
    server.leaving = is_leaving
    server.unreachable_until = 0.0
    # A delayed report may belong to an incarnation that already has a leaving notice.
    apply_notices(table, server)


def note_unreachable(table: ServerTable, options: Options, now: float, name: ServerName) -> None:
    """Exclude a server for a while because a new connection to it failed."""
    server = table.by_name.get(name)
    if server is not None:
        server.unreachable_until = now + options.unreachable_retry_s


def note_suspected(server: Server, now: float) -> None:
    """Exclude a server until a probe that is sent now has succeeded or failed."""
    server.unreachable_until = max(server.unreachable_until, now + _PROBE_S)
    server.restored_at = now


def note_pause(table: ServerTable, now: float, server: Server, pause_s: float) -> None:
    """Send a server no requests for the time that it asked for."""
    server.paused_until = max(server.paused_until, now + pause_s)
    table.last_pause_until = max(table.last_pause_until, server.paused_until)


def note_answered(table: ServerTable, name: ServerName) -> None:
    """Use a server again because a new connection to it succeeded."""
    server = table.by_name.get(name)
    if server is not None:
        server.unreachable_until = 0.0


def servers_to_retry(table: ServerTable, options: Options, now: float) -> Iterator[Server]:
    """Yield the servers whose exclusion has ended, and extend it until they answer a probe."""
    for server in table.by_name.values():
        if 0.0 < server.unreachable_until <= now and not server.leaving:
            server.unreachable_until = now + options.unreachable_retry_s
            yield server


def note_leaving(table: ServerTable, name: ServerName) -> None:
    """Stop giving a server new work because it reported that it is leaving."""
    server = table.by_name.get(name)
    if server is None:
        return
    server.has_announced_leaving = True
    if not server.leaving:
        server.leaving = True
        table.version += 1


def apply_notices(table: ServerTable, server: Server) -> None:
    """Exclude a server from new work if there is a leaving notice on its incarnation.

    Prevents an entry from an outdated list from reactivating a leaving server.
    """
    before = (server.leaving, server.drained)
    for notice in notices_on(table.leaving_notices, server.entry.name):
        if _is_notice_for(table, notice, server):
            server.leaving = server.leaving or not notice.is_drained
            server.drained = server.drained or notice.is_drained
    if before != (server.leaving, server.drained):
        table.version += 1


def _is_notice_for(table: ServerTable, notice: LeavingNotice, server: Server) -> bool:
    if table.is_self_registered:
        # Prevents the notice on an earlier incarnation from excluding a server that came back.
        return notice.incarnation == server.entry.incarnation
    if server.report is None:
        # Its incarnation is unknown until its first report, so the notice applies until then.
        return True
    if notice.incarnation == server.report.incarnation:
        return True
    return notice.incarnation == server.entry.incarnation and not server.has_outlived_entry


def servers_to_probe(table: ServerTable, options: Options, now: float) -> Iterator[Server]:
    """Yield the servers to probe for their load now, and schedule their next probes."""
    for server in table.by_name.values():
        if now >= server.next_probe_at:
            server.next_probe_at = now + options.probe_s
            yield server


def preferred_servers(candidates: Iterable[Server], req: Request) -> list[Server]:
    """Return the candidates without the servers to avoid, or all of them if none would be left."""
    servers = list(candidates)
    if not req.failed_servers:
        return servers
    return [server for server in servers if server.entry.name not in req.failed_servers] or servers
