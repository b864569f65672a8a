"""Service classes of settings that have routes: one for each route and customer priority.

There are as many as routes times customer priorities, of which requests use few. A class is
therefore built when a request first needs it; `Config.tier_summary` covers the others.
"""

from __future__ import annotations

from turmericweir_core.base.config import Config, ServiceClass, ServiceKind, TierSummary
from turmericweir_core.base.routes import Route


def class_of_route(config: Config, route: Route, customer_priority: int) -> ServiceClass:
    """Return the service class of a route's requests at a customer's priority.

    The tier is the route's alone. Prevents quick answers from being preempted or held back for long
    prompts of customers with a more urgent priority.
    """
    name = f"{route.name}/{customer_priority}"
    service_class = config.classes.get(name)
    if service_class is None:
        service_class = config.classes[name] = ServiceClass(
            name=name,
            priority=route.priority,
            customer_priority=customer_priority,
            target_s=route.target_s,
            token_gap_target_s=route.gap_target_s,
            deadline_s=route.timeout_s,
            rank=_rank(config, route),
        )
    return service_class


def _rank(config: Config, route: Route) -> int | None:
    """Return the scheduling rank of a route's requests; None if no service of it runs models."""
    if not _has_model_service(config, route):
        return None
    return config.routes.ranks.get((route.priority, route.target_s))


def _has_model_service(config: Config, route: Route) -> bool:
    """Return whether a service of a route runs models."""
    for each in route.targets:
        service = config.services.get(each.target)
        if service is not None and service.kind is ServiceKind.MODEL:
            return True
    return False


def summarise_routes(routes: list[Route]) -> TierSummary:
    """Return what follows from the classes of all routes, without the shares (for credits)."""
    gap_targets = [
        (each.priority, each.gap_target_s) for each in routes if each.gap_target_s is not None
    ]
    return TierSummary(
        most_urgent=min((each.priority for each in routes), default=0),
        lowest=max((each.priority for each in routes), default=0),
        gap_target_s=min(gap_targets)[1] if gap_targets else None,
    )
