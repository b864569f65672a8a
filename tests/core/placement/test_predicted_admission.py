"""Test refusals of requests that cannot be answered in time."""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from tests.core.store_world import BULK, MODEL, QUICK, StoreWorld, account_of, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.engines import engine_pools
from turmericweir_core.messages.effects import FinishRequest, Log, StartAttempt
from turmericweir_core.messages.events import EndComplete
from turmericweir_core.messages.load_messages import DemandRow, LoadNews
from turmericweir_core.state.pool_state import EngineSplit

# Events of three tokens; with 50 ms between them, 300 tokens take 5 s.
GAP_S: Final = 0.05
LONG_ANSWER_TOKENS: Final = 300


def start_busy_answers(world: StoreWorld) -> list[StartAttempt]:
    """Start three answers that send an event every `GAP_S`."""
    starts = [start_of(world.arrive(f"busy-{number}", max_tokens=0)) for number in range(3)]
    for start in starts:
        world.sent(start)
        world.begin(start)
    send_events(world, starts, 2.0)
    return starts


def send_events(world: StoreWorld, starts: list[StartAttempt], seconds: float) -> None:
    """Let running answers send events at the same pace for a time."""
    for _ in range(round(seconds / GAP_S)):
        world.wait(GAP_S)
        for start in starts:
            world.begin(start)


def test_answer_longer_than_its_deadline_is_refused() -> None:
    """Guards against admitting an answer whose estimated length exceeds its deadline."""
    world = StoreWorld(engines=1)
    start_busy_answers(world)
    effects = world.arrive(
        "long", expected_tokens=LONG_ANSWER_TOKENS, deadline=world.now + 4.0, max_tokens=0
    )
    refused = account_of(effects)
    assert refused.account.outcome is Outcome.NOT_RUN
    assert refused.account.retry_after_s is not None
    assert refused.account.retry_after_s >= 1.0
    (log_fields,) = [each.fields for each in only(effects, Log) if each.event == "not_admitted"]
    assert (log_fields["left_ms"], log_fields["expected_tokens"]) == (4000, LONG_ANSWER_TOKENS)
    assert 4000 < float(str(log_fields["answer_ms"])) < 6000
    for name, fields in {
        "has time": {"expected_tokens": LONG_ANSWER_TOKENS, "deadline": world.now + 8.0},
        "is short": {"expected_tokens": 30, "deadline": world.now + 4.0},
        "says nothing": {"deadline": world.now + 4.0},
    }.items():
        assert not only(world.arrive(name, max_tokens=0, **fields), FinishRequest), name


def test_pace_of_ended_burst_is_ignored() -> None:
    """Guards against refusals by the pace of a burst that has ended."""
    world = StoreWorld(engines=1)
    for start in start_busy_answers(world):
        world.end(start, EndComplete(200))
    world.wait(4.0)
    effects = world.arrive(
        "long", expected_tokens=LONG_ANSWER_TOKENS, deadline=world.now + 4.0, max_tokens=0
    )
    assert not only(effects, FinishRequest)


def test_estimate_applies_only_to_least_urgent_class() -> None:
    """Guards against refusing an urgent request by an estimate while others are admitted."""
    world = StoreWorld(engines=1)
    quick = replace(QUICK, rank=0)
    bulk = replace(BULK, rank=1)
    start_busy_answers(world)
    world.arrive("less urgent", service_class=bulk, max_tokens=0)
    fields = {"expected_tokens": LONG_ANSWER_TOKENS, "deadline": world.now + 4.0, "max_tokens": 0}
    assert not only(world.arrive("quick", service_class=quick, **fields), FinishRequest)
    assert only(world.arrive("bulk", service_class=bulk, **fields), FinishRequest)


def test_estimate_is_capped_by_token_limit() -> None:
    """Guards against an estimate beyond the caller's token limit."""
    world = StoreWorld(engines=1)
    start_busy_answers(world)
    fields = {"expected_tokens": LONG_ANSWER_TOKENS, "deadline": world.now + 4.0}
    assert not only(world.arrive("bounded", max_tokens=120, **fields), FinishRequest)


def test_duration_is_predicted_from_event_rate() -> None:
    """Guards against a mean of token gaps, which overstates the duration."""
    world = StoreWorld(engines=1)
    starts = [start_of(world.arrive(f"busy-{number}", max_tokens=0)) for number in range(3)]
    for start in starts:
        world.sent(start)
        world.begin(start)
    for pause_s in (4 * [0.4] + 40 * [0.01]) * 3:
        world.wait(pause_s)
        for start in starts:
            world.begin(start)
    fields = {"expected_tokens": LONG_ANSWER_TOKENS, "max_tokens": 0}
    served = world.arrive("served", deadline=world.now + 10.0, **fields)
    assert not only(served, FinishRequest)
    refused = world.arrive("refused", deadline=world.now + 3.0, **fields)
    assert account_of(refused).account.outcome is Outcome.NOT_RUN


def test_wait_counts_only_engines_of_the_same_kind() -> None:
    """Guards against spreading the wait over engines that do not serve the request."""
    world = StoreWorld(engines=5)
    world.wait(0.05)
    split = world.state.pools.splits[MODEL] = EngineSplit(
        prefill_engine_count=1, is_decode_first=True
    )
    split.cached_settings = world.state.config.offset
    demand = [DemandRow(MODEL, 500, 3_500)]
    for number in range(14):
        world.wait(0.05)
        world.peer("a-2", LoadNews("x", number, [], [], demand))
        size = 20_000
        world.arrive(str(number), prompt_tokens=size, parts=((f"p{number}", size),), max_tokens=0)
    assert engine_pools.prefill_engine_count(world.state, MODEL) == 1
    fields = {"prompt_tokens": 20_000, "max_tokens": 0}
    refused = account_of(world.arrive("late", deadline=world.now + 4.0, **fields)).account
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_s is not None
