"""Which instances read the platform's store, and how the others know what is there.

Each call to the store is paid for, and all instances would read the same. So a few read, picked by
hash among the live ones, and tell the others: of servers at each read, of the settings whenever one
asks. An instance that has not been told in time reads for itself, whatever the reason, and stands
in as a reader until another one tells. Each allows another delay, by hash, so that one does for
all: a reader that dies or cannot reach the store costs few reads and no bound.

An instance that has just started knows few of the others and would take itself for a reader, as all
would after a start of them all. Until it may know them it only stands in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.base.ids import InstanceName
    from turmericweir_core.state.state import State

# What the readers are picked for.
_DUTY: Final = "store"
# Instances for each reader, and readers at the least: where one dies another stands in soon enough.
_INSTANCES_EACH: Final = 20
_READERS_MIN: Final = 1
# Word on the servers is late after so long at the instance that stands in first, and so much later
# at the last one; readers read every 0.9 s at the most. A server that leaves must get no more
# requests within two seconds, and a read of one's own still fits in.
_REGISTRY_LATE_S: Final = 1.1
_REGISTRY_SPREAD_S: Final = 0.4
# The same for the proof of the settings: those who are told ask from 0.6 s on and hold one of 1.1 s
# at the most, and a read of one's own takes little before keys have to stop. The spread is two
# times that between two askings, so that most hear of the first read before their own is due.
_DOCUMENT_LATE_S: Final = 1.5
_DOCUMENT_SPREAD_S: Final = 0.6
# Time in which an instance that started with all others comes to know them: where eight started at
# once, the last one was known after 6 s.
_YOUNG_S: Final = 8.0
_NEVER: Final = float("-inf")
_WEIGHTS: Final = 2.0**64


def readers(state: State, now: float) -> list[Member]:
    """List the instances that read the store, this one maybe among them."""
    live = [each for each in membership.live_instances(state, now) if not each.leaving]
    count = max(_READERS_MIN, len(live) // _INSTANCES_EACH)
    live.sort(key=lambda each: rendezvous_weight(_DUTY, each.name), reverse=True)
    return live[:count]


def is_reader(state: State, now: float) -> bool:
    """Tell whether this instance reads for others."""
    if state.registry.stands_in:
        return True
    started_at = state.members.started_at
    if started_at is None or now - started_at < _YOUNG_S:
        return False
    return any(each.name == state.me.name for each in readers(state, now))


def note_read(state: State, now: float) -> None:
    """Stand in for the readers from now on, if this read was made because none had told.

    Not at the first one, which all make when they start.
    """
    if state.registry.read_at > _NEVER and registry_is_late(state, now):
        state.registry.stands_in = True


def note_told(state: State, now: float, sender: InstanceName) -> None:
    """Leave the reading to a peer that tells, if it is a reader or comes first among stand-ins."""
    picked = sender in {each.name for each in readers(state, now)}
    if picked or rendezvous_weight(_DUTY, sender) > rendezvous_weight(_DUTY, state.me.name):
        state.registry.stands_in = False


def registry_is_late(state: State, now: float) -> bool:
    """Tell whether this instance was told nothing of the servers for too long."""
    late_s = _REGISTRY_LATE_S + _REGISTRY_SPREAD_S * _place(state)
    return now - state.registry.read_at > late_s


def reads_registry(state: State, now: float) -> bool:
    """Tell whether this instance is to read the servers' entries now."""
    return is_reader(state, now) or registry_is_late(state, now)


def reads_document(state: State, now: float) -> bool:
    """Tell whether this instance is to read the settings now."""
    held = state.document
    if held is None or is_reader(state, now):
        return True
    late_s = _DOCUMENT_LATE_S + _DOCUMENT_SPREAD_S * _place(state)
    return now - held.proof_at > late_s


def _place(state: State) -> float:
    """Give this instance's place in the order of those who stand in, 0..1; the readers' order."""
    return 1.0 - rendezvous_weight(_DUTY, state.me.name) / _WEIGHTS
