"""What an instance learns of how fast engines read prompts."""

from __future__ import annotations

from random import Random

import pytest

from tests.core.store_world import BULK, MODEL, StoreWorld, start_of
from turmericweir_core.base.options import Options
from turmericweir_core.engines import engine_model
from turmericweir_core.messages.events import EndComplete
from turmericweir_core.state import engine_speed
from turmericweir_core.state.engine_state import EngineBook


@pytest.mark.parametrize(
    ("first_ms", "factor"), [(62.0, 0.35), (30.0, 1.0), (90.0, 3.0)], ids=["fast", "common", "slow"]
)
def test_the_line_is_found_within_some_thirty_requests(first_ms: float, factor: float) -> None:
    # Short prompts and long ones, each a tenth off at the most.
    speed = engine_speed.common(Options())
    rng = Random(7)
    for number in range(60):
        work = 15.0 if number % 3 else rng.uniform(100.0, 400.0)
        took = (first_ms + factor * work) * rng.uniform(0.9, 1.1)
        engine_speed.learn(speed, work, took)
    assert speed.factor == pytest.approx(factor, rel=0.25)
    assert speed.first_ms == pytest.approx(first_ms, rel=0.25)


def test_prompts_of_one_size_leave_the_factor_as_it_was() -> None:
    # Nothing tells then which part of the time was for reading.
    speed = engine_speed.common(Options())
    for _ in range(400):
        engine_speed.learn(speed, 15.0, 75.0)
    assert 0.1 <= speed.factor <= 8.0
    assert speed.first_ms + 15.0 * speed.factor == pytest.approx(75.0, rel=0.05)


def test_one_that_met_others_unseen_moves_the_line_little() -> None:
    speed = engine_speed.common(Options())
    for number in range(60):
        engine_speed.learn(speed, 20.0 if number % 2 else 200.0, 80.0 if number % 2 else 260.0)
    before = speed.first_ms + 100.0 * speed.factor
    engine_speed.learn(speed, 100.0, 30_000.0)
    assert speed.first_ms + 100.0 * speed.factor <= 1.15 * before


def test_engines_of_another_make_are_predicted_by_what_they_were_seen_to_do() -> None:
    """A service's engines read a prompt in a third of the time that others take.

    By the common figures each long prompt counts three times: callers are refused for waits that
    are none, and engines are kept for long prompts that quick answers lack.
    """
    world = StoreWorld(engines=2)
    probe = world.request("probe", prompt_tokens=17_000)
    book = EngineBook()
    common_ms = engine_model.own_work_ms(world.state, book, probe)
    for number in range(40):
        tokens = 17_000 if number % 2 else 1_000
        fields = {"prompt_tokens": tokens, "parts": ((f"own-{number}", tokens),)}
        start = start_of(world.arrive(str(number), service_class=BULK, **fields))
        world.sent(start)
        world.now += 0.06 + tokens * 8e-6
        world.begin(start)
        world.end(start, EndComplete(200))
    assert engine_model.own_work_ms(world.state, book, probe) < 0.5 * common_ms
    assert engine_model.speed_of(world.state, MODEL).first_ms == pytest.approx(60.0, rel=0.3)
