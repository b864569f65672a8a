"""Tests of duties where the store and the platform answer writes slowly, with real processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.platform.platform_world import PlatformWorld, until
from tests.platform.test_duties import send_and_count_served

DUTIES: dict[str, Any] = {"kinds": ["metering"], "lease_ms": 3000, "window_s": 2, "late_s": 8}
WINDOWS = 4


@pytest.mark.parametrize("delay_s", [0.95, 1.3, 2.0])
@pytest.mark.parametrize("slow", ["store", "platform", "both"])
def test_usage_is_reported_though_each_write_takes_long(
    tmp_path: Path, slow: str, delay_s: float
) -> None:
    """Guards against a time limit that takes a slow store or platform for one that is gone."""
    with PlatformWorld(tmp_path, instances=2, duties=dict(DUTIES)) as world:
        standin = world.duty_standin
        if slow != "platform":
            world.store.append_delay_s = delay_s
        if slow != "store":
            standin.delay_s = delay_s
        until(lambda: bool(standin.holders()), "an instance holds the duties")
        served = send_and_count_served(world, 20)
        assert served == 20
        until(lambda: standin.reported_requests() == served, "all requests are reported")
        windows = len(standin.counts_by_window())
        until(
            lambda: len(standin.counts_by_window()) >= windows + WINDOWS,
            "later windows are reported",
        )
        assert standin.reported_requests() == served


def test_usage_is_reported_though_the_platform_takes_longer_than_a_lease(tmp_path: Path) -> None:
    """Guards against one window that is reported again and again, and no other ever."""
    with PlatformWorld(tmp_path, instances=2, duties=dict(DUTIES)) as world:
        standin = world.duty_standin
        standin.delay_s = 3.5
        until(lambda: bool(standin.holders()), "an instance holds the duties")
        until(lambda: len(standin.counts_by_window()) >= 3, "later windows are reported")
