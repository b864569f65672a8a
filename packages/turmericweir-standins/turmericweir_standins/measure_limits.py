"""Simulate the limits of customers and teams: `python -m turmericweir_standins.measure_limits`.

The reducers of up to some hundred instances run in memory, with a simulated clock and a delay for
each message. Requests arrive as a Poisson process at random instances, as behind a load balancer.
For each scenario the program prints how far admitted requests or delivered tokens exceeded the
limit, the share of refused requests, and the message traffic. CI does not run it.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

import click
import msgspec

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Config, Customer, Limit, ServiceClass, ServiceKind
from turmericweir_core.base.ids import InstanceName, RequestId, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.limits import limit
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.limit_messages import LimitAsk, LimitGrant
from turmericweir_core.messages.membership_messages import Word
from turmericweir_core.reducers.reducer import new_state
from turmericweir_core.state.limit_state import customer_key
from turmericweir_core.state.membership_state import Member, RemoteCentre
from turmericweir_core.state.state import Identity, State

# One-way delay between two instances, as between data centres of a region, and its jitter.
DELAY_S: Final = 0.0015
JITTER_S: Final = 0.001
# Size of the headers of IP and UDP.
HEADER_BYTES: Final = 28
_CLASS: Final = ServiceClass("any", 0, target_s=1.0)
_REQUEST_S: Final = 2.0
# Length of a run, and its beginning that is not counted while shares settle.
RUN_S: Final = 60.0
SETTLE_S: Final = 10.0
INSTANCE_COUNTS: Final = (2, 8, 64)
CUSTOMER: Final = "bursar-large"


@dataclass(slots=True)
class Tally:
    """The results of the requests of one customer."""

    admitted: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    # Times and numbers of delivered tokens.
    tokens: list[tuple[float, float]] = field(default_factory=list)


class LimitSimulation:
    """A simulation of instances that share limits, with delayed messages."""

    def __init__(
        self,
        instances: int,
        limits: dict[str, Limit],
        *,
        centres: int = 1,
        seed: int = 1,
        options: Options | None = None,
    ) -> None:
        self.now = 1000.0
        self.rng = Random(seed)
        self.options = options or Options()
        self.config = Config(
            customers={name: Customer(name, limit=limits[name]) for name in limits}
        )
        self.centres = [f"dc-{number}" for number in range(centres)]
        self.states: dict[InstanceName, State] = {}
        self.tallies = {name: Tally() for name in limits}
        self.messages = 0
        self.sent_bytes: dict[InstanceName, int] = {}
        # Killed instances, and the partitioned data centre.
        self.killed: set[InstanceName] = set()
        self.partitioned_centre: str | None = None
        self._ids = itertools.count()
        self._order = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        for number in range(instances):
            self._add(number)
        self.update_membership()

    def _add(self, number: int) -> None:
        name = InstanceName(f"entry-{number}")
        centre = self.centres[number % len(self.centres)]
        identity = Identity(name, centre, "home", f"10.0.0.1:{number}", "1")
        state = new_state(identity, self.options, seed=number)
        state.config = self.config
        state.has_settings = True
        self.states[name] = state
        self.sent_bytes[name] = 0
        self.schedule(self.now + self.rng.random() * self.options.tick_s, lambda: self._tick(name))

    # --- membership ------------------------------------------------------------------------

    def update_membership(self) -> None:
        """Update the membership view of every instance."""
        for state in self.states.values():
            self._update_membership_of(state)

    def _update_membership_of(self, state: State) -> None:
        for name, other in self.states.items():
            if name == state.me.name:
                continue
            me = other.me
            member = Member(name, me.data_centre, me.peer_address, region="home")
            is_reachable = me.data_centre == state.me.data_centre and name not in self.killed
            member.last_seen_at = float("inf") if is_reachable else float("-inf")
            state.members.by_name[name] = member
        for centre in self.centres:
            if centre != state.me.data_centre:
                self._describe_centre(state, centre)

    def _describe_centre(self, state: State, centre: str) -> None:
        names = {name for name, each in self.states.items() if each.me.data_centre == centre}
        roster = frozenset(names - self.killed)
        is_partitioned = self.partitioned_centre is not None and self.partitioned_centre in (
            centre,
            state.me.data_centre,
        )
        remote = state.members.centres.setdefault(centre, RemoteCentre(centre, "home"))
        remote.roster = roster
        remote.last_seen_at = self.now if is_partitioned else float("inf")
        remote.status_message = Word(
            centre,
            gateway_key=0,
            seq=1,
            members_hash=0,
            live_members=len(roster),
            settings_offset=0,
        )

    def kill(self, name: InstanceName) -> None:
        """Kill an instance; the others remove it after the failure detector's timeout."""
        self.killed.add(name)
        self.schedule(self.now + self.options.suspect_s, self.update_membership)

    def partition_centre(self, centre: str) -> None:
        """Partition a data centre from all others."""
        self.partitioned_centre = centre
        self.update_membership()

    def home_of(self, customer: str) -> InstanceName:
        """Return the home of a customer's limit, by the view of the first live instance."""
        state = next(each for name, each in self.states.items() if name not in self.killed)
        key = customer_key(customer)
        return state.rate_limits.held_shares[key].home

    # --- time ------------------------------------------------------------------------------

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._scheduled, (at_s, next(self._order), action))

    def run_until(self, until: float) -> None:
        """Run all actions until a time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, action = heapq.heappop(self._scheduled)
            action()
        self.now = until

    def _tick(self, name: InstanceName) -> None:
        if name in self.killed:
            return
        self._execute(name, limit.on_tick(self.states[name], self.now))
        self.schedule(self.now + self.options.tick_s, lambda: self._tick(name))

    def _execute(self, name: InstanceName, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(name, effect)

    def _send(self, name: InstanceName, effect: SendDatagram) -> None:
        self.messages += 1
        self.sent_bytes[name] += _size(name, effect)
        if effect.peer in self.killed or self._are_partitioned(name, effect.peer):
            return
        delay = DELAY_S + self.rng.random() * JITTER_S
        self.schedule(self.now + delay, lambda: self._receive(name, effect))

    def _are_partitioned(self, one: InstanceName, other: InstanceName) -> bool:
        centres = {self.states[one].me.data_centre, self.states[other].me.data_centre}
        return self.partitioned_centre in centres and len(centres) > 1

    def _receive(self, sender: InstanceName, effect: SendDatagram) -> None:
        if effect.peer in self.killed:
            return
        state = self.states[effect.peer]
        match effect.message:
            case LimitAsk() as ask:
                self._execute(effect.peer, limit.on_ask(state, self.now, sender, ask))
            case LimitGrant() as grant:
                self._execute(effect.peer, limit.on_grant(state, self.now, sender, grant))
            case _:
                raise AssertionError("unexpected message type")

    # --- callers ---------------------------------------------------------------------------

    def arrive(self, customer: str, name: InstanceName, *, tokens: int = 0) -> bool:
        """Submit a request to an instance and return whether it was admitted."""
        req = Request(
            request_id=RequestId(str(next(self._ids))),
            kind=ServiceKind.MODEL if tokens else ServiceKind.PLAIN,
            target=Target("any"),
            customer=customer,
            team="",
            service_class=_CLASS,
            arrived_at=self.now,
            deadline=self.now + 60.0,
        )
        tally = self.tallies[customer]
        state = self.states[name]
        if limit.charge(state, self.now, req) is not None:
            tally.refused.append(self.now)
            return False
        tally.admitted.append(self.now)
        self.schedule(self.now + _REQUEST_S, lambda: self._finish(state, req, tokens))
        return True

    def _finish(self, state: State, req: Request, tokens: int) -> None:
        req.delivered = tokens
        self.tallies[req.customer].tokens.append((self.now, tokens))
        limit.settle_charge(state, self.now, req, Outcome.COMPLETED)

    def offer(
        self,
        customer: str,
        rate: float,
        start: float,
        end: float,
        *,
        among: list[InstanceName] | None = None,
        mean_tokens: int = 0,
    ) -> None:
        """Schedule requests with random arrival times at this rate, each at a random instance."""
        at_s = start + self.rng.expovariate(rate)
        if at_s < end:
            self.schedule(
                at_s, lambda: self._offer_one(customer, rate, at_s, end, among, mean_tokens)
            )

    def _offer_one(
        self,
        customer: str,
        rate: float,
        at_s: float,
        end: float,
        among: list[InstanceName] | None,
        mean_tokens: int,
    ) -> None:
        names = [each for each in among or self.states if each not in self.killed]
        tokens = 0
        if mean_tokens:
            tokens = max(1, round(self.rng.lognormvariate(0.0, 0.7) * mean_tokens / 1.28))
        self.arrive(customer, self.rng.choice(names), tokens=tokens)
        self.offer(customer, rate, at_s, end, among=among, mean_tokens=mean_tokens)


def _size(name: InstanceName, effect: SendDatagram) -> int:
    message = effect.message
    packed = msgspec.msgpack.encode((name, type(message).__name__, message))
    return len(packed) + HEADER_BYTES


# --- scenarios -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Row:
    """The figures of one run."""

    scenario: str
    instances: int
    # Admitted requests, or delivered tokens, as a share of limit times time.
    of_limit: float
    # The largest excess over the limit in any window of this length, in seconds of the limit.
    worst_1s: float
    worst_10s: float
    refused_share: float
    bytes_s: float


def run_scenario(scenario: str, instances: int, rate: float, seed: int) -> Row:
    """Run one scenario and return its figures."""
    limits = Limit(tokens_s=rate) if scenario == "tokens" else Limit(requests_s=rate)
    centres = 2 if scenario == "partition" else 1
    world = LimitSimulation(instances, {CUSTOMER: limits}, centres=centres, seed=seed)
    start = world.now
    end = start + RUN_S
    _offer(world, scenario, rate, start, end)
    _schedule_fault(world, scenario, start)
    world.run_until(end)
    return _figures(world, scenario, instances, rate, start, end)


def _offer(world: LimitSimulation, scenario: str, rate: float, start: float, end: float) -> None:
    names = list(world.states)
    first_half = names[: max(1, len(names) // 2)]
    second_half = names[len(first_half) :]
    middle_at = (start + end) / 2
    match scenario:
        case "below":
            world.offer(CUSTOMER, 0.6 * rate, start, end)
        case "burst":
            # A low rate first, which fills every bucket; then a burst.
            world.offer(CUSTOMER, 0.1 * rate, start, middle_at)
            world.offer(CUSTOMER, 5.0 * rate, middle_at, end)
        case "shift":
            world.offer(CUSTOMER, 2.0 * rate, start, middle_at, among=first_half)
            world.offer(CUSTOMER, 2.0 * rate, middle_at, end, among=second_half)
        case "tokens":
            world.offer(CUSTOMER, 2.0 * rate / 200, start, end, mean_tokens=200)
        case _:
            world.offer(CUSTOMER, 2.0 * rate, start, end)


def _schedule_fault(world: LimitSimulation, scenario: str, start: float) -> None:
    middle_at = start + RUN_S / 2
    if scenario == "home_dies":
        world.schedule(middle_at, lambda: world.kill(world.home_of(CUSTOMER)))
    if scenario == "partition":
        world.schedule(middle_at, lambda: world.partition_centre(world.centres[0]))


def _figures(
    world: LimitSimulation, scenario: str, instances: int, rate: float, start: float, end: float
) -> Row:
    tally = world.tallies[CUSTOMER]
    amounts = [(when, 1.0) for when in tally.admitted]
    if scenario == "tokens":
        amounts = tally.tokens
    settled_amount = sum(amount for when, amount in amounts if when >= start + SETTLE_S)
    request_count = len(tally.admitted) + len(tally.refused)
    busiest = max(world.sent_bytes.values()) / (end - start)
    return Row(
        scenario=scenario,
        instances=instances,
        of_limit=settled_amount / (rate * (end - start - SETTLE_S)),
        worst_1s=_worst_excess_s(amounts, rate, 1.0),
        worst_10s=_worst_excess_s(amounts, rate, 10.0),
        refused_share=len(tally.refused) / max(1, request_count),
        bytes_s=busiest,
    )


def _worst_excess_s(amounts: list[tuple[float, float]], rate: float, window_s: float) -> float:
    """Return the largest excess of any window, in seconds of the limit."""
    worst_excess_s = 0.0
    total = 0.0
    window_start = 0
    for when, amount in amounts:
        total += amount
        while amounts[window_start][0] <= when - window_s:
            total -= amounts[window_start][1]
            window_start += 1
        worst_excess_s = max(worst_excess_s, total / rate - window_s)
    return worst_excess_s


def measure_traffic(instances: int, customers: int, rate_s: float, run_s: float) -> float:
    """Return the bytes per second that the busiest instance sends."""
    names = [f"customer-{number}" for number in range(customers)]
    # Each customer sends at three quarters of its limit, which requires exchanging shares.
    customer_rate = rate_s / customers
    world = LimitSimulation(
        instances, {name: Limit(requests_s=customer_rate / 0.75) for name in names}
    )
    start = world.now
    for name in names:
        world.offer(name, customer_rate, start, start + run_s)
    # The first half is not counted: it contains the initial messages of all pairs.
    world.run_until(start + run_s / 2)
    before = dict(world.sent_bytes)
    world.run_until(start + run_s)
    sent = [world.sent_bytes[name] - before[name] for name in world.states]
    return max(sent) / (run_s / 2)


SCENARIOS: Final = ("below", "steady", "burst", "shift", "tokens", "home_dies", "partition")


@click.command()
@click.option("--rate", default=40.0, show_default=True, help="Limit, requests per second.")
@click.option(
    "--runs", default=5, show_default=True, help="Runs of each scenario; the worst counts."
)
@click.option("--traffic/--no-traffic", default=True, help="Also measure 320 instances.")
def main(rate: float, runs: int, traffic: bool) -> None:
    """Print the accuracy and the message traffic of the limits."""
    headers = ("scenario", "instances", "of limit", "worst 1 s", "worst 10 s", "refused", "bytes/s")
    print("  ".join(f"{head:>10}" for head in headers))
    for scenario in SCENARIOS:
        for instances in INSTANCE_COUNTS:
            limit_rate = 200 * rate if scenario == "tokens" else rate
            rows = [run_scenario(scenario, instances, limit_rate, seed) for seed in range(runs)]
            _print(rows)
    if traffic:
        busiest = measure_traffic(320, 260, 4800.0, 120.0)
        print(f"busiest of 320 instances, 260 customers, 4,800 requests/s: {busiest:.0f} bytes/s")


def _print(rows: list[Row]) -> None:
    values = (
        f"{rows[0].scenario:>10}",
        f"{rows[0].instances:>10}",
        f"{max(each.of_limit for each in rows):>10.2f}",
        f"{max(each.worst_1s for each in rows):>10.2f}",
        f"{max(each.worst_10s for each in rows):>10.2f}",
        f"{max(each.refused_share for each in rows):>10.3f}",
        f"{max(each.bytes_s for each in rows):>10.0f}",
    )
    print("  ".join(values))


if __name__ == "__main__":
    main()
