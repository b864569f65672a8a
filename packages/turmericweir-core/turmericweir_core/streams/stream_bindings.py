"""Bind streams to the release of the server that wrote their first event.

From then on, this stream goes on only at servers of that release: within the answer of this
instance, and where the caller takes the stream up. A stream is named by the caller's id of the
request that brought its first event. Bindings are kept for longer than callers try again, here and
as copies at some peers (`stream_copies`), and are looked up there (`stream_lookup`).

A server may start again under its name with other software before its entry has been read. So it is
asked on the connection of the stream which start it is, and the release is that of the entry of
this start. Where entries name no start, the entry of a server whose port was closed counts only if
it was read a moment after the server was reached again.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

import xxhash

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.release import UNKNOWN_RELEASE, Release, release_of
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.messages.effects import Effect, Log, SendDatagram
from turmericweir_core.messages.stream_messages import StreamsBound
from turmericweir_core.state.server_table import Server
from turmericweir_core.state.stream_state import StreamBinding, StreamKey
from turmericweir_core.streams import stream_copies

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Time for which callers may try again after the deadline of a request.
_RETRY_S: Final = 30.0
_BINDINGS_MAX: Final = 50_000
_EXPIRY_INTERVAL_S: Final = 1.0
# Age up to which the history that was read from the store covers a gap in reading entries.
_HISTORY_FRESH_S: Final = 3.0
# How long a release without servers is remembered: longer than a stream lasts.
GONE_KEEP_S: Final = 60.0


def key_of(customer: str, stream_id: str) -> StreamKey:
    """Return the key of a customer's stream; another customer's stream has another one."""
    return StreamKey(xxhash.xxh3_64_intdigest(f"{customer}\0{stream_id}".encode()))


def find_binding(state: State, now: float, key: StreamKey) -> StreamBinding | None:
    """Return what is known here of a stream."""
    binding = state.streams.by_key.get(key)
    return None if binding is None or binding.expires_at < now else binding


# --- binding ---------------------------------------------------------------------------------


def on_events(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    """Bind the stream of a request of which events are passed on, unless it is bound."""
    if req.release is not None or req.kind is not ServiceKind.MODEL:
        return []
    server = state.servers.by_name.get(attempt.server)
    process = attempt.process_incarnation
    if process is not None and (process or attempt.listed_incarnation):
        return _bind(state, now, req, _release_of_process(server, attempt, process))
    if server is None or not is_release_confirmed(state, server):
        # Tried again with the next events.
        return []
    # The entry may have changed since the attempt began.
    is_same = release_of(server.entry) == attempt.release
    return _bind(state, now, req, attempt.release if is_same else UNKNOWN_RELEASE)


def _release_of_process(server: Server | None, attempt: Attempt, process: str) -> Release:
    """Return the release of the process that an attempt was sent to, by the entry of its start."""
    if process and process == attempt.listed_incarnation:
        return attempt.release
    if process and server is not None and process == server.entry.incarnation:
        return release_of(server.entry)
    # The entry of that start was not read yet, or the server does not say which start it is.
    return UNKNOWN_RELEASE


def _bind(state: State, now: float, req: Request, release: Release) -> list[Effect]:
    req.release = release
    req.release_source = state.me.name
    if not req.is_resumable or not req.stream_id:
        return []
    key = key_of(req.customer, req.stream_id)
    expires_at = max(now, req.deadline) + _RETRY_S
    record(state, now, key, StreamBinding(release, expires_at, state.me.name))
    return stream_copies.send_copies(state, now, key)


def bind_before_retry(req: Request, attempt: Attempt) -> None:
    """Hold a request whose events came from a server that may have started again meanwhile."""
    if req.kind is ServiceKind.MODEL and req.delivered and req.release is None:
        req.release = UNKNOWN_RELEASE
        req.unconfirmed_attempt = attempt


def bind_held(state: State, now: float, req: Request) -> list[Effect]:
    """Bind a held request once the entry of the server that brought its events is known."""
    attempt = req.unconfirmed_attempt
    if attempt is None:
        return []
    server = state.servers.by_name.get(attempt.server)
    if server is not None and not is_release_confirmed(state, server):
        return []
    req.unconfirmed_attempt = None
    is_same = server is not None and release_of(server.entry) == attempt.release
    return _bind(state, now, req, attempt.release if is_same else UNKNOWN_RELEASE)


def on_server_restarted(state: State, now: float, name: ServerName) -> list[Effect]:
    """Unbind the streams that the earlier entry of a restarted server was wrongly bound to."""
    effects: list[Effect] = []
    server = state.servers.by_name.get(name)
    for req in state.requests.values():
        attempt = req.attempt
        if attempt is None or attempt.server != name or attempt.first_token_at is None:
            continue
        if attempt.process_incarnation:
            # It is bound to the release of that start.
            continue
        if server is not None and release_of(server.entry) != attempt.release:
            fields = {"request_id": req.request_id, "peer": name, "step": "restarted"}
            effects += [Log("stream_release_unknown", fields)]
            effects += _bind(state, now, req, UNKNOWN_RELEASE)
    return effects


def take_up(state: State, now: float, req: Request, binding: StreamBinding) -> list[Effect]:
    """Bind a request to the release of the stream that it takes up."""
    req.release, req.release_source = binding.release, binding.source
    if not req.stream_id:
        return []
    key = key_of(req.customer, req.stream_id)
    expires_at = max(now, req.deadline) + _RETRY_S
    record(state, now, key, StreamBinding(binding.release, expires_at, binding.source))
    # The next try may come to an instance that has no copy from this one's peers.
    return stream_copies.send_copies(state, now, key)


def record(state: State, now: float, key: StreamKey, binding: StreamBinding) -> None:
    """Record a binding; of two that differ none can be trusted."""
    by_key = state.streams.by_key
    known = find_binding(state, now, key)
    if known is not None:
        if known.release != binding.release:
            known.release = UNKNOWN_RELEASE
            _note_unstored(state, key)
        known.expires_at = max(known.expires_at, binding.expires_at)
        return
    _note_unstored(state, key)
    if len(by_key) >= _BINDINGS_MAX:
        del by_key[next(iter(by_key))]
        state.streams.dropped += 1
    by_key[key] = binding


def _note_unstored(state: State, key: StreamKey) -> None:
    if state.streams.is_writer:
        state.streams.unstored.add(key)


# --- servers ---------------------------------------------------------------------------------


def is_release_confirmed(state: State, server: Server) -> bool:
    """Return whether the entry of a server is known to be that of its newest start."""
    if state.streams.replaced_starts.get(server.entry.name) == server.entry.incarnation:
        return False
    if server.restored_at is None:
        return True
    table = state.servers
    if server.entry.name not in table.listed:
        # Named by the settings, which change only when an operator changes them.
        return True
    read_at = state.registry.read_at if table.is_self_registered else table.listed_at
    return read_at is not None and read_at >= server.restored_at + _CONFIRM_S


# Time from the start of a server until its entry can be read.
_CONFIRM_S: Final = 0.5
# Interval at which an entry is suspected at most; longer than its confirmation usually takes.
# Prevents streams of a server that breaks off many from waiting for ever.
_SUSPECT_INTERVAL_S: Final = 1.0


def note_process(state: State, now: float, attempt: Attempt, process: str) -> bool:
    """Record which start the server of an attempt is; return whether no list names it.

    Nobody knows the release of such a start, so from now on the service has had several.
    """
    server = state.servers.by_name.get(attempt.server)
    if (
        not process
        or server is None
        or process
        in (
            attempt.listed_incarnation,
            server.entry.incarnation,
        )
    ):
        return False
    note_releases(state, now, [(server.entry.service, UNKNOWN_RELEASE)])
    state.streams.replaced_starts[attempt.server] = server.entry.incarnation
    return True


def note_misplaced(state: State, now: float, name: ServerName) -> None:
    """Suspect the entry of a server that a stream could not go on at."""
    server = state.servers.by_name.get(name)
    if server is not None:
        server.restored_at = now


def on_broken(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    """Suspect the entry of a server that broke an attempt off, here and at all peers.

    It may have started again with other software, and the caller may take the stream up at a peer
    at once.
    """
    if req.kind is not ServiceKind.MODEL or not _suspect_entry(state, now, attempt.server):
        return []
    message = StreamsBound([], [attempt.server])
    return [
        SendDatagram(holder.name, holder.address, message)
        for holder in sorted(state.streams.holders, key=lambda each: each.name)
    ]


def on_suspected(state: State, now: float, names: list[str]) -> None:
    """Suspect the entries of servers at which streams of a peer broke off."""
    for name in names:
        _suspect_entry(state, now, ServerName(name))


def _suspect_entry(state: State, now: float, name: ServerName) -> bool:
    """Suspect an entry until it is read again; return False if it was suspected just now.

    Also where a service has had one release only: this server may be the first of another one.
    """
    server = state.servers.by_name.get(name)
    suspected_at = state.streams.suspected_at
    if server is None or now - suspected_at.get(name, float("-inf")) < _SUSPECT_INTERVAL_S:
        return False
    suspected_at[name] = server.restored_at = now
    return True


def has_release(state: State, server: Server, release: Release) -> bool:
    """Return whether a server certainly has a release."""
    return release_of(server.entry) == release and is_release_confirmed(state, server)


def note_releases(state: State, now: float, gone_entries: list[tuple[str, Release]]) -> None:
    """Remember the releases of entries that were removed or replaced."""
    for service, release in gone_entries:
        state.streams.gone_releases.setdefault(service, {})[release] = now


def note_stored_releases(
    state: State, now: float, service: str, releases: Iterable[Release]
) -> None:
    """Remember releases that the store names, unless it is known here when they went."""
    gone = state.streams.gone_releases.setdefault(service, {})
    for release in releases:
        gone.setdefault(release, now)


def note_gap(state: State, now: float) -> None:
    """Start the history of releases anew after a gap that no recent record of the store covers."""
    if now - state.streams.history_read_at > _HISTORY_FRESH_S:
        state.streams.history_from = now


def late_releases(state: State, now: float) -> dict[str, set[Release]]:
    """Return the releases that each service has had of late, as far as they were seen here."""
    releases: dict[str, set[Release]] = {}
    for server in state.servers.by_name.values():
        releases.setdefault(server.entry.service, set()).add(release_of(server.entry))
    for service, gone in state.streams.gone_releases.items():
        late = {release for release, gone_at in gone.items() if now - gone_at <= GONE_KEEP_S}
        if late:
            releases.setdefault(service, set()).update(late)
    return releases


def sole_release(state: State, now: float, service: str) -> Release | None:
    """Return the release of all servers of a service that were seen of late, or None if several."""
    releases = late_releases(state, now).get(service, set())
    return next(iter(releases)) if len(releases) == 1 else None


def on_tick(state: State, now: float) -> None:
    """Drop what has expired."""
    streams = state.streams
    if now < streams.next_expiry_at:
        return
    streams.next_expiry_at = now + _EXPIRY_INTERVAL_S
    expired = [key for key, binding in streams.by_key.items() if binding.expires_at < now]
    for key in expired:
        del streams.by_key[key]
    for name in [each for each in streams.suspected_at if each not in state.servers.by_name]:
        del streams.suspected_at[name]
    for name in [each for each in streams.replaced_starts if each not in state.servers.by_name]:
        del streams.replaced_starts[name]
    for releases in streams.gone_releases.values():
        for release in [each for each, at in releases.items() if now - at > GONE_KEEP_S]:
            del releases[release]


def describe(state: State, name: InstanceName) -> dict[str, object]:
    """Return the number of bindings for the state dump: all, and those of this instance."""
    bindings = state.streams.by_key.values()
    return {
        "bound": len(bindings),
        "own": sum(1 for each in bindings if each.source == name),
        "lookups": len(state.streams.lookups),
        "dropped": state.streams.dropped,
    }
