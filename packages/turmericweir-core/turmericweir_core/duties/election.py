"""Which instances try to acquire the duties' lease, and when.

The candidates are a few live instances, the same on all instances: picked by hash, with one of each
data centre first. The first candidate takes the lease. A holder that can do its work sends its
status to the other candidates at a fixed interval. If they receive none, they try one after the
other, with a longer delay for each later candidate; the lease prevents two from acting at once
(`leases.lease_flow`). A holder that fails, is cut off from the store, or whose calls fail is
therefore replaced, and in a steady state only the holder makes calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.leases import lease_flow
from turmericweir_core.membership import membership, relays
from turmericweir_core.messages.duty_messages import DutyStatus, WindowCounts
from turmericweir_core.messages.effects import Effect, Log, SendDatagram
from turmericweir_core.records.lease_record import LeaseScope
from turmericweir_core.records.usage_note import UsageNote
from turmericweir_core.state.duty_state import DutyState
from turmericweir_core.state.lease_state import HeldLease
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# All duties share one lease, as their calls are few.
SCOPE: Final = LeaseScope("duties", "all")
_DUTY: Final = "duties"
_CANDIDATES_MAX: Final = 4
# Interval between two picks of the candidates.
_PICK_INTERVAL_S: Final = 0.25
# Time after the start before an instance tries for the lease. Prevents several new instances with
# partial views from trying at once.
_START_PHASE_S: Final = 3.0
# Interval between two status messages of the holder.
_STATUS_INTERVAL_S: Final = 1.0
# Time without a status after which the first candidate tries, and the further delay of each later
# one.
_HOLDER_TIMEOUT_S: Final = 2.0
_NEXT_CANDIDATE_DELAY_S: Final = 2.5
# Time for which calls fail before the holder gives up, and the time before it may try again.
_FAILURE_TIMEOUT_S: Final = 3.0
_RETRY_DELAY_S: Final = 8.0


def candidates(state: State, now: float) -> list[Member]:
    """Return the instances that may hold the lease, in the order in which they try for it."""
    duties = _duties(state)
    if now >= duties.next_candidates_at:
        duties.next_candidates_at = now + _PICK_INTERVAL_S
        live = [member for member in membership.live_instances(state, now) if not member.leaving]
        ranked = relays.members_for_duty(live, _DUTY, len(live))
        duties.candidates = _alternate_centres(ranked)[:_CANDIDATES_MAX]
    return duties.candidates


def _alternate_centres(ranked: list[Member]) -> list[Member]:
    """Order members so that the first one of each data centre precedes all second ones."""
    counts: dict[str, int] = {}
    keyed: list[tuple[int, int, Member]] = []
    for position, member in enumerate(ranked):
        count = counts.get(member.data_centre, 0)
        counts[member.data_centre] = count + 1
        keyed.append((count, position, member))
    keyed.sort(key=lambda entry: entry[:2])
    return [member for _, _, member in keyed]


def on_tick(state: State, now: float) -> list[Effect]:
    """Try for the lease, or leave it to another candidate."""
    duties = _duties(state)
    is_holder = lease_flow.is_own_lease(state, SCOPE) and now >= duties.barred_until
    position = _own_position(state, now)
    if is_holder and _has_failed(duties, now):
        return _give_up(state, now)
    is_trying = position is not None and _can_try(state, now, position)
    if state.stopping_since is not None or not (is_trying or is_holder):
        lease_flow.release_lease(state, SCOPE)
        return []
    lease_flow.request_lease(state, now, SCOPE)
    # A holder with failing calls sends no status, which lets the next candidate try.
    if not is_holder or duties.failing_since is not None or now < duties.next_status_at:
        return []
    duties.next_status_at = now + _STATUS_INTERVAL_S
    return send_status(state, now, duties.usage.note)


def _own_position(state: State, now: float) -> int | None:
    names = [member.name for member in candidates(state, now)]
    return names.index(state.me.name) if state.me.name in names else None


def _can_try(state: State, now: float, position: int) -> bool:
    duties = _duties(state)
    started_at = state.members.started_at
    if started_at is None or now < max(started_at + _START_PHASE_S, duties.barred_until):
        return False
    if duties.holder_seen_at is None:
        # No status was received since the start; candidates try one after the other.
        return now - started_at - _START_PHASE_S >= _NEXT_CANDIDATE_DELAY_S * position
    return now - duties.holder_seen_at >= _HOLDER_TIMEOUT_S + _NEXT_CANDIDATE_DELAY_S * position


def _has_failed(duties: DutyState, now: float) -> bool:
    return duties.failing_since is not None and now - duties.failing_since >= _FAILURE_TIMEOUT_S


def _give_up(state: State, now: float) -> list[Effect]:
    duties = _duties(state)
    duties.barred_until = now + _RETRY_DELAY_S
    duties.failing_since = None
    duties.holder_seen_at = now
    lease_flow.release_lease(state, SCOPE)
    return [Log("duties_given_up", {"barred_s": _RETRY_DELAY_S})]


def settled_counts(note: UsageNote) -> list[WindowCounts]:
    """Return the counts of a note as they are sent."""
    return [WindowCounts(window, counts) for window, counts in sorted(note.counts.items())]


def send_status(state: State, now: float, note: UsageNote) -> list[Effect]:
    """Announce to the other candidates that this instance is the holder and what it settled."""
    fence = lease_flow.known_fence(state, SCOPE)
    status = DutyStatus(fence, note.newest, settled_counts(note))
    others = [member for member in candidates(state, now) if member.name != state.me.name]
    return [SendDatagram(member.name, member.peer_address, status) for member in others]


def on_status(state: State, now: float, sender: InstanceName, status: DutyStatus) -> None:
    """Record the status of a holder that can do the duties."""
    duties = _duties(state)
    if status.fence >= lease_flow.known_fence(state, SCOPE):
        duties.holder_seen_at = now


def note_lease_holder(state: State, now: float) -> None:
    """Leave the duties to another instance whose lease was just read."""
    lease = state.leases.ledger.leases.get(SCOPE)
    if lease is None or lease.released or lease_flow.is_own_lease(state, SCOPE):
        return
    duties = _duties(state)
    if (lease.incarnation, lease.fence) != duties.foreign_lease:
        duties.foreign_lease = (lease.incarnation, lease.fence)
        duties.holder_seen_at = now


def note_call_outcome(state: State, now: float, *, is_successful: bool) -> None:
    """Record whether a call of the holder to the store or the platform succeeded."""
    duties = _duties(state)
    if is_successful:
        duties.failing_since = None
    elif duties.failing_since is None:
        duties.failing_since = now


def usable_lease(state: State, now: float) -> HeldLease | None:
    """Return the lease if this instance may act under it now."""
    lease = lease_flow.current_lease(state, now, SCOPE)
    if lease is None:
        return None
    if lease.is_taken_over and not _duties(state).settings.checks_fence:
        # Calls of the previous holder may still be executed, and the platform does not refuse them.
        return lease if now - lease.held_since >= state.options.order_longest_s else None
    return lease


def _duties(state: State) -> DutyState:
    assert state.duties is not None
    return state.duties
