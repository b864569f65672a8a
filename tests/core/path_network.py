"""Simulate the paths of many instances to servers, with one clock and no processes.

Only `server_paths` runs at each instance. A connection succeeds by the predicate `can_connect`, at
once or after a timeout; datagrams between instances arrive at once.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from tests.core.store_world import StoreWorld
from turmericweir_core.base.ids import DIRECT, InstanceName, ServerName
from turmericweir_core.messages.effects import Effect, ProbeServer, SendDatagram
from turmericweir_core.messages.server_messages import PathsAsk, PathsSend
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.path_state import PathState
from turmericweir_core.trust import server_paths

CONNECT_TIMEOUT_S = 0.35


class PathNetwork:
    """Instances that connect to the same servers."""

    def __init__(self, instances: int, servers: int, seed: int = 1) -> None:
        self.now = 100.0
        self.rng = Random(seed)
        self.can_connect: Callable[[InstanceName, ServerName], bool] = lambda *_: True
        # Whether connections that fail do so at once, or only after a timeout.
        self.fails_at_once = False
        self.worlds: dict[InstanceName, StoreWorld] = {}
        names = [InstanceName(f"i-{number:03}") for number in range(instances)]
        members = {
            name: Member(name, "dc-a", f"10.0.{n // 200}.{n % 200}:1", region="home", seq=1)
            for n, name in enumerate(names)
        }
        for name in names:
            world = StoreWorld(servers, 0, name=name)
            world.state.members.by_name.update(members)
            self.worlds[name] = world
        self.members = members
        self.servers = sorted(self.worlds[names[0]].state.servers.by_name)
        # Bytes of messages sent by each instance, probes by each, and those that go on.
        self.sent_bytes: Counter[InstanceName] = Counter()
        self.probes: Counter[InstanceName] = Counter()
        self._connecting: list[tuple[float, InstanceName, ServerName]] = []
        self._mail: deque[tuple[InstanceName, InstanceName, PathsAsk | PathsSend]] = deque()

    def paths(self, name: InstanceName) -> PathState:
        """Return what an instance knows of its paths."""
        return self.worlds[name].state.paths

    def wait(self, seconds: float, step: float = 0.05) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            for member in self.members.values():
                member.last_seen_at = self.now
            for name, world in self.worlds.items():
                self._perform(name, server_paths.on_tick(world.state, self.now))
                for server in world.state.servers.by_name.values():
                    if 0.0 < server.unreachable_until <= self.now:
                        server.unreachable_until = self.now + 1.0
                        probe = ProbeServer(server.entry.name, server.entry.address)
                        self._perform(name, [probe])
            self._finish_connections()

    def send(self, name: InstanceName, server: ServerName) -> InstanceName | None:
        """Send a request; return by way of whom it was sent, or None if it could not be."""
        state = self.worlds[name].state
        peer = server_paths.choose_via(state, self.now, server)
        via = DIRECT if peer is None else peer.name
        if self.can_connect(via or name, server):
            self._perform(name, server_paths.note_connected(state, self.now, server, via))
            return via
        failure = server_paths.note_failed(state, self.now, server, "no connection", via)
        self._perform(name, failure)
        return None

    def usable_servers(self, name: InstanceName) -> list[ServerName]:
        """Return the servers that an instance does not exclude."""
        table = self.worlds[name].state.servers.by_name
        return [server for server in self.servers if table[server].unreachable_until == 0.0]

    def _perform(self, name: InstanceName, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case ProbeServer(server=server):
                    self.probes[name] += 1
                    is_late = not self.fails_at_once and not self.can_connect(name, server)
                    due_at = self.now + (CONNECT_TIMEOUT_S if is_late else 0.0)
                    self._connecting.append((due_at, name, server))
                case SendDatagram(peer=peer, message=PathsAsk() | PathsSend() as message):
                    self.sent_bytes[name] += len(msgspec.msgpack.encode(message)) + len(name) + 20
                    self._mail.append((name, peer, message))
                case _:
                    pass
        self._deliver()

    def _deliver(self) -> None:
        while self._mail:
            sender, receiver, message = self._mail.popleft()
            state = self.worlds[receiver].state
            if isinstance(message, PathsAsk):
                self._perform(receiver, server_paths.on_ask(state, self.now, sender, message))
            else:
                self._perform(receiver, server_paths.on_send(state, self.now, sender, message))

    def _finish_connections(self) -> None:
        due = [each for each in self._connecting if each[0] <= self.now + 1e-9]
        self._connecting = [each for each in self._connecting if each[0] > self.now + 1e-9]
        for _, name, server in due:
            state = self.worlds[name].state
            if self.can_connect(name, server):
                self._perform(name, server_paths.note_connected(state, self.now, server))
            else:
                self._perform(
                    name, server_paths.note_failed(state, self.now, server, "no connection")
                )
