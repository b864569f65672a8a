"""Slow servers, by this instance's own observation, and limits that adapt to what is seen."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.load_world import LoadWorld, Running
from turmericweir_core import concurrency, straggler
from turmericweir_core.concurrency import LimitState
from turmericweir_core.events import CallerLeft
from turmericweir_core.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.options import Options
from turmericweir_core.request import Attempt
from turmericweir_core.straggler import StragglerState

OPTIONS = Options()
S0 = ServerName("s0")


class Bench:
    """A world whose servers generate tokens, each at its own pace, and end answers."""

    def __init__(self, *, servers: int = 4, slots: int = 4, answer: int = 100) -> None:
        self.world = LoadWorld(servers=servers, slots=slots)
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
