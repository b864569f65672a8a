"""Simulate how many instances know of each other's streams, with one clock and no processes.

Only the package `streams` runs at each instance. Datagrams arrive at once, or late if held; those
to instances that are down or cut off are lost. The store keeps what `run_records` writes; it
answers at once, and is read by instances that start or ask for it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from tests.core.store_world import FIT, MODEL, StoreWorld
from turmericweir.peers.peer_codec import encode
from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.release import Release, release_of
from turmericweir_core.base.request import Attempt, Request, RequestPhase
from turmericweir_core.membership import eras, store_duty
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.events import RegistryRead
from turmericweir_core.messages.peer_messages import PeerMessage
from turmericweir_core.messages.record_messages import (
    PutReleases,
    PutStreams,
    ReadRecords,
    RecordsRead,
    ReleasesPut,
)
from turmericweir_core.messages.stream_messages import (
    StreamAsk,
    StreamRow,
    StreamsBound,
    StreamUnknown,
)
from turmericweir_core.state.membership_state import Member, RemoteCentre
from turmericweir_core.state.state import Identity, State
from turmericweir_core.streams import (
    stream_bindings,
    stream_copies,
    stream_lookup,
    stream_records,
)
from turmericweir_core.streams.stream_lookup import Found, Pending, Resolved, Unknown

# Headers of IP and UDP in front of each datagram.
DATAGRAM_HEADER_BYTES = 28
VERSIONS = ("v1", "v2", "v3")


@dataclass
class StoredRecords:
    """The own records in the store."""

    releases: dict[str, list[int]] | None = None
    rows: dict[tuple[str, int], list[StreamRow]] = field(default_factory=dict)
    # The era of the store, and the newest that is marked as settled.
    era: int = 0
    marked: int | None = None
    writes: Counter[InstanceName] = field(default_factory=Counter)
    written_bytes: int = 0


class StreamNetwork:
    """Instances of one region that pass on streams of servers of several versions."""

    def __init__(self, instances: int, centres: int, *, versions: int = 2, seed: int = 1) -> None:
        self.now = 100.0
        self.rng = Random(seed)
        self.names = [InstanceName(f"edge-dc{n % centres}-{n:03}") for n in range(instances)]
        self.centre_of = {name: f"dc{n % centres}" for n, name in enumerate(self.names)}
        self.servers = [ServerName(f"lm-{number + 1}") for number in range(versions)]
        self.starts: Counter[InstanceName] = Counter()
        self.down: set[InstanceName] = set()
        # Data centres that reach no others.
        self.cut_off: set[str] = set()
        # Instances that cannot read the list of servers, and the own records.
        self.without_list: set[InstanceName] = set()
        self.without_records: set[InstanceName] = set()
        # Whether datagrams are held until `deliver_held`.
        self.is_holding = False
        self.held: list[tuple[InstanceName, InstanceName, PeerMessage]] = []
        self.sent_bytes: Counter[InstanceName] = Counter()
        self.streams: dict[str, Release] = {}
        self.store = StoredRecords()
        self._resolved: dict[RequestId, Found | Unknown] = {}
        self.states = {name: self._new_state(name) for name in self.names}
        self.update_members()

    def _new_state(self, name: InstanceName, servers: list[ServerName] | None = None) -> State:
        world = StoreWorld(len(self.servers), 0, name=name)
        entries = tuple(
            (world.entry(server, "lm", software_version=version), 2)
            for server, version in zip(self.servers, VERSIONS, strict=False)
            if servers is None or server in servers
        )
        world.give(RegistryRead(entries, is_complete=True))
        state = world.state
        # Of the entries that the world began with.
        state.streams.gone_releases.clear()
        # It has run for long.
        state.streams.history_from = float("-inf")
        state.streams.records_read_at = self.now
        if self.starts[name]:
            state.streams.history_from = self.now
        incarnation = f"start-{self.starts[name]}"
        state.me = Identity(name, self.centre_of[name], "home", f"{name}:1", incarnation)
        return state

    def update_members(self) -> None:
        """Let all instances see who is live, and send copies to new holders."""
        self.now += 0.3
        for name, state in self.states.items():
            if name in self.down:
                continue
            seen = [each for each in self.names if self._reaches(name, each)]
            state.members.by_name = {
                each: Member(
                    each,
                    self.centre_of[each],
                    f"{each}:1",
                    region="home",
                    incarnation=f"start-{self.starts[each]}",
                    last_seen_at=self.now,
                )
                for each in seen
                if each != name
            }
            state.members.centres = {
                centre: RemoteCentre(
                    centre,
                    "home",
                    last_seen_at=self.now,
                    roster=frozenset(each for each in seen if self.centre_of[each] == centre),
                )
                for centre in {self.centre_of[each] for each in seen} - {self.centre_of[name]}
            }
            self._perform(name, stream_copies.on_tick(state, self.now))

    def _reaches(self, sender: InstanceName, receiver: InstanceName) -> bool:
        if sender in self.down or receiver in self.down:
            return False
        centres = {self.centre_of[sender], self.centre_of[receiver]}
        return len(centres) == 1 or not centres & self.cut_off

    # --- trouble ---

    def kill(self, names: Iterable[InstanceName]) -> None:
        """End instances at once; the others do not know yet."""
        self.down |= set(names)

    def restart(self, name: InstanceName, servers: list[ServerName] | None = None) -> None:
        """Start an instance again, without its state; it sees some servers, all by default."""
        self.starts[name] += 1
        self.down.discard(name)
        self.states[name] = self._new_state(name, servers)
        self.states[name].members.started_at = self.now
        self.read_records(name)

    def restart_all(self, servers: list[ServerName] | None = None) -> None:
        """End all instances at once and start them again."""
        self.kill(self.names)
        for name in self.names:
            self.restart(name, servers)
        self.update_members()

    # --- records in the store ---

    def read_records(self, name: InstanceName) -> None:
        """Have an instance read the records."""
        rows = [row for each in self.store.rows.values() for row in each]
        slot = max((slot + 1 for writer, slot in self.store.rows if writer == name), default=0)
        store = self.store
        event = RecordsRead(
            self.now,
            store.era,
            store.marked,
            store.releases,
            rows,
            slot,
            is_first_start=not store.writes,
        )
        state = self.states[name]
        eras.on_records_read(state, self.now, event)
        self._note(stream_lookup.on_records_read(state, self.now, event))

    def _read_lists(self) -> None:
        """Have the instances that want it read the list of servers, which is as they know it."""
        for name, state in self.states.items():
            can_read = name not in self.down | self.without_list
            if can_read and store_duty.is_registry_wanted(state, self.now):
                registry = state.registry
                registry.proved_at = registry.read_at = registry.own_read_at = self.now

    def run_records(self, seconds: float = 2.0) -> None:
        """Let instances write records for a while."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += 0.1
            for name in self.names:
                if name not in self.down:
                    self._perform(name, stream_records.on_tick(self.states[name], self.now))

    def _put(self, name: InstanceName, effect: PutReleases | PutStreams) -> None:
        self.store.writes[name] += 1
        self.store.written_bytes += len(msgspec.msgpack.encode(effect))
        match effect:
            case PutReleases(releases):
                self.store.releases = releases
                stream_records.on_releases_put(self.states[name], ReleasesPut(releases))
            case PutStreams(slot, rows):
                self.store.rows[name, slot] = rows

    def deliver_held(self) -> None:
        """Deliver the datagrams that were held."""
        self.is_holding = False
        held, self.held = self.held, []
        self.rng.shuffle(held)
        for sender, receiver, message in held:
            self._deliver(sender, receiver, message)

    # --- streams ---

    def begin(self, name: InstanceName, server: ServerName | None = None) -> str:
        """Pass on the first event of a new stream; return its id."""
        state = self.states[name]
        stream_id = f"stream-{len(self.streams)}"
        req = self._request(stream_id, stream_id)
        entry = state.servers.by_name[server or self.rng.choice(list(state.servers.by_name))].entry
        attempt = Attempt(AttemptId(f"{stream_id}.0"), entry.name, self.now)
        attempt.release = release_of(entry)
        self.streams[stream_id] = attempt.release
        self._perform(name, stream_bindings.on_events(state, self.now, req, attempt))
        return stream_id

    def take_up(self, name: InstanceName, stream_id: str) -> Release | None:
        """Take a stream up at an instance; return the release at which it goes on, if any."""
        state = self.states[name]
        req = self._request(f"{stream_id}-{self.rng.random()}", stream_id)
        state.requests[req.request_id] = req
        result = stream_lookup.look_up(state, self.now, req)
        if isinstance(result, Pending):
            req.phase = RequestPhase.LOOKING_UP
            self._perform(name, result.effects)
            while req.request_id not in self._resolved:
                self.now += 0.1
                self._read_lists()
                resolved, effects = stream_lookup.on_tick(state, self.now)
                self._note(resolved)
                self._perform(name, effects)
            result = self._resolved.pop(req.request_id)
        del state.requests[req.request_id]
        if isinstance(result, Unknown):
            return None
        self._perform(name, stream_bindings.take_up(state, self.now, req, result.binding))
        return result.binding.release or None

    def _request(self, request_id: str, stream_id: str) -> Request:
        return Request(
            RequestId(request_id),
            ServiceKind.MODEL,
            MODEL,
            "school",
            "",
            FIT,
            self.now,
            self.now + 8.0,
            is_resumable=True,
            stream_id=stream_id,
            taken_up_after="" if request_id == stream_id else "3",
        )

    # --- messages ---

    def _note(self, resolved: list[Resolved]) -> None:
        for each in resolved:
            self._resolved[each.req.request_id] = each.result

    def _perform(self, name: InstanceName, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case ReadRecords():
                    if name not in self.without_records:
                        self.read_records(name)
                case PutReleases() | PutStreams():
                    self._put(name, effect)
                case _:
                    pass
            if not isinstance(effect, SendDatagram):
                continue
            frame = encode(name, effect.message)
            self.sent_bytes[name] += len(frame) + DATAGRAM_HEADER_BYTES
            if self.is_holding:
                self.held.append((name, effect.peer, effect.message))
            else:
                self._deliver(name, effect.peer, effect.message)

    def _deliver(self, sender: InstanceName, receiver: InstanceName, message: PeerMessage) -> None:
        if receiver in self.down or not (sender in self.down or self._reaches(sender, receiver)):
            return
        state = self.states[receiver]
        match message:
            case StreamsBound():
                self._note(stream_lookup.on_bound(state, self.now, sender, message))
            case StreamAsk():
                self._perform(receiver, stream_lookup.on_ask(state, self.now, sender, message))
            case StreamUnknown():
                stream_lookup.on_unknown(state, sender, message)
            case _:
                raise AssertionError(message)
