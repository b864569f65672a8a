"""Relays: instances that pass messages on to the other instances of their data centre.

Each data centre has one relay for a group of instances, picked by hash among its live members. A
message for all instances goes to the relays, and from each to its group. Each instance picks the
relays from its own view of the live members. While two views differ, some instances receive a
message twice or not at all, so receivers have to detect missing messages.

In small deployments there are no relays: each instance sends to every other one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.base.ids import InstanceName
    from turmericweir_core.state.state import State

# Hash key for picking the relays.
_DUTY: Final = "tell"
# Largest number of instances that send to each other directly.
_DIRECT_INSTANCES_MAX: Final = 24
# Instances of a data centre for each relay there.
_INSTANCES_PER_RELAY: Final = 16


def is_direct_delivery(state: State, now: float) -> bool:
    """Return whether there are so few instances that each sends to every other one."""
    return len(membership.region_instances(state, now)) <= _DIRECT_INSTANCES_MAX


def relays_of(members: list[Member]) -> list[Member]:
    """Return the relays among one data centre's live members."""
    staying = [member for member in members if not member.leaving]
    return members_for_duty(staying, _DUTY, -(-len(staying) // _INSTANCES_PER_RELAY))


def members_for_duty(members: list[Member], duty: str, count: int) -> list[Member]:
    """Return the members picked for a duty, the same ones on all instances.

    Instances on the strongest machines come first. Prevents relayed messages from delaying requests
    on the link of a small machine.
    """
    ranked = sorted(
        members,
        key=lambda member: (member.machine_capacity, rendezvous_weight(duty, member.name)),
        reverse=True,
    )
    return ranked[:count]


def relay_for(relay_members: list[Member], name: InstanceName) -> InstanceName | None:
    """Return the name of the relay that sends to an instance; a relay is its own relay."""
    if not relay_members:
        return None
    if any(member.name == name for member in relay_members):
        return name
    return max(relay_members, key=lambda member: rendezvous_weight(member.name, name)).name


def relay_group(members: list[Member], name: InstanceName) -> list[Member]:
    """Return the members of a data centre that have the same relay as the named one."""
    relay_members = relays_of(members)
    relay = relay_for(relay_members, name)
    return [member for member in members if relay_for(relay_members, member.name) == relay]


def region_relays(state: State, now: float) -> list[Member]:
    """Return the relays of all data centres of the region; this instance may be among them."""
    members_by_centre: dict[str, list[Member]] = {}
    for member in membership.region_instances(state, now):
        members_by_centre.setdefault(member.data_centre, []).append(member)
    return [member for members in members_by_centre.values() for member in relays_of(members)]
