"""Slow servers, by this instance's own observation, and limits that adapt to what is seen."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.load_world import LoadWorld, Running
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Policy, ServiceClass
from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Attempt, CancelReason
from turmericweir_core.messages.events import CallerLeft, EndCancelled
from turmericweir_core.placement.dispatch import cancel
from turmericweir_core.state import concurrency, straggler
from turmericweir_core.state.concurrency import LimitState
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
        self._due: dict[str, float] = {}
        self.world.advance(0.2)

    def run(self, seconds: float, *, waiting: int = 4, class_name: str = "fitting") -> None:
        """Let the servers work, with so many requests waiting all the time."""
        until = self.world.now + seconds
        while self.world.now < until:
            for _ in range(waiting - len(self.world.waiting())):
                self.world.arrive(class_name, deadline_s=1e6)
            for running in list(self.world.running.values()):
                self._generate(running)
            self.world.advance(0.1)

    def _generate(self, running: Running) -> None:
        due = self._due.get(running.attempt_id, 0.0) + 0.1 * self.pace[running.server]
        tokens = int(due)
        self._due[running.attempt_id] = due - tokens
        if tokens:
            self._sent[running.attempt_id] += tokens
            self.world.progress(running, tokens)
        if self._sent[running.attempt_id] >= self.answer:
            self.world.end(running)

    def weight(self, server: ServerName) -> float:
        """Give the share of work that a server is given."""
        return straggler.server_weight(self.world.first.stragglers, server)

    def started_on(self, server: str, since: int) -> int:
        """Count the attempts that a server was sent since some number of starts."""
        return sum(1 for each in self.world.started[since:] if each.server == server)


def test_slow_server_gets_less_work() -> None:
    # One of four engines takes twice as long for a token. Its load reports are as good as any. It
    # gets about half of what the others get, and no answer is stopped for it.
    bench = Bench()
    bench.pace[S0] = 25.0
    bench.run(20.0)
    assert 0.3 < bench.weight(S0) < 0.7
    since = len(bench.world.started)
    bench.run(20.0)
    others = [bench.started_on(f"s{number}", since) for number in (1, 2, 3)]
    assert bench.started_on("s0", since) < 0.6 * min(others)
    assert not bench.world.cancelled


def test_very_slow_server_gets_probes_only_and_comes_back() -> None:
    # One engine slows down to a tenth. Work stops going there but for a probe every few seconds,
    # one at a time; once it is well again the probes show it, and it gets its part again.
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


def test_probes_are_of_the_lowest_class() -> None:
    """Let no class make a probe while a lower one is there to make it."""
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


def test_upper_class_makes_the_probe_where_no_lower_one_comes() -> None:
    # The lower class has gone quiet while a server was out. It is well again; the upper class finds
    # that out after a while, so that its callers have the whole service once more.
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


def test_all_slow_is_nobody_slow() -> None:
    """Judge by the median of the peers, so that a rush takes no server out."""
    bench = Bench()
    bench.run(5.0)
    for server in bench.pace:
        bench.pace[server] = 10.0
    bench.run(20.0)
    assert all(bench.weight(server) == 1.0 for server in bench.pace)


def test_two_servers_do_not_judge_each_other() -> None:
    """Find no straggler among two."""
    bench = Bench(servers=2)
    bench.pace[S0] = 5.0
    bench.run(20.0)
    assert bench.weight(S0) == 1.0


@settings(deadline=None)
@given(st.lists(st.floats(0.001, 10.0), min_size=3, max_size=12))
def test_at_least_half_of_the_servers_stay_in_use(gaps: list[float]) -> None:
    """Take no more than half of a service's servers out, whatever the gaps."""
    state = StragglerState()
    for number, gap in enumerate(gaps):
        pace = straggler.ServerPace("lm", gap_s=gap, samples=99)
        state.by_server[ServerName(f"s{number}")] = pace
    straggler.judge_all(state, OPTIONS, 1.0)
    well = sum(1 for pace in state.by_server.values() if pace.weight == 1.0)
    assert 2 * well >= len(gaps)


def attempt_with(tokens: int, first: float, last: float) -> Attempt:
    """Make an attempt that has received tokens between two times."""
    return Attempt(
        AttemptId("r.0"), S0, started=0.0, tokens=tokens, first_token_at=first, last_token_at=last
    )


def test_silence_of_an_urgent_attempt_counts() -> None:
    """Take a stream that stands still for a gap as long as the silence."""
    state = StragglerState()
    attempt = attempt_with(10, first=1.0, last=1.1)
    straggler.sample_attempt(state, OPTIONS, 1.1, "lm", attempt, urgent=True)
    straggler.sample_attempt(state, OPTIONS, 3.1, "lm", attempt, urgent=True)
    assert state.by_server[S0].gap_s > 0.5


