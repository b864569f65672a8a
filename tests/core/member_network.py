"""A tiny in-memory network of instances, stepped by the reducer alone, for tests of membership.

Time is simulated: a heap of deliveries and ticks. Everything that an instance sends to a peer is
delivered after a short latency, unless the sender or receiver is down, the way is cut, or chance
loses a datagram. A paused instance finds what came meanwhile when it goes on, as in its sockets.
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
# What a socket holds; older datagrams of a paused instance are kept, newer ones lost.
SOCKET_HOLDS = 500


@dataclass
class Node:
    """One instance of the network."""

    state: State
    address: str
    # Killed: it neither ticks nor receives.
    down: bool = False
    paused: bool = False
    # What came in while it was paused.
    held: list[Event] = field(default_factory=list)
    # Everything that it was told to do, for tests that look for it.
    effects: list[Effect] = field(default_factory=list)


class Network:
    """Instances and the ways between them."""

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
        # Shares of the datagrams that are lost, and that come twice.
        self.loss = loss
        self.twice = twice
        # Up to so much later a datagram may come, and so out of order.
        self.jitter_s = jitter_s
        # Given the names of sender and receiver, tells whether messages pass.
        # Messages of these types never arrive.
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
        """Start an instance, or start it anew under another incarnation."""
        address = f"10.0.0.1:{20000 + len(self._by_address)}"
        known = self.nodes.get(name)
        if known is not None:
            address = known.address
        identity = Identity(
            InstanceName(name), data_centre, region, address, incarnation, cluster, other_regions
        )
        node = Node(self.make_state(identity), address)
        self.nodes[name] = node
        self._by_address[address] = name
        self.seed(name, seeds)
        if known is None:
            self._push(self.now + self.rng.random() * self.options.tick_s, name, None)
        return node

    def seed(self, name: str, seeds: Iterable[str]) -> None:
        """Give an instance the addresses of seeds."""
        self.give(name, SeedsGiven(tuple(self.nodes[it].address for it in seeds)))

    def kill(self, name: str) -> None:
        self.nodes[name].down = True

    def pause(self, name: str) -> None:
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.paused = False
        held, node.held = node.held, []
        for event in held[:SOCKET_HOLDS]:
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
        """Let an event happen to an instance now."""
        node = self.nodes[name]
        if node.down:
            return
        if node.paused:
            node.held.append(event)
            return
        self._perform(name, self.reduce(node.state, self.now, event))

    def make_state(self, identity: Identity) -> State:
        """Make the state of an instance that starts."""
        return new_state(identity, self.options, self.rng.randrange(1 << 30))

    def reduce(self, state: State, now: float, event: Event) -> list[Effect]:
        """Reduce an event as the instances of this network do."""
        return reduce(state, now, event)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, name, event = heapq.heappop(self._heap)
            if event is not None:
                self.give(name, event)
            else:
                self._tick(name)
        self.now = end

    def run_until(self, done: Callable[[], bool], within: float) -> float:
        """Let time pass until something is so; return how long it took."""
        begun = self.now
        while not done():
            assert self.now - begun < within, f"not so within {within} s"
            self.run(0.05)
        return self.now - begun

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        if not node.paused:
            self.give(name, Tick())
        late = 1 + 0.05 * self.rng.random()
        self._push(self.now + self.options.tick_s * late, name, None)

    def _push(self, at: float, name: str, event: Event | None) -> None:
        heapq.heappush(self._heap, (at, next(self._order), name, event))

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
            self._send(name, effect, late_s=self.jitter_s * self.rng.random())

    def _send(self, name: str, effect: SendDatagram | SendPeer, late_s: float = 0.0) -> None:
        receiver = self._by_address.get(effect.address)
        if isinstance(effect.message, self.lost):
            return
        if receiver is not None and self.passes(name, receiver):
            event = PeerReceived(InstanceName(name), effect.message)
            latency = LATENCY_S * (0.5 + self.rng.random())
            self._push(self.now + latency + late_s, receiver, event)

    # --- what instances believe ---

    def live(self, name: str, data_centre: str | None = None) -> list[str]:
        """Name the instances that one takes for live, in a short form to compare."""
        state = self.nodes[name].state
        return [each.name for each in live_instances(state, self.now, data_centre)]

    def agree(self, names: Iterable[str], expected: Iterable[str]) -> bool:
        """Tell whether all of these take exactly those for live."""
        wanted = sorted(expected)
        return all(self.live(name) == wanted for name in names)
