"""The bounded subset of a target's servers that this instance uses.

If every instance used every server of a model, each server would have more connections and each
dispatcher more holders than the requests justify. An instance therefore uses up to `subset_size`
servers of a target, picked by rendezvous hashing of its own name: the subsets cover the servers
evenly, and one added or removed server changes few subsets. Servers of this data centre come first,
and some places are reserved for servers elsewhere, which take over load when this data centre is
overloaded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from turmericweir_core.base.ids import Target
from turmericweir_core.membership import membership
from turmericweir_core.state.outlier_state import without_ejected
from turmericweir_core.state.server_table import Server, can_take_work, servers_for
from turmericweir_core.state.subset_state import TargetSubset

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def rendezvous_weight(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def target_subset(state: State, target: Target) -> TargetSubset:
    """Return the servers of a target that this instance uses."""
    subset = state.subsets.by_target.get(target)
    if subset is None or subset.version != state.servers.version:
        subset = state.subsets.by_target[target] = _choose_subset(state, target)
    return subset


def _choose_subset(state: State, target: Target) -> TargetSubset:
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
    local = [server for server in serving if server.entry.data_centre == me.data_centre]
    others = [server for server in serving if server.entry.data_centre != me.data_centre]
    # Servers of another region are used only if this region has none.
    regional = [
        server for server in others if server.entry.data_centre not in state.subsets.foreign_centres
    ]
    others = regional if local or regional else others
    size = state.options.subset_size
    local_part = local[: max(size - len(others), size - state.options.subset_remote)]
    return TargetSubset(
        state.servers.version, (*local_part, *others[: size - len(local_part)]), len(serving)
    )


def open_servers(state: State, now: float, target: Target) -> list[Server]:
    """Return the servers of the subset that may receive new work now."""
    subset = target_subset(state, target)
    available = _usable(state, [server for server in subset.servers if can_take_work(server, now)])
    if available or subset.total <= len(subset.servers):
        return available
    # Prevents requests from waiting while idle servers exist: if the whole subset is unavailable,
    # the other servers are used.
    return _usable(state, list(servers_for(state.servers, target, now)))


def _usable(state: State, servers: list[Server]) -> list[Server]:
    return without_ejected(state.outliers, without_unproven(servers))


def has_path(state: State, target: Target) -> bool:
    """Return whether this instance can connect to any server of a target, full or paused or not."""
    return any(server.unreachable_until == 0.0 for server in target_subset(state, target).servers)


def pause_left_s(state: State, now: float, target: Target) -> float | None:
    """Return when the first paused server of a target takes work again, in seconds from now.

    None if a server takes work now, or if none of them is paused.
    """
    table = state.servers
    if now >= table.last_pause_until or open_servers(state, now, target):
        return None
    paused_until = min(
        (
            server.paused_until
            for server in table.by_name.values()
            if server.paused_until > now
            and not (server.leaving or server.drained)
            and server.serves(target)
        ),
        default=None,
    )
    return None if paused_until is None else paused_until - now


def without_unproven(servers: list[Server]) -> list[Server]:
    """Leave out failed servers without a successful probe since, if others remain.

    Prevents requests from waiting for connection timeouts to servers that are cut off.
    """
    return [server for server in servers if server.unreachable_until == 0.0] or servers


def instances_per_server(state: State, target: Target) -> int:
    """Return the estimated number of instances that use the same server of a target."""
    subset = target_subset(state, target)
    if not subset.total:
        return 1
    used_share = len(subset.servers) / subset.total
    return max(1, round(state.subsets.instances * used_share))


def on_tick(state: State, now: float) -> None:
    """Update the number of instances in this region and the servers in use here."""
    subsets = state.subsets
    if now < subsets.next_used_update_at:
        return
    subsets.next_used_update_at = now + state.options.subset_look_s
    foreign = frozenset(
        centre.name
        for centre in state.members.centres.values()
        if centre.region and centre.region != state.me.region
    )
    if foreign != subsets.foreign_centres:
        subsets.foreign_centres = foreign
        subsets.by_target.clear()
    subsets.instances = max(1, len(membership.region_instances(state, now)))
    subsets.used_servers = frozenset(
        server.entry.name
        for target in state.queues.targets
        for server in target_subset(state, target).servers
    )
