"""Which instances read the platform's store, and how the others know what is there.

Each call to the store is paid for, and all instances would read the same. So one reads for some
hundreds, picked by hash among the live ones, and tells the others: of servers at each read, of the
settings whenever one asks. An instance that has not been told in time reads for itself, whatever
the reason, and stands in as a reader until another one tells. Each allows another delay, by hash,
so that one does for all: a reader that dies or cannot reach the store costs few reads and no bound.

Where there are many, a reader tells the tellers of each data centre (`telling`), and these the
others there: a reader may be a small machine. Whoever is told by nobody reads for itself.

An instance that has just started knows few of the others and would take itself for a reader, as all
would after a start of them all. Until it may know them it only stands in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.membership import membership, telling
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.base.ids import InstanceName
    from turmericweir_core.state.state import State

# What the readers are picked for.
_DUTY: Final = "store"
# Instances for each reader, and readers at the least: where one dies another stands in soon enough.
_INSTANCES_EACH: Final = 400
_READERS_MIN: Final = 1
# Time in which an instance that started with all others comes to know them.
_YOUNG_S: Final = 8.0
# Between two looks at who is picked to read; it is asked twenty times a second.
_PICK_S: Final = 0.25
_NEVER: Final = float("-inf")
_WEIGHTS: Final = 2.0**64


def readers(state: State, now: float) -> list[Member]:
    """List the instances that read the store, this one maybe among them."""
    live = [each for each in membership.live_instances(state, now) if not each.leaving]
    count = max(_READERS_MIN, len(live) // _INSTANCES_EACH)
    return telling.first_by_hash(live, _DUTY, count)


def is_reader(state: State, now: float) -> bool:
    """Tell whether this instance reads for others."""
    if state.registry.stands_in:
        return True
    started_at = state.members.started_at
    if started_at is None or now - started_at < _YOUNG_S:
        return False
    registry = state.registry
    if now >= registry.pick_due:
        registry.pick_due = now + _PICK_S
        registry.is_picked = any(each.name == state.me.name for each in readers(state, now))
    return registry.is_picked


# --- who tells whom --------------------------------------------------------------------------


def audience(state: State, now: float) -> list[Member]:
    """List whom this instance tells what it has just read: all, or tellers and its own part.

    Its own part are those who share its teller, as that one may be what has failed.
    """
    if telling.is_direct(state, now):
        return _peers(state, membership.region_instances(state, now))
    here = membership.live_instances(state, now, state.me.data_centre)
    told = [*telling.all_tellers(state, now), *telling.part_of(here, state.me.name)]
    return _peers(state, list({each.name: each for each in told}.values()))


def told_by_me(state: State, now: float) -> list[Member]:
    """List whom this instance passes on to what a reader told; none unless it is a teller."""
    here = membership.live_instances(state, now, state.me.data_centre)
    if telling.is_direct(state, now) or not _is_among(telling.tellers(here), state):
        return []
    return _peers(state, telling.part_of(here, state.me.name))


def whom_to_ask(state: State, now: float) -> list[Member]:
    """List the peers that may have a young proof of the settings: tellers here, or the readers."""
    here = membership.live_instances(state, now, state.me.data_centre)
    found = telling.tellers(here)
    if telling.is_direct(state, now) or _is_among(found, state):
        found = readers(state, now)
    return _peers(state, found)


def _is_among(members: list[Member], state: State) -> bool:
    return any(each.name == state.me.name for each in members)


def _peers(state: State, members: list[Member]) -> list[Member]:
    return [each for each in members if each.name != state.me.name]


# --- who stands in ---------------------------------------------------------------------------


def note_read(state: State, now: float) -> None:
    """Stand in for the readers from now on, if this read was made because none had told.

    Not at the first one, which all make when they start.
    """
    if state.registry.read_at > _NEVER and registry_is_late(state, now):
        state.registry.stands_in = True


def note_told(state: State, now: float, reader: InstanceName) -> None:
    """Leave the reading to a peer that reads, if it is picked for it or first among stand-ins."""
    picked = reader in {each.name for each in readers(state, now)}
    if picked or rendezvous_weight(_DUTY, reader) > rendezvous_weight(_DUTY, state.me.name):
        state.registry.stands_in = False


def registry_is_late(state: State, now: float) -> bool:
    """Tell whether this instance was told nothing of the servers for too long."""
    times = state.options.store
    late_s = times.servers_late_s + times.servers_spread_s * _place(state)
    return now - state.registry.read_at > late_s


def reads_registry(state: State, now: float) -> bool:
    """Tell whether this instance is to read the servers' entries now."""
    return is_reader(state, now) or registry_is_late(state, now)


def reads_document(state: State, now: float) -> bool:
    """Tell whether this instance is to read the settings now."""
    held = state.document
    if held is None or is_reader(state, now):
        return True
    times = state.options.store
    late_s = times.settings_late_s + times.settings_spread_s * _place(state)
    return now - held.proof_at > late_s


def _place(state: State) -> float:
    """Give this instance's place in the order of those who stand in, 0..1; the readers' order."""
    return 1.0 - rendezvous_weight(_DUTY, state.me.name) / _WEIGHTS
