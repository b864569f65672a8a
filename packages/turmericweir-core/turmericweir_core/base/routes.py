"""Which service a request goes to, by its host and path.

Operators who publish settings as a whole document list routes; the own interface names its targets
in the request instead and has no routes. A route also says what may be done with its requests:
whether they may run again, on how many servers, and how long a caller may be kept waiting.
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
    """One route."""

    name: str
    host: str
    # Begins and ends with a slash.
    path_prefix: str
    targets: tuple[WeightedTarget, ...]
    # The answer is a series of events that are passed on as they come.
    streamed: bool
    # Another server may run a request again, or go on with a stream that broke.
    repeatable: bool
    # Servers that one request may be sent to.
    sends_max: int
    # Longest time that a caller is kept waiting, seconds.
    timeout_s: float
    # Time to the first event, or to the whole answer where it is not streamed, seconds.
    target_s: float
    # Longest time between two events of an answer that is in time, seconds.
    gap_target_s: float | None
    # 0 is the most urgent.
    priority: int
    # Needs no key.
    public: bool = False


class RouteTable(Struct, frozen=True):
    """All routes of one version of the settings."""

    # By host and path prefix.
    by_place: dict[tuple[str, str], Route] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def make_table(routes: Iterable[Route]) -> RouteTable:
    """Index routes by their place; of two with the same place the first counts."""
    table: dict[tuple[str, str], Route] = {}
    for route in routes:
        table.setdefault((route.host, route.path_prefix), route)
    return RouteTable(table)


def pick_target(route: Route, rng: Random) -> Target:
    """Pick the service of one request by the weights."""
    if len(route.targets) == 1:
        return route.targets[0].target
    drawn = rng.random() * sum(each.weight for each in route.targets)
    for each in route.targets:
        drawn -= each.weight
        if drawn < 0:
            return each.target
    return route.targets[-1].target
