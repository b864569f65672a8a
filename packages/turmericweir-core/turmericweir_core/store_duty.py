"""Which instances read the platform's store, and how the others know what is there.

Each call to the store is paid for, and all instances would read the same. So a few read, picked by
hash among the live ones, and tell the others: of servers at each read, of the settings whenever one
asks. An instance that has not been told in time reads for itself, whatever the reason, so a reader
that dies or is cut off costs some calls and no bound.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core import membership
from turmericweir_core.membership import Member
from turmericweir_core.subset import rendezvous_weight

if TYPE_CHECKING:
    from turmericweir_core.state import State

# What the readers are picked for.
_DUTY: Final = "store"
# Instances for each reader, and readers at the least: one may die while the other reads on.
_INSTANCES_EACH: Final = 20
_READERS_MIN: Final = 2
# Word on the servers is late after so long; readers read every 0.9 s at the most. A server that
# leaves must get no more requests within two seconds, and a read of one's own still fits in.
_REGISTRY_LATE_S: Final = 1.3
# The proof of the settings is late after so long: those who are told ask every 0.7 s, and a read of
# one's own takes little before keys have to stop.
_DOCUMENT_LATE_S: Final = 2.0


def readers(state: State, now: float) -> list[Member]:
    """List the instances that read the store, this one maybe among them."""
    live = [each for each in membership.live_instances(state, now) if not each.leaving]
    count = max(_READERS_MIN, len(live) // _INSTANCES_EACH)
    live.sort(key=lambda each: rendezvous_weight(_DUTY, each.name), reverse=True)
    return live[:count]


def is_reader(state: State, now: float) -> bool:
    """Tell whether this instance reads for others."""
    return any(each.name == state.me.name for each in readers(state, now))


def reads_registry(state: State, now: float) -> bool:
    """Tell whether this instance is to read the servers' entries now."""
    return now - state.registry.read_at > _REGISTRY_LATE_S or is_reader(state, now)


def reads_document(state: State, now: float) -> bool:
    """Tell whether this instance is to read the settings now."""
    held = state.document
    if held is None or now - held.proof_at > _DOCUMENT_LATE_S:
        return True
    return is_reader(state, now)
