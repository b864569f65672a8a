"""Tests of service classes that follow from routes."""

from __future__ import annotations

from turmericweir_core.base.config import Config, Service, ServiceClass, ServiceKind
from turmericweir_core.base.ids import Target
from turmericweir_core.base.route_classes import class_of_route, summarise_routes
from turmericweir_core.base.routes import Route, WeightedTarget, build_route_table
from turmericweir_core.base.tiers import (
    assign_ranks,
    lowest_tier,
    most_urgent_configured_tier,
    most_urgent_gap_target_s,
    tier_shares,
)


class CountedClasses(dict[str, ServiceClass]):
    """Classes that count how often all of them are walked over."""

    walks = 0

    def values(self) -> object:  # type: ignore[override]
        """Return the classes, and count the walk."""
        self.walks += 1
        return super().values()


def route(name: str, priority: int, gap_target_s: float | None, service: str = "lm") -> Route:
    return Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        targets=(WeightedTarget(Target(service), 1),),
        streamed=True,
        repeatable=False,
        sends_max=1,
        timeout_s=5.0,
        target_s=1.0 + priority,
        gap_target_s=gap_target_s,
        priority=priority,
    )


def config(*routes: Route) -> Config:
    services = {
        "lm": Service("lm", ServiceKind.MODEL),
        "shop": Service("shop", ServiceKind.PLAIN),
    }
    ranks = assign_ranks({each.priority: {each.target_s} for each in routes}, 10)
    return Config(
        tier_summary=summarise_routes(list(routes)),
        services=services,
        routes=build_route_table(routes, ranks),
    )


def test_tiers_are_derived_once_for_a_configuration() -> None:
    """Guards against a walk over all classes for each attempt."""
    classes = CountedClasses()
    for number in range(100):
        name = f"c-{number}"
        classes[name] = ServiceClass(name, number % 5, 1.0, token_gap_target_s=0.1 + number)
    cfg = Config(classes=classes)
    for _ in range(50):
        assert (most_urgent_configured_tier(cfg), lowest_tier(cfg)) == (0, 4)
        assert most_urgent_gap_target_s(cfg) == 0.1
        assert set(tier_shares(cfg)) == set(range(5))
    assert classes.walks == 1


def test_class_of_a_route_exists_only_once_it_is_used() -> None:
    """Guards against memory for classes of routes that nobody calls."""
    cfg = config(*(route(f"r-{number}", number % 3, 0.5) for number in range(300)))
    assert cfg.classes == {}
    used = class_of_route(cfg, cfg.routes.by_host_and_prefix["h", "/r-7/"], 2)
    assert (used.name, used.priority, used.customer_priority) == ("r-7/2", 1, 2)
    assert class_of_route(cfg, cfg.routes.by_host_and_prefix["h", "/r-7/"], 2) is used
    assert list(cfg.classes) == ["r-7/2"]


def test_tiers_of_routes_count_before_their_classes_are_used() -> None:
    """Guards against treating a lower tier as the most urgent until an urgent request comes."""
    cfg = config(route("a", 1, None), route("b", 2, 0.3), route("c", 2, 0.2), route("d", 4, 0.1))
    class_of_route(cfg, cfg.routes.by_host_and_prefix["h", "/d/"], 4)
    assert (most_urgent_configured_tier(cfg), lowest_tier(cfg)) == (1, 4)
    assert most_urgent_gap_target_s(cfg) == 0.2


def test_only_classes_of_model_services_are_ranked() -> None:
    cfg = config(route("model", 1, 0.2), route("plain", 1, None, "shop"))
    routes = cfg.routes.by_host_and_prefix
    assert class_of_route(cfg, routes["h", "/model/"], 1).rank == 0
    assert class_of_route(cfg, routes["h", "/plain/"], 1).rank is None


def test_ranks_follow_priority_and_then_target() -> None:
    ranks = assign_ranks({1: [0.4, 2.0], 0: [1.0], 3: [0.1]}, 10)
    ordered = sorted(ranks, key=lambda key: ranks[key])
    assert ordered == [(0, 1.0), (1, 0.4), (1, 2.0), (3, 0.1)]
    assert ranks[1, 0.4] < ranks[1, 2.0]
