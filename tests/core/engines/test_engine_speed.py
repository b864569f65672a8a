"""Test how an instance learns the prefill speed of engines."""

from __future__ import annotations

from random import Random

import pytest

from tests.core.store_world import BULK, MODEL, StoreWorld, start_of
from turmericweir_core.base.options import Options
from turmericweir_core.engines import engine_model
from turmericweir_core.messages.events import EndComplete
from turmericweir_core.state import engine_speed
from turmericweir_core.state.engine_state import EngineInfo


@pytest.mark.parametrize(
    ("first_ms", "factor"), [(62.0, 0.35), (30.0, 1.0), (90.0, 3.0)], ids=["fast", "common", "slow"]
)
def test_speed_is_learned_from_noisy_requests(first_ms: float, factor: float) -> None:
    """Guards against a wrong speed after sixty requests with ten percent of noise."""
    speed = engine_speed.reference_speed(Options())
    rng = Random(7)
    for number in range(60):
        work = 15.0 if number % 3 else rng.uniform(100.0, 400.0)
        took = (first_ms + factor * work) * rng.uniform(0.9, 1.1)
        engine_speed.update_speed(speed, work, took)
    assert speed.factor == pytest.approx(factor, rel=0.25)
    assert speed.first_ms == pytest.approx(first_ms, rel=0.25)


def test_equal_prompts_keep_the_factor_bounded() -> None:
    """Guards against an unbounded factor where all prompts have one size."""
    speed = engine_speed.reference_speed(Options())
    for _ in range(400):
        engine_speed.update_speed(speed, 15.0, 75.0)
    assert 0.1 <= speed.factor <= 8.0
    assert speed.first_ms + 15.0 * speed.factor == pytest.approx(75.0, rel=0.05)


def test_outlier_changes_the_speed_little() -> None:
    """Guards against a large change of the speed by one outlier."""
    speed = engine_speed.reference_speed(Options())
    for number in range(60):
        engine_speed.update_speed(
            speed, 20.0 if number % 2 else 200.0, 80.0 if number % 2 else 260.0
        )
    previous_ms = speed.first_ms + 100.0 * speed.factor
    engine_speed.update_speed(speed, 100.0, 30_000.0)
    assert speed.first_ms + 100.0 * speed.factor <= 1.15 * previous_ms


def test_fast_engines_are_predicted_by_observed_speed() -> None:
    """Guards against predicting fast engines by the common figures, which refuses callers for too
    long waits.
    """
    world = StoreWorld(engines=2)
    probe = world.request("probe", prompt_tokens=17_000)
    record = EngineInfo()
    common_ms = engine_model.own_work_ms(world.state, record, probe)
    for number in range(40):
        tokens = 17_000 if number % 2 else 1_000
        fields = {"prompt_tokens": tokens, "parts": ((f"own-{number}", tokens),)}
        start = start_of(world.arrive(str(number), service_class=BULK, **fields))
        world.sent(start)
        world.now += 0.06 + tokens * 8e-6
        world.begin(start)
        world.end(start, EndComplete(200))
    assert engine_model.own_work_ms(world.state, record, probe) < 0.5 * common_ms
    assert engine_model.speed_of(world.state, MODEL).first_ms == pytest.approx(60.0, rel=0.3)
