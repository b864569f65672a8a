"""What is refused because it cannot be answered in time."""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from tests.core.store_world import BULK, MODEL, QUICK, StoreWorld, account_of, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.engines import engine_pools
from turmericweir_core.messages.effects import FinishRequest, Log, StartAttempt
from turmericweir_core.messages.events import EndComplete
from turmericweir_core.messages.peer_messages import DemandRow, LoadNews
from turmericweir_core.state.pool_state import Split

# Events of three tokens; with 50 ms between them, 300 tokens take 5 s.
GAP_S: Final = 0.05
LONG: Final = 300


def in_a_rush(world: StoreWorld) -> list[StartAttempt]:
    """Have three answers make an event each GAP_S."""
    starts = [start_of(world.arrive(f"busy-{number}", max_tokens=0)) for number in range(3)]
    for start in starts:
        world.sent(start)
        world.begin(start)
    make_events(world, starts, 2.0)
    return starts


def make_events(world: StoreWorld, starts: list[StartAttempt], seconds: float) -> None:
    """Let the engines go on at the same pace."""
    for _ in range(round(seconds / GAP_S)):
        world.wait(GAP_S)
        for start in starts:
            world.begin(start)


def test_an_answer_that_would_be_cut_at_its_deadline_is_refused_at_once() -> None:
    # Prompts are read all the time, and an event takes 50 ms. A caller expects 300 tokens and has
    # 4 s. It is told at once that nothing was run and when to come back, rather than cut after 4 s
    # for which it had an engine read its prompt. One with 8 s is served, and one that said nothing
    # of its length.
    world = StoreWorld(engines=1)
    in_a_rush(world)
    effects = world.arrive("long", expected_tokens=LONG, deadline=world.now + 4.0, max_tokens=0)
    refused = account_of(effects)
    assert refused.account.outcome is Outcome.NOT_RUN
    assert refused.account.retry_after_s is not None
    assert refused.account.retry_after_s >= 1.0
    (why,) = [each.fields for each in only(effects, Log) if each.event == "not_admitted"]
    assert (why["left_ms"], why["expected_tokens"]) == (4000, LONG)
    assert 4000 < float(str(why["answer_ms"])) < 6000
    for name, fields in {
        "has time": {"expected_tokens": LONG, "deadline": world.now + 8.0},
        "is short": {"expected_tokens": 30, "deadline": world.now + 4.0},
        "says nothing": {"deadline": world.now + 4.0},
    }.items():
        assert not only(world.arrive(name, max_tokens=0, **fields), FinishRequest), name


def test_the_pace_of_a_rush_that_is_over_refuses_nobody() -> None:
    # The rush has ended and nothing runs, so nothing shows how fast the engines are now. Callers
    # with long answers are served: else they would be refused for good.
    world = StoreWorld(engines=1)
    for start in in_a_rush(world):
        world.end(start, EndComplete(200))
    world.wait(4.0)
    effects = world.arrive("long", expected_tokens=LONG, deadline=world.now + 4.0, max_tokens=0)
    assert not only(effects, FinishRequest)


def test_an_urgent_caller_is_not_refused_by_an_estimate_while_others_begin() -> None:
    # Callers' estimates are often far off. A quick answer that is said to be long is let in: less
    # urgent long prompts begin beside it, and its caller would have nothing.
    world = StoreWorld(engines=1)
    quick = replace(QUICK, rank=0)
    bulk = replace(BULK, rank=1)
    in_a_rush(world)
    world.arrive("less urgent", service_class=bulk, max_tokens=0)
    fields = {"expected_tokens": LONG, "deadline": world.now + 4.0, "max_tokens": 0}
    assert not only(world.arrive("quick", service_class=quick, **fields), FinishRequest)
    assert only(world.arrive("bulk", service_class=bulk, **fields), FinishRequest)


def test_an_estimate_counts_up_to_what_the_caller_allows_at_the_most() -> None:
    world = StoreWorld(engines=1)
    in_a_rush(world)
    fields = {"expected_tokens": LONG, "deadline": world.now + 4.0}
    assert not only(world.arrive("bounded", max_tokens=120, **fields), FinishRequest)


def test_prompts_read_between_events_do_not_make_answers_seem_slower_than_they_are() -> None:
    # An engine reads prompts for 1.6 s, in which each answer has four events, and makes forty in
    # the next 0.4 s: one in 45 ms on the whole, so 300 tokens take 4.5 s. A caller who has 10 s is
    # served; by the mean of the gaps that are seen, some 300 ms, it would be refused.
    world = StoreWorld(engines=1)
    starts = [start_of(world.arrive(f"busy-{number}", max_tokens=0)) for number in range(3)]
    for start in starts:
        world.sent(start)
        world.begin(start)
    for pause_s in (4 * [0.4] + 40 * [0.01]) * 3:
        world.wait(pause_s)
        for start in starts:
            world.begin(start)
    fields = {"expected_tokens": LONG, "max_tokens": 0}
    served = world.arrive("served", deadline=world.now + 10.0, **fields)
    assert not only(served, FinishRequest)
    refused = world.arrive("refused", deadline=world.now + 3.0, **fields)
    assert account_of(refused).account.outcome is Outcome.NOT_RUN


def test_the_wait_for_engines_of_the_own_kind_is_what_counts() -> None:
    # One of five engines reads long prompts while quick answers fill the others. Ten long prompts
    # wait for it, 5 s of work, and a caller who has 4 s is refused at once; spread over all five
    # engines the wait would seem to be a second, and the caller would leave with nothing.
    world = StoreWorld(engines=5)
    world.wait(0.05)
    split = world.state.pools.splits[MODEL] = Split(reading=1, quick_first=True)
    split.settings = world.state.config.offset
    demand = [DemandRow(MODEL, 500, 3_500, None)]
    for number in range(14):
        world.wait(0.05)
        world.peer("a-2", LoadNews("x", number, [], [], demand))
        size = 20_000
        world.arrive(str(number), prompt_tokens=size, parts=((f"p{number}", size),), max_tokens=0)
    assert engine_pools.reading_engines(world.state, MODEL) == 1
    fields = {"prompt_tokens": 20_000, "max_tokens": 0}
    refused = account_of(world.arrive("late", deadline=world.now + 4.0, **fields)).account
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_s is not None
