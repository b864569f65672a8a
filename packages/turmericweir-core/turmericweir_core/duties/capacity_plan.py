"""Plan how many servers of each kind a service has in each data centre.

A pure function of the need, the present servers and their prices:

- Spot servers serve as much of the need as possible, as they are cheaper. One lasting server stays
  in each data centre, in case all spot servers there are preempted at once.
- Both kinds are spread evenly over the data centres, which limits the effect of losing one. If a
  data centre has no spot servers available, the others get more; lasting servers cover the rest.
- Lasting servers are released only as spot servers come up in their place.
"""

from __future__ import annotations

from math import ceil
from typing import Final

from msgspec import Struct

from turmericweir_core.base.config import CapacityBounds

# Minimum number of lasting servers in a data centre.
_LASTING_MIN: Final = 1


class PresentServers(Struct, frozen=True):
    """Serving servers of one data centre that are not leaving."""

    lasting: int = 0
    spot: int = 0


class WantedServers(Struct, frozen=True):
    """The planned servers of one data centre."""

    lasting: int
    spot: int


def plan_servers(
    capacity: CapacityBounds,
    present: dict[str, PresentServers],
    needed: int,
    *,
    initial_counts: dict[str, int],
    unavailable: frozenset[str] = frozenset(),
) -> dict[str, WantedServers]:
    """Return the planned servers of each data centre.

    `initial_counts` is the minimum total of each data centre while its lasting servers are replaced
    by spot servers. The data centres in `unavailable` have no more spot servers available.
    """
    if not present:
        return {}
    if capacity.spot_share is None:
        shares = _spread(needed, dict.fromkeys(present, capacity.servers_max))
        return {
            name: WantedServers(max(capacity.servers_min, servers), 0)
            for name, servers in shares.items()
        }
    base = min(capacity.servers_max, max(_LASTING_MIN, capacity.servers_min))
    room = {
        name: (
            min(servers.spot, capacity.servers_max - base)
            if name in unavailable
            else capacity.servers_max - base
        )
        for name, servers in present.items()
    }
    spot = _spread(max(0, needed - base * len(present)), room)
    uncovered = needed - base * len(present) - sum(spot.values())
    extra_lasting = _spread(
        max(0, uncovered), {name: capacity.servers_max - base - spot[name] for name in unavailable}
    )
    share = ceil(needed / len(present))
    planned = {}
    for name, servers in present.items():
        lasting_min = min(initial_counts.get(name, 0), share) - servers.spot
        lasting = max(base + extra_lasting.get(name, 0), min(servers.lasting, lasting_min))
        planned[name] = WantedServers(lasting, min(spot[name], capacity.servers_max - lasting))
    return planned


def _spread(total: int, room: dict[str, int]) -> dict[str, int]:
    """Spread a total evenly over the data centres, up to the room of each."""
    counts = dict.fromkeys(room, 0)
    remaining = min(total, sum(room.values()))
    while remaining > 0:
        candidates = [name for name in room if counts[name] < room[name]]
        for name in candidates[:remaining]:
            counts[name] += 1
        remaining -= min(remaining, len(candidates))
    return counts
