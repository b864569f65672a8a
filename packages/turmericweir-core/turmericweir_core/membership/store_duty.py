"""Which instances read the platform's store, and how the others receive what was read.

Each call to the store costs money, and all instances would read the same data. So there is one
reader for several hundred instances, picked by hash among the live ones. It sends the result to the
others: the servers at each read, the settings on request. An instance that receives nothing in time
reads for itself and becomes a fallback reader until another reader sends an update. The delay
differs by instance, by hash, so that few instances replace a failed reader.

In large deployments a reader sends to the relays of each data centre (`relays`), and these send to
the other instances there, which limits the load on the reader.

An instance that has just started knows few of the others and would pick itself, so it is only a
fallback reader at first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.membership import membership, relays
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.base.ids import InstanceName
    from turmericweir_core.state.state import State

# Hash key for picking the readers.
_DUTY: Final = "store"
# Instances for each reader, and the minimum number of readers.
_INSTANCES_PER_READER: Final = 400
_READERS_MIN: Final = 1
# Time that an instance needs to discover the others if all start together.
_START_PHASE_S: Final = 8.0
# Interval between two picks of the readers; `is_store_reader` is called far more often.
_PICK_INTERVAL_S: Final = 0.25
_NEVER: Final = float("-inf")
# Time for which a wanted read stays wanted, and the least time between two such reads.
_WANTED_KEEP_S: Final = 1.0
_WANTED_INTERVAL_S: Final = 0.5
_WEIGHT_RANGE: Final = 2.0**64


def store_readers(state: State, now: float) -> list[Member]:
    """Return the instances that read the store; this one may be among them."""
    live = [member for member in membership.live_instances(state, now) if not member.leaving]
    count = max(_READERS_MIN, len(live) // _INSTANCES_PER_READER)
    return relays.members_for_duty(live, _DUTY, count)


def is_store_reader(state: State, now: float) -> bool:
    """Return whether this instance reads for others."""
    if state.registry.is_fallback_reader:
        return True
    if is_start_phase(state, now):
        return False
    registry = state.registry
    if now >= registry.next_choice_at:
        registry.next_choice_at = now + _PICK_INTERVAL_S
        registry.is_chosen_reader = any(
            member.name == state.me.name for member in store_readers(state, now)
        )
    return registry.is_chosen_reader


def is_start_phase(state: State, now: float) -> bool:
    """Return whether this instance may not know the others yet."""
    started_at = state.members.started_at
    return started_at is None or now - started_at < _START_PHASE_S


# --- peers to send to ---------------------------------------------------------------------------


def read_receivers(state: State, now: float) -> list[Member]:
    """Return the peers to which this instance sends what it has read.

    These are all peers, or the relays and this instance's relay group, in case its relay has
    failed.
    """
    if relays.is_direct_delivery(state, now):
        return _without_self(state, membership.region_instances(state, now))
    local_members = membership.live_instances(state, now, state.me.data_centre)
    receivers = [
        *relays.region_relays(state, now),
        *relays.relay_group(local_members, state.me.name),
    ]
    return _without_self(state, list({member.name: member for member in receivers}.values()))


def relay_receivers(state: State, now: float) -> list[Member]:
    """Return the peers to which this instance relays; none unless it is a relay."""
    local_members = membership.live_instances(state, now, state.me.data_centre)
    if relays.is_direct_delivery(state, now) or not _has_self(
        relays.relays_of(local_members), state
    ):
        return []
    return _without_self(state, relays.relay_group(local_members, state.me.name))


def settings_sources(state: State, now: float) -> list[Member]:
    """Return peers that may have a fresh proof of the settings: local relays, or the readers."""
    local_members = membership.live_instances(state, now, state.me.data_centre)
    sources = relays.relays_of(local_members)
    if relays.is_direct_delivery(state, now) or _has_self(sources, state):
        sources = store_readers(state, now)
    return _without_self(state, sources)


def _has_self(members: list[Member], state: State) -> bool:
    return any(member.name == state.me.name for member in members)


def _without_self(state: State, members: list[Member]) -> list[Member]:
    return [member for member in members if member.name != state.me.name]


# --- fallback readers --------------------------------------------------------------------------


def note_registry_read(state: State, now: float) -> None:
    """Become a fallback reader if this read was made because no reader announced in time.

    Does not apply to the first read, which all instances make when they start.
    """
    if state.registry.read_at > _NEVER and is_registry_overdue(state, now):
        state.registry.is_fallback_reader = True


def note_reader(state: State, now: float, reader: InstanceName) -> None:
    """Stop being a fallback reader if the announcing peer is picked or has the higher weight."""
    is_picked = reader in {member.name for member in store_readers(state, now)}
    if is_picked or rendezvous_weight(_DUTY, reader) > rendezvous_weight(_DUTY, state.me.name):
        state.registry.is_fallback_reader = False


def is_registry_overdue(state: State, now: float) -> bool:
    """Return whether this instance has received no servers for too long."""
    times = state.options.store
    overdue_s = times.servers_fallback_s + times.servers_fallback_spread_s * _fallback_position(
        state
    )
    return now - state.registry.read_at > overdue_s


def want_registry_read(state: State, now: float) -> None:
    """Have this instance read the servers' entries itself, though it may not be a reader."""
    state.registry.wanted_at = now


def is_registry_wanted(state: State, now: float) -> bool:
    """Return whether something here waits for a read of the servers' entries."""
    registry = state.registry
    if registry.wanted_at <= registry.own_read_at or now - registry.wanted_at > _WANTED_KEEP_S:
        return False
    return now - registry.own_read_at >= _WANTED_INTERVAL_S


def is_registry_read_due(state: State, now: float) -> bool:
    """Return whether this instance should read the servers' entries now."""
    if is_registry_wanted(state, now):
        return True
    return is_store_reader(state, now) or is_registry_overdue(state, now)


def is_document_read_due(state: State, now: float) -> bool:
    """Return whether this instance should read the settings now."""
    document = state.document
    if document is None or is_store_reader(state, now):
        return True
    times = state.options.store
    overdue_s = times.settings_fallback_s + times.settings_fallback_spread_s * _fallback_position(
        state
    )
    return now - max(document.proof_at, document.read_at) > overdue_s


def _fallback_position(state: State) -> float:
    """Return this instance's position in the order of fallback readers, 0..1."""
    return 1.0 - rendezvous_weight(_DUTY, state.me.name) / _WEIGHT_RANGE
