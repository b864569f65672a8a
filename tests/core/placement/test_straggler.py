"""Test the detection of slow servers, moves off them, and adaptive limits."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.load_world import LoadWorld, Running
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import PlacementPolicy, ServiceClass
from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Attempt, CancelReason
from turmericweir_core.messages.events import CallerLeft, EndCancelled
from turmericweir_core.placement.dispatch import cancel
from turmericweir_core.state import concurrency, straggler
from turmericweir_core.state.concurrency import ConcurrencyLimits
from turmericweir_core.state.straggler import StragglerState

OPTIONS = Options()
S0 = ServerName("s0")
S1 = ServerName("s1")


class Bench:
    """A world whose servers generate tokens, each at its own pace, and end answers."""

    def __init__(
        self,
        *,
        servers: int = 4,
        slots: int = 4,
        answer: int = 100,
        classes: dict[str, ServiceClass] | None = None,
    ) -> None:
        self.world = LoadWorld(servers=servers, slots=slots, classes=classes)
        self.answer = answer
        # Tokens a second of each running attempt.
        self.pace = dict.fromkeys(self.world.config.servers, 50.0)
        self._sent: Counter[str] = Counter()
        self._tokens_due: dict[str, float] = {}
        self.world.advance(0.2)

    def run(self, seconds: float, *, waiting: int = 4, class_name: str = "fitting") -> None:
        """Let the servers work, with a constant number of waiting requests."""
        until = self.world.now + seconds
        while self.world.now < until:
            for _ in range(waiting - len(self.world.waiting())):
                self.world.arrive(class_name, deadline_s=1e6)
            for running in list(self.world.running.values()):
                self._generate(running)
            self.world.advance(0.1)

    def _generate(self, running: Running) -> None:
        tokens_due = self._tokens_due.get(running.attempt_id, 0.0) + 0.1 * self.pace[running.server]
        tokens = int(tokens_due)
        self._tokens_due[running.attempt_id] = tokens_due - tokens
        if tokens:
            self._sent[running.attempt_id] += tokens
            self.world.progress(running, tokens)
        if self._sent[running.attempt_id] >= self.answer:
            self.world.end(running)

    def weight(self, server: ServerName) -> float:
        """Return the weight of a server in the choice between servers."""
        return straggler.server_weight(self.world.first.stragglers, server)

    def started_on(self, server: str, since: int) -> int:
        """Count the attempts that a server was sent since a number of starts."""
        return sum(1 for each in self.world.started[since:] if each.server == server)


def test_slow_server_gets_less_work() -> None:
    """Guards against an equal share of work for an engine at half the pace of the others."""
    bench = Bench()
    bench.pace[S0] = 25.0
    bench.run(20.0)
    assert 0.3 < bench.weight(S0) < 0.7
    since = len(bench.world.started)
    bench.run(20.0)
    others = [bench.started_on(f"s{number}", since) for number in (1, 2, 3)]
    assert bench.started_on("s0", since) < 0.6 * min(others)
    assert not bench.world.cancelled


def test_very_slow_server_gets_only_probes_until_it_recovers() -> None:
    """Guards against work on a very slow server, and against leaving it out after it recovered."""
    bench = Bench()
    bench.run(5.0)
    bench.pace[S0] = 5.0
    bench.run(40.0)
    assert bench.weight(S0) == 0.0
    since = len(bench.world.started)
    bench.run(10.0)
    assert bench.started_on("s0", since) <= 10.0 / OPTIONS.straggler_probe_s + 1
    assert len(bench.world.on_server("s0")) <= 1
    bench.pace[S0] = 50.0
    bench.run(30.0)
    assert bench.weight(S0) == 1.0
    since = len(bench.world.started)
    bench.run(10.0)
    assert bench.started_on("s0", since) > 10


def test_lowest_class_probes() -> None:
    """Guards against probes by a class while a lower one has requests."""
    bench = Bench(answer=20)
    bench.run(5.0, class_name="quote")
    bench.pace[S0] = 5.0
    bench.run(40.0, class_name="quote")
    assert bench.weight(S0) == 0.0
    since = len(bench.world.started)
    for _ in range(20):
        for _ in range(25):
            bench.world.arrive("fitting", deadline_s=1e6)
        bench.world.arrive("quote", deadline_s=1e6)
        bench.run(0.5, class_name="quote")
    probes = [each for each in bench.world.started[since:] if each.server == "s0"]
    assert probes
    assert {each.service_class for each in probes} == {"quote"}


def test_upper_class_probes_without_lower_traffic() -> None:
    """Guards against leaving out a recovered server where the lower class has no traffic."""
    bench = Bench(answer=20)
    bench.run(5.0, class_name="quote")
    bench.pace[S0] = 5.0
    bench.run(40.0, class_name="quote")
    assert bench.weight(S0) == 0.0
    for request in bench.world.waiting():
        bench.world.event(InstanceName("entry-0"), CallerLeft(RequestId(request)))
    bench.pace[S0] = 50.0
    bench.run(4 * OPTIONS.straggler_probe_upper_s, class_name="fitting")
    assert bench.weight(S0) == 1.0


def test_uniformly_slow_servers_are_no_stragglers() -> None:
    """Guards against stopping servers where all of them are slow under load."""
    bench = Bench()
    bench.run(5.0)
    for server in bench.pace:
        bench.pace[server] = 10.0
    bench.run(20.0)
    assert all(bench.weight(server) == 1.0 for server in bench.pace)


def test_no_straggler_among_two_servers() -> None:
    """Guards against a straggler verdict among two servers."""
    bench = Bench(servers=2)
    bench.pace[S0] = 5.0
    bench.run(20.0)
    assert bench.weight(S0) == 1.0


@settings(deadline=None)
@given(st.lists(st.floats(0.001, 10.0), min_size=3, max_size=12))
def test_at_least_half_of_the_servers_stay_in_use(gaps: list[float]) -> None:
    """Guards against stopping more than half of a service's servers."""
    state = StragglerState()
    for number, gap in enumerate(gaps):
        pace = straggler.ServerPace("lm", gap_s=gap, samples=99)
        state.by_server[ServerName(f"s{number}")] = pace
    straggler.update_weights(state, OPTIONS, 1.0)
    normal_servers = sum(1 for pace in state.by_server.values() if pace.weight == 1.0)
    assert 2 * normal_servers >= len(gaps)


