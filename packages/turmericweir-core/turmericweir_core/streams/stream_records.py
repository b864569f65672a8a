"""Keep in the platform's store what instances cannot learn after all of them ended at once.

An instance that starts sees the servers that are listed now. A release whose last server has just
left is not among them, so it must not take the only release that it sees for the only one that a
stream may have begun at. The reader of the store therefore writes down which releases each service
has had lately, whenever that changes. An instance knows the history of releases if it has read that
record, or has followed the entries of servers for longer than callers take a stream up. When a
system starts for the first time there are no streams yet; its first instances all write the record,
since the reader is picked somewhat later.

While a service has several releases, streams go on after such a loss only if their bindings are
written down too. A few instances, the writers, do that in batches; each other one sends its
bindings to one of them, as to the holders of copies (`stream_copies`). A batch replaces the oldest
one of its writer, so the records stay few.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.release import UNKNOWN_RELEASE, Release
from turmericweir_core.membership import eras, membership, relays, store_duty
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.messages.record_messages import (
    PutReleases,
    PutStreams,
    ReadRecords,
    RecordsRead,
    ReleasesPut,
    StreamsNotPut,
)
from turmericweir_core.messages.stream_messages import StreamRow
from turmericweir_core.state.stream_state import Holder, StreamKey
from turmericweir_core.streams import stream_bindings, stream_copies

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Hash key for picking the writers, and the number of instances for each.
_DUTY: Final = "streams"
_INSTANCES_PER_WRITER: Final = 16
# Interval between two batches of a writer, and the largest batch.
_BATCH_INTERVAL_S: Final = 0.5
_BATCH_ROWS_MAX: Final = 4_000
# Interval between two attempts to write the releases down, and between two reads of the records.
_RELEASES_INTERVAL_S: Final = 1.0
_READ_INTERVAL_S: Final = 0.5
_UPDATE_INTERVAL_S: Final = 0.4
# Named as the source of bindings that were read from the store.
_STORE: Final = InstanceName("store")


# --- history of releases ----------------------------------------------------------------------


def has_history(state: State, now: float) -> bool:
    """Return whether this instance knows all releases at which a stream may have begun."""
    return known_at(state) <= now


def known_at(state: State) -> float:
    """Return when this instance will know that, if it reads no record before."""
    return state.streams.history_from + stream_bindings.GONE_KEEP_S


def is_era_settled(state: State) -> bool:
    """Return whether the records that were read are complete."""
    return state.eras.settled >= state.eras.current


def is_read_wanted(state: State, now: float) -> bool:
    """Return whether reading the records would show more than is known here."""
    return not has_read(state) or not has_history(state, now)


def has_read(state: State) -> bool:
    """Return whether the records were read since this process started."""
    return state.streams.records_read_at > float("-inf")


def on_records_read(state: State, now: float, event: RecordsRead) -> None:
    """Take over the bindings, and the history if it is complete."""
    streams = state.streams
    streams.records_read_at = max(streams.records_read_at, event.requested_at)
    # Batches that are being written are not among the records.
    streams.next_slot = max(streams.next_slot, event.next_slot)
    for row in event.rows:
        key = StreamKey(row.key)
        binding = stream_copies.binding_of(now, _STORE, row)
        stream_bindings.record(state, now, key, binding)
        # It is in the store.
        streams.unstored.discard(key)
    # A copy of the store may lack the newest releases.
    if not eras.is_proof(state, event.era, event.requested_at):
        return
    streams.stored_releases = event.releases
    if event.releases is None and not event.is_first_start:
        return
    streams.stored_era = event.era
    for service, releases in (event.releases or {}).items():
        stream_bindings.note_stored_releases(state, now, service, map(Release, releases))
    streams.history_from = float("-inf")
    streams.history_read_at = event.requested_at


def request_read(state: State, now: float) -> list[Effect]:
    """Read the records again, unless that was done just now."""
    streams = state.streams
    if now < streams.next_read_at:
        return []
    streams.next_read_at = now + _READ_INTERVAL_S
    return [ReadRecords()]


# --- writing ----------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Write down releases and bindings, as far as this instance is picked for it."""
    streams = state.streams
    effects: list[Effect] = []
    if now >= streams.next_update_at:
        streams.next_update_at = now + _UPDATE_INTERVAL_S
        releases = _model_releases(state, now)
        is_divided = any(len(each) > 1 for each in releases.values())
        effects += _follow_writers(state, now, is_divided=is_divided)
        effects += _put_releases(state, now, releases)
    return effects + _put_streams(state, now)


