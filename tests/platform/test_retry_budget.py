"""Tests of the retry budget of all instances together, by what servers receive."""

from __future__ import annotations

import http.client
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Final

import pytest

from tests.core.retry_count import Bounds, Window, repeats_of, worst_window
from tests.platform.platform_world import PlatformWorld, until

INSTANCES: Final = 8
BOUNDS: Final = Bounds()
# Requests per second of all callers.
RATE_S: Final = 40.0
# Times from the first request from which engines lose all answers, and at which all instances are
# killed.
LOST_FROM_S: Final = 5.0
KILLED_AT_S: Final = (7.0, 9.5, 12.0)
LENGTH_S: Final = 16.0


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield a world of instances that know each other."""
    bounds = {"retry_burst": BOUNDS.burst, "retry_ratio": BOUNDS.ratio}
    with PlatformWorld(
        tmp_path, engines=4, plain_servers=1, instances=INSTANCES, bounds=bounds
    ) as world:
        names = sorted(world.running)
        until(
            lambda: all(world.reported_state(each)["live_instances"] == names for each in names),
            "the instances know each other",
        )
        yield world


def _send(world: PlatformWorld, instance: str, request_id: str) -> None:
    with suppress(OSError, http.client.HTTPException):
        # Each has its own content: a request that breaks many connections is quarantined.
        world.send(
            "/lm/chat/",
            instance=instance,
            request_id=request_id,
            body=request_id.encode(),
            X_Prefix_Hash=f"{request_id}:400,own:600",
        )


def _call_while_all_are_killed(world: PlatformWorld) -> Window:
    """Send requests at random moments, and kill all instances at times."""
    rng = Random(1)
    sent: dict[str, float] = {}
    kills = list(KILLED_AT_S)
    engines = [each for each in world.servers if each.startswith("lm")]
    started_at = time.monotonic()
    due_at = 0.0
    with ThreadPoolExecutor(400) as pool:
        while due_at < LENGTH_S:
            if due_at >= LOST_FROM_S:
                world.set_mode("lost", *engines)
            if kills and due_at >= kills[0]:
                kills.pop(0)
                for instance in world.running.values():
                    instance.process.kill()
                for name in world.running:
                    world.restart_instance(name)
            time.sleep(max(0.0, started_at + due_at - time.monotonic()))
            request_id = world.new_id()
            sent[request_id] = time.monotonic()
            pool.submit(_send, world, rng.choice(sorted(world.running)), request_id)
            due_at += rng.expovariate(RATE_S)
    arrivals = [
        (each.received_at, each.headers["x-attempt-id"])
        for name in engines
        for each in world.servers[name].received
    ]
    return worst_window(sent.values(), repeats_of(arrivals), BOUNDS)


def test_kills_of_all_instances_bring_no_new_burst(world: PlatformWorld) -> None:
    """Guards against a burst of retries from each process that starts again."""
    window = _call_while_all_are_killed(world)
    assert window.used_share <= 1.0, window