def attempt_with(tokens: int, first: float, last: float) -> Attempt:
    """Return an attempt that received tokens between two times."""
    return Attempt(
        AttemptId("r.0"),
        S0,
        started_at=0.0,
        tokens=tokens,
        first_token_at=first,
        last_token_at=last,
    )


def test_stopped_urgent_stream_counts_as_gap() -> None:
    """Guards against missing an urgent stream that has stopped."""
    state = StragglerState()
    attempt = attempt_with(10, first=1.0, last=1.1)
    straggler.sample_attempt(state, OPTIONS, 1.1, "lm", attempt, urgent=True)
    straggler.sample_attempt(state, OPTIONS, 3.1, "lm", attempt, urgent=True)
    assert state.by_server[S0].gap_s > 0.5


def test_preempted_lower_attempt_is_ignored() -> None:
    """Guards against judging a server by lower-tier attempts that it preempted."""
    state = StragglerState()
    attempt = attempt_with(10, first=1.0, last=1.1)
    straggler.sample_attempt(state, OPTIONS, 1.1, "lm", attempt, urgent=False)
    straggler.sample_attempt(state, OPTIONS, 3.1, "lm", attempt, urgent=False)
    assert state.by_server[S0].gap_s < 0.02


def test_short_answers_are_sampled_at_their_end() -> None:
    """Guards against missing an answer that ended before its first sample."""
    state = StragglerState()
    straggler.sample_end(state, OPTIONS, "lm", attempt_with(11, first=1.0, last=1.2))
    assert abs(state.by_server[S0].gap_s - 0.02) < 1e-9


# --- answers that are moved off a straggler --------------------------------------------------

PROMISED: Final = "promised"
BULK: Final = "bulk"
GAP_CLASSES: Final = {
    PROMISED: ServiceClass(PROMISED, 0, 2.0, token_gap_target_s=0.065, deadline_s=1e6),
    BULK: ServiceClass(BULK, 1, 20.0, deadline_s=1e6),
}


