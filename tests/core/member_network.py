"""A small in-memory network of instances for tests of membership, driven by the reducer alone.

Time is simulated with a heap of deliveries and ticks. Messages to a peer are delivered after a
short latency, unless the sender or receiver is down, the link is cut, or a datagram is lost at
random. A paused instance processes what it received meanwhile when it resumes.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.membership.membership import live_instances
from turmericweir_core.messages.effects import Effect, SendDatagram, SendPeer
from turmericweir_core.messages.events import (
    Event,
    ListedInstance,
    ListRead,
    PeerReceived,
    SeedsGiven,
    StopRequested,
    Tick,
)
from turmericweir_core.messages.peer_messages import PeerMessage
from turmericweir_core.reducers.reducer import new_state, reduce
from turmericweir_core.state.state import Identity, State

LATENCY_S = 0.002
# Capacity of a socket; later datagrams to a paused instance are lost.
SOCKET_HOLDS = 500


@dataclass
class Node:
    """One instance of the network."""

    state: State
    address: str
    # Killed: neither ticks nor receives.
    down: bool = False
    paused: bool = False
    # Events received during a pause.
    pending_events: list[Event] = field(default_factory=list)
    # All effects of the instance, for assertions.
    effects: list[Effect] = field(default_factory=list)


class Network:
    """Instances and the links between them."""

    def __init__(
        self,
        seed: int = 1,
        *,
        loss: float = 0.0,
        twice: float = 0.0,
        jitter_s: float = 0.0,
        options: Options | None = None,
    ) -> None:
        self.now = 100.0
        self.nodes: dict[str, Node] = {}
        self.options = options or Options()
        self.rng = Random(seed)
        # Shares of datagrams that are lost or duplicated.
        self.loss = loss
        self.twice = twice
        # Largest extra delay of a datagram, which may reorder datagrams.
        self.jitter_s = jitter_s
        # Messages of these types are never delivered. `passes` returns whether messages pass from a
        # sender to a receiver.
        self.lost: tuple[type[PeerMessage], ...] = ()
        self.passes: Callable[[str, str], bool] = lambda sender, receiver: True
        self._heap: list[tuple[float, int, str, Event | None]] = []
        self._order = itertools.count()
        self._by_address: dict[str, str] = {}

    # --- instances ---

    def add(
        self,
        name: str,
        data_centre: str = "north",
        *,
        region: str = "east",
        incarnation: str = "a",
        seeds: Iterable[str] = (),
        cluster: str = "turmericweir",
        other_regions: tuple[str, ...] = (),
    ) -> Node:
        """Start an instance, or restart it with another incarnation."""
        address = f"10.0.0.1:{20000 + len(self._by_address)}"
        previous = self.nodes.get(name)
        if previous is not None:
            address = previous.address
        identity = Identity(
            InstanceName(name), data_centre, region, address, incarnation, cluster, other_regions
        )
        node = Node(self.make_state(identity), address)
        self.nodes[name] = node
        self._by_address[address] = name
        self.seed(name, seeds)
        if previous is None:
            self._push(self.now + self.rng.random() * self.options.tick_s, name, None)
        return node

    def seed(self, name: str, seeds: Iterable[str]) -> None:
        """Send the addresses of seeds to an instance."""
        self.give(name, SeedsGiven(tuple(self.nodes[seed].address for seed in seeds)))

    def kill(self, name: str) -> None:
        self.nodes[name].down = True

    def pause(self, name: str) -> None:
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.paused = False
        pending, node.pending_events = node.pending_events, []
        for event in pending[:SOCKET_HOLDS]:
            self.give(name, event)

    def stop(self, name: str) -> None:
        self.give(name, StopRequested())

    # --- the platform's list ---

    def list_entry(self, name: str, *, leaving: bool = False) -> ListedInstance:
        node = self.nodes[name]
        me = node.state.me
        return ListedInstance(me.name, me.data_centre, node.address, me.incarnation, leaving)

    def read_list(
        self,
        name: str,
        instances: Iterable[ListedInstance] = (),
        servers: Iterable[ServerEntry] = (),
    ) -> None:
        self.give(name, ListRead(tuple(servers), tuple(instances)))

    # --- time ---

    def give(self, name: str, event: Event) -> None:
        """Apply an event to an instance now."""
        node = self.nodes[name]
        if node.down:
            return
        if node.paused:
            node.pending_events.append(event)
            return
        self._perform(name, self.reduce(node.state, self.now, event))

    def make_state(self, identity: Identity) -> State:
        """Return the state of a new instance."""
        return new_state(identity, self.options, self.rng.randrange(1 << 30))

    def reduce(self, state: State, now: float, event: Event) -> list[Effect]:
        """Reduce an event with the reducer of this network."""
        return reduce(state, now, event)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end_at = self.now + seconds
        while self._heap and self._heap[0][0] <= end_at:
            self.now, _, name, event = heapq.heappop(self._heap)
            if event is not None:
                self.give(name, event)
            else:
                self._tick(name)
        self.now = end_at

    def run_until(self, is_done: Callable[[], bool], within: float) -> float:
        """Advance the time until a condition holds; return how long it took."""
        started_at = self.now
        while not is_done():
            assert self.now - started_at < within, f"condition not met within {within} s"
            self.run(0.05)
        return self.now - started_at

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        if not node.paused:
            self.give(name, Tick())
        jitter = 1 + 0.05 * self.rng.random()
        self._push(self.now + self.options.tick_s * jitter, name, None)

    def _push(self, due_at: float, name: str, event: Event | None) -> None:
        heapq.heappush(self._heap, (due_at, next(self._order), name, event))

    def _perform(self, name: str, effects: list[Effect]) -> None:
        node = self.nodes[name]
        node.effects += effects
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send_datagram(name, effect)
            elif isinstance(effect, SendPeer):
                self._send(name, effect)

    def _send_datagram(self, name: str, effect: SendDatagram) -> None:
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.twice else 1
        for _ in range(copies):
            self._send(name, effect, delay_s=self.jitter_s * self.rng.random())

    def _send(self, name: str, effect: SendDatagram | SendPeer, delay_s: float = 0.0) -> None:
        receiver = self._by_address.get(effect.address)
        if isinstance(effect.message, self.lost):
            return
        if receiver is not None and self.passes(name, receiver):
            origin = self.nodes[name].address if isinstance(effect, SendDatagram) else ""
            event = PeerReceived(InstanceName(name), effect.message, origin)
            latency = LATENCY_S * (0.5 + self.rng.random())
            self._push(self.now + latency + delay_s, receiver, event)

    # --- views of instances ---

    def live(self, name: str, data_centre: str | None = None) -> list[str]:
        """Return the names of the instances that one instance considers live."""
        state = self.nodes[name].state
        return [member.name for member in live_instances(state, self.now, data_centre)]

    def agree(self, names: Iterable[str], expected: Iterable[str]) -> bool:
        """Return whether all named instances consider exactly the expected ones live."""
        expected_names = sorted(expected)
        return all(self.live(name) == expected_names for name in names)
