"""What this instance knows of each backend server, and whether it may be given new work.

Sources, in the order of trust: what the server itself did to this instance's own requests, what its
load report says, what the platform's list and the settings say. Leaving is monotonic for an
incarnation: once any source says so, no other source takes it back.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from msgspec import Struct, field

from turmericweir_core.base.config import Config, ServerEntry, Service
from turmericweir_core.base.ids import AttemptId, ServerName, Target
from turmericweir_core.base.model_label import bare_name
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.state.leaving_marks import LeavingMark, LeavingMarks, marks_on


class Server(Struct):
    """One backend server."""

    entry: ServerEntry
    service: Service
    # The newest load report and when it came.
    report: ServerReport | None = None
    report_at: float = 0.0
    # Requests of this instance in flight there when the report came.
    own_at_report: int = 0
    # Requests of this instance in flight there: attempt and its tier.
    in_flight: dict[AttemptId, int] = field(default_factory=dict)
    # Set by any source that says so; kept until the incarnation changes.
    leaving: bool = False
    # An operator asked that it gets no new work.
    drained: bool = False
    # It refused a request of this instance as leaving.
    refused_leaving: bool = False
    # It restarted while its entry stayed the same, so what is said of the entry's incarnation is
    # not about this one.
    outlived_entry: bool = False
    # Nothing names it any more; it stays for the requests that are in flight there.
    gone: bool = False
    # Not asked again before this time, because a new connection to it failed.
    unreachable_until: float = 0.0
    # When the next load probe is due.
    probe_due: float = 0.0
    # Count of requests ever sent to it from here; the round robin goes by it.
    sent: int = 0

    @property
    def slots(self) -> int:
        """Requests that it can batch or run at once."""
        if self.report is not None:
            return self.report.slots
        return self.entry.slots or self.service.slots

    def serves(self, target: str) -> bool:
        """Tell whether it has the model, or is of the plain service, that is asked for."""
        if self.service.models:
            if self.report is not None and self.report.models:
                # A label names the version as well; requests name the model, in any version.
                return any(target in (each, bare_name(each)) for each in self.report.models)
            return target in self.service.models
        return target == self.service.name


class ServerTable(Struct):
    """The servers that this instance may route to."""

    by_name: dict[ServerName, Server] = field(default_factory=dict)
    # Entries that the platform's list or a peer named, by name.
    listed: dict[ServerName, ServerEntry] = field(default_factory=dict)
    # When the platform was last seen to say so, by this instance or a peer; None for never.
    listed_at: float | None = None
    # Hash of the listed entries, for comparison with peers.
    listed_hash: int = 0
    # Servers write the entries themselves: an entry is the word of one life of its server, and
    # there are no reports that would tell more.
    own_word: bool = False
    # What any instance has found to be leaving.
    marks: LeavingMarks = field(default_factory=LeavingMarks)
    # Rises whenever a server comes, goes, starts leaving or serves other models; what is derived
    # from the whole table is kept until then.
    version: int = 0


def any_target(server: Server) -> Target:
    """Name one of the targets that a server's service serves."""
    return Target(server.service.models[0] if server.service.models else server.service.name)


def is_open(server: Server, now: float) -> bool:
    """Tell whether a server may be given new work."""
    return not (server.leaving or server.drained) and now >= server.unreachable_until


def known_incarnation(server: Server) -> str:
    """Name the server's present life by its own word; empty where it has not given it yet.

    The platform's list has its own names for lives, which say nothing of the server's.
    """
    return "" if server.report is None else server.report.incarnation


def servers_for(table: ServerTable, target: str, now: float) -> Iterator[Server]:
    """Yield the servers that may be given a request for a target."""
    for server in table.by_name.values():
        if is_open(server, now) and server.serves(target):
            yield server


def _merge_entry(table: ServerTable, config: Config, entry: ServerEntry) -> None:
    service = config.services.get(entry.service)
    if service is None:
        return
    known = table.by_name.get(entry.name)
    if known is None or _restarted(table, known.entry, entry):
        fresh = Server(entry, service, leaving=entry.leaving)
        table.by_name[entry.name] = fresh
        apply_marks(table, fresh)
        table.version += 1
        return
    if known.service is not service or (entry.leaving and not known.leaving):
        table.version += 1
    known.entry = entry
    known.service = service
    if known.gone and table.own_word and not known.refused_leaving:
        # Its entry had lapsed, and it has written it anew. Failure without this: a request that
        # was in flight meanwhile keeps the server as it was, and it gets no work for good.
        known.leaving = entry.leaving
        apply_marks(table, known)
        table.version += 1
    known.gone = False
    # Leaving is never taken back by a source that lags.
    known.leaving = known.leaving or entry.leaving


def _restarted(table: ServerTable, old: ServerEntry, new: ServerEntry) -> bool:
    if old.address != new.address:
        return True
    if table.own_word:
        return old.incarnation != new.incarnation
    return bool(new.incarnation and old.incarnation and old.incarnation != new.incarnation)