@dataclass(frozen=True, slots=True)
class MoveCase:
    """The differences from an answer that is moved, and whether it is still moved."""

    name: str
    moved: bool
    class_name: str = PROMISED
    repeatable: bool = True
    # Servers that slow down to one token in `slow_gap_s`.
    slow: tuple[ServerName, ...] = (S0,)
    slow_gap_s: float = 0.1
    # Token gap of the other servers.
    gap_s: float = 0.02
    # Whether the other servers are full of answers of the same class.
    full: bool = False
    budget: float = 5.0
    policy: PlacementPolicy = PlacementPolicy.COUNTS


MOVE_CASES: Final = (
    MoveCase("late tokens", moved=True),
    MoveCase("late tokens, under credits", moved=True, policy=PlacementPolicy.CREDITS),
    MoveCase("slower, but as promised", moved=False, slow_gap_s=0.06),
    MoveCase("hardly slower than the others", moved=False, slow_gap_s=0.07, gap_s=0.06),
    MoveCase("class without a promise", moved=False, class_name=BULK),
    MoveCase("call that must not be repeated", moved=False, repeatable=False),
    MoveCase("all are slow", moved=False, slow=tuple(map(ServerName, ("s0", "s1", "s2", "s3")))),
    MoveCase("most are slow", moved=False, slow=tuple(map(ServerName, ("s0", "s1", "s2")))),
    MoveCase("no room elsewhere", moved=False, full=True),
    MoveCase("no budget", moved=False, budget=0.0),
    MoveCase("baseline", moved=False, policy=PlacementPolicy.BASELINE),
)


class MoveBench:
    """One answer on each of several servers that send tokens one by one."""

    def __init__(self, case: MoveCase, *, servers: int = 4) -> None:
        options = Options(slack_slots=0)
        self.world = LoadWorld(
            servers=servers, slots=2, classes=GAP_CLASSES, policy=case.policy, options=options
        )
        self.world.advance(0.2)
        self.gap_s = dict.fromkeys(self.world.config.servers, case.gap_s)
        self._next_token_at: dict[AttemptId, float] = {}
        for number in range(servers):
            self.arrive_at(ServerName(f"s{number}"), f"r{number}", case)
        self.run(3.0)

    def arrive(self, name: str, case: MoveCase) -> None:
        """Let a request of the case arrive."""
        self.world.arrive(case.class_name, name=name, repeatable=case.repeatable)

    def arrive_at(self, server: ServerName, name: str, case: MoveCase) -> None:
        """Let a request arrive while only one server is reachable."""
        servers = self.world.first.servers.by_name
        others = [each for each in servers.values() if each.entry.name != server]
        for each in others:
            each.unreachable_until = self.world.now + 0.005
        self.arrive(name, case)
        for each in others:
            each.unreachable_until = 0.0
        assert self.world.run_of(name).server == server

    def run(self, seconds: float) -> None:
        """Let every server send its tokens at its pace for a time."""
        until = self.world.now + seconds
        ticked = self.world.now
        while self.world.now < until:
            self.world.now += 0.01
            for running in list(self.world.running.values()):
                next_token_at = self._next_token_at.setdefault(running.attempt_id, self.world.now)
                if self.world.now >= next_token_at - 1e-9:
                    self._next_token_at[running.attempt_id] = (
                        next_token_at + self.gap_s[running.server]
                    )
                    self.world.progress(running, 1)
            if self.world.now - ticked >= self.world.options.tick_s:
                ticked = self.world.now
                self.world.advance(self.world.options.tick_s / 100)

    def weight(self, server: ServerName) -> float:
        """Return the weight of a server in the choice between servers."""
        return straggler.server_weight(self.world.first.stragglers, server)

    def moved(self) -> list[str]:
        """List the requests that were moved."""
        return [name for name, reason in self.world.cancelled if reason is CancelReason.MOVED]


