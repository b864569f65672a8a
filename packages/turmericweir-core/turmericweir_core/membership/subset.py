"""The bounded subset of a target's servers that this instance uses.

At 160 instances before 465 servers, every instance speaking to every server of a model would cost
each server more connections and each dispatcher more holders than the requests are worth. An
instance therefore uses up to `subset_size` servers of a target, picked by rendezvous hashing of its
own name: the subsets of all instances cover the servers evenly, and one server that comes or goes
moves only the places that it holds. Servers of the own data centre come first, and some places are
kept for others, so that a crowded data centre can lean on its siblings.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from turmericweir_core.base.ids import Target
from turmericweir_core.membership import membership
from turmericweir_core.state.server_table import Server, is_open, servers_for
from turmericweir_core.state.subset_state import TargetSubset

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def rendezvous_weight(key: str, candidate: str) -> int:
    """Give the weight of a candidate for a key; the highest one wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def target_subset(state: State, target: Target) -> TargetSubset:
    """Give the servers of a target that this instance uses."""
    held = state.subsets.by_target.get(target)
    if held is None or held.version != state.servers.version:
        held = state.subsets.by_target[target] = _choose(state, target)
    return held


def _choose(state: State, target: Target) -> TargetSubset:
    serving = [
        server
        for server in state.servers.by_name.values()
        if not (server.leaving or server.drained) and server.serves(target)
    ]
    me = state.me
    serving.sort(
        key=lambda server: rendezvous_weight(me.name, server.entry.name),
        reverse=True,
    )
    own = [server for server in serving if server.entry.data_centre == me.data_centre]
    others = [server for server in serving if server.entry.data_centre != me.data_centre]
    # Another region is far away; its servers are for when this one has none.
    near = [server for server in others if server.entry.data_centre not in state.subsets.foreign]
    others = near if own or near else others
    size = state.options.subset_size
    kept = own[: max(size - len(others), size - state.options.subset_remote)]
    return TargetSubset(state.servers.version, (*kept, *others[: size - len(kept)]), len(serving))


def open_servers(state: State, now: float, target: Target) -> list[Server]:
    """List the servers of the subset that may be given new work now."""
    subset = target_subset(state, target)
    found = _proven([server for server in subset.servers if is_open(server, now)])
    if found or subset.total <= len(subset.servers):
        return found
    # Failure: every server of the subset is cut off, say with its rack. Requests would wait until
    # their deadlines before idle servers; so the others are used until the subset is back.
    return _proven(list(servers_for(state.servers, target, now)))


def _proven(servers: list[Server]) -> list[Server]:
    """Leave out servers that failed and have not answered a probe since, if any others are left.

    Failure: a data centre is cut off, and connections to it time out. Trying one of its servers
    with a caller's request every time that its pause is over costs that caller the timeout.
    """
    return [server for server in servers if server.unreachable_until == 0.0] or servers


def sharing_instances(state: State, target: Target) -> int:
    """Estimate how many instances use the same server of a target, this one included."""
    subset = target_subset(state, target)
    if not subset.total:
        return 1
    used = len(subset.servers) / subset.total
    return max(1, round(state.subsets.instances * used))


def on_tick(state: State, now: float) -> None:
    """Follow who shares this region's servers, and which of them are in use here."""
    subsets = state.subsets
    if now < subsets.used_due:
        return
    subsets.used_due = now + state.options.subset_look_s
    foreign = frozenset(
        each.name
        for each in state.members.centres.values()
        if each.region and each.region != state.me.region
    )
    if foreign != subsets.foreign:
        subsets.foreign = foreign
        subsets.by_target.clear()
    subsets.instances = max(1, len(membership.region_instances(state, now)))
    subsets.used = frozenset(
        server.entry.name
        for target in state.queues.targets
        for server in target_subset(state, target).servers
    )