def rebuild(table: ServerTable, config: Config) -> None:
    """Bring the table in line with the settings and the newest list."""
    entries = {**table.listed, **config.servers}
    for entry in entries.values():
        _merge_entry(table, config, entry)
    for name in list(table.by_name):
        server = table.by_name[name]
        gone = name not in entries or entries[name].service not in config.services
        # One with requests of ours in flight stays until they end; it gets no new ones.
        if gone and not server.in_flight:
            del table.by_name[name]
            table.version += 1
        elif gone:
            server.gone = True
            if not server.leaving:
                server.leaving = True
                table.version += 1


def list_servers(table: ServerTable, config: Config, entries: tuple[ServerEntry, ...]) -> None:
    """Take the platform's list, a hint that lags both ways.

    A server missing from the list is kept while it still answers: the list may have been read from
    a platform that has just restarted. It goes when it also cannot be reached.
    """
    fresh = {entry.name: entry for entry in entries}
    for name, entry in table.listed.items():
        if name in fresh:
            continue
        server = table.by_name.get(name)
        if server is not None and not server.leaving and server.unreachable_until == 0.0:
            fresh[name] = entry
    table.listed = fresh
    rebuild(table, config)


def note_report(table: ServerTable, options: Options, now: float, report: ServerReport) -> None:
    """Take a server's own load report."""
    server = table.by_name.get(report.server)
    if server is None:
        return
    if server.report is not None and server.report.incarnation == report.incarnation:
        if report.seq < server.report.seq:
            return
        report_leaving = server.leaving or report.leaving
    else:
        # A new incarnation has not said that it leaves; its entry in the list may lag behind. At
        # a first report, what the list or a refusal said stands; the marks are looked at below.
        told = server.refused_leaving or server.entry.leaving
        report_leaving = report.leaving or (told and server.report is None)
    if server.report is None or server.report.models != report.models:
        table.version += 1
    if server.leaving != report_leaving:
        table.version += 1
    if server.report is not None and server.report.incarnation != report.incarnation:
        server.outlived_entry = True
        server.refused_leaving = False
        server.drained = False
    server.report = report
    server.report_at = now
    server.own_at_report = len(server.in_flight)
    server.leaving = report_leaving
    server.unreachable_until = 0.0
    # A report that was held up is of an incarnation that may be marked long since.
    apply_marks(table, server)


def note_unreachable(table: ServerTable, options: Options, now: float, name: ServerName) -> None:
    """Leave a server alone for a while after a new connection to it failed."""
    server = table.by_name.get(name)
    if server is not None:
        server.unreachable_until = now + options.unreachable_retry_s


def note_answered(table: ServerTable, name: ServerName) -> None:
    """Use a server again to which a new connection worked."""
    server = table.by_name.get(name)
    if server is not None:
        server.unreachable_until = 0.0


def due_trials(table: ServerTable, options: Options, now: float) -> Iterator[Server]:
    """Yield servers that were left alone for long enough; they stay so until they answer."""
    for server in table.by_name.values():
        if 0.0 < server.unreachable_until <= now and not server.leaving:
            server.unreachable_until = now + options.unreachable_retry_s
            yield server


def note_leaving(table: ServerTable, name: ServerName) -> None:
    """Give a server no new work any more: it said itself that it leaves."""
    server = table.by_name.get(name)
    if server is None:
        return
    server.refused_leaving = True
    if not server.leaving:
        server.leaving = True
        table.version += 1


def apply_marks(table: ServerTable, server: Server) -> None:
    """Let a server get no new work if its incarnation is marked.

    Without this an entry that comes in again, from a list older than the mark, would be taken for
    a server that has just come: requests would go to it until it refused one.
    """
    before = (server.leaving, server.drained)
    for mark in marks_on(table.marks, server.entry.name):
        if _is_about(table, mark, server):
            server.leaving = server.leaving or not mark.drained
            server.drained = server.drained or mark.drained
    if before != (server.leaving, server.drained):
        table.version += 1


def _is_about(table: ServerTable, mark: LeavingMark, server: Server) -> bool:
    if table.own_word:
        # Failure without this: a server that left and is back under its name gets no work for as
        # long as the mark on its life before is kept.
        return mark.incarnation == server.entry.incarnation
    if server.report is None:
        # It has not said who it is. Its first report, soon after, decides.
        return True
    if mark.incarnation == server.report.incarnation:
        return True
    return mark.incarnation == server.entry.incarnation and not server.outlived_entry


def due_probes(table: ServerTable, options: Options, now: float) -> Iterator[Server]:
    """Yield the servers whose load is to be asked now, and set when they are due again."""
    for server in table.by_name.values():
        if now >= server.probe_due:
            server.probe_due = now + options.probe_s
            yield server


def preferred(candidates: Iterable[Server], req: Request) -> list[Server]:
    """Leave out servers that this request has failed on, as long as any other is left."""
    found = list(candidates)
    if not req.avoid:
        return found
    return [each for each in found if each.entry.name not in req.avoid] or found