@pytest.mark.parametrize("case", MOVE_CASES, ids=lambda case: case.name)
def test_answer_moves_off_a_straggler(case: MoveCase) -> None:
    """Guards against answers that stay on a slow engine, and against moves that are harmful or
    useless.
    """
    bench = MoveBench(case)
    world = bench.world
    victim = world.on_server("s0")[0]
    if case.full:
        for number in range(4):
            bench.arrive(f"more{number}", case)
    world.first.retries.tokens = case.budget
    bench.gap_s.update(dict.fromkeys(case.slow, case.slow_gap_s))
    bench.run(0.5)
    assert bench.moved() == ([victim.request_id] if case.moved else [])
    if not case.moved:
        return
    resumed = world.run_of(victim.request_id)
    assert resumed.server != "s0"
    req = world.first.requests[victim.request_id]
    assert resumed.resume_from == req.delivered - (req.attempt.tokens if req.attempt else 0)
    assert world.first.retries.tokens == case.budget - 1.0
    # New requests avoid the server while its average pace still looks normal.
    bench.arrive("late-comer", case)
    assert world.run_of("late-comer").server != "s0"
    world.end(resumed)
    assert world.accounts_by_class[PROMISED].count(Outcome.COMPLETED) == 1


def test_moved_answer_does_not_probe_its_old_server() -> None:
    """Guards against returning a moved answer to its slow engine as a probe."""
    bench = MoveBench(MOVE_CASES[0])
    answer = bench.world.on_server("s0")[0]
    bench.world.hold_cancelled = True
    bench.gap_s[S0] = 0.1
    bench.run(0.5)
    assert bench.moved() == [answer.request_id]
    bench.world.now += 2 * OPTIONS.straggler_probe_upper_s
    bench.world.end(answer, EndCancelled(0))
    assert bench.world.run_of(answer.request_id).server != S0


def test_moved_answer_does_not_probe_another_server() -> None:
    """Guards against using a moved answer to probe another stopped engine."""
    bench = MoveBench(MOVE_CASES[0], servers=6)
    bench.gap_s[S0] = 0.1
    bench.run(0.5)
    bench.world.hold_cancelled = True
    victim = bench.world.on_server("s1")[0]
    bench.gap_s[S1] = 0.1
    bench.run(1.5)
    assert victim.request_id in bench.moved()
    assert bench.weight(S0) == 0.0
    bench.world.now += 2 * OPTIONS.straggler_probe_upper_s
    bench.world.end(victim, EndCancelled(0))
    assert bench.world.run_of(victim.request_id).server not in {S0, S1}


@pytest.mark.parametrize("reason", [CancelReason.MOVED, CancelReason.DISPLACED])
def test_answer_is_not_resumed_after_caller_left(reason: CancelReason) -> None:
    """Guards against resuming an answer whose caller left before the old attempt ended."""
    bench = MoveBench(MOVE_CASES[0])
    world = bench.world
    world.hold_cancelled = True
    victim = world.on_server("s0")[0]
    req = world.first.requests[victim.request_id]
    cancel(req, reason)
    started = len(world.started)
    world.event(victim.instance, CallerLeft(victim.request_id))
    world.end(victim, EndCancelled(0))
    assert len(world.started) == started
    assert [each.reason for each in world.accounts_by_class[PROMISED].accounts] == [
        Reason.CALLER_LEFT
    ]


def test_move_asks_for_credit() -> None:
    """Guards against missing a move because the instance holds no credit for other servers."""
    bench = MoveBench(MoveCase("credits", moved=True, policy=PlacementPolicy.CREDITS))
    name = bench.world.on_server("s0")[0].request_id
    for running in list(bench.world.running.values()):
        if running.server != S0:
            bench.world.end(running)
    for server in [each for each in bench.world.first.credits.held_by_server if each != S0]:
        del bench.world.first.credits.held_by_server[server]
    bench.gap_s[S0] = 0.1
    bench.run(0.5)
    assert bench.moved() == [name]
    assert bench.world.run_of(name).server != S0


def test_slow_one_of_two_servers_is_paused() -> None:
    """Guards against new work on the slow one of two servers right after a move."""
    bench = MoveBench(MOVE_CASES[0], servers=2)
    name = bench.world.on_server("s0")[0].request_id
    bench.gap_s[S0] = 0.1
    bench.run(1.0)
    assert bench.moved() == [name]
    bench.world.end(bench.world.on_server("s1")[0])
    bench.arrive("next", MOVE_CASES[0])
    assert bench.world.run_of("next").server == "s1"
    bench.run(2 * OPTIONS.straggler_probe_s)
    assert straggler.server_weight(bench.world.first.stragglers, S0) == 1.0