def test_lower_attempt_that_the_engine_preempted_is_no_evidence() -> None:
    """Hold it against no server that it lets a lower tier stand still."""
    state = StragglerState()
    attempt = attempt_with(10, first=1.0, last=1.1)
    straggler.sample_attempt(state, OPTIONS, 1.1, "lm", attempt, urgent=False)
    straggler.sample_attempt(state, OPTIONS, 3.1, "lm", attempt, urgent=False)
    assert state.by_server[S0].gap_s < 0.02


def test_short_answers_count_by_their_end() -> None:
    """Sample an answer that ended before its first sample."""
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
    """What is different from an answer that is moved, and whether it is moved still."""

    name: str
    moved: bool
    class_name: str = PROMISED
    repeatable: bool = True
    # Servers that become slow, each to a token in this time.
    slow: tuple[ServerName, ...] = (S0,)
    slow_gap_s: float = 0.1
    # Time between the tokens of the servers that are well.
    gap_s: float = 0.02
    # Fills the other servers with answers of the same class.
    full: bool = False
    budget: float = 5.0
    policy: Policy = Policy.COUNTS


MOVE_CASES: Final = (
    MoveCase("late tokens", moved=True),
    MoveCase("late tokens, under credits", moved=True, policy=Policy.CREDITS),
    MoveCase("slower, but as promised", moved=False, slow_gap_s=0.06),
    MoveCase("hardly slower than the others", moved=False, slow_gap_s=0.07, gap_s=0.06),
    MoveCase("class without a promise", moved=False, class_name=BULK),
    MoveCase("call that must not be repeated", moved=False, repeatable=False),
    MoveCase("all are slow", moved=False, slow=tuple(map(ServerName, ("s0", "s1", "s2", "s3")))),
    MoveCase("most are slow", moved=False, slow=tuple(map(ServerName, ("s0", "s1", "s2")))),
    MoveCase("no room elsewhere", moved=False, full=True),
    MoveCase("no budget", moved=False, budget=0.0),
    MoveCase("baseline", moved=False, policy=Policy.BASELINE),
)


class MoveBench:
    """One answer on each of four servers, which send their tokens one by one."""

    def __init__(self, case: MoveCase, *, servers: int = 4) -> None:
        options = Options(slack_slots=0)
        self.world = LoadWorld(
            servers=servers, slots=2, classes=GAP_CLASSES, policy=case.policy, options=options
        )
        self.world.advance(0.2)
        self.gap_s = dict.fromkeys(self.world.config.servers, case.gap_s)
        self._due: dict[AttemptId, float] = {}
        for number in range(servers):
            self.arrive_at(ServerName(f"s{number}"), f"r{number}", case)
        self.run(3.0)

    def arrive(self, name: str, case: MoveCase) -> None:
        """Let a request of the case arrive."""
        self.world.arrive(case.class_name, name=name, repeatable=case.repeatable)

    def arrive_at(self, server: ServerName, name: str, case: MoveCase) -> None:
        """Let a request arrive while no other server can be reached."""
        servers = self.world.first.servers.by_name
        others = [each for each in servers.values() if each.entry.name != server]
        for each in others:
            each.unreachable_until = self.world.now + 0.005
        self.arrive(name, case)
        for each in others:
            each.unreachable_until = 0.0
        assert self.world.run_of(name).server == server

    def run(self, seconds: float) -> None:
        """Let every server send its tokens at its pace."""
        until = self.world.now + seconds
        ticked = self.world.now
        while self.world.now < until:
            self.world.now += 0.01
            for running in list(self.world.running.values()):
                due = self._due.setdefault(running.attempt_id, self.world.now)
                if self.world.now >= due - 1e-9:
                    self._due[running.attempt_id] = due + self.gap_s[running.server]
                    self.world.progress(running, 1)
            if self.world.now - ticked >= self.world.options.tick_s:
                ticked = self.world.now
                self.world.advance(self.world.options.tick_s / 100)

    def weight(self, server: ServerName) -> float:
        """Give the share of work that a server is given."""
        return straggler.server_weight(self.world.first.stragglers, server)

    def moved(self) -> list[str]:
        """List the requests that were moved."""
        return [name for name, reason in self.world.cancelled if reason is CancelReason.MOVED]


@pytest.mark.parametrize("case", MOVE_CASES, ids=lambda case: case.name)
def test_answer_moves_off_a_straggler(case: MoveCase) -> None:
    # An engine slows down midway through an answer whose caller was promised a pace. The answer
    # goes on at another engine after the last token that the caller has, unless that could do harm
    # or would not help.
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
    again = world.run_of(victim.request_id)
    assert again.server != "s0"
    req = world.first.requests[victim.request_id]
    assert again.resume_from == req.delivered - (req.attempt.tokens if req.attempt else 0)
    assert world.first.retries.tokens == case.budget - 1.0
    # Nothing new is sent there meanwhile, though the average of its pace still looks well.
    bench.arrive("late-comer", case)
    assert world.run_of("late-comer").server != "s0"
    world.end(again)
    assert world.told[PROMISED].count(Outcome.COMPLETED) == 1


