"""The planned numbers of servers by kind and data centre."""

from __future__ import annotations

import pytest

from turmericweir_core.base.config import CapacityBounds
from turmericweir_core.duties.capacity_plan import PresentServers, WantedServers, plan_servers

PRICES = {"a": 1.0, "b": 1.2, "c": 0.9, "d": 1.1}
CAPACITY = CapacityBounds(1, 35, 4.0, PRICES, 0.22)
LASTING_ONLY = CapacityBounds(1, 35, 4.0, PRICES)


def present(lasting: int, spot: int) -> dict[str, PresentServers]:
    return {name: PresentServers(lasting, spot) for name in PRICES}


def settled_plan(needed: int) -> dict[str, WantedServers]:
    """Apply the plan until it does not change."""
    current = present(17, 0)
    initial_counts = dict.fromkeys(PRICES, 17)
    for _ in range(10):
        wanted = plan_servers(CAPACITY, current, needed, initial_counts=initial_counts)
        current = {
            name: PresentServers(servers.lasting, servers.spot) for name, servers in wanted.items()
        }
    return wanted


@pytest.mark.parametrize("needed", [8, 40, 68, 100, 140, 400])
def test_spot_servers_cover_the_need(needed: int) -> None:
    wanted = settled_plan(needed)
    total = sum(servers.lasting + servers.spot for servers in wanted.values())
    assert total == min(140, max(needed, 8))
    assert {servers.lasting for servers in wanted.values()} == {1}


def test_lasting_servers_stay_until_spot_servers_replace_them() -> None:
    """Prevents lasting servers from being released before spot servers serve in their place."""
    initial_counts = dict.fromkeys(PRICES, 17)
    assert plan_servers(CAPACITY, present(17, 0), 68, initial_counts=initial_counts)[
        "a"
    ] == WantedServers(17, 16)
    assert plan_servers(CAPACITY, present(17, 9), 68, initial_counts=initial_counts)[
        "a"
    ] == WantedServers(8, 16)
    assert plan_servers(CAPACITY, present(8, 16), 68, initial_counts=initial_counts)[
        "a"
    ] == WantedServers(1, 16)


def test_other_data_centres_replace_missing_spot_servers() -> None:
    """Prevents the loss of a data centre's share when its spot servers are preempted."""
    current = {**present(1, 16), "a": PresentServers(1, 0)}
    wanted = plan_servers(CAPACITY, current, 68, initial_counts={}, unavailable=frozenset({"a"}))
    assert wanted["a"] == WantedServers(1, 0)
    assert sum(servers.lasting + servers.spot for servers in wanted.values()) == 68


def test_lasting_servers_replace_unavailable_spot_servers() -> None:
    wanted = plan_servers(
        CAPACITY, present(1, 0), 68, initial_counts={}, unavailable=frozenset(PRICES)
    )
    assert sum(servers.lasting for servers in wanted.values()) == 68


def test_lasting_servers_cover_the_need_without_spot_servers() -> None:
    wanted = plan_servers(LASTING_ONLY, present(17, 0), 30, initial_counts={})
    assert sum(servers.lasting for servers in wanted.values()) == 30
    assert all(servers.spot == 0 for servers in wanted.values())


def test_bounds_hold() -> None:
    capacity = CapacityBounds(3, 5, 4.0, PRICES, 0.2)
    for needed in (0, 1, 12, 19, 100):
        wanted = plan_servers(capacity, present(4, 1), needed, initial_counts={})
        assert all(3 <= servers.lasting + servers.spot <= 5 for servers in wanted.values())
