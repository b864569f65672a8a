"""The duties as this instance knows them, for operators.

The holder knows everything. The other candidates know the holder and the windows that it has
settled, if they have read its lease. All other instances know only the candidates.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from msgspec import Struct

from turmericweir_core.duties import capacity, election, usage
from turmericweir_core.leases import lease_flow

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Maximum number of windows in the view; the newest ones are shown.
_WINDOWS_MAX = 6


class WindowState(StrEnum):
    """The state of the report of a window."""

    # The counts are final, and the platform has not accepted them yet.
    SETTLED = "settled"
    REPORTED = "reported"


class WindowView(Struct, frozen=True):
    """A window of usage."""

    window: int
    state: WindowState
    requests: int


class ServersView(Struct, frozen=True):
    """Servers of one kind of a service in a data centre."""

    service: str
    data_centre: str
    spot: bool
    present: int
    leaving: int
    # None if this instance has ordered none.
    ordered: int | None
    # Time since the newest order.
    age_s: float | None
    is_taken: bool


class DutyView(Struct, frozen=True):
    """The duties, as one instance sees them."""

    candidates: list[str]
    # The newest lease that this instance has read; None if it has read none.
    holder: str | None
    fence: int | None
    # Whether this instance holds the lease, and for how long.
    is_here: bool
    held_s: float | None
    windows: list[WindowView]
    servers: list[ServersView]


def duty_view(state: State, now: float) -> DutyView | None:
    """Return the duties for operators, or None if there are none."""
    if state.duties is None:
        return None
    lease = state.leases.ledger.leases.get(election.SCOPE)
    is_held_here = lease_flow.is_own_lease(state, election.SCOPE)
    return DutyView(
        candidates=[member.name for member in election.candidates(state, now)],
        holder=None if lease is None or lease.released else lease.instance,
        fence=None if lease is None else lease.fence,
        is_here=is_held_here,
        held_s=now - lease.read_at if lease is not None and is_held_here else None,
        windows=_windows(state),
        servers=_servers(state, now),
    )


def _windows(state: State) -> list[WindowView]:
    assert state.duties is not None
    note = usage.known_note(state)
    reported = state.duties.usage.reported
    views = [
        WindowView(
            window,
            WindowState.REPORTED if window in reported else WindowState.SETTLED,
            sum(counts.values()),
        )
        for window, counts in sorted(note.counts.items())
    ]
    return views[-_WINDOWS_MAX:]


def _servers(state: State, now: float) -> list[ServersView]:
    assert state.duties is not None
    orders = state.duties.capacity.orders
    views = []
    for service in state.config.services.values():
        if service.capacity is None:
            continue
        for name in sorted(service.capacity.prices):
            for spot in (False, True):
                order = orders.get((service.name, name, spot))
                present, leaving = capacity.count_servers(state, service.name, name, spot=spot)
                views.append(
                    ServersView(
                        service.name,
                        name,
                        spot,
                        present,
                        leaving,
                        None if order is None else order.count,
                        None if order is None else now - order.ordered_at,
                        order is not None and order.is_accepted,
                    )
                )
    return views
