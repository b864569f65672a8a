"""Test that all instances together keep to the limits that servers announce."""

from __future__ import annotations

import pytest

from tests.core.server_fleet import STABLE_S, ServerFleet, allowed


def check_limit(fleet: ServerFleet, name: str, limit_s: float) -> None:
    """Check that a server got no more than its limit allows once it was known for long enough."""
    server = fleet.servers[name]
    assert server.first_named_at is not None
    assert server.busiest_window(server.first_named_at + STABLE_S) <= allowed(limit_s)


@pytest.mark.parametrize(
    ("instances", "limit_s"), [(1, 1.7), (6, 1.7), (6, 0.2), (6, 4.0), (40, 1.2), (40, 4.0)]
)
def test_limit_is_kept_by_all_instances_together(instances: int, limit_s: float) -> None:
    """Guards against overloading a server that has announced its limit."""
    fleet = ServerFleet()
    names = fleet.start(instances)
    fleet.send(names, 40.0, 2.0)
    fleet.servers["lm-1"].limit_s = limit_s
    fleet.send(names, 40.0, 12.0)
    check_limit(fleet, "lm-1", limit_s)
    assert all(account.account.outcome == "completed" for account in fleet.accounts)