def test_answer_is_moved_once() -> None:
    """Guards against an answer that moves back and forth between two slow engines."""
    case = MOVE_CASES[0]
    bench = MoveBench(case)
    name = bench.world.on_server("s0")[0].request_id
    bench.gap_s[S0] = 0.1
    bench.run(0.5)
    second = bench.world.run_of(name).server
    assert second != S0
    bench.run(3.0)
    bench.gap_s[S0] = 0.02
    bench.gap_s[second] = 0.1
    bench.run(3.0)
    assert bench.moved().count(name) == 1
    assert bench.world.run_of(name).server == second


def test_new_answer_on_known_slow_engine_moves_at_first_late_gap() -> None:
    """Guards against waiting for a second late gap on an engine already known to be slow."""
    bench = MoveBench(MOVE_CASES[0])
    first = bench.world.on_server("s0")[0].request_id
    bench.world.first.requests[RequestId(first)].was_moved = True
    bench.gap_s[S0] = 0.1
    bench.run(0.25)
    bench.arrive_at(S0, "newcomer", MOVE_CASES[0])
    bench.run(0.15)
    assert bench.moved() == ["newcomer"]


def test_single_pause_moves_nothing() -> None:
    """Guards against a move after a single late gap."""
    bench = MoveBench(MOVE_CASES[0])
    for _ in range(5):
        # Long enough for one late token, but not for two.
        bench.gap_s[S0] = 0.2
        bench.run(0.15)
        bench.gap_s[S0] = 0.02
        bench.run(0.5)
    assert bench.moved() == []


# --- adaptive limits -------------------------------------------------------------------------


def test_plain_limit_follows_latency() -> None:
    """Guards against a limit that does not follow the latency of plain calls."""
    state = ConcurrencyLimits()
    now = 0.0
    for _ in range(100):
        now += 0.1
        concurrency.note_latency(state, OPTIONS, now, S0, 20, 0.05)
    assert concurrency.limited_slots(state, S0, 20) == 20
    for _ in range(60):
        now += 0.1
        concurrency.note_latency(state, OPTIONS, now, S0, 20, 0.5)
    lowered_limit = concurrency.limited_slots(state, S0, 20)
    assert lowered_limit <= 10
    for _ in range(200):
        now += 0.1
        concurrency.note_latency(state, OPTIONS, now, S0, 20, 0.05)
    assert concurrency.limited_slots(state, S0, 20) == 20


def test_engine_limit_keeps_the_promised_gap() -> None:
    """Guards against a limit that ignores late tokens, or falls below its floor."""
    state = ConcurrencyLimits()
    now = 0.0
    for _ in range(100):
        now += OPTIONS.limit_adjust_s
        concurrency.adjust_engine(state, OPTIONS, now, S0, gap_s=0.1, gap_target_s=0.065)
    assert concurrency.limited_slots(state, S0, 16) == 16 * OPTIONS.limit_min_share
    for _ in range(100):
        now += OPTIONS.limit_adjust_s
        concurrency.adjust_engine(state, OPTIONS, now, S0, gap_s=0.02, gap_target_s=0.065)
    assert concurrency.limited_slots(state, S0, 16) == 16


def test_engine_limit_keeps_the_promised_first_token() -> None:
    """Guards against a limit that ignores late first tokens."""
    state = ConcurrencyLimits()
    now = 0.0
    for _ in range(20):
        now += OPTIONS.limit_adjust_s
        concurrency.note_first_token(state, OPTIONS, S0, waited=2.0, target_s=0.5)
        concurrency.adjust_engine(state, OPTIONS, now, S0, gap_s=0.01, gap_target_s=None)
    assert concurrency.limited_slots(state, S0, 16) < 8


@settings(deadline=None)
@given(st.lists(st.floats(0.001, 100.0), max_size=60), st.integers(1, 64))
def test_limit_stays_in_its_bounds(latencies: list[float], slots: int) -> None:
    """Guards against a limit below one request or above the server's slots."""
    state = ConcurrencyLimits()
    for number, latency in enumerate(latencies):
        concurrency.note_latency(state, OPTIONS, float(number), S0, slots, latency)
        assert 1 <= concurrency.limited_slots(state, S0, slots) <= slots