def test_moved_answer_is_no_probe() -> None:
    # The end of the old attempt is late, and by then the slow engine is due for a probe. The answer
    # that was just taken off it does not go back as that probe.
    bench = MoveBench(MOVE_CASES[0])
    victim = bench.world.on_server("s0")[0]
    bench.world.hold_cancelled = True
    bench.gap_s[S0] = 0.1
    bench.run(0.5)
    assert bench.moved() == [victim.request_id]
    bench.world.now += 2 * OPTIONS.straggler_probe_upper_s
    bench.world.end(victim, EndCancelled(0))
    assert bench.world.run_of(victim.request_id).server != S0


def test_answer_moved_off_one_engine_is_no_probe_of_another() -> None:
    # One engine was stopped a while ago and is due for a probe. An answer is moved off a second one
    # that slows down. It goes to an engine that is well: it could not be moved once more.
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
def test_nothing_goes_on_for_a_caller_that_left(reason: CancelReason) -> None:
    # An answer is to go on elsewhere, and its caller leaves before its old attempt has ended. As
    # nobody would read the rest, it is not begun anew.
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
    assert [each.reason for each in world.told[PROMISED].accounts] == [Reason.CALLER_LEFT]


def test_move_asks_for_credit() -> None:
    # Nothing is short, so the instance holds no credit but for the server that it uses. That one
    # slows down. No other server seems to have room until its dispatcher is asked for it.
    bench = MoveBench(MoveCase("credits", moved=True, policy=Policy.CREDITS))
    name = bench.world.on_server("s0")[0].request_id
    for running in list(bench.world.running.values()):
        if running.server != S0:
            bench.world.end(running)
    for server in [each for each in bench.world.first.credits.held if each != S0]:
        del bench.world.first.credits.held[server]
    bench.gap_s[S0] = 0.1
    bench.run(0.5)
    assert bench.moved() == [name]
    assert bench.world.run_of(name).server != S0


def test_slow_one_of_two_has_a_pause() -> None:
    # Of two servers neither is a majority, so there is no verdict. An answer leaves the one whose
    # tokens come late all the same, and the requests that come next are not sent there for a while.
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
    # Two engines slow down in turn. The answer is not passed to and fro between them.
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


def test_newcomer_on_a_slow_engine_moves_at_once() -> None:
    # One answer has shown that the engine is slow but has no promise left to keep, as it was moved
    # before. An answer that began there since then moves at its own first late gap.
    bench = MoveBench(MOVE_CASES[0])
    first = bench.world.on_server("s0")[0].request_id
    bench.world.first.requests[RequestId(first)].moved = True
    bench.gap_s[S0] = 0.1
    bench.run(0.25)
    bench.arrive_at(S0, "newcomer", MOVE_CASES[0])
    bench.run(0.15)
    assert bench.moved() == ["newcomer"]


def test_one_long_pause_moves_nothing() -> None:
    """Take one late gap for a pause of the engine, whose next tokens come in time again."""
    bench = MoveBench(MOVE_CASES[0])
    for _ in range(5):
        # Long enough for one token at this pace, and not for a second one.
        bench.gap_s[S0] = 0.2
        bench.run(0.15)
        bench.gap_s[S0] = 0.02
        bench.run(0.5)
    assert bench.moved() == []


# --- adaptive limits -------------------------------------------------------------------------


def test_plain_limit_follows_latency() -> None:
    """Step back while calls take longer than they did, and come back when they do not."""
    state = LimitState()
    now = 0.0
    for _ in range(100):
        now += 0.1
        concurrency.note_latency(state, OPTIONS, now, S0, 20, 0.05)
    assert concurrency.limited_slots(state, S0, 20) == 20
    for _ in range(60):
        now += 0.1
        concurrency.note_latency(state, OPTIONS, now, S0, 20, 0.5)
    low = concurrency.limited_slots(state, S0, 20)
    assert low <= 10
    for _ in range(200):
        now += 0.1
        concurrency.note_latency(state, OPTIONS, now, S0, 20, 0.05)
    assert concurrency.limited_slots(state, S0, 20) == 20


def test_engine_limit_keeps_the_promised_gap() -> None:
    """Step back while tokens come slower than promised, down to a floor."""
    state = LimitState()
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
    """Step back while first tokens come later than promised."""
    state = LimitState()
    now = 0.0
    for _ in range(20):
        now += OPTIONS.limit_adjust_s
        concurrency.note_first_token(state, OPTIONS, S0, waited=2.0, target_s=0.5)
        concurrency.adjust_engine(state, OPTIONS, now, S0, gap_s=0.01, gap_target_s=None)
    assert concurrency.limited_slots(state, S0, 16) < 8


@settings(deadline=None)
@given(st.lists(st.floats(0.001, 100.0), max_size=60), st.integers(1, 64))
def test_limit_stays_in_its_bounds(latencies: list[float], slots: int) -> None:
    """Never forbid a server altogether, and never allow more than its slots."""
    state = LimitState()
    for number, latency in enumerate(latencies):
        concurrency.note_latency(state, OPTIONS, float(number), S0, slots, latency)
        assert 1 <= concurrency.limited_slots(state, S0, slots) <= slots
