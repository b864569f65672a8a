"""Selection of the service for a request by its host and path.

Only settings that are published as a whole document have routes; requests to turmericweir's API
name their target directly. A route also defines how its requests are handled: whether they may be
repeated, on how many servers, and how long a caller may wait.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from msgspec import Struct, field

from turmericweir_core.base.ids import Target


class WeightedTarget(Struct, frozen=True):
    """A service and its share of a route's requests."""

    target: Target
    weight: int


class Route(Struct, frozen=True):
    """A route and the handling of its requests."""

    name: str
    host: str
    # Begins and ends with a slash.
    path_prefix: str
    targets: tuple[WeightedTarget, ...]
    # The answer is a stream of events that are forwarded as they arrive.
    streamed: bool
    # Another server may run a request again, or continue a stream that broke.
    repeatable: bool
    # Maximum number of servers that one request may be sent to.
    sends_max: int
    # Maximum waiting time of a caller.
    timeout_s: float
    # Time to the first event, or to the whole answer if it is not streamed.
    target_s: float
    # Maximum time between two events for an answer to count as in time; None for no target.
    gap_target_s: float | None
    # 0 is the most urgent.
    priority: int
    # Requests need no key.
    public: bool = False


class RouteTable(Struct, frozen=True):
    """All routes of one version of the settings."""

    # By host and path prefix.
    by_host_and_prefix: dict[tuple[str, str], Route] = field(default_factory=dict)
    # Scheduling ranks of model requests by the priority and target of their route.
    ranks: dict[tuple[int, float], int] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of a path."""
        slash = len(path)
        while (slash := path.rfind("/", 0, slash)) >= 0:
            route = self.by_host_and_prefix.get((host, path[: slash + 1]))
            if route is not None:
                return route
        return None


def build_route_table(
    routes: Iterable[Route], ranks: dict[tuple[int, float], int] | None = None
) -> RouteTable:
    """Return a table of the routes; the first of several with the same host and prefix applies."""
    table: dict[tuple[str, str], Route] = {}
    for route in routes:
        table.setdefault((route.host, route.path_prefix), route)
    return RouteTable(table, ranks or {})


def pick_target(route: Route, rng: Random) -> Target:
    """Return a randomly chosen service of a route, according to the weights."""
    if len(route.targets) == 1:
        return route.targets[0].target
    remaining = rng.random() * sum(option.weight for option in route.targets)
    for option in route.targets:
        remaining -= option.weight
        if remaining < 0:
            return option.target
    return route.targets[-1].target