def _model_releases(state: State, now: float) -> dict[str, set[Release]]:
    """Return the late releases of the services that have streams."""
    return {
        name: releases
        for name, releases in stream_bindings.late_releases(state, now).items()
        if name in state.config.services and state.config.services[name].kind is ServiceKind.MODEL
    }


def _put_releases(state: State, now: float, releases: dict[str, set[Release]]) -> list[Effect]:
    streams = state.streams
    is_reader = store_duty.is_store_reader(state, now)
    # The reader does not hear of a start that no list names.
    is_told = any(UNKNOWN_RELEASE in each for each in releases.values())
    if not is_reader and not is_told and not store_duty.is_start_phase(state, now):
        return []
    if not has_history(state, now):
        # After a gap in reading entries the records may still cover it.
        return request_read(state, now) if streams.records_read_at < streams.history_from else []
    if streams.stored_era != state.eras.settled:
        # A copy of the store may lack what was written.
        streams.stored_era = state.eras.settled
        streams.stored_releases = None
    stored: dict[str, list[int]] = {name: sorted(each) for name, each in releases.items()}
    if stored == streams.stored_releases or now < streams.next_releases_at:
        return []
    if not is_reader and _covers(streams.stored_releases, stored):
        return []
    streams.next_releases_at = now + _RELEASES_INTERVAL_S
    return [PutReleases(stored)]


def on_process_noted(state: State, now: float) -> list[Effect]:
    """Write the releases down as soon as there is one that no list names."""
    return _put_releases(state, now, _model_releases(state, now))


def _covers(stored: dict[str, list[int]] | None, releases: dict[str, list[int]]) -> bool:
    """Return whether all releases are stored."""
    known = stored or {}
    return all(set(each) <= set(known.get(name, ())) for name, each in releases.items())


def on_releases_put(state: State, event: ReleasesPut) -> list[Effect]:
    """Record what the store holds."""
    state.streams.stored_releases = event.releases
    return [Log("releases_stored", {"releases": event.releases})]


def _put_streams(state: State, now: float) -> list[Effect]:
    """Write the next batch of bindings."""
    streams = state.streams
    if not streams.is_writer or now < streams.next_batch_at or not has_read(state):
        return []
    rows = _take_rows(state, now)
    if not rows:
        return []
    streams.next_batch_at = now + _BATCH_INTERVAL_S
    slot = streams.next_slot
    streams.next_slot += 1
    return [Count("streams.stored", len(rows)), PutStreams(slot, rows)]


def _take_rows(state: State, now: float) -> list[StreamRow]:
    streams = state.streams
    rows: list[StreamRow] = []
    while streams.unstored and len(rows) < _BATCH_ROWS_MAX:
        key = streams.unstored.pop()
        binding = stream_bindings.find_binding(state, now, key)
        if binding is not None:
            rows.append(stream_copies.row_of(now, key, binding))
    return rows


def on_streams_not_put(state: State, event: StreamsNotPut) -> list[Effect]:
    """Write bindings again of which a batch was lost."""
    state.streams.unstored |= {StreamKey(row.key) for row in event.rows}
    return [Count("streams.not_stored", len(event.rows))]


# --- writers ----------------------------------------------------------------------------------


def _follow_writers(state: State, now: float, *, is_divided: bool) -> list[Effect]:
    """Pick the writer of this instance; send it all bindings if it is new."""
    streams = state.streams
    writers = _writers(state, now) if is_divided else []
    previous, was_writer = streams.writer, streams.is_writer
    streams.is_writer = any(each.name == state.me.name for each in writers)
    streams.writer = None
    if writers and not streams.is_writer:
        streams.writer = writers[xxhash.xxh32_intdigest(state.me.name.encode()) % len(writers)]
    if not streams.is_writer:
        streams.unstored.clear()
    if streams.is_writer and not was_writer:
        # Others may have sent theirs before this instance knew that it is a writer.
        streams.unstored |= set(streams.by_key)
    if streams.writer is None or streams.writer == previous:
        return []
    rows = [stream_copies.row_of(now, key, streams.by_key[key]) for key in _own_keys(state, now)]
    return stream_copies.send_rows(streams.writer, rows)


def _own_keys(state: State, now: float) -> list[StreamKey]:
    """Return the streams that this instance has begun."""
    return [
        key
        for key, binding in state.streams.by_key.items()
        if binding.source == state.me.name and binding.expires_at > now
    ]


def _writers(state: State, now: float) -> list[Holder]:
    members = [each for each in membership.region_instances(state, now) if not each.leaving]
    count = -(-len(members) // _INSTANCES_PER_WRITER)
    return [
        Holder(each.name, each.peer_address, each.data_centre, each.incarnation)
        for each in relays.members_for_duty(members, _DUTY, count)
    ]
