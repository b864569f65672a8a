"""Measure the limits of customers and teams: `python -m turmericweir_standins.measure_limits`.

The reducers of many instances are stepped in memory, on a simulated clock and with a delay for each
message, since only their decisions are measured and no machine runs 320 processes. Callers arrive
at random at a random instance, as behind a balancer. For each scenario it prints how far admitted
requests (or delivered tokens) exceeded the limit, how many were refused below the limit, and what
the messages cost. It is not a test and runs in no CI.
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
from turmericweir_core.base.config import Config, Customer, Kind, Limit, ServiceClass
from turmericweir_core.base.ids import InstanceName, RequestId, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.limits import limit
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.peer_messages import LimitAsk, LimitGrant, Word
from turmericweir_core.reducers.reducer import new_state
from turmericweir_core.state.limit_state import customer_key
from turmericweir_core.state.membership_state import Member, RemoteCentre
from turmericweir_core.state.state import Identity, State

# One way between two instances, as between data centres of a region, and its spread.
DELAY_S: Final = 0.0015
JITTER_S: Final = 0.001
# Headers of IP and UDP.
HEADER_BYTES: Final = 28
_CLASS: Final = ServiceClass("any", 0, target_s=1.0)
_RUNS_S: Final = 2.0
# Length of a run, and what of it is left out while shares settle.
RUN_S: Final = 60.0
SETTLE_S: Final = 10.0
SIZES: Final = (2, 8, 64)
CUSTOMER: Final = "bursar-large"


@dataclass(slots=True)
class Tally:
    """What the callers of one customer met."""

    admitted: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    # When tokens were delivered, and how many.
    tokens: list[tuple[float, float]] = field(default_factory=list)


class LimitWorld:
    """Instances that share limits, with messages that take time."""

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
        # Instances that take part no more, and the data centre that is cut off.
        self.dead: set[InstanceName] = set()
        self.cut: str | None = None
        self._ids = itertools.count()
        self._order = itertools.count()
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        for number in range(instances):
            self._add(number)
        self.introduce()

    def _add(self, number: int) -> None:
        name = InstanceName(f"entry-{number}")
        centre = self.centres[number % len(self.centres)]
        identity = Identity(name, centre, "home", f"10.0.0.1:{number}", "1")
        state = new_state(identity, self.options, seed=number)
        state.config = self.config
        state.has_settings = True
        self.states[name] = state
        self.sent_bytes[name] = 0
        self.at(self.now + self.rng.random() * self.options.tick_s, lambda: self._tick(name))

    # --- who sees whom ---------------------------------------------------------------------

    def introduce(self) -> None:
        """Let every instance see those that live and can be reached."""
        for state in self.states.values():
            self._introduce_to(state)

    def _introduce_to(self, state: State) -> None:
        for name, other in self.states.items():
            if name == state.me.name:
                continue
            me = other.me
            member = Member(name, me.data_centre, me.peer_address, region="home")
            near = me.data_centre == state.me.data_centre and name not in self.dead
            member.heard_at = float("inf") if near else float("-inf")
            state.members.by_name[name] = member
        for centre in self.centres:
            if centre != state.me.data_centre:
                self._describe_centre(state, centre)

    def _describe_centre(self, state: State, centre: str) -> None:
        names = {name for name, each in self.states.items() if each.me.data_centre == centre}
        roster = frozenset(names - self.dead)
        apart = self.cut is not None and self.cut in (centre, state.me.data_centre)
        remote = state.members.centres.setdefault(centre, RemoteCentre(centre, "home"))
        remote.roster = roster
        remote.heard_at = self.now if apart else float("inf")
        remote.word = Word(
            centre, relay=0, seq=1, members_hash=0, live=len(roster), settings_offset=0
        )

    def kill(self, name: InstanceName) -> None:
        """End an instance; the others notice after the time that heartbeats take."""
        self.dead.add(name)
        self.at(self.now + self.options.suspect_s, self.introduce)

    def cut_off(self, centre: str) -> None:
        """Cut a data centre off from all others."""
        self.cut = centre
        self.introduce()

    def home_of(self, customer: str) -> InstanceName:
        """Name the home of a customer, as the first instance sees it."""
        state = next(each for name, each in self.states.items() if name not in self.dead)
        key = customer_key(customer)
        return state.rate_limits.held[key].home

    # --- time ------------------------------------------------------------------------------

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Let something happen later."""
        heapq.heappush(self._agenda, (when, next(self._order), action))

    def run_until(self, when: float) -> None:
        """Let time pass."""
        while self._agenda and self._agenda[0][0] <= when:
            self.now, _, action = heapq.heappop(self._agenda)
            action()
        self.now = when

    def _tick(self, name: InstanceName) -> None:
        if name in self.dead:
            return
        self._carry_out(name, limit.on_tick(self.states[name], self.now))
        self.at(self.now + self.options.tick_s, lambda: self._tick(name))

    def _carry_out(self, name: InstanceName, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(name, effect)

    def _send(self, name: InstanceName, effect: SendDatagram) -> None:
        self.messages += 1
        self.sent_bytes[name] += _size(name, effect)
        if effect.peer in self.dead or self._apart(name, effect.peer):
            return
        delay = DELAY_S + self.rng.random() * JITTER_S
        self.at(self.now + delay, lambda: self._receive(name, effect))

    def _apart(self, one: InstanceName, other: InstanceName) -> bool:
        centres = {self.states[one].me.data_centre, self.states[other].me.data_centre}
        return self.cut in centres and len(centres) > 1

    def _receive(self, sender: InstanceName, effect: SendDatagram) -> None:
        if effect.peer in self.dead:
            return
        state = self.states[effect.peer]
        match effect.message:
            case LimitAsk() as ask:
                self._carry_out(effect.peer, limit.on_ask(state, self.now, sender, ask))
            case LimitGrant() as grant:
                self._carry_out(effect.peer, limit.on_grant(state, self.now, sender, grant))
            case _:
                raise AssertionError("the limits send nothing else")

    # --- callers ---------------------------------------------------------------------------

    def arrive(self, customer: str, name: InstanceName, *, tokens: int = 0) -> bool:
        """Let a request arrive at an instance; a model answers it with so many tokens."""
        req = Request(
            request_id=RequestId(str(next(self._ids))),
            kind=Kind.MODEL if tokens else Kind.PLAIN,
            target=Target("any"),
            customer=customer,
            team="",
            service_class=_CLASS,
            arrived=self.now,
            deadline=self.now + 60.0,
        )
        tally = self.tallies[customer]
        state = self.states[name]
        if limit.charge(state, self.now, req) is not None:
            tally.refused.append(self.now)
            return False
        tally.admitted.append(self.now)
        self.at(self.now + _RUNS_S, lambda: self._finish(state, req, tokens))
        return True

    def _finish(self, state: State, req: Request, tokens: int) -> None:
        req.delivered = tokens
        self.tallies[req.customer].tokens.append((self.now, tokens))
        limit.settle(state, self.now, req, Outcome.COMPLETED)

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
        """Let requests arrive at random at this rate, each at a random instance."""
        when = start + self.rng.expovariate(rate)
        if when < end:
            self.at(when, lambda: self._offer_one(customer, rate, when, end, among, mean_tokens))

    def _offer_one(
        self,
        customer: str,
        rate: float,
        when: float,
        end: float,
        among: list[InstanceName] | None,
        mean_tokens: int,
    ) -> None:
        names = [each for each in among or self.states if each not in self.dead]
        tokens = 0
        if mean_tokens:
            tokens = max(1, round(self.rng.lognormvariate(0.0, 0.7) * mean_tokens / 1.28))
        self.arrive(customer, self.rng.choice(names), tokens=tokens)
        self.offer(customer, rate, when, end, among=among, mean_tokens=mean_tokens)


def _size(name: InstanceName, effect: SendDatagram) -> int:
    message = effect.message
    packed = msgspec.msgpack.encode((name, type(message).__name__, message))
    return len(packed) + HEADER_BYTES


# --- scenarios -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Row:
    """What one run showed."""

    scenario: str
    instances: int
    # Admitted requests, or delivered tokens, as a share of limit times time.
    of_limit: float
    # The most that any window admitted beyond limit times its length, in seconds of the limit.
    worst_1s: float
    worst_10s: float
    refused_share: float
    bytes_s: float


def run_scenario(scenario: str, instances: int, rate: float, seed: int) -> Row:
    """Run one scenario once."""
    limit_set = Limit(tokens_s=rate) if scenario == "tokens" else Limit(requests_s=rate)
    centres = 2 if scenario == "partition" else 1
    world = LimitWorld(instances, {CUSTOMER: limit_set}, centres=centres, seed=seed)
    start = world.now
    end = start + RUN_S
    _offer(world, scenario, rate, start, end)
    _disturb(world, scenario, start)
    world.run_until(end)
    return _row(world, scenario, instances, rate, start, end)


def _offer(world: LimitWorld, scenario: str, rate: float, start: float, end: float) -> None:
    names = list(world.states)
    half = names[: max(1, len(names) // 2)]
    rest = names[len(half) :]
    middle = (start + end) / 2
    match scenario:
        case "below":
            world.offer(CUSTOMER, 0.6 * rate, start, end)
        case "burst":
            # Quiet first, so that every bucket is full; then far too much at once.
            world.offer(CUSTOMER, 0.1 * rate, start, middle)
            world.offer(CUSTOMER, 5.0 * rate, middle, end)
        case "shift":
            world.offer(CUSTOMER, 2.0 * rate, start, middle, among=half)
            world.offer(CUSTOMER, 2.0 * rate, middle, end, among=rest)
        case "tokens":
            world.offer(CUSTOMER, 2.0 * rate / 200, start, end, mean_tokens=200)
        case _:
            world.offer(CUSTOMER, 2.0 * rate, start, end)


def _disturb(world: LimitWorld, scenario: str, start: float) -> None:
    middle = start + RUN_S / 2
    if scenario == "home_dies":
        world.at(middle, lambda: world.kill(world.home_of(CUSTOMER)))
    if scenario == "partition":
        world.at(middle, lambda: world.cut_off(world.centres[0]))


def _row(
    world: LimitWorld, scenario: str, instances: int, rate: float, start: float, end: float
) -> Row:
    tally = world.tallies[CUSTOMER]
    used = [(when, 1.0) for when in tally.admitted]
    if scenario == "tokens":
        used = tally.tokens
    settled = sum(amount for when, amount in used if when >= start + SETTLE_S)
    asked = len(tally.admitted) + len(tally.refused)
    busiest = max(world.sent_bytes.values()) / (end - start)
    return Row(
        scenario=scenario,
        instances=instances,
        of_limit=settled / (rate * (end - start - SETTLE_S)),
        worst_1s=_worst(used, rate, 1.0),
        worst_10s=_worst(used, rate, 10.0),
        refused_share=len(tally.refused) / max(1, asked),
        bytes_s=busiest,
    )


def _worst(used: list[tuple[float, float]], rate: float, window_s: float) -> float:
    """Give the largest excess of any window, in seconds of the limit."""
    worst = 0.0
    total = 0.0
    first = 0
    for when, amount in used:
        total += amount
        while used[first][0] <= when - window_s:
            total -= used[first][1]
            first += 1
        worst = max(worst, total / rate - window_s)
    return worst


def measure_traffic(instances: int, customers: int, rate_s: float, run_s: float) -> float:
    """Give the bytes a second that the busiest instance sends at the size to design for."""
    names = [f"customer-{number}" for number in range(customers)]
    # Each customer at three quarters of its limit: near enough for shares to matter.
    one = rate_s / customers
    world = LimitWorld(instances, {name: Limit(requests_s=one / 0.75) for name in names})
    start = world.now
    for name in names:
        world.offer(name, one, start, start + run_s)
    # The first asks of all pairs come once; what counts is the steady traffic.
    world.run_until(start + run_s / 2)
    before = dict(world.sent_bytes)
    world.run_until(start + run_s)
    sent = [world.sent_bytes[name] - before[name] for name in world.states]
    return max(sent) / (run_s / 2)


SCENARIOS: Final = ("below", "steady", "burst", "shift", "tokens", "home_dies", "partition")


@click.command()
@click.option("--rate", default=40.0, show_default=True, help="Limit, requests a second.")
@click.option(
    "--runs", default=5, show_default=True, help="Runs of each scenario; the worst counts."
)
@click.option("--traffic/--no-traffic", default=True, help="Also measure 320 instances.")
def main(rate: float, runs: int, traffic: bool) -> None:
    """Print what the limits let through, and what they cost."""
    heads = ("scenario", "instances", "of limit", "worst 1 s", "worst 10 s", "refused", "bytes/s")
    print("  ".join(f"{head:>10}" for head in heads))
    for scenario in SCENARIOS:
        for instances in SIZES:
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
