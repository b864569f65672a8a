"""Test the shares of customers of one class by real processes; judged by what was served."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any, Final

import pytest

from tests.platform.platform_world import Answer, PlatformWorld, document, until

INSTANCES: Final = 3
ENGINES: Final = 2
SLOTS: Final = 4
EVENTS: Final = 5
# An answer holds its slot for a second.
EVENT_INTERVAL_S: Final = 0.2
SMALL: Final = tuple(f"small-{number}" for number in range(9))
LARGE: Final = "large"
SMALL_RATE_S: Final = 0.6
LARGE_RATE_S: Final = 19.0
PLAY_S: Final = 10.0
SERVED_SHARE_MIN: Final = 0.95
SLOTS_USED_MIN: Final = 0.85


def _settings() -> dict[str, Any]:
    """Return settings with ten customers, and engines of few slots."""
    base = document(1)
    services = base["services"]
    services[0]["engine"]["max-concurrency"] = SLOTS
    customers = [
        {"name": name, "api-keys": [f"key-{name}"], "priority": 1} for name in (*SMALL, LARGE)
    ]
    return {"services": services, "tenants": [*base["tenants"], *customers]}


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield instances that know each other, and engines that stream for a second."""
    with PlatformWorld(
        tmp_path, engines=ENGINES, plain_servers=0, instances=INSTANCES, metrics=True
    ) as world:
        names = sorted(world.running)
        until(
            lambda: all(world.reported_state(each)["live_instances"] == names for each in names),
            "the instances know each other",
        )
        for number in range(1, ENGINES + 1):
            server = world.servers[f"lm-{number}"]
            server.event_count, server.event_interval_s = EVENTS, EVENT_INTERVAL_S
            world.register(f"lm-{number}", **{"max-concurrency": SLOTS, "seq": 2})
        world.publish(**_settings())
        until(
            lambda: all(
                world.reported_state(each)["settings_version"] == world.version for each in names
            ),
            "all instances have the settings",
        )
        yield world


def _send_for(
    world: PlatformWorld, pool: ThreadPoolExecutor, seconds: float, large_at: tuple[str, ...]
) -> list[tuple[str, Future[Answer]]]:
    """Send the requests of all customers at random moments; return the customers and answers."""
    rng = Random(1)
    names = sorted(world.running)
    customers = (*SMALL, LARGE)
    rates = [SMALL_RATE_S] * len(SMALL) + [LARGE_RATE_S]
    sent: list[tuple[str, Future[Answer]]] = []
    due_at = time.monotonic()
    ends_at = due_at + seconds
    while (due_at := due_at + rng.expovariate(sum(rates))) < ends_at:
        time.sleep(max(0.0, due_at - time.monotonic()))
        (customer,) = rng.choices(customers, rates)
        instance = rng.choice(large_at if customer == LARGE else names)
        headers: dict[str, Any] = {
            "X_Key": f"key-{customer}",
            "X_Prefix_Hash": f"{len(sent) + 1:x}:200",
        }
        headers["X_Token_Count"] = "200,15"
        future = pool.submit(world.send, "/lm/chat/", instance=instance, **headers)
        sent.append((customer, future))
    return sent


@pytest.mark.parametrize("large_at", [("entry-1", "entry-2", "entry-3"), ("entry-2",)])
def test_small_customers_are_served_beside_a_large_one(
    world: PlatformWorld, large_at: tuple[str, ...]
) -> None:
    """Guards against a customer that takes the room of all others by sending more."""
    with ThreadPoolExecutor(160) as pool:
        _send_for(world, pool, 3.0, large_at)
        runs_before = len(world.runs())
        sent = _send_for(world, pool, PLAY_S, large_at)
        runs = len(world.runs()) - runs_before
    total, served = Counter[str](), Counter[str]()
    for customer, future in sent:
        total[customer] += 1
        answer = future.result()
        served[customer] += answer.status == 200 and not answer.is_cut
    small_total, small_served = (sum(each[name] for name in SMALL) for each in (total, served))
    assert small_served >= SERVED_SHARE_MIN * small_total, (total, served)
    assert runs >= SLOTS_USED_MIN * ENGINES * SLOTS * PLAY_S, (runs, total, served)
    refused = [future.result() for name, future in sent if future.result().status == 503]
    assert refused
    assert all(float(answer.headers["retry-after"]) > 0.0 for answer in refused)
