"""The small deployment of real processes that the failure tests start from."""

from __future__ import annotations

from typing import Final

from turmericweir_standins.deployment import BackendGroup, Cluster, Deployment

__all__ = ["SMALL", "Cluster"]

# Two data centres with one instance each, two engines and two plain servers.
SMALL: Final = Deployment(
    name="small",
    region="home",
    data_centres=("dc-1", "dc-2"),
    instances=2,
    groups=(
        BackendGroup("lm", "model", 2, 4, models=("lm",)),
        BackendGroup(
            "shop",
            "plain",
            2,
            4,
            rules=(
                {"method": "POST", "path_prefix": "/reserve", "repeatable": False},
                {"method": "POST", "path_prefix": "/check", "repeatable": True},
            ),
        ),
    ),
    classes={
        "quick": {"priority": 0, "first_token_target_ms": 590, "default_deadline_ms": 20000},
        "counter": {"priority": 0, "latency_target_ms": 500, "default_deadline_ms": 20000},
        "bulk": {"priority": 3, "first_token_target_ms": 10000, "default_deadline_ms": 60000},
    },
    customers={
        "shop-1": {"shop": "counter", "*": "quick"},
        "bulk-1": {"shop": "counter", "*": "bulk"},
    },
)
